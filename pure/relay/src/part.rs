//! The part itself: streams, each with its source, its levels from the site inwards, and the readers of this process.

use crate::context::Shared;
use crate::election::{Candidates, Grants};
use crate::follow::Follower;
use crate::messages::Message;
use crate::readers::Readers;
use crate::role::Role;
use crate::source::Source;
use crate::types::*;
use foldmux_replicas::{Effect, Effects, Peer, StateMachine, Time};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A place on the way in: the branch, as one that is fed by it, and as its relay.
pub(crate) struct Level {
    pub branch: Branch,
    pub follower: Follower,
    pub role: Role,
}

pub(crate) struct Flow {
    pub stream: Stream,
    pub source: Source,
    /// The site first; the last is where this process stands.
    pub levels: Vec<Level>,
    pub readers: Readers<u64>,
    pub pumped: Option<Place>,
}

pub struct Relay {
    pub(crate) shared: Shared,
    pub(crate) flows: Vec<Flow>,
    /// The flow of each reader.
    pub(crate) by_reader: BTreeMap<u64, usize>,
    grants: Grants,
    /// Branches that the file names anywhere: a seat grants no others.
    known: BTreeMap<Arc<str>, ()>,
}

/// `helsinki/hub1/office3` for the three names.
fn joined(names: &[Arc<str>]) -> Arc<str> {
    names
        .iter()
        .map(|name| &**name)
        .collect::<Vec<_>>()
        .join("/")
        .into()
}

impl Relay {
    pub fn new(setup: Setup, now: Time) -> Relay {
        let own: Vec<Arc<str>> = setup
            .places
            .iter()
            .find(|(peer, _)| *peer == setup.me)
            .map(|(_, p)| p.clone())
            .unwrap_or_default();
        let all = setup
            .places
            .iter()
            .flat_map(|(_, place)| (1..=place.len()).map(|n| joined(&place[..n])));
        let known = all.map(|place| (place, ())).collect();
        let level = |stream: &Stream, depth: usize| {
            let place = &own[..depth];
            let branch = Branch {
                stream: stream.name.clone(),
                place: joined(place),
            };
            let inside = setup
                .places
                .iter()
                .filter(|(_, other)| other.starts_with(place));
            let candidates = Candidates::new(&branch, inside.map(|(peer, _)| peer));
            let follower = Follower::new(stream, branch.clone(), candidates);
            Level {
                role: Role::new(stream, branch.clone(), setup.fed),
                follower,
                branch,
            }
        };
        let flow = |stream: &Stream| Flow {
            source: Source::new(stream, now),
            levels: (1..=own.len()).map(|depth| level(stream, depth)).collect(),
            readers: Readers::new(setup.readers),
            stream: stream.clone(),
            pumped: None,
        };
        Relay {
            flows: setup.streams.iter().map(flow).collect(),
            by_reader: BTreeMap::new(),
            grants: Grants::new(now, setup.lease, setup.drift),
            known,
            shared: Shared::new(setup),
        }
    }

    pub(crate) fn flow(&self, name: &str) -> Option<usize> {
        self.flows
            .iter()
            .position(|flow| &*flow.stream.name == name)
    }

    /// Its streams' place in the tree, for this process's branches.
    fn level(&self, branch: &Branch) -> Option<(usize, usize)> {
        let flow = self.flow(&branch.stream)?;
        let level = self.flows[flow]
            .levels
            .iter()
            .position(|level| level.branch == *branch)?;
        Some((flow, level))
    }

    fn seat(&mut self, now: Time, from: &Peer, message: &Message) -> bool {
        match message {
            Message::Claim {
                branch,
                asked,
                lease,
            } => {
                let known =
                    self.flow(&branch.stream).is_some() && self.known.contains_key(&branch.place);
                let lease = (*lease).min(self.shared.setup.lease);
                if !known
                    || !self
                        .shared
                        .setup
                        .replicas
                        .is_replica(&branch.key(), &self.shared.setup.me)
                {
                    return true;
                }
                if let Some(other) = self.grants.claim(now, from, branch, lease) {
                    let (branch, asked) = (branch.clone(), *asked);
                    self.shared.send(
                        from,
                        Message::Granted {
                            branch,
                            asked,
                            other,
                        },
                    );
                }
                true
            }
            Message::LetGo { branch } => {
                self.grants.let_go(from, branch);
                true
            }
            _ => false,
        }
    }

