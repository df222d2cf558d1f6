//! Who dials and who accepts. Both ends dial whom they have no link to; a thread for each peer does, and is then the
//! link's reader. One thread accepts; each connection has a reader of its own, and each link a writer.

use crate::frame::Way;
use crate::hello::{Begun, Own, Refused};
use crate::link::Link;
use crate::listen::{listen, LOOK_EVERY};
use crate::live::Live;
use crate::wire::{self, DeadlineReader};
use crate::{Config, Counts, Incoming, Session};
use crossbeam_channel::Sender;
use foldmux_replicas::Peer;
use foldmux_sockets::dial::dial;
use foldmux_sockets::stream;
use foldmux_sockets::verdict::{on_accept, OnAccept};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime};

const STACK: usize = 128 * 1024;

struct Shared {
    config: Config,
    session: Session,
    live: Live,
    counts: Counts,
    incoming: Sender<Incoming>,
    accepted: AtomicUsize,
    address: Mutex<Option<SocketAddr>>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

/// The links of this process. Dropped, they end, and with them every thread.
pub struct Links(Arc<Shared>);

impl Links {
    /// Fails where the address can't be listened on. One that is in use is waited for: a new version may start beside
    /// the old one, and dials meanwhile.
    pub fn start(config: Config, incoming: Sender<Incoming>) -> io::Result<Links> {
        let mut nonce = [0; 8];
        getrandom::fill(&mut nonce).map_err(io::Error::from)?;
        let began = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let session = Session {
            began: began.as_micros() as u64,
            nonce: u64::from_le_bytes(nonce),
        };
        let listener = listen(config.listen)?;
        let shared = Arc::new(Shared {
            session,
            live: Live::new(config.name.clone(), incoming.clone()),
            counts: Counts::default(),
            incoming,
            accepted: AtomicUsize::new(0),
            address: Mutex::new(listener.as_ref().and_then(|l| l.local_addr().ok())),
            threads: Mutex::default(),
            config,
        });
        let links = Links(shared.clone());
        let accepting = shared.clone();
        shared.spawn("fleet-accept", move || accepting.accept(listener))?;
        for at in 0..shared.config.peers.len() {
            if shared.config.peers[at].0 != shared.config.name {
                let dialling = shared.clone();
                shared.spawn("fleet-dial", move || dialling.dial(at))?;
            }
        }
        Ok(links)
    }

    /// Queues a message for a peer. Never waits; `false` where it has no link or no room, which is counted.
    pub fn send(&self, peer: &Peer, part: u8, bytes: Vec<u8>) -> bool {
        self.queue(self.0.live.newest(peer), part, bytes)
    }

    /// Queues an answer for the process that asked, also where a newer one of its name is linked.
    pub fn answer(&self, peer: &Peer, session: Session, part: u8, bytes: Vec<u8>) -> bool {
        let asker = self.0.live.of(peer, session);
        self.queue(asker.or_else(|| self.0.live.newest(peer)), part, bytes)
    }

    fn queue(&self, link: Option<Arc<Link>>, part: u8, bytes: Vec<u8>) -> bool {
        let Some(link) = link else {
            self.0.counts.unlinked.one();
            return false;
        };
        let queued = link.send(part, bytes, &self.0.config.bounds);
        if !queued {
            self.0.counts.dropped.one();
        }
        queued
    }

    /// Waits until what was queued so far is with the sockets, no longer than until then: before leaving.
    pub fn drain(&self, until: Instant) {
        self.0.live.all().iter().for_each(|link| link.drain(until));
    }

    /// Where it listens; none while the address is in use by another.
    pub fn address(&self) -> Option<SocketAddr> {
        *self
            .0
            .address
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub fn session(&self) -> Session {
        self.0.session
    }

    pub fn counts(&self) -> &Counts {
        &self.0.counts
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.0.live.end();
        // Threads may start others until each has seen the end.
        loop {
            let taken = std::mem::take(
                &mut *self
                    .0
                    .threads
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner),
            );
            if taken.is_empty() {
                return;
            }
            taken.into_iter().for_each(|thread| drop(thread.join()));
        }
    }
}

impl Shared {
    fn spawn(
        self: &Arc<Shared>,
        name: &str,
        body: impl FnOnce() + Send + 'static,
    ) -> io::Result<()> {
        let thread = thread::Builder::new()
            .name(name.to_string())
            .stack_size(STACK)
            .spawn(body)?;
        let mut threads = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
        threads.retain(|thread| !thread.is_finished());
        threads.push(thread);
        Ok(())
    }

