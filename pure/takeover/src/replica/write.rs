//! How a replica handles an owner's writes, renewals and releases.

use super::{forget_at, Replica};
use crate::context::Context;
use crate::messages::{Message, RecordWrite, Verdict};
use crate::record::{Ballot, Key, Record};
use crate::setup::Fault;
use foldmux_replicas::{Peer, Time};
use std::collections::BTreeSet;

impl Replica {
    /// Handles a write, or a renewal if there is nothing to write.
    pub fn on_write(
        &mut self,
        ctx: &mut Context,
        key: Key,
        ballot: Ballot,
        sent_at: Time,
        write: Option<RecordWrite>,
    ) {
        let (verdict, version) = match (self.may_vote(ctx.now, ctx.setup), write) {
            (false, _) => (Verdict::Abstained, 0),
            (true, Some(write)) => self.accept_write(ctx, key, &ballot, write),
            (true, None) => self.accept_renewal(ctx, key, &ballot),
        };
        let owner = ballot.owner.clone();
        let message = Message::WriteReply {
            key,
            ballot,
            sent_at,
            verdict,
            version,
        };
        ctx.send(&owner, message);
        self.arm(key);
    }

    /// Returns the verdict, and the version that is held under the ballot.
    fn accept_renewal(&mut self, ctx: &Context, key: Key, ballot: &Ballot) -> (Verdict, u32) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return (Verdict::Unknown, 0);
        };
        if *ballot < entry.promised {
            return (Verdict::HigherTerm, 0);
        }
        let version = entry.version_under(ballot);
        if *ballot != entry.promised || entry.released {
            return (Verdict::HigherTerm, version);
        }
        entry.lease_expires_at = ctx.now + ctx.setup.lease;
        if entry.next_succession.is_some() {
            entry.next_succession = Some(entry.lease_expires_at);
        }
        (Verdict::Granted, version)
    }

    /// Returns the verdict, and the version that is held under the ballot.
    fn accept_write(
        &mut self,
        ctx: &mut Context,
        key: Key,
        ballot: &Ballot,
        write: RecordWrite,
    ) -> (Verdict, u32) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return (Verdict::Unknown, 0);
        };
        if *ballot < entry.promised && !ctx.setup.planted(Fault::StaleWriteAccepted) {
            return (Verdict::HigherTerm, 0);
        }
        let held_version = entry.version_under(ballot);
        if *ballot > entry.promised {
            // A quorum of other replicas has granted this ballot, so no other owner's lease is valid.
            entry.promised = ballot.clone();
            entry.released = false;
            entry.abandoned = false;
            self.changed.insert(key);
        }
        let written_version = write.version;
        if written_version > held_version {
            if let Err(verdict) = self.store(ctx, key, ballot, write) {
                return (verdict, held_version);
            }
        }
        self.after_write(ctx, key);
        (Verdict::Granted, held_version.max(written_version))
    }

    fn store(
        &mut self,
        ctx: &Context,
        key: Key,
        ballot: &Ballot,
        write: RecordWrite,
    ) -> Result<(), Verdict> {
        let entry = self.entries.get_mut(&key).ok_or(Verdict::Unknown)?;
        let held = entry.record.as_ref();
        let held_request = || held.map(|record| record.request.clone());
        let request = write
            .request
            .or_else(held_request)
            .ok_or(Verdict::Unknown)?;
        let mut record = Record {
            ballot: ballot.clone(),
            version: write.version,
            request,
            time_left: write.time_left,
            attempts: write.attempts,
            answer: write.answer,
        };
        if let Some(held) = entry.record_now(ctx.now) {
            record.raise_ages(&held.attempts);
        }
        let bytes = self.bytes - entry.bytes() + record.bytes();
        if bytes > ctx.setup.max_record_bytes && record.bytes() > entry.bytes() {
            return Err(Verdict::Full);
        }
        self.bytes = bytes;
        let forget_at = forget_at(ctx, Some(&record.request.class), record.time_left);
        entry.forget_at = entry.forget_at.max(forget_at);
        entry.record = Some(record);
        entry.record_as_of = ctx.now;
        self.changed.insert(key);
        Ok(())
    }

    /// Notifies the watchers of an answer, else extends the owner's lease.
    fn after_write(&mut self, ctx: &mut Context, key: Key) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if entry.is_answered() {
            entry.next_succession = None;
            entry.notify_watchers(ctx, key);
        } else if !entry.released {
            entry.lease_expires_at = ctx.now + ctx.setup.lease;
            entry.next_succession = Some(entry.lease_expires_at);
        }
    }

    pub fn on_release(
        &mut self,
        ctx: &mut Context,
        key: Key,
        ballot: &Ballot,
        abandoned: bool,
        alive: &BTreeSet<Peer>,
    ) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if entry.promised != *ballot || entry.released {
            return;
        }
        entry.released = true;
        entry.abandoned = abandoned;
        entry.lease_expires_at = ctx.now;
        entry.next_succession = (!entry.is_answered()).then_some(ctx.now);
        self.changed.insert(key);
        self.arm(key);
        self.find_successor(ctx, key, alive);
    }
}

impl super::Entry {
    fn version_under(&self, ballot: &Ballot) -> u32 {
        let record = self.record.as_ref();
        record
            .filter(|record| record.ballot == *ballot)
            .map_or(0, |record| record.version)
    }
}
