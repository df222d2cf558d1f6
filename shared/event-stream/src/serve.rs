//! The journal's long poll as a relay serves it: numbers go on from the reader's own, whichever process it asked before. A
//! connection is a reader: a new one begins with the whole list, and is told that something may be missing where it read before.

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

const STACK: usize = 256 * 1024;
const REQUEST: usize = 4 * 1024;
/// Between two asks of one reader, and for one answer to be taken: one that is slower comes again.
const PATIENCE: Duration = Duration::from_secs(6);
/// The longest wait that the journal service grants.
const LONGEST: u64 = 5_000;

/// Serves for as long as the process runs, at most so many connections at once; where it listens.
pub fn serve(readers: &Arc<StreamReaders>, on: SocketAddr, most: usize) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(on)?;
    let address = listener.local_addr()?;
    let (readers, open) = (readers.clone(), Arc::new(AtomicUsize::new(0)));
    named("feed", move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                // Out of descriptors, most likely: some will be closed.
                thread::sleep(Duration::from_millis(10));
                continue;
            };
            if open.fetch_add(1, Ordering::SeqCst) >= most {
                open.fetch_sub(1, Ordering::SeqCst);
                continue;
            }
            let (readers, counted) = (readers.clone(), open.clone());
            let served = named("feed reader", move || {
                let _ = one(&stream, &readers);
                counted.fetch_sub(1, Ordering::SeqCst);
            });
            if served.is_err() {
                open.fetch_sub(1, Ordering::SeqCst);
            }
        }
    })?;
    Ok(address)
}

fn named(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .name(name.to_string())
        .stack_size(STACK)
        .spawn(body)
        .map(drop)
}

fn one(stream: &TcpStream, readers: &Arc<StreamReaders>) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let (mut buffer, mut filled) = (vec![0; REQUEST], 0);
    let mut reading: Option<Subscription> = None;
    // Told, and not known to have come: told again where the reader asks from before.
    let mut told: Vec<Entry> = Vec::new();
    loop {
        let soon = || Instant::now() + PATIENCE;
        let request = read_request(
            stream,
            &mut buffer,
            &mut filled,
            soon(),
            soon,
            &mut |_, _| (),
        )
        .ok()?;
        let Some((tail, wait)) = asked(&request.path) else {
            return answer(stream, "404 Not Found", "");
        };
        let until = Instant::now() + Duration::from_millis(wait.min(LONGEST));
        told.retain(|entry| entry.pos > tail);
        let known = reading
            .as_mut()
            .filter(|reading| reading.after == tail || !told.is_empty());
        let reading = match known {
            Some(reading) => reading,
            None => {
                told.clear();
                // How long one that comes again was away nobody knows: something may be missing.
                let again = tail > 0;
                if again {
                    let lost = Some(Lost { from: 1, to: None });
                    told.push(Entry {
                        pos: tail + 1,
                        lost,
                        ..Entry::default()
                    });
                }
                match readers.read(tail + u64::from(again)) {
                    Ok(new) => reading.insert(new),
                    Err(SubscriptionEnded) => return answer(stream, "503 Service Unavailable", ""),
                }
            }
        };
        reading.took(tail);
        if told.iter().all(|entry| entry.lost.is_some()) {
            match reading.next(until) {
                Ok(next) => told.extend(next),
                Err(SubscriptionEnded) => return answer(stream, "503 Service Unavailable", ""),
            }
        }
        let feed = EventBatch {
            pos: reading.after,
            entries: told.clone(),
        };
        answer(stream, "200 OK", &simd_json::serde::to_string(&feed).ok()?)?;
    }
}

fn asked(path: &str) -> Option<(u64, u64)> {
    let query = path.strip_prefix("/journal?")?;
    let number = |name: &str| {
        query
            .split('&')
            .find_map(|part| part.strip_prefix(name)?.parse::<u64>().ok())
    };
    Some((number("tail=")?, number("max_wait=").unwrap_or(0)))
}

fn answer(stream: &TcpStream, status: &str, body: &str) -> Option<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    write_all(
        stream,
        &[head.as_bytes(), body.as_bytes()],
        Instant::now() + PATIENCE,
    )
    .ok()
}