    fn accept(self: Arc<Shared>, mut listener: Option<TcpListener>) {
        while !self.live.has_ended() {
            let Some(listening) = &listener else {
                self.live.pause(LOOK_EVERY);
                listener = listen(self.config.listen).ok().flatten();
                let address = listener.as_ref().and_then(|l| l.local_addr().ok());
                *self.address.lock().unwrap_or_else(PoisonError::into_inner) = address;
                continue;
            };
            match listening.accept() {
                Ok((stream, _)) => self.take(stream),
                Err(e) if on_accept(&e) == OnAccept::Quiet => {}
                // Guards against spinning on an error that stays.
                Err(_) => drop(self.live.pause(Duration::from_millis(20))),
            }
        }
    }

    fn take(self: &Arc<Shared>, stream: TcpStream) {
        // No peer takes a link for up that would end at once.
        if self.live.has_ended() {
            return;
        }
        if self.accepted.fetch_add(1, Ordering::SeqCst) >= self.config.bounds.accepted {
            self.accepted.fetch_sub(1, Ordering::SeqCst);
            return self.counts.crowded.one();
        }
        let place = Place(self.clone());
        let _ = self.spawn("fleet-link", move || {
            let shared = place.0.clone();
            let accept = |own: &Own, stream: &TcpStream, reader: &mut DeadlineReader| {
                own.accept(stream, reader)
            };
            if let Err(refused) = shared.one(stream, accept, false) {
                shared.counts.strangers.one();
                // Closed last: whoever sees the end finds it counted, and its place free.
                drop(place);
                drop(refused);
            }
        });
    }

    fn dial(self: Arc<Shared>, at: usize) {
        let (peer, address) = &self.config.peers[at];
        let (first, longest) = self.config.bounds.again;
        let mut draws = fastrand::Rng::with_seed(self.config.seed ^ (at as u64) << 32);
        let mut most = first;
        while self.live.wait_for_none(peer) {
            let dialled = dial(*address, self.config.bounds.dial, &|_| true)
                .ok()
                .and_then(Arc::into_inner);
            let lasted = dialled.and_then(|s| {
                self.one(s, |own, s, reader| own.dial(s, reader, peer), true)
                    .ok()
            });
            // One that lasted begins anew; any other doubles the range that its wait is drawn from.
            match lasted {
                Some(lasted) if lasted > self.config.bounds.idle => most = first,
                Some(_) => most = (most * 2).min(longest),
                None => {
                    self.counts.undialled.one();
                    most = (most * 2).min(longest);
                }
            }
            if !self.live.pause(most.mul_f64(0.5 + draws.f64() / 2.0)) {
                return;
            }
        }
    }

    /// One connection, from hello to end: how long it was a link.
    ///
    /// # Errors
    ///
    /// Returns the connection, still open, where it became none.
    fn one(
        self: &Arc<Shared>,
        stream: TcpStream,
        hello: impl FnOnce(&Own, &TcpStream, &mut DeadlineReader) -> Result<Begun, Refused>,
        dialled: bool,
    ) -> Result<Duration, TcpStream> {
        let bounds = &self.config.bounds;
        stream::set_nodelay(&stream);
        let Ok(read_half) = stream.try_clone() else {
            return Err(stream);
        };
        let mut reader = wire::deadline_reader(read_half, Instant::now() + bounds.hello);
        let own = Own {
            config: &self.config,
            session: self.session,
        };
        let begun = hello(&own, &stream, &mut reader);
        if begun.as_ref().err() == Some(&Refused::Version) {
            self.counts.versions.one();
        }
        let Ok(Begun { hello, says, hears }) = begun else {
            return Err(stream);
        };
        let link = Arc::new(Link::new(hello.name, hello.session, dialled, stream));
        if !self.live.join(&link) {
            return Ok(Duration::ZERO);
        }
        let up = Instant::now();
        self.counts.links.one();
        self.run(&link, reader, says, hears);
        self.live.leave(&link);
        Ok(up.elapsed())
    }

    fn run(self: &Arc<Shared>, link: &Arc<Link>, reader: DeadlineReader, says: Way, hears: Way) {
        let (writing, shared) = (link.clone(), self.clone());
        let write = move || writing.write(says, &shared.config.bounds);
        if self.spawn("fleet-write", write).is_ok() {
            link.read(
                reader,
                hears,
                &self.config.bounds,
                (&self.counts, &self.incoming),
            );
        }
        link.end();
    }
}

/// A place among the connections accepted.
struct Place(Arc<Shared>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.accepted.fetch_sub(1, Ordering::SeqCst);
    }
}
