//! One request that this process owns: the record as last written, which version each replica has acknowledged,
//! and until when attempts may be sent.

use crate::acquisition::Acquisition;
use crate::context::Context;
use crate::interface::{Event, Lease};
use crate::messages::{Message, RecordWrite, Verdict};
use crate::policy::Repeatability;
use crate::record::{Ballot, Key, Proof, Record};
use crate::setup::Fault;
use crate::waiter::Waiter;
use foldmux_replicas::{HeldLease, Peer, Time};

/// The owner renews its lease this many times per lease.
const RENEWALS_PER_LEASE: u64 = 3;
/// The indices of a key's replicas.
const REPLICA_INDICES: std::ops::Range<usize> = 0..3;

/// What a write is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteKind {
    /// An attempt is about to be sent.
    Attempt,
    /// The final answer.
    Answer,
}

/// Who waits for a write to be committed.
#[derive(Clone, Debug)]
pub struct WriteWaiter {
    pub ticket: Option<u64>,
    pub kind: WriteKind,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    version: u32,
    waiter: WriteWaiter,
}

/// A request that this process owns.
#[derive(Clone, Debug)]
pub struct OwnedRequest {
    pub ballot: Ballot,
    replicas: [Peer; 3],
    /// As last written. Its spans are as of `record_as_of`.
    pub record: Record,
    record_as_of: Time,
    /// The version that each replica has acknowledged.
    acknowledged: [u32; 3],
    has_request: [bool; 3],
    /// Replicas that accept no more writes of this owner.
    rejected: [bool; 3],
    /// When the last message was sent that each replica has accepted.
    accepted_sent_at: [Option<Time>; 3],
    pub lease: Lease,
    /// If an attempt may have run: until when the request may be repeated.
    pub repeatable_until: Option<Time>,
    pending: Vec<PendingWrite>,
    pub waiters: Vec<Waiter>,
    pub deadline: Time,
    resend_at: Time,
    renew_at: Time,
}

impl OwnedRequest {
    /// Takes over the record from the acquisition that won the key.
    pub fn new(ctx: &Context, acquisition: &Acquisition, mut record: Record) -> OwnedRequest {
        let has_request = acquisition.replies.each_ref().map(|reply| {
            reply
                .as_ref()
                .is_some_and(|reply| reply.verdict == Verdict::Granted)
        });
        record.ballot = acquisition.ballot.clone();
        record.version = 0;
        let deadline = ctx.now + record.time_left;
        OwnedRequest {
            ballot: acquisition.ballot.clone(),
            replicas: acquisition.replicas.clone(),
            record,
            record_as_of: ctx.now,
            acknowledged: [0; 3],
            has_request,
            rejected: [false; 3],
            accepted_sent_at: [None; 3],
            lease: Lease::default(),
            repeatable_until: None,
            pending: Vec::new(),
            waiters: Vec::new(),
            deadline,
            resend_at: ctx.now + ctx.setup.resend_interval(),
            renew_at: ctx.now + ctx.setup.lease / RENEWALS_PER_LEASE,
        }
    }

    /// Ages the record to the present.
    pub fn refresh(&mut self, now: Time) {
        self.record = self.record.aged(now - self.record_as_of);
        self.record_as_of = now;
    }

    /// What the record proves, by the policy of its class.
    pub fn proof(&self, ctx: &Context) -> Proof {
        let policy = ctx.setup.policies.get(&self.record.request.class);
        let repeatability = policy.map_or(Repeatability::SingleShot, |policy| policy.repeatability);
        self.record.proof(repeatability)
    }

    pub fn index_of(&self, peer: &Peer) -> Option<usize> {
        self.replicas.iter().position(|replica| replica == peer)
    }

    pub fn due(&self) -> Time {
        let write_due = match self.is_behind() {
            true => self.resend_at,
            false => self.renew_at,
        };
        self.waiters
            .iter()
            .map(|waiter| waiter.deadline)
            .fold(self.deadline.min(self.renew_at).min(write_due), Time::min)
    }

    fn is_behind(&self) -> bool {
        let version = self.record.version;
        self.acknowledged
            .iter()
            .any(|acknowledged| *acknowledged < version)
    }

    /// Sets until when attempts may be sent: while the lease is valid at two replicas, and neither the time for
    /// repeats nor the deadline has passed.
    pub fn update_lease(&self, ctx: &Context) {
        let mut sent_at = self.accepted_sent_at;
        sent_at.sort();
        // The second latest: two replicas have accepted a message sent then or later.
        let quorum_sent_at = sent_at[1];
        let expires_at = quorum_sent_at.map_or(0, |sent_at| {
            HeldLease::new(sent_at, ctx.setup.lease, ctx.setup.drift).expires_at()
        });
        let expires_at = expires_at
            .min(self.repeatable_until.unwrap_or(Time::MAX))
            .min(self.deadline);
        match ctx.setup.planted(Fault::NoLeaseCheck) {
            true => self.lease.set(Time::MAX),
            false => self.lease.set(expires_at),
        }
    }

