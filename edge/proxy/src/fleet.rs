//! The fleet: links to the other processes, membership, and the services that they share. It is off unless the
//! operator's file calls `fleet(…)` and names this process as a peer.

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

/// Longest wait at the end for queued frames to be sent.
const MAX_FLUSH_TIME: Duration = Duration::from_millis(100);
/// The part number of [`PeerWatcher`], which sends no frames.
const WATCHER_PART: u8 = 255;

/// What is logged when the fleet starts.
struct Summary {
    peer_count: usize,
    site: String,
    listen: SocketAddr,
}

/// A fleet whose configuration was checked, and that is not started yet.
pub struct PreparedFleet {
    builder: Builder,
    membership_port: Port<Command>,
    membership: MembershipView,
    services: PreparedServices,
    summary: Summary,
    peers: Vec<Peer>,
    seed: u64,
}

/// The fleet in service.
pub struct RunningFleet {
    fleet: foldmux_fleet::Fleet,
    membership_port: Port<Command>,
    services: RunningServices,
    /// The peers that are up; may be read by any thread.
    pub membership: MembershipView,
}

impl PreparedFleet {
    /// Prepares the fleet of the operator's file; `None` if this process is not one of its peers.
    ///
    /// # Errors
    ///
    /// Returns one line of text if the file's fleet can't be used.
    pub fn new(
        config: &FleetConfig,
        context: &ProcessContext,
    ) -> Result<Option<PreparedFleet>, String> {
        let ProcessContext {
            name,
            decoded,
            seed,
            ..
        } = *context;
        let Some(own_peer) = config.peer(name) else {
            tracing::warn!("fleet: {name:?} is not one of its peers; it is off in this process");
            return Ok(None);
        };
        if let Some(fault) = config.unknown(&decoded.classes).next() {
            return Err(fault);
        }
        for peer in &config.peers {
            let site = peer.site.split('/').next().unwrap_or_default();
            if !decoded.zones.iter().any(|zone| zone == site) {
                tracing::warn!(
                    "fleet: site {site} of {} is not a zone of the settings",
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
            key: read_key(Path::new(&config.key_file))
                .map_err(|reason| format!("fleet: key_file {reason}"))?,
            seed,
            queue: config.queue as usize,
            bounds: link_bounds(config.round_trip_ms, config.peers.len()),
        });
        let started_at = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let own_identity = NodeIdentity::new(
            Peer::new(name),
            &own_peer.site,
            own_peer.address,
            started_at.as_micros() as u64,
        );
        let pace = Pace {
            rtt: config.round_trip_ms * 1_000,
            size: config.peers.len() as u32,
        };
        // Only the peers of the list can become members: no other process is linked.
        let setup = foldmux_membership::Setup {
            me: own_identity,
            pace,
            most: config.peers.len(),
            seed,
        };
        let added = members::add(&mut builder, setup, EventLog);
        let (membership_port, membership) = added.map_err(|e| format!("fleet: {e}"))?;
        builder.add(WATCHER_PART, PeerWatcher, EventLog);
        let services = PreparedServices::add(&mut builder, config, context)?;
        let summary = Summary {
            peer_count: config.peers.len(),
            site: own_peer.site.clone(),
            listen: config.listen,
        };
        let peers = config
            .peers
            .iter()
            .map(|peer| Peer::new(&peer.name))
            .collect();
        Ok(Some(PreparedFleet {
            builder,
            membership_port,
            membership,
            services,
            summary,
            peers,
            seed,
        }))
    }

    /// Shares the events that the journal client reads. Must be called before it reads the first.
    pub fn share(&self, journal: &mut JournalClient) {
        self.services.share(journal);
    }

    /// Starts the links, membership and the services. `journal`: a clone of the client that reads the journal service.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread or a socket can't be created.
    pub fn start(self, core: &Arc<Core>, journal: JournalClient) -> Result<RunningFleet, String> {
        let PreparedFleet {
            builder,
            membership_port,
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
            Some(address) => tracing::info!(
                "fleet: one of {peer_count} peers, at site {site}, on {address}"
            ),
            None => tracing::warn!(
                "fleet: {listen} is in use; until it is free this one of {peer_count} peers only dials"
            ),
        }
        let services = services.start(core, journal, fleet.began(), seed)?;
        // The queue is empty at the start and has room for this message.
        let _ = membership_port.ask(Command::Join(peers));
        Ok(RunningFleet {
            fleet,
            membership_port,
            services,
            membership,
        })
    }
}

impl RunningFleet {
    /// Announces the graceful shutdown to the peers, and hands over the work that they can continue. The fleet stays in
    /// service until [`RunningFleet::end`].
    pub fn leave(&self) {
        self.services.leave();
        let sent = self.membership_port.ask(Command::Leave);
        sent.err().iter().for_each(|error| {
            tracing::warn!("fleet: can't announce the shutdown to the peers: {error:?}")
        });
    }

