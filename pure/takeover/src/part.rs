//! Replica, owner and successor in one: what comes in is handed to the side that it is for.

use crate::message::{Command, Event, Lease, Message};
use crate::owner::Owner;
use crate::record::Key;
use crate::replica::Replica;
use crate::setup::Setup;
use foldmux_replicas::Effects;
use foldmux_replicas::{rendezvous, Effect, Peer, StateMachine, Time};
use std::collections::BTreeSet;

pub type Out = Vec<Effect<Message, Event>>;

/// The moment, what holds at it, and where wishes go.
pub struct At<'a> {
    pub now: Time,
    pub setup: &'a Setup,
    pub out: &'a mut Out,
}

impl At<'_> {
    pub fn tell(&mut self, told: Event) {
        self.out.push(Effect::Emit(told));
    }

    pub fn send(&mut self, to: &Peer, message: Message) {
        self.out.push(Effect::Send {
            to: to.clone(),
            message,
        });
    }
}

#[derive(Debug)]
pub struct Takeover {
    setup: Setup,
    replica: Replica,
    owner: Owner,
    /// Who may be in line: all that are said to live. Bounded by whoever says so.
    alive: BTreeSet<Peer>,
}

impl Takeover {
    pub fn new(now: Time, setup: Setup) -> Takeover {
        let alive = BTreeSet::from([setup.name.clone()]);
        Takeover {
            replica: Replica::new(now, &setup),
            owner: Owner::new(setup.seed),
            setup,
            alive,
        }
    }

    pub(crate) fn lease_time(&self) -> Time {
        self.setup.lease
    }

    pub(crate) fn replica(&self) -> &Replica {
        &self.replica
    }

    pub(crate) fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    /// Keys that the replica knows, and works that this process owns or waits for.
    pub fn counts(&self) -> (usize, usize) {
        (self.replica.held.len(), self.owner.len())
    }

    /// The lease of a work that this process owns.
    pub fn lease(&self, key: Key) -> Option<&Lease> {
        self.owner.held.get(&key).map(|holding| &holding.lease)
    }

    /// Whether this process's replica votes yet.
    pub fn votes(&self, now: Time) -> bool {
        self.replica.votes(&At {
            now,
            setup: &self.setup,
            out: &mut Vec::new(),
        })
    }
}

/// With leases of its own.
impl Clone for Takeover {
    fn clone(&self) -> Takeover {
        let (setup, replica, alive) =
            (self.setup.clone(), self.replica.clone(), self.alive.clone());
        let mut owner = self.owner.clone();
        owner
            .held
            .values_mut()
            .for_each(|holding| holding.lease = holding.lease.apart());
        Takeover {
            setup,
            replica,
            owner,
            alive,
        }
    }
}

impl StateMachine for Takeover {
    type Message = Message;
    type Command = Command;
    type Event = Event;

    fn on_message(&mut self, now: Time, from: &Peer, message: Message, out: &mut Effects<Self>) {
        let at = &mut At {
            now,
            setup: &self.setup,
            out,
        };
        match message {
            Message::Claim {
                key,
                ballot,
                work,
                left,
            } if ballot.owner == *from => self.replica.claim(at, key, ballot, work, left),
            Message::Note {
                key,
                ballot,
                stamp,
                note,
            } if ballot.owner == *from => self.replica.note(at, key, ballot, stamp, Some(note)),
            Message::Renew { key, ballot, stamp } if ballot.owner == *from => {
                self.replica.note(at, key, ballot, stamp, None)
            }
            Message::Release { key, ballot, over } if ballot.owner == *from => {
                if self.replica.release(at, key, &ballot, over) {
                    let line = rendezvous::ranked(&key.bytes(), &self.alive);
                    self.replica.look(at, key, &line);
                }
            }
            // What another says in an owner's name.
            Message::Claim { .. }
            | Message::Note { .. }
            | Message::Renew { .. }
            | Message::Release { .. } => {}
            Message::Claimed {
                key,
                ballot,
                verdict,
                seen,
                record,
            } => self
                .owner
                .claimed(at, from, key, &ballot, (verdict, seen, record)),
            Message::Noted {
                key,
                ballot,
                stamp,
                verdict,
                version,
            } => self
                .owner
                .noted(at, from, key, &ballot, stamp, (verdict, version)),
            Message::Succeed { key } => self.owner.succeed(at, key),
            Message::Changed { key } => self.owner.changed(at, key),
        }
    }

    fn on_command(&mut self, now: Time, ask: Command, out: &mut Effects<Self>) {
        let at = &mut At {
            now,
            setup: &self.setup,
            out,
        };
        match ask {
            Command::Claim {
                ticket,
                key,
                work,
                left,
                again,
            } => self.owner.join(at, ticket, key, work, left, again),
            Command::Intend {
                ticket,
                key,
                term,
                number,
                group,
            } => self.owner.intend(at, ticket, (key, term), number, group),
            Command::Ended {
                key,
                term,
                number,
                end,
            } => self.owner.ended(at, (key, term), number, end),
            Command::Done {
                ticket,
                key,
                term,
                answer,
            } => self.owner.done(at, ticket, (key, term), answer),
            Command::LetGo { key, term, over } => self.owner.let_go(at, (key, term), over),
            Command::LetGoAll => self.owner.leave(at),
        }
    }

    fn on_peer_status(&mut self, _: Time, peer: &Peer, alive: bool, _: &mut Effects<Self>) {
        match alive {
            true => self.alive.insert(peer.clone()),
            false => *peer != self.setup.name && self.alive.remove(peer),
        };
    }

    fn on_tick(&mut self, now: Time, out: &mut Effects<Self>) {
        let at = &mut At {
            now,
            setup: &self.setup,
            out,
        };
        while let Some(key) = self.replica.timers.pop(now) {
            if self
                .replica
                .held
                .get(&key)
                .is_some_and(|held| held.forget <= now)
            {
                self.replica.forget(key);
                continue;
            }
            let line = rendezvous::ranked(&key.bytes(), &self.alive);
            self.replica.look(at, key, &line);
            self.replica.arm(key);
        }
        while let Some(key) = self.owner.timers.pop(now) {
            self.owner.tick(at, key);
        }
    }

    fn next_tick(&self) -> Option<Time> {
        self.replica
            .timers
            .next()
            .into_iter()
            .chain(self.owner.timers.next())
            .min()
    }
}
