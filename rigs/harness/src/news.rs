//! The journal service of a rig's fleet: numbered events by long poll, restarts at number 1, and counts of what it costs. Its
//! purges bear their own epoch and number as the object, so that a reader of any way to them can tell what it missed.

use crate::readers::When;
use crate::record::{Event, Record};
use crate::who::Who;
use foldmux_fakes::journal::Host;
use foldmux_fakes::server::Server;
use foldmux_fakes::unix_ms;
use foldmux_http1::io::write_all;
use foldmux_http1::request::read_request;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The source's streams by the record: what is open, and what it tells.
pub const STREAM: &str = "journal";
pub const PURGES: &str = "purges";
/// Between two looks at whether a poll that waits is still wanted.
const LOOK: Duration = Duration::from_millis(20);
const LONGEST: u64 = 5_000;

#[derive(Default)]
struct State {
    epoch: u64,
    /// Each with its position at its front.
    events: Vec<String>,
    purges: u64,
    index: u64,
    /// Open streams, by who dialled; polls that are answered no more belong to none.
    open: BTreeMap<u64, Option<usize>>,
    next: u64,
    most: usize,
    /// When each purge was told, by epoch and number.
    told: BTreeMap<(u64, u64), Instant>,
}

struct Shared {
    state: Mutex<State>,
    more: Condvar,
    bytes: AtomicU64,
    polls: AtomicU64,
    record: Record,
    who: Who,
    sites: usize,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

pub struct News {
    server: Server,
    shared: Arc<Shared>,
}

/// The object of a purge.
pub fn object(epoch: u64, number: u64) -> u64 {
    epoch << 40 | number
}

/// The epoch and number that an object bears.
pub fn numbered(object: u64) -> (u64, u64) {
    (object >> 40, object & ((1 << 40) - 1))
}

impl News {
    pub fn start(sites: usize, record: &Record, who: &Who) -> News {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                epoch: 1,
                ..State::default()
            }),
            more: Condvar::new(),
            bytes: AtomicU64::new(0),
            polls: AtomicU64::new(0),
            record: record.clone(),
            who: who.clone(),
            sites: sites.max(1),
        });
        let own = shared.clone();
        let server = Server::start(move |stream| served(stream, &own));
        News { server, shared }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    fn tell(&self, state: &mut State, event: &str) {
        let pos = state.events.len() as u64 + 1;
        state.events.push(format!(r#"{{"pos":{pos},{event}}}"#));
        self.shared.more.notify_all();
    }

    /// A purge of nothing that anyone holds; its number.
    pub fn purge(&self) -> u64 {
        let mut state = self.shared.state();
        state.purges += 1;
        let (epoch, number) = (state.epoch, state.purges);
        self.shared.record.add(Event::Sent {
            stream: PURGES.into(),
            epoch,
            number,
        });
        state.told.insert((epoch, number), Instant::now());
        let name = object(epoch, number);
        self.tell(
            &mut state,
            &format!(r#""expire":{{"name":"{name:016x}","stamp":{}}}"#, unix_ms()),
        );
        number
    }

    /// Lines of the list, or the whole of it.
    pub fn hosts(&self, whole: bool, hosts: &[Host]) {
        let lines: Vec<String> = hosts.iter().map(Host::json).collect();
        let mut state = self.shared.state();
        state.index += 1;
        let index = state.index;
        let lines = lines.join(",");
        self.tell(
            &mut state,
            &format!(r#""hosts":{{"index":{index},"snapshot":{whole},"endpoints":[{lines}]}}"#),
        );
    }

    /// It starts again: its events begin at 1 with the whole list, and what it told before is forgotten.
    pub fn restart(&self, hosts: &[Host]) {
        let mut state = self.shared.state();
        state.epoch += 1;
        state.purges = 0;
        state.events.clear();
        drop(state);
        self.hosts(true, hosts);
    }

    /// All events so far, in the form of `known` in a configuration.
    pub fn known(&self) -> String {
        feed(&self.shared.state().events, 0)
    }

    /// When each purge was told, for readers.
    pub fn when(&self) -> When {
        let shared = self.shared.clone();
        Arc::new(move |epoch, number| shared.state().told.get(&(epoch, number)).copied())
    }

    /// The epoch and the last number.
    pub fn last(&self) -> (u64, u64) {
        let state = self.shared.state();
        (state.epoch, state.purges)
    }

    /// The processes that have a stream open now; one for each stream.
    pub fn open(&self) -> Vec<usize> {
        self.shared
            .state()
            .open
            .values()
            .flatten()
            .copied()
            .collect()
    }

    /// Most streams at one time since this was last asked.
    pub fn most(&self) -> usize {
        let mut state = self.shared.state();
        let now = state.open.len();
        std::mem::replace(&mut state.most, now)
    }

    /// Bytes of all answers, and polls.
    pub fn cost(&self) -> (u64, u64) {
        (
            self.shared.bytes.load(Ordering::Relaxed),
            self.shared.polls.load(Ordering::Relaxed),
        )
    }
}

fn feed(events: &[String], tail: usize) -> String {
    let entries = &events[tail.min(events.len())..];
    format!(
        r#"{{"pos":{},"entries":[{}]}}"#,
        events.len(),
        entries.join(",")
    )
}

fn served(stream: &TcpStream, shared: &Shared) {
    let mut held = None;
    while poll(stream, shared, &mut held).is_some() {}
    let Some((number, by)) = held else { return };
    shared.state().open.remove(&number);
    if let Some(site) = site(shared, by) {
        shared.record.add(Event::Closed {
            stream: STREAM.into(),
            site,
        });
    }
}

fn site(shared: &Shared, by: Option<usize>) -> Option<String> {
    by.map(|process| format!("site{}", process % shared.sites))
}

/// A stream is open from its first poll on.
fn opened(stream: &TcpStream, shared: &Shared) -> (u64, Option<usize>) {
    let by = shared.who.dialled(stream);
    let mut state = shared.state();
    state.next += 1;
    let number = state.next;
    state.open.insert(number, by);
    state.most = state.most.max(state.open.len());
    drop(state);
    if let Some(site) = site(shared, by) {
        shared.record.add(Event::Opened {
            stream: STREAM.into(),
            site,
        });
    }
    (number, by)
}

fn gone(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let seen = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    !matches!(seen, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

fn poll(
    stream: &TcpStream,
    shared: &Shared,
    held: &mut Option<(u64, Option<usize>)>,
) -> Option<()> {
    let (mut buffer, mut filled) = (vec![0; 16 * 1024], 0);
    let soon = || Instant::now() + Duration::from_secs(60);
    let request = read_request(
        stream,
        &mut buffer,
        &mut filled,
        soon(),
        soon,
        &mut |_, _| (),
    )
    .ok()?;
    if held.is_none() {
        *held = Some(opened(stream, shared));
    }
    shared.polls.fetch_add(1, Ordering::Relaxed);
    let query = request.path.strip_prefix("/journal?")?;
    let number = |name: &str| {
        query
            .split('&')
            .find_map(|p| p.strip_prefix(name)?.parse::<u64>().ok())
    };
    let (tail, wait) = (number("tail=")? as usize, number("max_wait=")?.min(LONGEST));
    let until = Instant::now() + Duration::from_millis(wait);
    let mut state = shared.state();
    // One whose place is of an earlier epoch is told at once where this one stands.
    while state.events.len() == tail {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        state = shared
            .more
            .wait_timeout(state, left.min(LOOK))
            .unwrap_or_else(PoisonError::into_inner)
            .0;
        if state.events.len() == tail && gone(stream) {
            return None;
        }
    }
    let body = feed(&state.events, tail);
    drop(state);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    shared
        .bytes
        .fetch_add((head.len() + body.len()) as u64, Ordering::Relaxed);
    write_all(stream, &[head.as_bytes(), body.as_bytes()], soon()).ok()
}
