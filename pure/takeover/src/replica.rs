//! The replica's side of a key: the ballot it has promised, the record, the owner's lease, and the processes that
//! wait for a change. It grants each term once, and none while another owner's lease is active. A replica that lost its
//! state neither grants nor accepts writes until its recovery delay has passed.

mod acquire;
mod persistence;
mod succession;
mod write;

use crate::context::Context;
use crate::record::{Ballot, Key, Record};
use crate::setup::{Fault, Setup};
use crate::timers::Timers;
use foldmux_replicas::{Micros, Peer, RecoveryDelay, Time};
use std::collections::{BTreeMap, BTreeSet};

pub use persistence::PersistedEntry;

/// Processes that a replica notifies of a key's next change. Further ones retry by themselves.
const MAX_WATCHERS: usize = 8;

/// What a replica knows of one key.
#[derive(Clone, Debug)]
struct Entry {
    /// The highest ballot that was granted.
    promised: Ballot,
    /// The owner released the key: its late messages no longer extend the lease.
    released: bool,
    /// The owner said that no successor is needed.
    abandoned: bool,
    lease_expires_at: Time,
    /// As last written. Its spans are as of `record_as_of`.
    record: Option<Record>,
    record_as_of: Time,
    watchers: Vec<Peer>,
    successors_notified: usize,
    /// When a successor is chosen next.
    next_succession: Option<Time>,
    forget_at: Time,
}

impl Entry {
    fn is_answered(&self) -> bool {
        let record = self.record.as_ref();
        record.is_some_and(|record| record.answer.is_some())
    }

    /// The record, aged to the present.
    fn record_now(&self, now: Time) -> Option<Record> {
        let record = self.record.as_ref();
        record.map(|record| record.aged(now - self.record_as_of))
    }

    fn bytes(&self) -> usize {
        self.record.as_ref().map_or(0, Record::bytes)
    }

    fn due(&self) -> Time {
        self.next_succession
            .map_or(self.forget_at, |next| next.min(self.forget_at))
    }
}

/// Keys whose entries have changed since they were last persisted. Records nothing where nothing is persisted.
#[derive(Clone, Debug, Default)]
struct ChangedKeys(Option<BTreeSet<Key>>);

impl ChangedKeys {
    fn insert(&mut self, key: Key) {
        if let Some(keys) = &mut self.0 {
            keys.insert(key);
        }
    }

    fn take(&mut self) -> BTreeSet<Key> {
        self.0.as_mut().map(std::mem::take).unwrap_or_default()
    }
}

/// This process as a replica.
#[derive(Clone, Debug)]
pub struct Replica {
    recovery: RecoveryDelay,
    entries: BTreeMap<Key, Entry>,
    timers: Timers,
    bytes: usize,
    changed: ChangedKeys,
}

impl Replica {
    pub fn new(now: Time, setup: &Setup) -> Replica {
        let recovery = match setup.state_recovered {
            true => RecoveryDelay::state_recovered(now),
            false => RecoveryDelay::state_lost(now, &[setup.recovery_window()], setup.drift),
        };
        Replica {
            recovery,
            entries: BTreeMap::new(),
            timers: Timers::default(),
            bytes: 0,
            changed: ChangedKeys::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn may_vote(&self, now: Time, setup: &Setup) -> bool {
        self.recovery.may_vote(now) || setup.planted(Fault::VoteAfterStateLoss)
    }

    pub fn next_tick(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Handles the timers that are due. `alive`: the processes that a successor is chosen from.
    pub fn on_tick(&mut self, ctx: &mut Context, alive: &BTreeSet<Peer>) {
        while let Some(key) = self.timers.pop(ctx.now) {
            let entry = self.entries.get(&key);
            if entry.is_some_and(|entry| entry.forget_at <= ctx.now) {
                self.forget(key);
                continue;
            }
            self.find_successor(ctx, key, alive);
            self.arm(key);
        }
    }

    fn arm(&mut self, key: Key) {
        self.timers.set(key, self.entries.get(&key).map(Entry::due));
    }

    fn forget(&mut self, key: Key) {
        if let Some(entry) = self.entries.remove(&key) {
            self.bytes -= entry.bytes();
        }
        self.timers.set(key, None);
    }
}

/// When an entry is forgotten: not before the last repeat of its request that it may have to answer.
fn forget_at(ctx: &Context, class: Option<&str>, time_left: Micros) -> Time {
    let policy = class.and_then(|class| ctx.setup.policies.get(class));
    let retention = policy.map_or(0, |policy| policy.retention);
    let longest = time_left.min(ctx.setup.max_deadline) + retention + ctx.setup.lease;
    ctx.now + ctx.setup.drift.stretched(longest)
}
