//! One reader's connection: a long poll after the other, without ever waiting.

use crate::place::Place;
use crate::readers::{Begin, Shared};
use foldmux_event_stream::journal::EventBatch;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::io::{ErrorKind, Read, Write};
use std::time::{Duration, Instant};

/// Beyond the wait, until an answer counts as lost.
const PATIENCE: Duration = Duration::from_millis(700);
/// Between two tries at processes that are down.
const AGAIN: Duration = Duration::from_millis(10);
const DOUBLED: u32 = 6;
const ANSWER: usize = 4 * 1024 * 1024;

pub struct One {
    begin: Begin,
    place: Place,
    at: usize,
    /// Tries in vain, one after the other.
    tries: u32,
    stream: Option<TcpStream>,
    asked: bool,
    filled: Vec<u8>,
    /// When it tries again, or when its answer counts as lost.
    due: Instant,
}

impl One {
    pub fn new(begin: Begin, place: Place) -> One {
        One {
            begin,
            place,
            at: 0,
            tries: 0,
            stream: None,
            asked: false,
            filled: Vec::new(),
            due: Instant::now(),
        }
    }

    pub fn site(&self) -> &str {
        &self.begin.site
    }

    pub fn hang_up(&mut self, due: Instant) {
        (self.stream, self.asked, self.due) = (None, false, due);
        self.filled.clear();
    }

    /// Its process is gone, or says no: the next one.
    fn lost(&mut self) {
        self.at += 1;
        self.tries += 1;
        // Each its own, so that those of one process do not come back in step.
        let part = 100 + self.begin.reader.wrapping_mul(37) % 100;
        let wait = AGAIN * (1 << (self.tries - 1).min(DOUBLED)) * part as u32 / 100;
        self.hang_up(Instant::now() + wait);
    }

    pub fn tick(&mut self, now: Instant, registry: &Registry) {
        if now < self.due {
            return;
        }
        if self.stream.is_some() {
            return self.lost();
        }
        self.due = now + self.begin.wait + PATIENCE;
        let address = self.begin.addresses[self.at % self.begin.addresses.len()];
        let token = Token(self.begin.reader as usize);
        let opened = TcpStream::connect(address).and_then(|mut stream| {
            registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
            Ok(stream)
        });
        match opened {
            Ok(stream) => self.stream = Some(stream),
            Err(_) => self.lost(),
        }
    }

    /// Something can be read or written.
    pub(crate) fn ready(&mut self, shared: &Shared) {
        if self.go_on(shared).is_none() {
            self.lost();
        }
    }

    fn go_on(&mut self, shared: &Shared) -> Option<()> {
        let Some(stream) = &mut self.stream else {
            return Some(());
        };
        if !self.asked {
            match stream.peer_addr() {
                Err(e) if e.kind() == ErrorKind::NotConnected => {
                    return stream.take_error().ok()?.is_none().then_some(());
                }
                Err(_) => return None,
                Ok(_) => {}
            }
            let _ = stream.set_nodelay(true);
            shared.heard().connected += 1;
            self.ask()?;
        }
        let mut piece = [0; 16 * 1024];
        loop {
            match self.stream.as_mut()?.read(&mut piece) {
                Ok(0) => return None,
                Ok(n) => self.filled.extend_from_slice(&piece[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Some(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return None,
            }
            while let Some((status, from, to)) = self.whole()? {
                let feed: EventBatch = serde_json::from_slice(&self.filled[from..to])
                    .ok()
                    .filter(|_| status == 200)?;
                self.filled.drain(..to);
                self.take(shared, &feed);
                self.ask()?;
            }
        }
    }

    /// The status and the body's place, once the answer is here. None: it can't be read.
    #[allow(clippy::option_option)]
    fn whole(&self) -> Option<Option<(u16, usize, usize)>> {
        let mut fields = [httparse::EMPTY_HEADER; 16];
        let mut head = httparse::Response::new(&mut fields);
        let Ok(parsed) = head.parse(&self.filled) else {
            return None;
        };
        let httparse::Status::Complete(from) = parsed else {
            return Some(None);
        };
        let length = head
            .headers
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case("content-length"))?;
        let length: usize = std::str::from_utf8(length.value).ok()?.parse().ok()?;
        let (status, to) = (head.code?, from + length);
        if to > ANSWER {
            return None;
        }
        Some((self.filled.len() >= to).then_some((status, from, to)))
    }

    /// A request is far smaller than what a socket takes at once.
    fn ask(&mut self) -> Option<()> {
        let (tail, wait) = (self.place.own, self.begin.wait);
        let text = format!(
            "GET /journal?tail={tail}&max_wait={} HTTP/1.1\r\nHost: rig\r\n\r\n",
            wait.as_millis()
        );
        self.asked = true;
        self.due = Instant::now() + wait + PATIENCE;
        (self.stream.as_mut()?.write(text.as_bytes()).ok()? == text.len()).then_some(())
    }

    fn take(&mut self, shared: &Shared, feed: &EventBatch) {
        let (wholes, losses) = (self.place.wholes, self.place.losses);
        // What one that comes new is told of before is no delay.
        let new = self.place.last.is_none();
        let (events, fresh) = self.place.take(feed);
        self.tries = 0;
        let now = Instant::now();
        events
            .into_iter()
            .for_each(|event| shared.record.add(event));
        let delays: Vec<u64> = fresh
            .iter()
            .filter(|_| !new)
            .filter_map(|(epoch, number)| (shared.when)(*epoch, *number))
            .map(|told| now.saturating_duration_since(told).as_micros() as u64)
            .collect();
        let mut heard = shared.heard();
        heard.wholes += self.place.wholes - wholes;
        heard.losses += self.place.losses - losses;
        heard.delays.extend(delays);
        if let Some(last) = self.place.last.filter(|_| !fresh.is_empty()) {
            heard.last.insert(self.begin.reader, last);
        }
    }
}