    fn hear(&mut self, now: Time, from: &Peer, message: Message) -> Option<()> {
        let (f, l) = self.level(message.branch())?;
        let Level { follower, role, .. } = &mut self.flows[f].levels[l];
        let shared = &mut self.shared;
        match message {
            Message::Claim { .. } | Message::LetGo { .. } => {}
            Message::Granted { asked, other, .. } => {
                role.granted(now, from, asked, other, &follower.candidates, shared);
            }
            Message::Join {
                nonce,
                place,
                late,
                last,
                ..
            } => {
                role.join(
                    now,
                    from,
                    nonce,
                    place,
                    (late, last),
                    &follower.candidates,
                    shared,
                );
            }
            Message::Leave { nonce, .. } => role.leave(now, from, nonce),
            Message::Late { .. } => role.was_late(now, from, &follower.candidates, shared),
            Message::Taken { nonce, told, .. } => {
                if role.taken(now, from, nonce, told, shared) {
                    self.pump_one(now, f, l, from);
                }
                return None;
            }
            Message::News {
                nonce,
                first,
                events,
                ..
            } => follower.news(now, from, nonce, first, events, shared),
            Message::Beat { nonce, told, .. } => {
                let (place, fed) = (follower.place(), follower.fed());
                follower.beaten(now, from, nonce, told, shared);
                if (place, fed) == (follower.place(), follower.fed())
                    && !self.flows[f].source.open()
                {
                    return None;
                }
            }
            Message::Elsewhere { nonce, to, .. } => {
                follower.elsewhere(now, from, nonce, to, shared)
            }
        }
        Some(())
    }

    /// Entries of all tables that grow with readers and those that are fed.
    pub fn entries(&self) -> usize {
        let flow = |flow: &Flow| {
            let levels = flow
                .levels
                .iter()
                .map(|l| l.role.feeds() + usize::from(l.role.open()));
            flow.readers.len() + usize::from(flow.source.open()) + levels.sum::<usize>()
        };
        self.by_reader.len() + self.grants.len() + self.flows.iter().map(flow).sum::<usize>()
    }

    /// Whether this process relays a stream anywhere, by lease.
    pub fn relays(&self, now: Time, stream: &str) -> bool {
        let flows = self
            .flows
            .iter()
            .filter(|flow| &*flow.stream.name == stream);
        flows
            .flat_map(|flow| &flow.levels)
            .any(|level| level.role.holds(now))
    }
}

impl StateMachine for Relay {
    type Message = Message;
    type Command = Ask;
    type Event = Told;

    fn on_message(&mut self, now: Time, from: &Peer, message: Message, out: &mut Effects<Self>) {
        if !self.seat(now, from, &message) {
            let flow = self.flow(&message.branch().stream);
            if let (Some(()), Some(f)) = (self.hear(now, from, message), flow) {
                self.settle(now, f);
            }
        }
        out.append(&mut self.shared.out);
    }

    fn on_command(&mut self, now: Time, ask: Ask, out: &mut Effects<Self>) {
        if let Some(f) = self.asked(now, ask) {
            self.settle(now, f);
        }
        out.append(&mut self.shared.out);
    }

    fn on_peer_status(&mut self, now: Time, peer: &Peer, alive: bool, out: &mut Effects<Self>) {
        if alive {
            self.shared.dead.remove(peer);
        } else if self
            .shared
            .setup
            .places
            .iter()
            .any(|(named, _)| named == peer)
        {
            self.shared.dead.insert(peer.clone(), ());
            for f in 0..self.flows.len() {
                for level in &mut self.flows[f].levels {
                    level.follower.gone(now, peer, &mut self.shared);
                }
                self.settle(now, f);
            }
        }
        out.append(&mut self.shared.out);
    }

    fn on_tick(&mut self, now: Time, out: &mut Effects<Self>) {
        self.grants.sweep(now);
        for f in 0..self.flows.len() {
            self.tick_flow(now, f);
        }
        out.append(&mut self.shared.out);
    }

    fn next_tick(&self) -> Option<Time> {
        let levels = self.flows.iter().flat_map(|flow| &flow.levels);
        levels
            .flat_map(|level| [level.follower.due(), level.role.due()])
            .flatten()
            .min()
    }
}

/// What the part wants done, by its own words.
pub type Act = Effect<Message, Told>;
