//! A stand-in journal service: numbered events by long poll, as the protocol tells them.

use crate::server::Server;
use foldmux_http1::io::write_all;
use foldmux_http1::request::read_request;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    /// Each with its position at its front.
    events: Mutex<Vec<String>>,
    more: Condvar,
}

pub struct Journal {
    server: Server,
    state: Arc<State>,
}

/// A line of the list.
#[derive(Clone, Debug)]
pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Host {
    pub fn json(&self) -> String {
        let Host {
            name,
            address,
            zone,
            kind,
            status,
            since_ms,
        } = self;
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"{kind}","group":0,"status":"{status}","weight":1,"since_ms":{since_ms}}}"#
        )
    }
}

/// The event that tells of hosts; `whole` where it is the list.
pub fn hosts(whole: bool, hosts: &[Host]) -> String {
    let lines: Vec<String> = hosts.iter().map(Host::json).collect();
    format!(
        r#""hosts":{{"index":1,"snapshot":{whole},"endpoints":[{}]}}"#,
        lines.join(",")
    )
}

pub fn purged(object: u64, stamp_ms: u64) -> String {
    format!(r#""expire":{{"name":"{object:016x}","stamp":{stamp_ms}}}"#)
}

impl Journal {
    pub fn start() -> Journal {
        let state = Arc::new(State::default());
        let own = state.clone();
        let server = Server::start(move |stream| while serve(stream, &own).is_some() {});
        Journal { server, state }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Adds an event, such as [`hosts`] or [`purged`] give; its position.
    pub fn tell(&self, event: &str) -> u64 {
        let mut events = self.state.events.lock().unwrap();
        let pos = events.len() as u64 + 1;
        events.push(format!(r#"{{"pos":{pos},{event}}}"#));
        self.state.more.notify_all();
        pos
    }

    /// All events so far, in the form of `known` in a configuration.
    pub fn known(&self) -> String {
        feed(&self.state.events.lock().unwrap(), 0)
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

fn serve(stream: &TcpStream, state: &State) -> Option<()> {
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
    let query = request.path.strip_prefix("/journal?")?;
    let number = |name: &str| {
        query
            .split('&')
            .find_map(|p| p.strip_prefix(name)?.parse::<u64>().ok())
    };
    let (tail, wait) = (number("tail=")? as usize, number("max_wait=")?.min(5_000));
    let events = state.events.lock().unwrap();
    let none = |events: &mut Vec<String>| events.len() <= tail;
    let (events, _) = state
        .more
        .wait_timeout_while(events, Duration::from_millis(wait), none)
        .unwrap();
    let body = feed(&events, tail);
    drop(events);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    write_all(stream, &[head.as_bytes(), body.as_bytes()], soon()).ok()
}
