//! The journal service: a gapless long poll. Events are taken in order, each once; an answer that is lost or
//! garbled is asked for again, and never makes the list shorter.

use crate::backoff::Backoff;
use foldmux::interface::{Member, ObjectId, State};
use foldmux_core::clock::Clock;
use foldmux_core::desk::{DeskHandle, Notice};
use foldmux_core::members::{cache_id, Listed};
use foldmux_http1::{read_response, Broken};
use foldmux_upstream::pool::Pool;
use serde::Deserialize;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Asked for: short, so that a connection that went silent is noticed well within the 7 s after which all
/// events count as told.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// Beyond the wait, until an answer counts as lost.
const PATIENCE: Duration = Duration::from_millis(700);
/// Longest answer: some thousand events.
const ANSWER: usize = 1024 * 1024;

#[derive(Clone, Debug, Default, Deserialize)]
pub struct Feed {
    pub pos: u64,
    #[serde(default)]
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Entry {
    pub pos: u64,
    hosts: Option<Hosts>,
    expire: Option<Expire>,
}

#[derive(Clone, Debug, Deserialize)]
struct Hosts {
    #[serde(default)]
    snapshot: bool,
    #[serde(default)]
    endpoints: Vec<Endpoint>,
}

#[derive(Clone, Debug, Deserialize)]
struct Endpoint {
    name: String,
    address: Option<SocketAddr>,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    group: u16,
    status: String,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    since_ms: u64,
}

#[derive(Clone, Debug, Deserialize)]
struct Expire {
    name: Option<String>,
    set: Option<u32>,
    stamp: u64,
}

/// What the journal's words stand for: the settings' zones and kinds.
pub struct Names {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

pub struct Journal {
    pub names: Names,
    pub clock: Clock,
    pub desk: DeskHandle,
    pub pool: Arc<Pool>,
    /// Set once a list is in: the proxy is well.
    pub listed: Arc<AtomicBool>,
    /// Where lists go by, for those out by hand; else straight to the desk.
    pub hand: Option<Arc<crate::line::Hand>>,
    pos: u64,
}

impl Journal {
    pub fn new(
        names: Names,
        clock: Clock,
        desk: DeskHandle,
        pool: Arc<Pool>,
        listed: Arc<AtomicBool>,
    ) -> Journal {
        Journal { names, clock, desk, pool, listed, hand: None, pos: 0 }
    }

    /// Takes the events that follow on those already taken. Guards against gaps: where one is missing, nothing
    /// from there on is taken, and the next call asks for it again. False if so.
    pub fn take(&mut self, feed: &Feed) -> bool {
        for entry in &feed.entries {
            if entry.pos <= self.pos {
                continue;
            }
            if entry.pos != self.pos + 1 {
                return false;
            }
            self.pos = entry.pos;
            for notice in self.notices(entry) {
                match (notice, &self.hand) {
                    (Notice::Members { full, listed }, Some(hand)) => hand.members(full, listed),
                    (notice, _) => self.desk.tell(notice),
                }
            }
            if entry.hosts.as_ref().is_some_and(|h| h.snapshot) {
                self.listed.store(true, Ordering::SeqCst);
            }
        }
        true
    }

    /// What an event says. A line or purge that this version has no word for is passed over and told of in the
    /// log: asked for again it would come the same, and hold up all that follows.
    fn notices(&self, entry: &Entry) -> Vec<Notice> {
        let mut notices = Vec::new();
        if let Some(hosts) = &entry.hosts {
            let listed = hosts.endpoints.iter().filter_map(|e| self.listed_line(e)).collect();
            notices.push(Notice::Members { full: hosts.snapshot, listed });
        }
        if let Some(Expire { name, set, stamp }) = &entry.expire {
            let now = self.clock.now();
            let ago = now.saturating_sub(self.clock.of_unix_ms((*stamp).max(1)));
            let object = name.as_deref().map(|name| u64::from_str_radix(name, 16).map(ObjectId));
            match (object, set) {
                (Some(Ok(object)), _) => {
                    notices.push(Notice::Purged { object: Some(object), group: 0, ago });
                }
                (None, Some(group)) => notices.push(Notice::Purged { object: None, group: *group, ago }),
                _ => tracing::warn!("journal service: event {} names nothing that can be purged", entry.pos),
            }
        }
        notices
    }

    fn listed_line(&self, line: &Endpoint) -> Option<Listed> {
        let state = match line.status.as_str() {
            "ready" => State::Ready,
            "gone" => State::Gone,
            // Guards against a state not known here: what is not said to be ready gets nothing new.
            _ => State::Draining,
        };
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let (zone, kind) = (place(&self.names.zones, &line.zone), place(&self.names.kinds, &line.kind));
        let gone = state == State::Gone;
        // What has gone may come without its particulars.
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        let (zone, kind) = (zone.or(gone.then_some(0)), kind.or(gone.then_some(0)));
        let (Some(zone), Some(kind), Some(address)) = (zone, kind, line.address.or(gone.then_some(nowhere)))
        else {
            tracing::warn!("journal service: {} has an unknown zone or type, or no address", line.name);
            return None;
        };
        let (cache, boot) = (cache_id(&line.name), self.clock.of_unix_ms(line.since_ms));
        let member = Member { cache, zone, kind, cell: line.group, state, weight: line.weight, boot };
        Some(Listed { member, name: line.name.as_str().into(), address })
    }

