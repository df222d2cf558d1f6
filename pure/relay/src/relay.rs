//! The state machine: its streams, each with a source, the levels from the site inward, and the readers of
//! this process.

use crate::branch_relay::BranchRelay;
use crate::context::Context;
use crate::election::{Candidates, Grants};
use crate::follower::Follower;
use crate::messages::Message;
use crate::readers::Readers;
use crate::source::Source;
use crate::types::*;
use foldmux_replicas::{Effect, Effects, Peer, StateMachine, Time};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A level of the tree: its branch, and this process as a follower and as the relay of that branch.
pub(crate) struct Level {
    pub branch: Branch,
    pub follower: Follower,
    pub relay: BranchRelay,
}

pub(crate) struct StreamState {
    pub config: StreamConfig,
    pub source: Source,
    /// The branches that this process is part of: the site first, its own location last.
    pub levels: Vec<Level>,
    pub readers: Readers<u64>,
    /// The position of the innermost ring up to which the readers were sent events.
    pub sent_position: Option<Position>,
}

/// The relay state machine of a process: it relays branches to other processes, follows others' relays,
/// serves the readers of the process, and grants leases as a replica.
pub struct Relay {
    pub(crate) ctx: Context,
    pub(crate) streams: Vec<StreamState>,
    /// The index of each reader's stream.
    pub(crate) reader_streams: BTreeMap<u64, usize>,
    grants: Grants,
    /// All locations of the configuration. A replica grants leases on no others.
    locations: BTreeMap<Arc<str>, ()>,
}

/// The path of a location, such as `helsinki/hub1/office3`.
fn location_path(names: &[Arc<str>]) -> Arc<str> {
    names
        .iter()
        .map(|name| &**name)
        .collect::<Vec<_>>()
        .join("/")
        .into()
}

impl Relay {
    pub fn new(config: RelayConfig, now: Time) -> Relay {
        let own_location: Vec<Arc<str>> = config
            .locations
            .iter()
            .find(|(peer, _)| *peer == config.own)
            .map(|(_, p)| p.clone())
            .unwrap_or_default();
        let paths = config
            .locations
            .iter()
            .flat_map(|(_, location)| (1..=location.len()).map(|n| location_path(&location[..n])));
        let locations = paths.map(|path| (path, ())).collect();
        let level = |stream: &StreamConfig, depth: usize| {
            let location = &own_location[..depth];
            let branch = Branch {
                stream: stream.name.clone(),
                location: location_path(location),
            };
            let members = config
                .locations
                .iter()
                .filter(|(_, other)| other.starts_with(location));
            let candidates = Candidates::new(&branch, members.map(|(peer, _)| peer));
            let follower = Follower::new(stream, branch.clone(), candidates);
            Level {
                relay: BranchRelay::new(stream, branch.clone(), config.max_followers),
                follower,
                branch,
            }
        };
        let state = |stream: &StreamConfig| StreamState {
            source: Source::new(stream, now),
            levels: (1..=own_location.len())
                .map(|depth| level(stream, depth))
                .collect(),
            readers: Readers::new(config.max_readers),
            config: stream.clone(),
            sent_position: None,
        };
        Relay {
            streams: config.streams.iter().map(state).collect(),
            reader_streams: BTreeMap::new(),
            grants: Grants::new(now, config.lease, config.drift),
            locations,
            ctx: Context::new(config),
        }
    }

    pub(crate) fn stream_index(&self, name: &str) -> Option<usize> {
        self.streams
            .iter()
            .position(|stream| &*stream.config.name == name)
    }

    /// The indexes of the stream and the level of a branch, if this process is part of the branch.
    fn level_index(&self, branch: &Branch) -> Option<(usize, usize)> {
        let stream = self.stream_index(&branch.stream)?;
        let level = self.streams[stream]
            .levels
            .iter()
            .position(|level| level.branch == *branch)?;
        Some((stream, level))
    }

    /// Handles a message to this process as a replica. Returns `false` for other messages.
    fn on_replica_message(&mut self, now: Time, from: &Peer, message: &Message) -> bool {
        match message {
            Message::Claim {
                branch,
                request,
                lease,
            } => {
                let known = self.stream_index(&branch.stream).is_some()
                    && self.locations.contains_key(&branch.location);
                let lease = (*lease).min(self.ctx.config.lease);
                if !known
                    || !self
                        .ctx
                        .config
                        .replicas
                        .is_replica(&branch.key(), &self.ctx.config.own)
                {
                    return true;
                }
                if let Some(holder) = self.grants.on_claim(now, from, branch, lease) {
                    let (branch, request) = (branch.clone(), *request);
                    self.ctx.send(
                        from,
                        Message::ClaimReply {
                            branch,
                            request,
                            holder,
                        },
                    );
                }
                true
            }
            Message::Release { branch } => {
                self.grants.release(from, branch);
                true
            }
            _ => false,
        }
    }

