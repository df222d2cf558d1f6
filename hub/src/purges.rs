//! The journal service's purges: a gapless long poll, each event once, in order. What it tells of hosts is passed
//! over. An answer that is lost or can't be read is asked for again, from the last event taken.

use crate::state::Hub;
use foldmux_http1::io::write_all;
use foldmux_http1::read_response;
use serde::Deserialize;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Weak;
use std::thread;
use std::time::{Duration, Instant};

const WAIT: Duration = Duration::from_millis(1_000);
/// Beyond the wait, until an answer counts as lost.
const PATIENCE: Duration = Duration::from_millis(1_500);
const BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));
const ANSWER: usize = 1024 * 1024;

#[derive(Debug, Deserialize)]
struct Feed {
    #[serde(default)]
    entries: Vec<Entry>,
}

#[derive(Debug, Deserialize)]
struct Entry {
    pos: u64,
    expire: Option<Expire>,
}

#[derive(Debug, Deserialize)]
struct Expire {
    name: Option<String>,
    stamp: u64,
}

/// Follows the journal for as long as the hub is there.
pub fn follow(hub: &Weak<Hub>, address: SocketAddr) {
    let (mut pos, mut backoff, mut buffer) = (0, BACKOFF.0, vec![0; ANSWER]);
    let mut link = None;
    loop {
        let polled = poll(&mut link, address, pos, &mut buffer);
        let Some(hub) = hub.upgrade() else { return };
        if hub.leaving.load(Ordering::SeqCst) {
            return;
        }
        match polled.and_then(|feed| take(&hub, &feed, &mut pos)) {
            Ok(()) => backoff = BACKOFF.0,
            Err(why) => {
                tracing::warn!("journal service: {why}; asking again in {backoff:?}");
                link = None;
                drop(hub);
                thread::sleep(backoff);
                backoff = (backoff * 2).min(BACKOFF.1);
            }
        }
    }
}

fn take(hub: &Hub, feed: &Feed, pos: &mut u64) -> Result<(), String> {
    for entry in feed.entries.iter().filter(|e| e.pos > 0) {
        if entry.pos <= *pos {
            continue;
        }
        if entry.pos != *pos + 1 {
            return Err(format!("event {} came after {pos}", entry.pos));
        }
        *pos = entry.pos;
        if let Some(Expire { name, stamp }) = &entry.expire {
            // A group, or a name that can't be read, may be any object here.
            let object = name.as_deref().and_then(|name| u64::from_str_radix(name, 16).ok());
            hub.purge(object, *stamp);
        }
    }
    Ok(())
}

fn poll(
    link: &mut Option<TcpStream>,
    address: SocketAddr,
    pos: u64,
    buffer: &mut [u8],
) -> Result<Feed, String> {
    let stream = match link.take() {
        Some(stream) => stream,
        None => TcpStream::connect_timeout(&address, PATIENCE).map_err(|e| format!("{address}: {e}"))?,
    };
    let until = Instant::now() + WAIT + PATIENCE;
    let ask =
        format!("GET /journal?tail={pos}&max_wait={} HTTP/1.1\r\nHost: {address}\r\n\r\n", WAIT.as_millis());
    write_all(&stream, &[ask.as_bytes()], until).map_err(|e| format!("not asked: {e:?}"))?;
    let answer = read_response(&stream, buffer, until).map_err(|e| format!("no answer: {e:?}"))?;
    if answer.status != 200 {
        return Err(format!("status {}", answer.status));
    }
    let feed =
        simd_json::serde::from_slice(&mut buffer[answer.body]).map_err(|e| format!("no events: {e}"))?;
    if answer.reusable {
        *link = Some(stream);
    }
    Ok(feed)
}
