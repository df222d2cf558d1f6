//! The state machine: it passes each message, command and timer to its replica or its owner.

use crate::context::Context;
use crate::interface::{Command, Event, Lease};
use crate::messages::{AcquireReply, Message};
use crate::owner::{OwnedKey, Owner, WriteReply};
use crate::record::Key;
use crate::replica::{PersistedEntry, Replica};
use crate::setup::Setup;
use foldmux_replicas::{Effects, Micros, Peer, StateMachine, Time};
use std::collections::BTreeSet;

/// The failover state machine of one process.
#[derive(Debug)]
pub struct Takeover {
    setup: Setup,
    replica: Replica,
    owner: Owner,
    /// The processes that the membership reports alive: successors are chosen from them. The membership bounds their
    /// number.
    alive: BTreeSet<Peer>,
}

impl Takeover {
    /// A state machine whose replica knows no keys.
    pub fn new(now: Time, setup: Setup) -> Takeover {
        Takeover {
            replica: Replica::new(now, &setup),
            owner: Owner::new(setup.seed),
            alive: BTreeSet::from([setup.name.clone()]),
            setup,
        }
    }

    /// A state machine whose replica recovers what the former process of its name persisted, and votes after
    /// `votes_in`.
    pub fn recovered(
        now: Time,
        setup: Setup,
        votes_in: Micros,
        persisted: impl Iterator<Item = (Key, PersistedEntry)>,
    ) -> Takeover {
        let mut takeover = Takeover::new(now, setup);
        takeover.recover(now, votes_in, persisted);
        takeover
    }

    /// Recovers what the former process of this name persisted, for a replica that abstained until now. From then
    /// on [`Takeover::take_changed`] reports what has to be persisted.
    pub fn recover(
        &mut self,
        now: Time,
        votes_in: Micros,
        persisted: impl Iterator<Item = (Key, PersistedEntry)>,
    ) {
        self.replica
            .recover(now, votes_in, self.setup.lease, persisted);
    }

    /// What has changed since the last call, and has to be persisted before a message is sent. Empty where
    /// nothing is persisted.
    pub fn take_changed(&mut self, now: Time) -> Vec<(Key, PersistedEntry)> {
        self.replica.take_changed(now)
    }

    /// Makes [`Takeover::take_changed`] report no more changes.
    pub fn stop_persisting(&mut self) {
        self.replica.stop_persisting();
    }

    /// The replica's whole state, as it is persisted.
    pub fn persisted(&self, now: Time) -> Vec<(Key, PersistedEntry)> {
        self.replica.persisted(now)
    }

    /// Stops the replica from voting until [`Takeover::recover`] is called. For a replica whose promises can't be
    /// persisted any more, or while another process of its name is the replica.
    pub fn stop_voting(&mut self) {
        self.replica.stop_voting();
    }

    /// The number of keys that the replica knows, and of requests that this process owns or acquires.
    pub fn counts(&self) -> (usize, usize) {
        (self.replica.len(), self.owner.len())
    }

    /// The lease of a request that this process owns.
    pub fn lease(&self, key: Key) -> Option<&Lease> {
        self.owner.lease(key)
    }

    /// Whether this process's replica may vote.
    pub fn may_vote(&self, now: Time) -> bool {
        self.replica.may_vote(now, &self.setup)
    }
}

/// The clone's leases are not shared with those of the original.
impl Clone for Takeover {
    fn clone(&self) -> Takeover {
        let mut owner = self.owner.clone();
        owner.detach_leases();
        Takeover {
            setup: self.setup.clone(),
            replica: self.replica.clone(),
            owner,
            alive: self.alive.clone(),
        }
    }
}

impl Takeover {
    /// Whether a message under a ballot is from the owner that the ballot names.
    fn is_authentic(message: &Message, from: &Peer) -> bool {
        match message {
            Message::Acquire { ballot, .. }
            | Message::Write { ballot, .. }
            | Message::Renew { ballot, .. }
            | Message::Release { ballot, .. } => ballot.owner == *from,
            Message::AcquireReply { .. }
            | Message::WriteReply { .. }
            | Message::TakeOver { .. }
            | Message::Changed { .. } => true,
        }
    }
}

