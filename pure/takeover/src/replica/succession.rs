//! How a replica finds a successor for a request that has no owner: the processes that wait for it, else the next
//! in line.

use super::{Entry, Replica};
use crate::context::Context;
use crate::messages::Message;
use crate::policy::UnclaimedPolicy;
use crate::record::Key;
use foldmux_replicas::{rendezvous, Peer};
use std::collections::BTreeSet;

/// The most successors that a replica notifies for a key, one after another: each may fail, but the search ends.
const MAX_SUCCESSORS: usize = 8;
/// The next in line is notified `lease / WATCHER_HEAD_START_DIVISOR` after the watchers.
const WATCHER_HEAD_START_DIVISOR: u64 = 2;
/// Each further successor is notified `lease / SUCCESSOR_INTERVAL_DIVISOR` after the one before it.
const SUCCESSOR_INTERVAL_DIVISOR: u64 = 4;

impl Replica {
    /// Notifies the processes that may continue the request: its watchers, else the next in line of those alive.
    pub(super) fn find_successor(&mut self, ctx: &mut Context, key: Key, alive: &BTreeSet<Peer>) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        entry.next_succession = None;
        let Some(record) = &entry.record else {
            return;
        };
        let is_expired = record.time_left <= ctx.now - entry.record_as_of;
        if entry.is_answered() || is_expired || entry.successors_notified >= MAX_SUCCESSORS {
            return;
        }
        let policy = ctx.setup.policies.get(&record.request.class);
        let finishes = policy.is_some_and(|policy| policy.unclaimed == UnclaimedPolicy::Finish);
        let needs_successor = finishes && !entry.abandoned;
        if !entry.watchers.is_empty() {
            entry.notify_watchers(ctx, key);
            let next = ctx.now + ctx.setup.lease / WATCHER_HEAD_START_DIVISOR;
            entry.next_succession = needs_successor.then_some(next);
        } else if needs_successor {
            entry.notify_successor(ctx, key, alive);
            entry.next_succession = Some(ctx.now + ctx.setup.lease / SUCCESSOR_INTERVAL_DIVISOR);
        }
        self.arm(key);
    }
}

impl Entry {
    pub(super) fn notify_watchers(&mut self, ctx: &mut Context, key: Key) {
        for watcher in self.watchers.drain(..) {
            ctx.send(&watcher, Message::Changed { key });
        }
    }

    /// Notifies the next in line that is not the former owner, or the former owner if no other process is alive.
    fn notify_successor(&mut self, ctx: &mut Context, key: Key, alive: &BTreeSet<Peer>) {
        let ranked = rendezvous::ranked(&key.bytes(), alive);
        let others: Vec<&Peer> = ranked
            .iter()
            .copied()
            .filter(|peer| **peer != self.promised.owner)
            .collect();
        let index = self.successors_notified % others.len().max(1);
        self.successors_notified += 1;
        if let Some(successor) = others.get(index).or(ranked.first()) {
            ctx.send(successor, Message::TakeOver { key });
        }
    }
}
