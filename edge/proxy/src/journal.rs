//! The journal service: a gapless long poll. Events are taken in order, each once; an answer that is lost or
//! garbled is asked for again, and never makes the list shorter.

use crate::backoff::Backoff;
use boots::Boots;
use foldmux::interface::{Member, ObjectId, State};
use foldmux_core::clock::Clock;
use foldmux_core::desk::{DeskHandle, Notice};
use foldmux_core::members::{cache_id, Listed};
use foldmux_feed::words::{Endpoint, Expire};
use foldmux_feed::Desk;
use foldmux_http1::{read_response, Broken};
use foldmux_upstream::pool::Pool;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

pub use foldmux_feed::words::{Entry, Feed};
pub use service::Service;

mod boots;
mod service;

/// Asked for at the longest: short, so that a connection that went silent is noticed well within the 7 s after which all
/// events count as told. Each poll asks for a part of its own.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// Beyond the wait, until an answer counts as lost.
const PATIENCE: Duration = Duration::from_millis(700);
/// Longest answer: some thousand events.
const ANSWER: usize = 1024 * 1024;

/// What the journal's words stand for: the settings' zones and kinds.
#[derive(Clone)]
pub struct Names {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

#[derive(Clone)]
pub struct Journal {
    pub names: Names,
    pub clock: Clock,
    pub desk: DeskHandle,
    pub pool: Arc<Pool>,
    /// Set once a list is in: the proxy is well.
    pub listed: Arc<AtomicBool>,
    /// Where lists go by, for those out by hand; else straight to the desk.
    pub hand: Option<Arc<crate::line::Hand>>,
    /// Where this process shares what it reads with others of its site, and is told what they read.
    shared: Option<Shared>,
    boots: Boots,
    pos: u64,
}

#[derive(Clone)]
struct Shared {
    desk: Arc<Desk>,
    /// The greatest index of a list that was taken: what comes by another way may be older.
    newest: Arc<Mutex<u64>>,
}

impl Journal {
    pub fn new(
        names: Names,
        clock: Clock,
        desk: DeskHandle,
        pool: Arc<Pool>,
        listed: Arc<AtomicBool>,
    ) -> Journal {
        let (hand, shared, boots) = (None, None, Boots::default());
        Journal { names, clock, desk, pool, listed, hand, shared, boots, pos: 0 }
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
            if let Some(Shared { desk, newest }) = &self.shared {
                desk.count(entry);
                let mut newest = newest.lock().unwrap_or_else(PoisonError::into_inner);
                self.tell(entry, Some(&mut newest));
            } else {
                self.tell(entry, None);
            }
        }
        true
    }

    fn tell(&self, entry: &Entry, newest: Option<&mut u64>) {
        if let (Some(hosts), Some(newest)) = (&entry.hosts, newest) {
            *newest = hosts.index.max(if hosts.snapshot { 0 } else { *newest });
        }
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

    /// From now on this process's reading of the source is shared by `desk`; what others read comes by
    /// [`Journal::relayed`] of a clone.
    pub fn share(&mut self, desk: Arc<Desk>) {
        self.shared = Some(Shared { desk, newest: Arc::default() });
    }

    /// Events by way of a relay. A list older than the one that was taken is passed over: purges can't be too old.
    pub fn relayed(&self, entries: &[Entry]) {
        let Some(Shared { newest, .. }) = &self.shared else { return };
        for entry in entries {
            let mut newest = newest.lock().unwrap_or_else(PoisonError::into_inner);
            let older = entry.hosts.as_ref().is_some_and(|hosts| hosts.index < *newest);
            if !older {
                self.tell(entry, Some(&mut newest));
            }
        }
    }

    /// What an event says. A line or purge that this version has no word for is passed over and told of in the
    /// log: asked for again it would come the same, and hold up all that follows.
    fn notices(&self, entry: &Entry) -> Vec<Notice> {
        let mut notices = Vec::new();
        if let Some(hosts) = &entry.hosts {
            let listed: Vec<Listed> = hosts.endpoints.iter().filter_map(|e| self.listed_line(e)).collect();
            self.boots.retain(hosts.snapshot, &listed);
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
        let cache = cache_id(&line.name);
        let boot = self.boots.of(cache, line.since_ms, || self.clock.of_unix_ms(line.since_ms));
        let member = Member { cache, zone, kind, cell: line.group, state, weight: line.weight, boot };
        Some(Listed { member, name: line.name.as_str().into(), address })
    }

    /// Polls for as long as the program runs, wherever the service is; asks again as `backoff` says.
    pub fn follow(mut self, service: &Service, mut backoff: Backoff) {
        let mut buffer = vec![0; ANSWER];
        let shared = self.shared.as_ref().map(|shared| shared.desk.clone());
        loop {
            // One that was not read for a while is asked for what there is.
            let at_once = shared.as_ref().is_some_and(|desk| desk.gate.pass());
            let wait = if at_once { Duration::ZERO } else { backoff.hold(MAX_WAIT) };
            let (address, moves) = service.current();
            match self.poll(service, (address, moves), wait, &mut buffer) {
                Ok(()) => {
                    backoff.well();
                    shared.iter().for_each(|desk| desk.fed());
                }
                // What ended with the move to another address is no news of the service.
                Err(_) if service.pause(moves, Duration::ZERO) => backoff.well(),
                Err(why) => {
                    let wait = backoff.failed();
                    tracing::warn!("journal service: {why}; asking again in {wait:?}");
                    service.hang_up();
                    shared.iter().for_each(|desk| desk.unfed());
                    service.pause(moves, wait);
                }
            }
            if shared.as_ref().is_some_and(|desk| desk.gate.shut()) {
                service.hang_up();
            }
            self.pool.sweep();
        }
    }

    fn poll(
        &mut self,
        service: &Service,
        (address, moves): (SocketAddr, u64),
        max_wait: Duration,
        buffer: &mut [u8],
    ) -> Result<(), String> {
        let stream = service.connection(address, moves)?;
        let (tail, wait) = (self.pos, max_wait.as_millis());
        let request = format!("GET /journal?tail={tail}&max_wait={wait} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let deadline = Instant::now() + max_wait + PATIENCE;
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
        // One that starts again counts from 1: asked from there it tells all that it has.
        if self.shared.is_some() && feed.pos < self.pos {
            tracing::warn!("journal service: it starts again at {}, after {}", feed.pos, self.pos);
            self.pos = 0;
            return Ok(());
        }
        if !self.take(&feed) {
            return Err(format!("events after {} are missing or can't be read", self.pos));
        }
        if !reusable {
            service.hang_up();
        }
        Ok(())
    }
}
