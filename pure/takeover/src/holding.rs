//! One work that this process owns: the record as it last wrote it, what each replica has of it, and until when it may send.

use crate::claim::Claim;
use crate::join::Waiting;
use crate::message::{Lease, Message, Note, Verdict};
use crate::part::At;
use crate::record::{Ballot, Key, Record};
use crate::setup::Fault;
use foldmux_replicas::{HeldLease, Peer, Time};

/// A write that somebody waits for.
#[derive(Clone, Debug)]
pub struct Pending {
    pub ticket: Option<u64>,
    pub version: u32,
    pub intends: bool,
}

#[derive(Clone, Debug)]
pub struct Holding {
    pub ballot: Ballot,
    pub replicas: [Peer; 3],
    /// As this owner last wrote it, right at `at`.
    pub record: Record,
    pub at: Time,
    /// What each replica has of it, whether it has the work, and whether it promised a later owner.
    pub acked: [u32; 3],
    pub has_work: [bool; 3],
    pub refused: [bool; 3],
    /// When the last was sent that a replica said yes to.
    pub stamps: [Option<Time>; 3],
    pub lease: Lease,
    /// Where something may have run: until then it may be repeated.
    pub window: Option<Time>,
    pub pending: Vec<Pending>,
    pub waiters: Vec<Waiting>,
    pub until: Time,
    pub resend: Time,
    pub renews: Time,
}

impl Holding {
    pub fn new(at: &At, claim: &Claim, mut record: Record) -> Holding {
        let granted = |i: usize| {
            claim.replies[i]
                .as_ref()
                .is_some_and(|reply| reply.0 == Verdict::Yes)
        };
        let now = at.now;
        record.ballot = claim.ballot.clone();
        record.version = 0;
        let until = now + record.left;
        Holding {
            ballot: claim.ballot.clone(),
            replicas: claim.replicas.clone(),
            record,
            at: now,
            acked: [0; 3],
            has_work: [0, 1, 2].map(granted),
            refused: [false; 3],
            stamps: [None; 3],
            lease: Lease::default(),
            window: None,
            pending: Vec::new(),
            waiters: Vec::new(),
            until,
            resend: now + at.setup.resend(),
            renews: now + at.setup.lease / 3,
        }
    }

    /// The record as it is now.
    pub fn refresh(&mut self, now: Time) {
        self.record = self.record.aged(now - self.at);
        self.at = now;
    }

    pub fn due(&self) -> Time {
        let resend = if self.acked.iter().any(|v| *v < self.record.version) {
            self.resend
        } else {
            self.renews
        };
        self.waiters
            .iter()
            .map(|w| w.until)
            .chain([self.until, self.renews, resend])
            .min()
            .unwrap_or(self.until)
    }

    /// The lease holds while two replicas' do, and no longer than a repeat is dropped.
    pub fn relet(&mut self, at: &At) {
        let mut stamps = self.stamps;
        stamps.sort();
        let held = |sent| HeldLease::new(sent, at.setup.lease, at.setup.drift).expires_at();
        let until = stamps[1]
            .map_or(0, held)
            .min(self.window.unwrap_or(Time::MAX))
            .min(self.until);
        self.lease.set(if at.setup.planted(Fault::NoLeaseCheck) {
            Time::MAX
        } else {
            until
        });
    }

    pub fn quorum(&self, version: u32) -> usize {
        self.acked.iter().filter(|acked| **acked >= version).count()
    }

    pub fn send(&self, at: &mut At, key: Key, place: usize) {
        let Record {
            version,
            left,
            attempts,
            answer,
            ..
        } = self.record.aged(at.now - self.at);
        let work = (!self.has_work[place]).then(|| self.record.work.clone());
        let note = Note {
            version,
            work,
            left,
            attempts,
            answer,
        };
        let message = Message::Note {
            key,
            ballot: self.ballot.clone(),
            stamp: at.now,
            note,
        };
        at.send(&self.replicas[place], message);
    }

    /// Writes the record as it has become.
    pub fn write(&mut self, at: &mut At, key: Key, pending: Option<Pending>) {
        self.refresh(at.now);
        self.record.version += 1;
        let version = self.record.version;
        self.pending
            .extend(pending.map(|p| Pending { version, ..p }));
        self.resend = at.now + at.setup.resend();
        (0..3)
            .filter(|i| !self.refused[*i])
            .for_each(|i| self.send(at, key, i));
    }

    pub fn renew(&self, at: &mut At, key: Key, place: usize) {
        let message = Message::Renew {
            key,
            ballot: self.ballot.clone(),
            stamp: at.now,
        };
        at.send(&self.replicas[place], message);
    }

    pub fn release(&self, at: &mut At, key: Key, over: bool) {
        self.lease.set(0);
        for replica in &self.replicas {
            at.send(
                replica,
                Message::Release {
                    key,
                    ballot: self.ballot.clone(),
                    over,
                },
            );
        }
    }
}