    /// Polls for as long as the program runs, wherever the service is; asks again as `backoff` says.
    pub fn follow(mut self, service: &Service, mut backoff: Backoff) {
        let mut buffer = vec![0; ANSWER];
        loop {
            let (address, moves) = service.current();
            match self.poll(service, address, moves, &mut buffer) {
                Ok(()) => backoff.well(),
                // What ended with the move to another address is no news of the service.
                Err(_) if service.pause(moves, Duration::ZERO) => backoff.well(),
                Err(why) => {
                    let wait = backoff.failed();
                    tracing::warn!("journal service: {why}; asking again in {wait:?}");
                    service.hang_up();
                    service.pause(moves, wait);
                }
            }
            self.pool.sweep();
        }
    }

    fn poll(
        &mut self,
        service: &Service,
        address: SocketAddr,
        moves: u64,
        buffer: &mut [u8],
    ) -> Result<(), String> {
        let stream = service.connection(address, moves)?;
        let (tail, wait) = (self.pos, MAX_WAIT.as_millis());
        let request = format!("GET /journal?tail={tail}&max_wait={wait} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let deadline = Instant::now() + MAX_WAIT + PATIENCE;
        let written =
            stream.set_write_timeout(Some(PATIENCE)).and_then(|()| (&*stream).write_all(request.as_bytes()));
        written.map_err(|e| format!("not asked: {e}"))?;
        let response = read_response(&stream, buffer, deadline).map_err(|e| match e {
            Broken::TimedOut => "no answer in time".to_string(),
            Broken::Reset => "the connection broke".to_string(),
            Broken::Unreadable => "an answer that can't be read".to_string(),
        })?;
        if response.status != 200 {
            return Err(format!("answered {}", response.status));
        }
        let reusable = response.reusable;
        let feed: Feed = simd_json::serde::from_slice(&mut buffer[response.body])
            .map_err(|e| format!("an answer that can't be read: {e}"))?;
        if !self.take(&feed) {
            return Err(format!("events after {} are missing or can't be read", self.pos));
        }
        if !reusable {
            service.hang_up();
        }
        Ok(())
    }
}

/// Where the journal service is, and the one connection to it. A move shuts that at once: the poll that waits
/// on it would hear nothing more, and the events after it are told at the new address alone.
pub struct Service {
    state: Mutex<Place>,
    moved: Condvar,
}

struct Place {
    address: Option<SocketAddr>,
    moves: u64,
    connection: Option<Arc<TcpStream>>,
}

impl Service {
    pub fn new(address: Option<SocketAddr>) -> Service {
        Service { state: Mutex::new(Place { address, moves: 0, connection: None }), moved: Condvar::new() }
    }

    fn state(&self) -> MutexGuard<'_, Place> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A service that stays where it is keeps its poll; without one the list stays as it is.
    pub fn move_to(&self, address: Option<SocketAddr>) {
        let mut place = self.state();
        if place.address != address {
            (place.address, place.moves) = (address, place.moves + 1);
            place.hang_up();
            self.moved.notify_all();
        }
    }

    /// Where it is, once there is one, and how often it has moved.
    fn current(&self) -> (SocketAddr, u64) {
        let mut place = self.state();
        loop {
            if let Some(address) = place.address {
                return (address, place.moves);
            }
            place = self.moved.wait(place).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Waits, but not beyond a move; whether there was one.
    fn pause(&self, moves: u64, time: Duration) -> bool {
        let waited = self.moved.wait_timeout_while(self.state(), time, |place| place.moves == moves);
        waited.unwrap_or_else(PoisonError::into_inner).0.moves != moves
    }

    /// The connection that there is, or a new one.
    fn connection(&self, address: SocketAddr, moves: u64) -> Result<Arc<TcpStream>, String> {
        if let Some(held) = self.state().connection.as_ref() {
            return Ok(held.clone());
        }
        let dialled = TcpStream::connect_timeout(&address, PATIENCE);
        let stream = Arc::new(dialled.map_err(|e| format!("no connection: {e}"))?);
        let _ = stream.set_nodelay(true);
        let mut place = self.state();
        if place.moves != moves {
            return Err("moved".to_string());
        }
        place.connection = Some(stream.clone());
        Ok(stream)
    }

    fn hang_up(&self) {
        self.state().hang_up();
    }
}

impl Place {
    fn hang_up(&mut self) {
        if let Some(stream) = self.connection.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