    /// See [`RunningServices::update_weights`].
    pub fn update_weights(&self, config: &FleetConfig, tenants: &[(String, f64)]) -> Option<usize> {
        self.services.update_weights(config, tenants)
    }

    /// Logs the counters of the links and ends them.
    pub fn end(self) {
        self.services.report();
        let counts = self.fleet.links().counts();
        let (links, broken, unauthenticated) = (
            counts.links.get(),
            counts.broken.get(),
            counts.strangers.get(),
        );
        let (dropped, unlinked) = (counts.dropped.get(), counts.unlinked.get());
        tracing::info!(
            "fleet: {links} links, {broken} broken, {unauthenticated} unauthenticated connections"
        );
        tracing::info!(
            "fleet: {dropped} frames dropped for full queues, {unlinked} dropped without a link"
        );
        self.fleet.end(MAX_FLUSH_TIME);
    }
}

/// Reads a key of 32 bytes, written as 64 hexadecimal digits.
fn read_key(file: &Path) -> Result<[u8; 32], String> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    let text = text.trim().as_bytes();
    let digit = |byte: u8| char::from(byte).to_digit(16).map(|digit| digit as u8);
    let byte = |digits: &[u8]| Some(digit(digits[0])? << 4 | digit(digits[1])?);
    let bytes: Option<Vec<u8>> = text.chunks_exact(2).map(byte).collect();
    let key = bytes
        .filter(|_| text.len() == 64)
        .and_then(|bytes| bytes.try_into().ok());
    key.ok_or_else(|| format!("{name}: expected 64 hexadecimal digits"))
}

/// The bounds of links, derived from the round-trip time. A heartbeat is sent every five round trips, but not more
/// often than every 100 ms, because a busy machine may delay a thread for that long. A link is dead after ten missed
/// heartbeats.
fn link_bounds(round_trip_ms: u64, peer_count: usize) -> Bounds {
    let heartbeat = Duration::from_millis((5 * round_trip_ms).max(100));
    let (idle, hello) = (heartbeat * 10, heartbeat * 10);
    let first_backoff = Duration::from_millis(round_trip_ms.max(10));
    // Each peer may dial while its former link still stands, and so may an older process of the same name.
    let accepted = 4 * peer_count + 16;
    Bounds {
        beat: heartbeat,
        idle,
        hello,
        accepted,
        dial: heartbeat * 5,
        again: (first_backoff, first_backoff * 25),
        ..Bounds::default()
    }
}

/// A state machine that only emits which peers the fleet's thread regards as up.
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

/// Logs the events of peers and membership, and failures of state machines.
struct EventLog;

impl Sink<(Peer, bool)> for EventLog {
    fn told(&self, (peer, alive): (Peer, bool)) {
        tracing::info!("fleet: {peer} is {}", if alive { "up" } else { "down" });
    }
}

impl Sink<Event> for EventLog {
    fn told(&self, event: Event) {
        let describe = |member: &MemberView| {
            format!(
                "{} at {}, site {}",
                member.peer, member.address, member.site
            )
        };
        match event {
            Event::Up(member) => tracing::info!("members: {} joined", describe(&member)),
            Event::Restarted(member) => tracing::info!("members: {} restarted", describe(&member)),
            Event::Down(peer) => tracing::info!("members: {peer} does not respond"),
            Event::Left(peer) => tracing::info!("members: {peer} left"),
            Event::Rival(member) => {
                tracing::warn!(
                    "members: another process uses the name of {}",
                    describe(&member)
                )
            }
        }
    }
}

impl Sink<Fault> for EventLog {
    fn told(&self, Fault { part, why }: Fault) {
        tracing::error!("fleet: part {part} failed and is out of service: {why}");
    }
}
