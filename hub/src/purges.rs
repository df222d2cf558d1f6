//! The journal service's purges: a gapless long poll, each event once, in order. What it tells of hosts is passed
//! over. An answer that is lost or can't be read is asked for again, from the last event taken, after a wait that each hub
//! draws for itself.

use crate::state::Hub;
use foldmux_event_stream::backoff::Backoff;
use foldmux_event_stream::journal::{EventBatch, Expire};
use foldmux_http1::io::write_all;
use foldmux_http1::read_response;
use foldmux_sockets::dial::dial;
use foldmux_stats::mix;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};
use std::thread;
use std::time::{Duration, Instant};

/// The longest that a poll asks for.
const WAIT: Duration = Duration::from_millis(1_000);
/// Beyond that wait, until an answer counts as lost.
const PATIENCE: Duration = Duration::from_millis(1_500);
const ANSWER: usize = 1024 * 1024;

/// How a hub of this name waits: hubs whose connections break at once must not come back in step.
pub fn backoff(name: &str) -> Backoff {
    Backoff::new(name.bytes().fold(0, |seed, byte| mix(seed ^ byte as u64)))
}

/// Follows the journal for as long as the hub is there.
pub fn follow(hub: &Weak<Hub>, address: SocketAddr) {
    let Some(mut backoff) = hub.upgrade().map(|hub| backoff(&hub.name)) else {
        return;
    };
    let (mut pos, mut buffer) = (0, vec![0; ANSWER]);
    let mut link = None;
    loop {
        let polled = poll(
            &mut link,
            address,
            pos,
            backoff.poll_wait(WAIT),
            &mut buffer,
        );
        let Some(hub) = hub.upgrade() else { return };
        if hub.leaving.load(Ordering::SeqCst) {
            return;
        }
        match polled.and_then(|feed| take(&hub, &feed, &mut pos)) {
            Ok(()) => backoff.reset(),
            Err(why) => {
                let wait = backoff.next_delay();
                tracing::warn!("journal service: {why}; asking again in {wait:?}");
                link = None;
                drop(hub);
                thread::sleep(wait);
            }
        }
    }
}

fn take(hub: &Hub, feed: &EventBatch, pos: &mut u64) -> Result<(), String> {
    for entry in feed.entries.iter().filter(|e| e.pos > 0) {
        if entry.pos <= *pos {
            continue;
        }
        if entry.pos != *pos + 1 {
            return Err(format!("event {} came after {pos}", entry.pos));
        }
        *pos = entry.pos;
        if let Some(Expire { name, stamp, .. }) = &entry.expire {
            // A group, or a name that can't be read, may be any object here.
            let object = name
                .as_deref()
                .and_then(|name| u64::from_str_radix(name, 16).ok());
            hub.purge(object, *stamp);
        }
    }
    Ok(())
}

fn poll(
    link: &mut Option<Arc<TcpStream>>,
    address: SocketAddr,
    pos: u64,
    wait: Duration,
    buffer: &mut [u8],
) -> Result<EventBatch, String> {
    let stream = match link.take() {
        Some(stream) => stream,
        None => dial(address, PATIENCE, &|_| true).map_err(|e| format!("{address}: {e}"))?,
    };
    let until = Instant::now() + wait + PATIENCE;
    let ask = format!(
        "GET /journal?tail={pos}&max_wait={} HTTP/1.1\r\nHost: {address}\r\n\r\n",
        wait.as_millis()
    );
    write_all(&stream, &[ask.as_bytes()], until).map_err(|e| format!("not asked: {e:?}"))?;
    let answer = read_response(&stream, buffer, until).map_err(|e| format!("no answer: {e:?}"))?;
    if answer.status != 200 {
        return Err(format!("status {}", answer.status));
    }
    let feed = simd_json::serde::from_slice(&mut buffer[answer.body])
        .map_err(|e| format!("no events: {e}"))?;
    if answer.reusable {
        *link = Some(stream);
    }
    Ok(feed)
}

#[cfg(test)]
mod tests;
