//! What this process shares with others, in service: its links, and who of the fleet is up. Off unless the operator's
//! file calls `fleet(…)` and this process is one of its peers.

use crate::journal::JournalClient;
use foldmux_core::Core;
use foldmux_fleet::members::{self, MembershipView};
use foldmux_fleet::{Builder, Fault, Port, Setup, Sink};
use foldmux_membership::{Command, Event, MemberView, NodeIdentity, Pace};
use foldmux_operator::Fleet as Said;
use foldmux_peers::Bounds;
use foldmux_replicas::{Effect, Effects, Peer, StateMachine, Time};
use parts::{Own, Parts, Serving};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

pub mod parts;
pub(crate) mod replica_set;

/// Longest that what is still to be said may take at the end.
const LAST_WORDS: Duration = Duration::from_millis(100);
/// The byte of the part that only looks on: no frame has it.
const WATCH: u8 = 255;

/// A fleet that was checked and may start.
pub struct Fleet {
    builder: Builder,
    members: Port<Command>,
    roll: MembershipView,
    parts: Parts,
    /// For the log: how many it has, this one's site, where it listens.
    told: (usize, String, std::net::SocketAddr),
    all: Vec<Peer>,
    seed: u64,
}

/// The fleet in service.
pub struct Running {
    fleet: foldmux_fleet::Fleet,
    members: Port<Command>,
    serving: Serving,
    /// Who of the fleet was seen, for any thread.
    pub roll: MembershipView,
}

impl Fleet {
    /// None where this process is no peer of it; an error is one plain line.
    pub fn new(said: &Said, own: &Own) -> Result<Option<Fleet>, String> {
        let Own {
            name,
            decoded,
            seed,
            ..
        } = *own;
        let Some(place) = said.peer(name) else {
            tracing::warn!("fleet: {name:?} is no peer of it; it is off here");
            return Ok(None);
        };
        if let Some(fault) = said.unknown(&decoded.classes).next() {
            return Err(fault);
        }
        for peer in &said.peers {
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
            listen: said.listen,
            peers: said
                .peers
                .iter()
                .map(|peer| (Peer::new(&peer.name), peer.address))
                .collect(),
            key: key(Path::new(&said.key_file)).map_err(|why| format!("fleet: key_file {why}"))?,
            seed,
            queue: said.queue as usize,
            bounds: bounds(said.round_trip_ms, said.peers.len()),
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
            rtt: said.round_trip_ms * 1_000,
            size: said.peers.len() as u32,
        };
        // Names of the list alone: no other is linked.
        let setup = foldmux_membership::Setup {
            me,
            pace,
            most: said.peers.len(),
            seed,
        };
        let added = members::add(&mut builder, setup, Log);
        let (members, roll) = added.map_err(|e| format!("fleet: {e}"))?;
        builder.add(WATCH, Watch, Log);
        let parts = Parts::add(&mut builder, said, own)?;
        let told = (said.peers.len(), place.site.clone(), said.listen);
        let all = said
            .peers
            .iter()
            .map(|peer| Peer::new(&peer.name))
            .collect();
        Ok(Some(Fleet {
            builder,
            members,
            roll,
            parts,
            told,
            all,
            seed,
        }))
    }

    /// Before the journal is read.
    pub fn share(&self, journal: &mut JournalClient) {
        self.parts.share(journal);
    }

    /// `journal`: a clone of the one that is read.
    pub fn start(self, core: &Arc<Core>, journal: JournalClient) -> Result<Running, String> {
        let Fleet {
            builder,
            members,
            roll,
            parts,
            told: (count, site, listen),
            all,
            seed,
        } = self;
        let fleet = builder
            .start(Log)
            .map_err(|e| format!("fleet: listening on {listen}: {e}"))?;
        match fleet.links().address() {
            Some(on) => tracing::info!("fleet: one of {count}, at site {site}, on {on}"),
            None => tracing::warn!(
                "fleet: {listen} is in use; one of {count}, that dials until it is free"
            ),
        }
        let serving = parts.start(core, journal, fleet.began(), seed)?;
        // The queue has room for one at the start.
        let _ = members.ask(Command::Join(all));
        Ok(Running {
            fleet,
            members,
            serving,
            roll,
        })
    }
}

impl Running {
    /// The others are told that this process leaves, and what they may go on with; it goes on until [`Running::end`].
    pub fn leave(&self) {
        self.serving.leave();
        let asked = self.members.ask(Command::Leave);
        asked
            .err()
            .iter()
            .for_each(|e| tracing::warn!("fleet: leaving without a word: {e:?}"));
    }

    /// See [`Serving::reweigh`].
    pub fn reweigh(&self, said: &Said, tenants: &[(String, f64)]) -> Option<usize> {
        self.serving.reweigh(said, tenants)
    }

    pub fn end(self) {
        self.serving.report();
        let counts = self.fleet.links().counts();
        let (links, broken, strangers) = (
            counts.links.get(),
            counts.broken.get(),
            counts.strangers.get(),
        );
        let (dropped, unlinked) = (counts.dropped.get(), counts.unlinked.get());
        tracing::info!("fleet: {links} links, {broken} broken, {strangers} strangers");
        tracing::info!("fleet: {dropped} frames without room, {unlinked} without a link");
        self.fleet.end(LAST_WORDS);
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

/// The links' bounds follow from a round trip: a link is silent when ten beats would have come, each at five
/// round trips, and at the least what a busy machine may keep a thread waiting.
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

/// Looks on, and tells which peers count as up for the parts.
struct Watch;

impl StateMachine for Watch {
    type Message = ();
    type Command = ();
    type Event = (Peer, bool);

    fn on_message(&mut self, _: Time, _: &Peer, (): (), _: &mut Effects<Watch>) {}

    fn on_command(&mut self, _: Time, (): (), _: &mut Effects<Watch>) {}

    fn on_peer_status(&mut self, _: Time, peer: &Peer, alive: bool, out: &mut Effects<Watch>) {
        out.push(Effect::Emit((peer.clone(), alive)));
    }

    fn on_tick(&mut self, _: Time, _: &mut Effects<Watch>) {}

    fn next_tick(&self) -> Option<Time> {
        None
    }
}

struct Log;

impl Sink<(Peer, bool)> for Log {
    fn told(&self, (peer, alive): (Peer, bool)) {
        tracing::info!("fleet: {peer} is {}", if alive { "up" } else { "down" });
    }
}

impl Sink<Event> for Log {
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

impl Sink<Fault> for Log {
    fn told(&self, Fault { part, why }: Fault) {
        tracing::error!("fleet: part {part} is out of service: {why}");
    }
}