    /// Notes that a replica has accepted a message that this owner sent at `sent_at`.
    pub fn accepted(&mut self, ctx: &Context, index: usize, sent_at: Time, version: u32) {
        let sent_at = match ctx.setup.planted(Fault::LeaseFromReply) {
            true => ctx.now,
            false => sent_at.min(ctx.now),
        };
        self.accepted_sent_at[index] = self.accepted_sent_at[index].max(Some(sent_at));
        self.acknowledged[index] = self.acknowledged[index].max(version);
        self.has_request[index] = true;
        self.update_lease(ctx);
    }

    /// Notes that a replica accepts no more writes. Returns whether that leaves no quorum.
    pub fn rejected(&mut self, index: usize) -> bool {
        self.rejected[index] = true;
        self.rejected.iter().filter(|rejected| **rejected).count() >= 2
    }

    /// Handles a grant that arrived after a quorum had granted: the lease is renewed at this replica, too.
    pub fn late_grant(&mut self, ctx: &mut Context, key: Key, index: usize) {
        self.has_request[index] = true;
        self.renew(ctx, key, index);
    }

    /// Handles a replica that doesn't know the request: it is sent the acquisition again, with the request.
    pub fn reintroduce(&mut self, ctx: &mut Context, key: Key, index: usize) {
        self.has_request[index] = false;
        let message = Message::Acquire {
            key,
            ballot: self.ballot.clone(),
            request: Some(self.record.request.clone()),
            time_left: self.deadline.saturating_sub(ctx.now),
        };
        ctx.send(&self.replicas[index], message);
    }

    fn send_record(&self, ctx: &mut Context, key: Key, index: usize) {
        let record = self.record.aged(ctx.now - self.record_as_of);
        let write = RecordWrite {
            version: record.version,
            request: (!self.has_request[index]).then_some(record.request),
            time_left: record.time_left,
            attempts: record.attempts,
            answer: record.answer,
        };
        let message = Message::Write {
            key,
            ballot: self.ballot.clone(),
            sent_at: ctx.now,
            write,
        };
        ctx.send(&self.replicas[index], message);
    }

    /// Writes the present record to all replicas, as a new version.
    pub fn write(&mut self, ctx: &mut Context, key: Key, waiter: Option<WriteWaiter>) {
        self.refresh(ctx.now);
        self.record.version += 1;
        let version = self.record.version;
        self.pending
            .extend(waiter.map(|waiter| PendingWrite { version, waiter }));
        self.resend_at = ctx.now + ctx.setup.resend_interval();
        for index in REPLICA_INDICES.filter(|index| !self.rejected[*index]) {
            self.send_record(ctx, key, index);
        }
    }

    fn renew(&self, ctx: &mut Context, key: Key, index: usize) {
        let message = Message::Renew {
            key,
            ballot: self.ballot.clone(),
            sent_at: ctx.now,
        };
        ctx.send(&self.replicas[index], message);
    }

    /// Renews the lease at all replicas.
    pub fn renew_all(&self, ctx: &mut Context, key: Key) {
        REPLICA_INDICES.for_each(|index| self.renew(ctx, key, index));
    }

    /// Resends the record to replicas that lack it, and renews the lease, where these are due.
    pub fn refresh_replicas(&mut self, ctx: &mut Context, key: Key) {
        if self.is_behind() && self.resend_at <= ctx.now {
            self.resend_at = ctx.now + ctx.setup.resend_interval();
            let version = self.record.version;
            let lacks_record =
                |index: &usize| !self.rejected[*index] && self.acknowledged[*index] < version;
            for index in REPLICA_INDICES.filter(lacks_record) {
                self.send_record(ctx, key, index);
            }
        }
        if self.renew_at <= ctx.now {
            self.renew_at = ctx.now + ctx.setup.lease / RENEWALS_PER_LEASE;
            for index in REPLICA_INDICES.filter(|index| !self.rejected[*index]) {
                self.renew(ctx, key, index);
            }
        }
    }

    /// Revokes the lease, and releases the key at the replicas.
    pub fn release(&self, ctx: &mut Context, key: Key, abandoned: bool) {
        self.lease.revoke();
        for replica in &self.replicas {
            let message = Message::Release {
                key,
                ballot: self.ballot.clone(),
                abandoned,
            };
            ctx.send(replica, message);
        }
    }

    /// Answers the writes that a quorum has stored. Returns whether the final answer is one of them.
    pub fn commit_writes(&mut self, ctx: &mut Context) -> bool {
        let mut answered = false;
        let acknowledged = self.acknowledged;
        self.pending.retain(|pending| {
            let is_attempt = pending.waiter.kind == WriteKind::Attempt;
            let one_is_enough = is_attempt && ctx.setup.planted(Fault::BeginAtOneReplica);
            let quorum = if one_is_enough { 1 } else { 2 };
            let stored = acknowledged
                .iter()
                .filter(|version| **version >= pending.version)
                .count();
            if stored < quorum {
                return true;
            }
            answered |= !is_attempt;
            if let Some(ticket) = pending.waiter.ticket {
                ctx.emit(Event::Committed { ticket });
            }
            false
        });
        answered
    }

    /// Answers all pending writes: this owner won't commit them.
    pub fn fail_writes(&mut self, ctx: &mut Context) {
        for pending in self.pending.drain(..) {
            if let Some(ticket) = pending.waiter.ticket {
                ctx.emit(Event::OwnershipLost { ticket });
            }
        }
    }
}
