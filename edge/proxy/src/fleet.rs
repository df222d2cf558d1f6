//! The fleet: links to the other processes, membership, and the services they share. Off unless the operator's file calls
//! `fleet(…)` and this process is one of its peers.

use crate::journal::JournalClient;
use foldmux_core::Core;
use foldmux_fleet::members::{self, MembershipView};
use foldmux_fleet::{Builder, Fault, Port, Setup, Sink};
use foldmux_membership::{Command, Event, MemberView, NodeIdentity, Pace};
use foldmux_operator::Fleet as FleetConfig;
use foldmux_peers::Bounds;
use foldmux_replicas::{Effect, Effects, Peer, StateMachine, Time};
use services::{PreparedServices, ProcessContext, RunningServices};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

pub(crate) mod replica_set;
pub mod services;

/// How long queued frames may take to be sent at the end.
const MAX_FLUSH_TIME: Duration = Duration::from_millis(100);
/// The number of the state machine that only watches peers: no frame carries it.
const WATCHER_PART: u8 = 255;

/// What the log says of the fleet at its start.
struct Summary {
    peer_count: usize,
    site: String,
    listen: SocketAddr,
}

/// A fleet that was checked and may start.
pub struct Fleet {
    builder: Builder,
    members: Port<Command>,
    membership: MembershipView,
    services: PreparedServices,
    summary: Summary,
    peers: Vec<Peer>,
    seed: u64,
}

/// The fleet in service.
pub struct Running {
    fleet: foldmux_fleet::Fleet,
    members: Port<Command>,
    services: RunningServices,
    /// The peers that are up, for any thread.
    pub membership: MembershipView,
}

impl Fleet {
    /// `None` where this process is not one of its peers.
    ///
    /// # Errors
    ///
    /// Where the file can't be served; the text is one plain line.
    pub fn new(config: &FleetConfig, own: &ProcessContext) -> Result<Option<Fleet>, String> {
        let ProcessContext {
            name,
            decoded,
            seed,
            ..
        } = *own;
        let Some(place) = config.peer(name) else {
            tracing::warn!("fleet: {name:?} is no peer of it; it is off here");
            return Ok(None);
        };
        if let Some(fault) = config.unknown(&decoded.classes).next() {
            return Err(fault);
        }
        for peer in &config.peers {
            let site = peer.site.split('/').next().unwrap_or_default();
            if !decoded.zones.iter().any(|zone| zone == site) {
                tracing::warn!(
                    "fleet: the site {site} of {} is no zone of the settings",
                    peer.name
                );
            }
        }
        let mut builder = Builder::new(Setup {
            name: Peer::new(name),
            listen: config.listen,
            peers: config
                .peers
                .iter()
                .map(|peer| (Peer::new(&peer.name), peer.address))
                .collect(),
            key: key(Path::new(&config.key_file))
                .map_err(|why| format!("fleet: key_file {why}"))?,
            seed,
            queue: config.queue as usize,
            bounds: bounds(config.round_trip_ms, config.peers.len()),
        });
        let born = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let me = NodeIdentity::new(
            Peer::new(name),
            &place.site,
            place.address,
            born.as_micros() as u64,
        );
        let pace = Pace {
            rtt: config.round_trip_ms * 1_000,
            size: config.peers.len() as u32,
        };
        // Names of the list alone: no other is linked.
        let setup = foldmux_membership::Setup {
            me,
            pace,
            most: config.peers.len(),
            seed,
        };
        let added = members::add(&mut builder, setup, EventLog);
        let (members, membership) = added.map_err(|e| format!("fleet: {e}"))?;
        builder.add(WATCHER_PART, PeerWatcher, EventLog);
        let services = PreparedServices::add(&mut builder, config, own)?;
        let summary = Summary {
            peer_count: config.peers.len(),
            site: place.site.clone(),
            listen: config.listen,
        };
        let peers = config
            .peers
            .iter()
            .map(|peer| Peer::new(&peer.name))
            .collect();
        Ok(Some(Fleet {
            builder,
            members,
            membership,
            services,
            summary,
            peers,
            seed,
        }))
    }

    /// Shares what the journal client reads; called before it reads.
    pub fn share(&self, journal: &mut JournalClient) {
        self.services.share(journal);
    }

    /// Starts the links, membership and the services. `journal`: a clone of the client that reads the source.
    ///
    /// # Errors
    ///
    /// Where a thread or a socket can't be had.
    pub fn start(self, core: &Arc<Core>, journal: JournalClient) -> Result<Running, String> {
        let Fleet {
            builder,
            members,
            membership,
            services,
            summary:
                Summary {
                    peer_count,
                    site,
                    listen,
                },
            peers,
            seed,
        } = self;
        let fleet = builder
            .start(EventLog)
            .map_err(|e| format!("fleet: listening on {listen}: {e}"))?;
        match fleet.links().address() {
            Some(on) => tracing::info!("fleet: one of {peer_count}, at site {site}, on {on}"),
            None => tracing::warn!(
                "fleet: {listen} is in use; one of {peer_count}, that dials until it is free"
            ),
        }
        let services = services.start(core, journal, fleet.began(), seed)?;
        // The queue has room for one at the start.
        let _ = members.ask(Command::Join(peers));
        Ok(Running {
            fleet,
            members,
            services,
            membership,
        })
    }
}

