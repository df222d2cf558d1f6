//! The owner's side: it acquires keys, writes the record at the replicas before an attempt is sent and before
//! a client is answered, renews its lease, and stops when it loses it. A write is committed once a quorum has
//! stored it.

mod acquire;
mod attempts;
mod join;
mod release;
mod replication;
mod succession;

use crate::acquisition::Acquisition;
use crate::context::Context;
use crate::interface::Lease;
use crate::owned::OwnedRequest;
use crate::record::Key;
use crate::timers::Timers;
use crate::waiter;
use foldmux_replicas::{Micros, Time};
use std::collections::BTreeMap;

pub use attempts::OwnedKey;
pub use replication::WriteReply;

/// The requests that this process owns or acquires.
#[derive(Clone, Debug, Default)]
pub struct Owner {
    acquisitions: BTreeMap<Key, Acquisition>,
    owned: BTreeMap<Key, OwnedRequest>,
    timers: Timers,
    shutting_down: bool,
    random_state: u64,
}

impl Owner {
    pub fn new(seed: u64) -> Owner {
        Owner {
            random_state: seed,
            ..Owner::default()
        }
    }

    pub fn len(&self) -> usize {
        self.acquisitions.len() + self.owned.len()
    }

    pub fn lease(&self, key: Key) -> Option<&Lease> {
        self.owned.get(&key).map(|owned| &owned.lease)
    }

    /// Gives every owned request a lease that is not shared with a clone of this owner.
    pub fn detach_leases(&mut self) {
        for owned in self.owned.values_mut() {
            owned.lease = owned.lease.detached();
        }
    }

    pub fn next_tick(&self) -> Option<Time> {
        self.timers.next()
    }

    pub fn on_tick(&mut self, ctx: &mut Context) {
        while let Some(key) = self.timers.pop(ctx.now) {
            self.tick(ctx, key);
        }
    }

    fn tick(&mut self, ctx: &mut Context, key: Key) {
        self.tick_acquisition(ctx, key);
        let Some(owned) = self.owned.get_mut(&key) else {
            return self.arm(key);
        };
        waiter::expire(ctx, &mut owned.waiters, true);
        if owned.deadline <= ctx.now {
            owned.release(ctx, key, true);
            return self.lose_ownership(ctx, key);
        }
        owned.refresh_replicas(ctx, key);
        self.arm(key);
    }

    /// Sets the timer of a key to when its next action is due.
    fn arm(&mut self, key: Key) {
        let acquisition_due = self.acquisitions.get(&key).map(Acquisition::due);
        let owned_due = || self.owned.get(&key).map(OwnedRequest::due);
        let due = acquisition_due.or_else(owned_due);
        self.timers.set(key, due);
    }

    /// A random backoff of up to `max`, so that processes that collided don't collide again.
    fn draw_backoff(&mut self, max: Micros) -> Micros {
        self.random_state = splitmix64(self.random_state);
        self.random_state % (max + 1)
    }
}

/// One step of the SplitMix64 generator (Steele, Lea and Flood, 2014).
fn splitmix64(state: u64) -> u64 {
    let mut z = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
