//! The journal's long poll, served by a relay. Event numbers continue from the reader's own, whichever
//! process it polled before. Each connection is one subscription: a new one starts with a full list, and a
//! reader that polled elsewhere before is told that events may be missing.

use crate::journal::{Entry, EventBatch, Lost};
use crate::readers::{StreamReaders, Subscription, SubscriptionEnded};
use foldmux_http1::io::write_all;
use foldmux_http1::request::read_request;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const STACK_BYTES: usize = 256 * 1024;
const MAX_REQUEST_BYTES: usize = 4 * 1024;
/// The longest time between two polls of a reader, and for a response to be written. A slower reader has to
/// reconnect.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(6);
/// The longest wait that the journal service grants, in milliseconds.
const MAX_WAIT_MS: u64 = 5_000;

/// Serves the stream at `address` for as long as the process runs, to at most `max_connections` at once.
/// Returns the bound address.
///
/// # Errors
///
/// When the address can't be bound or the thread can't be started.
pub fn serve(
    readers: &Arc<StreamReaders>,
    address: SocketAddr,
    max_connections: usize,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let (readers, connections) = (readers.clone(), Arc::new(AtomicUsize::new(0)));
    spawn("feed", move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                // Most likely out of file descriptors; some will be closed.
                thread::sleep(Duration::from_millis(10));
                continue;
            };
            if connections.fetch_add(1, Ordering::SeqCst) >= max_connections {
                connections.fetch_sub(1, Ordering::SeqCst);
                continue;
            }
            let (readers, connections_of_thread) = (readers.clone(), connections.clone());
            let spawned = spawn("feed reader", move || {
                let _ = serve_connection(&stream, &readers);
                connections_of_thread.fetch_sub(1, Ordering::SeqCst);
            });
            if spawned.is_err() {
                connections.fetch_sub(1, Ordering::SeqCst);
            }
        }
    })?;
    Ok(address)
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .name(name.to_string())
        .stack_size(STACK_BYTES)
        .spawn(body)
        .map(drop)
}

fn serve_connection(stream: &TcpStream, readers: &Arc<StreamReaders>) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let (mut buffer, mut filled) = (vec![0; MAX_REQUEST_BYTES], 0);
    let mut subscription: Option<Subscription> = None;
    // Entries that were sent and not yet acknowledged. They are sent again if the reader polls from before
    // them.
    let mut unacknowledged: Vec<Entry> = Vec::new();
    loop {
        let deadline = || Instant::now() + CLIENT_TIMEOUT;
        let request = read_request(
            stream,
            &mut buffer,
            &mut filled,
            deadline(),
            deadline,
            &mut |_, _| (),
        )
        .ok()?;
        let Some((tail, wait)) = parse_poll(&request.path) else {
            return respond(stream, "404 Not Found", "");
        };
        let until = Instant::now() + Duration::from_millis(wait.min(MAX_WAIT_MS));
        unacknowledged.retain(|entry| entry.pos > tail);
        let known = subscription
            .as_mut()
            .filter(|subscription| subscription.position == tail || !unacknowledged.is_empty());
        let subscription = match known {
            Some(subscription) => subscription,
            None => {
                unacknowledged.clear();
                // It is unknown how long a returning reader was away: events may be missing.
                let resumed = tail > 0;
                if resumed {
                    let lost = Some(Lost { from: 1, to: None });
                    unacknowledged.push(Entry {
                        pos: tail + 1,
                        lost,
                        ..Entry::default()
                    });
                }
                match readers.subscribe(tail + u64::from(resumed)) {
                    Ok(new) => subscription.insert(new),
                    Err(SubscriptionEnded) => {
                        return respond(stream, "503 Service Unavailable", "")
                    }
                }
            }
        };
        subscription.acknowledge(tail);
        if unacknowledged.iter().all(|entry| entry.lost.is_some()) {
            match subscription.receive(until) {
                Ok(next) => unacknowledged.extend(next),
                Err(SubscriptionEnded) => return respond(stream, "503 Service Unavailable", ""),
            }
        }
        let batch = EventBatch {
            pos: subscription.position,
            entries: unacknowledged.clone(),
        };
        respond(stream, "200 OK", &simd_json::serde::to_string(&batch).ok()?)?;
    }
}

fn parse_poll(path: &str) -> Option<(u64, u64)> {
    let query = path.strip_prefix("/journal?")?;
    let number = |name: &str| {
        query
            .split('&')
            .find_map(|part| part.strip_prefix(name)?.parse::<u64>().ok())
    };
    Some((number("tail=")?, number("max_wait=").unwrap_or(0)))
}

fn respond(stream: &TcpStream, status: &str, body: &str) -> Option<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    write_all(
        stream,
        &[head.as_bytes(), body.as_bytes()],
        Instant::now() + CLIENT_TIMEOUT,
    )
    .ok()
}
