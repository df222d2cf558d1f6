//! A replica finds a successor for a request that nobody owns: the processes that wait for it, else the next
//! in line.

use super::{Entry, Replica};
use crate::context::Context;
use crate::messages::Message;
use crate::policy::UnclaimedPolicy;
use crate::record::Key;
use foldmux_replicas::{rendezvous, Peer};
use std::collections::BTreeSet;

/// Successors that a replica notifies: each of them may fail in turn, but not without end.
const MAX_SUCCESSORS: usize = 8;
/// The fraction of the lease in which a watcher may acquire the key before the next in line is notified.
const WATCHER_HEAD_START: u64 = 2;
/// The fraction of the lease after which the next successor is notified.
const SUCCESSOR_INTERVAL: u64 = 4;

impl Replica {
    /// Notifies whoever may continue the request: its watchers, else the next in line of those alive.
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
            let next = ctx.now + ctx.setup.lease / WATCHER_HEAD_START;
            entry.next_succession = needs_successor.then_some(next);
        } else if needs_successor {
            entry.notify_successor(ctx, key, alive);
            entry.next_succession = Some(ctx.now + ctx.setup.lease / SUCCESSOR_INTERVAL);
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

    /// Notifies the next in line that is not the former owner; the former owner if it is alone.
    fn notify_successor(&mut self, ctx: &mut Context, key: Key, alive: &BTreeSet<Peer>) {
        let ranked = rendezvous::ranked(&key.bytes(), alive);
        let others: Vec<&Peer> = ranked
            .iter()
            .copied()
            .filter(|peer| **peer != self.promised.owner)
            .collect();
        let place = self.successors_notified % others.len().max(1);
        self.successors_notified += 1;
        if let Some(successor) = others.get(place).or(ranked.first()) {
            ctx.send(successor, Message::TakeOver { key });
        }
    }
}