impl Running {
    /// Announces the graceful shutdown to the peers and hands over what they can continue; serves on until [`Running::end`].
    pub fn leave(&self) {
        self.services.leave();
        let asked = self.members.ask(Command::Leave);
        asked
            .err()
            .iter()
            .for_each(|e| tracing::warn!("fleet: leaving without a word: {e:?}"));
    }

    /// See [`RunningServices::update_weights`].
    pub fn update_weights(&self, config: &FleetConfig, tenants: &[(String, f64)]) -> Option<usize> {
        self.services.update_weights(config, tenants)
    }

    /// Logs the counters of the links and ends them.
    pub fn end(self) {
        self.services.report();
        let counts = self.fleet.links().counts();
        let (links, broken, strangers) = (
            counts.links.get(),
            counts.broken.get(),
            counts.strangers.get(),
        );
        let (dropped, unlinked) = (counts.dropped.get(), counts.unlinked.get());
        tracing::info!("fleet: {links} links, {broken} broken, {strangers} strangers");
        tracing::info!("fleet: {dropped} frames without room, {unlinked} without a link");
        self.fleet.end(MAX_FLUSH_TIME);
    }
}

/// A key is 64 hexadecimal digits.
fn key(file: &Path) -> Result<[u8; 32], String> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    let text = text.trim().as_bytes();
    let digit = |b: u8| char::from(b).to_digit(16).map(|digit| digit as u8);
    let pair = |pair: &[u8]| Some(digit(pair[0])? << 4 | digit(pair[1])?);
    let bytes: Option<Vec<u8>> = text.chunks_exact(2).map(pair).collect();
    let key = bytes
        .filter(|_| text.len() == 64)
        .and_then(|bytes| bytes.try_into().ok());
    key.ok_or_else(|| format!("{name}: 64 hexadecimal digits are wanted"))
}

/// The links' bounds follow from a round trip: a heartbeat each five round trips, and at least as seldom as a busy machine may
/// delay a thread; a link is dead after ten missed heartbeats.
fn bounds(round_trip_ms: u64, peers: usize) -> Bounds {
    let beat = Duration::from_millis((5 * round_trip_ms).max(100));
    let (idle, hello) = (beat * 10, beat * 10);
    let first = Duration::from_millis(round_trip_ms.max(10));
    // Each peer may dial while its link before stands, beside an older process of its name.
    let accepted = 4 * peers + 16;
    Bounds {
        beat,
        idle,
        hello,
        accepted,
        dial: beat * 5,
        again: (first, first * 25),
        ..Bounds::default()
    }
}

/// Emits which peers the fleet's thread counts as up.
struct PeerWatcher;

impl StateMachine for PeerWatcher {
    type Message = ();
    type Command = ();
    type Event = (Peer, bool);

    fn on_message(&mut self, _: Time, _: &Peer, (): (), _: &mut Effects<PeerWatcher>) {}

    fn on_command(&mut self, _: Time, (): (), _: &mut Effects<PeerWatcher>) {}

    fn on_peer_status(
        &mut self,
        _: Time,
        peer: &Peer,
        alive: bool,
        out: &mut Effects<PeerWatcher>,
    ) {
        out.push(Effect::Emit((peer.clone(), alive)));
    }

    fn on_tick(&mut self, _: Time, _: &mut Effects<PeerWatcher>) {}

    fn next_tick(&self) -> Option<Time> {
        None
    }
}

struct EventLog;

impl Sink<(Peer, bool)> for EventLog {
    fn told(&self, (peer, alive): (Peer, bool)) {
        tracing::info!("fleet: {peer} is {}", if alive { "up" } else { "down" });
    }
}

impl Sink<Event> for EventLog {
    fn told(&self, told: Event) {
        let of =
            |seen: &MemberView| format!("{} at {}, site {}", seen.peer, seen.address, seen.site);
        match told {
            Event::Up(seen) => tracing::info!("members: {} joined", of(&seen)),
            Event::Restarted(seen) => tracing::info!("members: {} started again", of(&seen)),
            Event::Down(peer) => tracing::info!("members: {peer} does not answer"),
            Event::Left(peer) => tracing::info!("members: {peer} left"),
            Event::Rival(seen) => {
                tracing::warn!("members: another process speaks as {}", of(&seen))
            }
        }
    }
}

impl Sink<Fault> for EventLog {
    fn told(&self, Fault { part, why }: Fault) {
        tracing::error!("fleet: part {part} is out of service: {why}");
    }
}