impl StateMachine for Takeover {
    type Message = Message;
    type Command = Command;
    type Event = Event;

    fn on_message(
        &mut self,
        now: Time,
        from: &Peer,
        message: Message,
        effects: &mut Effects<Self>,
    ) {
        if !Takeover::is_authentic(&message, from) {
            return;
        }
        let setup = &self.setup;
        let ctx = &mut Context {
            now,
            setup,
            effects,
        };
        match message {
            Message::Acquire {
                key,
                ballot,
                request,
                time_left,
            } => self
                .replica
                .on_acquire(ctx, key, ballot, request, time_left),
            Message::Write {
                key,
                ballot,
                sent_at,
                write,
            } => self
                .replica
                .on_write(ctx, key, ballot, sent_at, Some(write)),
            Message::Renew {
                key,
                ballot,
                sent_at,
            } => self.replica.on_write(ctx, key, ballot, sent_at, None),
            Message::Release {
                key,
                ballot,
                abandoned,
            } => self
                .replica
                .on_release(ctx, key, &ballot, abandoned, &self.alive),
            Message::AcquireReply {
                key,
                ballot,
                verdict,
                promised,
                record,
            } => {
                let reply = AcquireReply {
                    verdict,
                    promised,
                    record,
                };
                self.owner.on_acquire_reply(ctx, from, key, &ballot, reply)
            }
            Message::WriteReply {
                key,
                ballot,
                sent_at,
                verdict,
                version,
            } => {
                let reply = WriteReply {
                    ballot,
                    sent_at,
                    verdict,
                    version,
                };
                self.owner.on_write_reply(ctx, from, key, reply)
            }
            Message::TakeOver { key } => self.owner.on_take_over(ctx, key),
            Message::Changed { key } => self.owner.on_changed(ctx, key),
        }
    }

    fn on_command(&mut self, now: Time, command: Command, effects: &mut Effects<Self>) {
        let setup = &self.setup;
        let ctx = &mut Context {
            now,
            setup,
            effects,
        };
        match command {
            Command::Acquire {
                ticket,
                key,
                request,
                time_left,
                ownership_lost,
            } => self
                .owner
                .acquire(ctx, ticket, key, request, time_left, ownership_lost),
            Command::BeginAttempt {
                ticket,
                key,
                term,
                number,
                group,
            } => {
                let id = OwnedKey { key, term };
                self.owner.begin_attempt(ctx, ticket, id, number, group)
            }
            Command::EndAttempt {
                key,
                term,
                number,
                outcome,
            } => {
                let id = OwnedKey { key, term };
                self.owner.end_attempt(ctx, id, number, outcome)
            }
            Command::Complete {
                ticket,
                key,
                term,
                answer,
            } => {
                let id = OwnedKey { key, term };
                self.owner.complete(ctx, ticket, id, answer)
            }
            Command::Release {
                key,
                term,
                abandoned,
            } => self.owner.release(ctx, OwnedKey { key, term }, abandoned),
            Command::ReleaseAll => self.owner.release_all(ctx),
        }
    }

    fn on_peer_status(&mut self, _: Time, peer: &Peer, alive: bool, _: &mut Effects<Self>) {
        if alive {
            self.alive.insert(peer.clone());
        } else if *peer != self.setup.name {
            self.alive.remove(peer);
        }
    }

    fn on_tick(&mut self, now: Time, effects: &mut Effects<Self>) {
        let setup = &self.setup;
        let ctx = &mut Context {
            now,
            setup,
            effects,
        };
        self.replica.on_tick(ctx, &self.alive);
        self.owner.on_tick(ctx);
    }

    fn next_tick(&self) -> Option<Time> {
        let replica_tick = self.replica.next_tick();
        replica_tick.into_iter().chain(self.owner.next_tick()).min()
    }
}