    /// Handles a message to this process as a follower or relay. Returns `None` if there is nothing to
    /// settle.
    fn on_branch_message(&mut self, now: Time, from: &Peer, message: Message) -> Option<()> {
        let (s, l) = self.level_index(message.branch())?;
        let Level {
            follower, relay, ..
        } = &mut self.streams[s].levels[l];
        let ctx = &mut self.ctx;
        match message {
            Message::Claim { .. } | Message::Release { .. } => {}
            Message::ClaimReply {
                request, holder, ..
            } => {
                relay.on_claim_reply(now, from, request, holder, &follower.candidates, ctx);
            }
            Message::Join {
                nonce,
                position,
                replaces,
                last_resort,
                ..
            } => {
                relay.on_join(
                    now,
                    from,
                    nonce,
                    position,
                    (replaces, last_resort),
                    &follower.candidates,
                    ctx,
                );
            }
            Message::Leave { nonce, .. } => relay.on_leave(now, from, nonce),
            Message::Late { .. } => relay.on_late_report(now, from, &follower.candidates, ctx),
            Message::Acknowledge {
                nonce, received, ..
            } => {
                if relay.on_acknowledge(now, from, nonce, received, ctx) {
                    self.send_to_follower(now, s, l, from);
                }
                return None;
            }
            Message::Events {
                nonce,
                first,
                events,
                ..
            } => follower.on_events(now, from, nonce, first, events, ctx),
            Message::Heartbeat { nonce, sent, .. } => {
                let (position, fed) = (follower.position(), follower.is_fed());
                follower.on_heartbeat(now, from, nonce, sent, ctx);
                if (position, fed) == (follower.position(), follower.is_fed())
                    && !self.streams[s].source.is_open()
                {
                    return None;
                }
            }
            Message::Redirect { nonce, to, .. } => follower.on_redirect(now, from, nonce, to, ctx),
        }
        Some(())
    }

    /// The number of entries in all tables that grow with readers and followers.
    pub fn entries(&self) -> usize {
        let entries = |stream: &StreamState| {
            let levels = stream
                .levels
                .iter()
                .map(|l| l.relay.follower_count() + usize::from(l.relay.is_open()));
            stream.readers.len() + usize::from(stream.source.is_open()) + levels.sum::<usize>()
        };
        self.reader_streams.len()
            + self.grants.len()
            + self.streams.iter().map(entries).sum::<usize>()
    }

    /// Whether this process holds the lease on any branch of a stream.
    pub fn holds_lease(&self, now: Time, stream: &str) -> bool {
        let streams = self
            .streams
            .iter()
            .filter(|state| &*state.config.name == stream);
        streams
            .flat_map(|stream| &stream.levels)
            .any(|level| level.relay.holds_lease(now))
    }
}

impl StateMachine for Relay {
    type Message = Message;
    type Command = Command;
    type Event = Notification;

    fn on_message(
        &mut self,
        now: Time,
        from: &Peer,
        message: Message,
        effects: &mut Effects<Self>,
    ) {
        if !self.on_replica_message(now, from, &message) {
            let stream = self.stream_index(&message.branch().stream);
            if let (Some(()), Some(s)) = (self.on_branch_message(now, from, message), stream) {
                self.propagate(now, s);
            }
        }
        effects.append(&mut self.ctx.effects);
    }

    fn on_command(&mut self, now: Time, command: Command, effects: &mut Effects<Self>) {
        if let Some(s) = self.apply_command(now, command) {
            self.propagate(now, s);
        }
        effects.append(&mut self.ctx.effects);
    }

    fn on_peer_status(&mut self, now: Time, peer: &Peer, alive: bool, effects: &mut Effects<Self>) {
        if alive {
            self.ctx.dead.remove(peer);
        } else if self
            .ctx
            .config
            .locations
            .iter()
            .any(|(named, _)| named == peer)
        {
            self.ctx.dead.insert(peer.clone(), ());
            for s in 0..self.streams.len() {
                for level in &mut self.streams[s].levels {
                    level.follower.on_peer_dead(now, peer, &mut self.ctx);
                }
                self.propagate(now, s);
            }
        }
        effects.append(&mut self.ctx.effects);
    }

    fn on_tick(&mut self, now: Time, effects: &mut Effects<Self>) {
        self.grants.remove_expired(now);
        for s in 0..self.streams.len() {
            self.tick_stream(now, s);
        }
        effects.append(&mut self.ctx.effects);
    }

    fn next_tick(&self) -> Option<Time> {
        let levels = self.streams.iter().flat_map(|stream| &stream.levels);
        levels
            .flat_map(|level| [level.follower.next_tick(), level.relay.next_tick()])
            .flatten()
            .min()
    }
}

/// An effect of [`Relay`].
pub type RelayEffect = Effect<Message, Notification>;
