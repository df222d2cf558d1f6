//! How a replica replies to an acquisition: it grants the ballot, or rejects it with a reason.

use super::{forget_at, Entry, Replica, MAX_WATCHERS};
use crate::context::Context;
use crate::messages::{AcquireReply, Message, Verdict};
use crate::record::{Ballot, Key, Record, Request};
use crate::setup::Fault;
use foldmux_replicas::{Micros, Time};
use std::sync::Arc;

impl Replica {
    pub fn on_acquire(
        &mut self,
        ctx: &mut Context,
        key: Key,
        ballot: Ballot,
        request: Option<Arc<Request>>,
        time_left: Micros,
    ) {
        let owner = ballot.owner.clone();
        let reply = self.grant(ctx, key, &ballot, request, time_left);
        let message = Message::AcquireReply {
            key,
            ballot,
            verdict: reply.verdict,
            promised: reply.promised,
            record: reply.record,
        };
        ctx.send(&owner, message);
        self.arm(key);
    }

    fn grant(
        &mut self,
        ctx: &Context,
        key: Key,
        ballot: &Ballot,
        request: Option<Arc<Request>>,
        time_left: Micros,
    ) -> AcquireReply {
        if !self.may_vote(ctx.now, ctx.setup) {
            return AcquireReply::without_promise(Verdict::Abstained);
        }
        let class = request.as_ref().map(|request| &*request.class);
        let forget_at = forget_at(ctx, class, time_left);
        let Some(entry) = self.entries.get_mut(&key) else {
            return match request {
                Some(request) => self.grant_new(ctx, key, ballot, request, time_left),
                None => AcquireReply::without_promise(Verdict::Unknown),
            };
        };
        if *ballot == entry.promised {
            return entry.repeat_grant(ctx.now);
        }
        let is_stale = ballot.term <= entry.promised.term;
        let granted_twice =
            ballot.term == entry.promised.term && ctx.setup.planted(Fault::TermGrantedTwice);
        if is_stale && !granted_twice {
            return entry.reject_stale(ctx.now);
        }
        if entry.is_leased(ctx.now) {
            // A successor without a client does not watch the key: it is notified when it is next in line.
            return entry.reject_leased(ctx.now, ballot, request.is_some());
        }
        let reply = entry.promise(ctx, ballot, forget_at);
        self.changed.insert(key);
        reply
    }

    fn grant_new(
        &mut self,
        ctx: &Context,
        key: Key,
        ballot: &Ballot,
        request: Arc<Request>,
        time_left: Micros,
    ) -> AcquireReply {
        let fits = self.bytes + request.bytes() <= ctx.setup.max_record_bytes;
        if !fits || self.entries.len() >= ctx.setup.max_records {
            return AcquireReply::without_promise(Verdict::Full);
        }
        let forget_at = forget_at(ctx, Some(&request.class), time_left);
        let mut record = Record::new(request, time_left);
        if ctx.setup.planted(Fault::SeedOutranks) {
            record.ballot = ballot.clone();
        }
        self.bytes += record.bytes();
        let entry = Entry {
            promised: ballot.clone(),
            released: false,
            abandoned: false,
            lease_expires_at: ctx.now,
            record: Some(record),
            record_as_of: ctx.now,
            watchers: Vec::new(),
            successors_notified: 0,
            next_succession: Some(ctx.now + ctx.setup.lease),
            forget_at,
        };
        self.entries.insert(key, entry);
        self.changed.insert(key);
        AcquireReply {
            verdict: Verdict::Granted,
            promised: ballot.clone(),
            record: None,
        }
    }
}

impl Entry {
    fn is_leased(&self, now: Time) -> bool {
        !self.is_answered() && !self.released && now < self.lease_expires_at
    }

    /// The reply to a delayed or duplicated acquisition under the promised ballot, which is not granted again once
    /// it was released.
    fn repeat_grant(&self, now: Time) -> AcquireReply {
        AcquireReply {
            verdict: match self.released {
                true => Verdict::HigherTerm,
                false => Verdict::Granted,
            },
            promised: self.promised.clone(),
            record: match self.released {
                true => None,
                false => self.record_now(now),
            },
        }
    }

    fn reject_stale(&self, now: Time) -> AcquireReply {
        let is_answered = self.is_answered();
        AcquireReply {
            verdict: Verdict::HigherTerm,
            promised: self.promised.clone(),
            record: is_answered.then(|| self.record_now(now)).flatten(),
        }
    }

    fn reject_leased(&mut self, now: Time, ballot: &Ballot, watches: bool) -> AcquireReply {
        let has_room = self.watchers.len() < MAX_WATCHERS;
        if watches && has_room && !self.watchers.contains(&ballot.owner) {
            self.watchers.push(ballot.owner.clone());
        }
        AcquireReply {
            verdict: Verdict::Leased {
                time_left: self.lease_expires_at - now,
            },
            promised: self.promised.clone(),
            record: None,
        }
    }

    fn promise(&mut self, ctx: &Context, ballot: &Ballot, forget_at: Time) -> AcquireReply {
        let is_answered = self.is_answered();
        self.promised = ballot.clone();
        self.released = false;
        self.abandoned = false;
        // A grant alone starts no lease. A successor is due all the same, as the new owner may die before it writes.
        self.lease_expires_at = ctx.now;
        self.next_succession = (!is_answered).then_some(ctx.now + ctx.setup.lease);
        if !is_answered {
            self.forget_at = self.forget_at.max(forget_at);
        }
        self.watchers.retain(|watcher| *watcher != ballot.owner);
        AcquireReply {
            verdict: Verdict::Granted,
            promised: ballot.clone(),
            record: self.record_now(ctx.now),
        }
    }
}
