//! Many readers of served journals on few threads: each has a connection of its own, polls as an instance or a hub does, and
//! goes to another process of its site when its own is gone, on with its own numbers.

use crate::news::PURGES;
use crate::place::Place;
use crate::reader::One;
use crate::record::{Event, Record};
use mio::{Events, Poll, Token};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Between two looks at timers and at what is asked.
const LOOK: Duration = Duration::from_millis(5);

/// A reader to begin: its number, its site, where it reads first and after that, and how long its polls wait.
#[derive(Clone, Debug)]
pub struct Begin {
    pub reader: u64,
    pub site: String,
    pub addresses: Vec<SocketAddr>,
    pub wait: Duration,
}

enum Ask {
    Begin(Begin),
    End(u64),
    /// All break their connections, and come back at once.
    Break,
}

/// What all readers heard, for those who wait for it.
#[derive(Default)]
pub struct Heard {
    /// By reader: the last purge; and the connections that it has made.
    pub last: BTreeMap<u64, (u64, u64)>,
    pub connected: u64,
    pub wholes: u64,
    pub losses: u64,
    /// Of each purge to each reader, from when the source told it, in microseconds.
    pub delays: Vec<u64>,
}

/// When the source told a purge, by its epoch and number.
pub type When = Arc<dyn Fn(u64, u64) -> Option<Instant> + Send + Sync>;

pub(crate) struct Shared {
    pub heard: Mutex<Heard>,
    pub record: Record,
    pub when: When,
    over: AtomicBool,
}

impl Shared {
    pub fn heard(&self) -> MutexGuard<'_, Heard> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

pub struct Readers {
    shared: Arc<Shared>,
    asks: Vec<Sender<Ask>>,
    threads: Vec<JoinHandle<()>>,
}

impl Readers {
    /// `when` says when the source told a purge.
    pub fn start(threads: usize, record: &Record, when: When) -> std::io::Result<Readers> {
        let shared = Arc::new(Shared {
            heard: Mutex::default(),
            record: record.clone(),
            when,
            over: AtomicBool::new(false),
        });
        let (mut asks, mut running) = (Vec::new(), Vec::new());
        for _ in 0..threads.max(1) {
            let (sender, asked) = channel();
            let (poll, own) = (Poll::new()?, shared.clone());
            asks.push(sender);
            running.push(
                thread::Builder::new()
                    .name("readers".into())
                    .spawn(move || run(poll, &own, &asked))?,
            );
        }
        Ok(Readers {
            shared,
            asks,
            threads: running,
        })
    }

    pub fn begin(&self, begin: Begin) {
        let Begin { reader, site, .. } = begin.clone();
        self.shared.record.add(Event::Joined {
            stream: PURGES.into(),
            site,
            reader,
        });
        let _ = self.asks[reader as usize % self.asks.len()].send(Ask::Begin(begin));
    }

    pub fn end(&self, reader: u64) {
        let _ = self.asks[reader as usize % self.asks.len()].send(Ask::End(reader));
    }

    pub fn break_all(&self) {
        self.asks
            .iter()
            .for_each(|asks| drop(asks.send(Ask::Break)));
    }

    /// Waits until so many readers have heard a purge, or a later one; whether they have.
    pub fn reached(&self, count: usize, at: (u64, u64), within: Duration) -> bool {
        let until = Instant::now() + within;
        while self.look(|heard| heard.last.values().filter(|last| **last >= at).count()) < count {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(LOOK);
        }
        true
    }

    pub fn look<T>(&self, look: impl FnOnce(&mut Heard) -> T) -> T {
        look(&mut self.shared.heard())
    }
}

impl Drop for Readers {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
        self.threads
            .drain(..)
            .for_each(|thread| drop(thread.join()));
    }
}

fn run(mut poll: Poll, shared: &Shared, asked: &Receiver<Ask>) {
    let (mut all, mut events) = (BTreeMap::<u64, One>::new(), Events::with_capacity(1_024));
    let mut timers = Instant::now();
    while !shared.over.load(Ordering::SeqCst) {
        while let Ok(ask) = asked.try_recv() {
            match ask {
                Ask::Begin(begin) => {
                    let place = Place::new(begin.reader);
                    all.insert(begin.reader, One::new(begin, place));
                }
                Ask::End(reader) => {
                    let Some(one) = all.remove(&reader) else {
                        continue;
                    };
                    let site = one.site().to_string();
                    drop(one);
                    shared.heard().last.remove(&reader);
                    shared.record.add(Event::Parted {
                        stream: PURGES.into(),
                        site,
                        reader,
                    });
                }
                Ask::Break => all.values_mut().for_each(|one| one.hang_up(Instant::now())),
            }
        }
        if poll.poll(&mut events, Some(LOOK)).is_err() {
            continue;
        }
        for event in &events {
            let Token(reader) = event.token();
            if let Some(one) = all.get_mut(&(reader as u64)) {
                one.ready(shared);
            }
        }
        if timers.elapsed() >= LOOK {
            timers = Instant::now();
            all.values_mut()
                .for_each(|one| one.tick(timers, poll.registry()));
        }
    }
}
