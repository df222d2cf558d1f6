//! The rounds of an acquisition, and their outcomes.

use super::Owner;
use crate::acquisition::Acquisition;
use crate::context::Context;
use crate::interface::Event;
use crate::messages::{AcquireReply, Verdict};
use crate::owned::OwnedRequest;
use crate::record::{Ballot, Key, Record};
use crate::setup::Fault;
use crate::waiter;
use foldmux_replicas::{Peer, Time};

/// A round that only its last reply can decide waits for it at least `resend interval / LAST_REPLY_DIVISOR`; its
/// replica may be dead.
const LAST_REPLY_DIVISOR: u64 = 5;

impl Owner {
    pub(super) fn start_round(&mut self, ctx: &mut Context, key: Key) {
        if let Some(acquisition) = self.acquisitions.get_mut(&key) {
            acquisition.start_round(ctx, key);
            self.arm(key);
        }
    }

    pub fn on_acquire_reply(
        &mut self,
        ctx: &mut Context,
        from: &Peer,
        key: Key,
        ballot: &Ballot,
        reply: AcquireReply,
    ) {
        if ballot.owner != ctx.setup.name || ballot.session != ctx.setup.session {
            return;
        }
        let owned = self.owned.get(&key);
        if owned.is_some_and(|owned| owned.ballot == *ballot) {
            return self.on_late_reply(ctx, from, key, reply.verdict);
        }
        let Some(acquisition) = self.acquisitions.get_mut(&key) else {
            return;
        };
        let in_round = acquisition.ballot == *ballot && acquisition.sent_at.is_some();
        if in_round && acquisition.receive(from, reply) {
            self.evaluate_round(ctx, key);
            self.arm(key);
        }
    }

    fn evaluate_round(&mut self, ctx: &mut Context, key: Key) {
        let Some(acquisition) = self.acquisitions.get_mut(&key) else {
            return;
        };
        let quorum = match ctx.setup.planted(Fault::OneGrantIsEnough) {
            true => 1,
            false => 2,
        };
        let (grants, missing) = (acquisition.grants(), acquisition.missing());
        if let Some(answer) = acquisition.committed_answer() {
            for waiter in &acquisition.waiters {
                ctx.emit(Event::Answered {
                    ticket: waiter.ticket,
                    answer: answer.clone(),
                });
            }
            self.acquisitions.remove(&key);
        } else if grants >= quorum {
            if let Some(acquisition) = self.acquisitions.remove(&key) {
                self.become_owner(ctx, key, acquisition);
            }
        } else if grants + missing < 2 {
            self.end_lost_round(ctx, key);
        } else if missing == 1 {
            let lease_left = acquisition.lease_time_left().unwrap_or(0);
            let patience = ctx.setup.resend_interval() / LAST_REPLY_DIVISOR;
            let round_end = ctx.now + lease_left.max(patience);
            acquisition.next_at = acquisition.next_at.min(round_end);
        }
    }

    /// Ends a round that can't be won or has timed out. The next one starts after a pause, unless the acquisition
    /// ends, too.
    fn end_lost_round(&mut self, ctx: &mut Context, key: Key) {
        let backoff = self.draw_backoff(ctx.setup.resend_interval()) + 1;
        let Some(acquisition) = self.acquisitions.get_mut(&key) else {
            return;
        };
        let gives_up =
            !acquisition.key_known && ctx.now >= acquisition.started_at + ctx.setup.lease;
        if acquisition.no_quorum_can_hold() || gives_up {
            return self.abandon_acquisition(ctx, key);
        }
        let lease_left = acquisition.lease_time_left();
        if lease_left.is_some() {
            for waiter in &mut acquisition.waiters {
                waiter.join(ctx);
            }
            if acquisition.waiters.is_empty() {
                // Another process owns the request, and no client waits here.
                self.acquisitions.remove(&key);
                return;
            }
        }
        let pause = lease_left.map_or(0, |left| left.min(ctx.setup.lease));
        acquisition.sent_at = None;
        acquisition.next_at = ctx.now + pause + backoff;
    }

    fn abandon_acquisition(&mut self, ctx: &mut Context, key: Key) {
        let Some(acquisition) = self.acquisitions.remove(&key) else {
            return;
        };
        let class = acquisition.request.as_ref().map(|request| &*request.class);
        for waiter in &acquisition.waiters {
            waiter::answer_unreplicated(ctx, waiter.ticket, class, acquisition.key_known);
        }
    }

    pub(super) fn tick_acquisition(&mut self, ctx: &mut Context, key: Key) {
        let Some(acquisition) = self.acquisitions.get_mut(&key) else {
            return;
        };
        waiter::expire(ctx, &mut acquisition.waiters, acquisition.key_known);
        let is_over = |until: Time| until <= ctx.now;
        if acquisition.waiters.is_empty() && acquisition.successor_until.is_none_or(is_over) {
            self.acquisitions.remove(&key);
        } else if acquisition.next_at <= ctx.now {
            match acquisition.sent_at {
                Some(_) => self.end_lost_round(ctx, key),
                None => self.start_round(ctx, key),
            }
        }
    }

    /// A quorum has granted the key: this process continues the record that was written last.
    fn become_owner(&mut self, ctx: &mut Context, key: Key, acquisition: Acquisition) {
        let Some(mut record) = latest_record(&acquisition) else {
            return;
        };
        for other in acquisition.records() {
            record.raise_ages(&other.attempts);
        }
        if ctx.setup.planted(Fault::SuccessorForgets) {
            record.attempts.clear();
        }
        if ctx.setup.planted(Fault::AgeFromArrival) {
            for attempt in &mut record.attempts {
                attempt.age = 0;
            }
        }
        // The ages held when the replicas replied, which was after the round was sent.
        let sent_at = acquisition.sent_at.unwrap_or(ctx.now);
        let deadline = acquisition
            .waiters
            .iter()
            .map(|waiter| waiter.deadline)
            .max();
        let time_left = deadline.map_or(record.time_left, |deadline| {
            deadline.saturating_sub(ctx.now)
        });
        record = record.aged(ctx.now - sent_at);
        record.time_left = time_left;
        let owned = OwnedRequest::new(ctx, &acquisition, record);
        self.owned.insert(key, owned);
        self.resume(ctx, key, acquisition.waiters);
    }

    /// Handles the reply to a ballot that a quorum had already granted, or to an acquisition that was sent again.
    fn on_late_reply(&mut self, ctx: &mut Context, from: &Peer, key: Key, verdict: Verdict) {
        let Some(owned) = self.owned.get_mut(&key) else {
            return;
        };
        if let (Some(index), Verdict::Granted) = (owned.index_of(from), verdict) {
            owned.late_grant(ctx, key, index);
        }
    }
}

/// The record that was written last, else that of the request itself.
fn latest_record(acquisition: &Acquisition) -> Option<Record> {
    acquisition
        .records()
        .max_by_key(|record| record.write_order())
        .cloned()
        .or_else(|| Some(Record::new(acquisition.request.clone()?, 0)))
}
