//! A fleet in virtual time: processes, links that lose, delay and are cut, a source that each process reads by long polls
//! of its own, and readers whose every event goes by the plain model of [`model`].
#![allow(dead_code)]

pub mod faults;
mod io;
mod looks;
pub mod model;

use foldmux_relay::{Ask, First, Item, Message, Place, Relay, Slow, Stream};
use foldmux_replicas::{Peer, StateMachine, Time};
use model::{Log, Model};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub const MS: Time = 1_000;
pub const LEASE: Time = 500 * MS;
pub const PATIENCE: Time = 150 * MS;
/// A poll without news, and one that is lost, as the edge proxy's.
const WAIT: Time = 1_000 * MS;
const LOST: Time = 1_700 * MS;

pub fn stream(slow: Slow, first: First, shared: bool) -> Stream {
    Stream {
        name: "s".into(),
        slow,
        first,
        shared,
        patience: PATIENCE,
        window: 10_000 * MS,
        items: 64,
        bytes: 1 << 16,
        keys: 64,
        ahead: 16,
    }
}

pub struct Process {
    pub relay: Option<Relay>,
    pub life: u64,
    pub paused: bool,
    pub leaves: bool,
    /// What came while it was paused.
    held: Vec<What>,
    pub open: bool,
    /// Its first poll is answered at once.
    first: bool,
    /// Its place at the source, which outlives its relays; and which poll is out.
    tail: Place,
    poll: u64,
    tick_at: Time,
}

#[derive(Clone)]
enum What {
    Hear(usize, usize, u64, Message),
    Tick(usize, u64),
    /// A poll that comes to the source; its answer; its end without news or without an answer.
    Poll(usize, u64, u64),
    Answer(usize, u64, u64, u64, Vec<Item>),
    Quiet(usize, u64, u64),
    Unfed(usize, u64, u64),
    Take(u64, u64),
}

pub struct World {
    pub now: Time,
    pub stream: Stream,
    pub processes: Vec<Process>,
    pub places: Vec<(Peer, Vec<std::sync::Arc<str>>)>,
    pub seats: usize,
    pub log: Log,
    pub readers: BTreeMap<u64, (usize, Model)>,
    /// Of each reader that is not quick: how long it takes over each batch; `None`: forever.
    pub slow: BTreeMap<u64, Option<Time>>,
    pub next_reader: u64,
    /// (from, to); the source is `usize::MAX`.
    pub cut: BTreeSet<(usize, usize)>,
    pub loss: f64,
    waiting: BTreeMap<usize, (u64, u64)>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    whats: BTreeMap<u64, What>,
    order: u64,
    last_sent: BTreeMap<(usize, usize), Time>,
    pub draws: Xoshiro256PlusPlus,
    /// Messages and answers at the source, messages between processes; most streams open at once.
    pub polls: u64,
    pub answers: u64,
    pub sent: u64,
    pub most_open: usize,
    pub directs: u64,
}

pub const SOURCE: usize = usize::MAX;

impl World {
    /// `places`: each process's, such as `a/hub1/office2`.
    pub fn new(seed: u64, stream: Stream, places: &[&str]) -> World {
        let named = |(i, place): (usize, &&str)| {
            (
                Peer::new(&format!("n{i}")),
                place.split('/').map(Into::into).collect(),
            )
        };
        let mut world = World {
            now: 0,
            processes: Vec::new(),
            places: places.iter().enumerate().map(named).collect(),
            seats: places.len().clamp(3, 5),
            log: Log::default(),
            readers: BTreeMap::new(),
            slow: BTreeMap::new(),
            next_reader: 1,
            cut: BTreeSet::new(),
            loss: 0.0,
            waiting: BTreeMap::new(),
            queue: BinaryHeap::new(),
            whats: BTreeMap::new(),
            order: 0,
            last_sent: BTreeMap::new(),
            draws: Xoshiro256PlusPlus::seed_from_u64(seed),
            polls: 0,
            answers: 0,
            sent: 0,
            most_open: 0,
            directs: 0,
            stream,
        };
        for i in 0..places.len() {
            let relay = Some(world.made(i, 1));
            world.processes.push(Process {
                relay,
                life: 1,
                paused: false,
                leaves: false,
                held: Vec::new(),
                open: false,
                first: false,
                tail: Place {
                    epoch: 0,
                    number: 0,
                },
                poll: 0,
                tick_at: Time::MAX,
            });
        }
        world
    }

    fn at(&mut self, time: Time, what: What) {
        self.order += 1;
        self.queue.push(Reverse((time, self.order)));
        self.whats.insert(self.order, what);
    }

    pub fn drawn(&mut self, from: Time, to: Time) -> Time {
        self.draws.random_range(from..=to)
    }

    /// Runs until then.
    pub fn run(&mut self, until: Time) {
        while let Some(&Reverse((time, order))) =
            self.queue.peek().filter(|next| next.0 .0 <= until)
        {
            self.queue.pop();
            self.now = self.now.max(time);
            let what = self.whats.remove(&order).expect("queued");
            self.happen(what);
        }
        self.now = until;
    }

    pub fn pass(&mut self, time: Time) {
        self.run(self.now + time);
    }

    fn happen(&mut self, what: What) {
        let (to, life) = match &what {
            What::Hear(_, to, life, _) => (*to, *life),
            What::Tick(to, life) => (*to, *life),
            What::Answer(to, life, ..) | What::Quiet(to, life, _) | What::Unfed(to, life, _) => {
                (*to, *life)
            }
            What::Poll(from, life, poll) => return self.polled(*from, *life, *poll),
            What::Take(reader, number) => return self.take(*reader, *number),
        };
        let process = &mut self.processes[to];
        if process.life != life || process.relay.is_none() {
            return;
        }
        if process.paused {
            if !matches!(what, What::Tick(..)) {
                process.held.push(what);
            }
            return;
        }
        let now = self.now;
        let mut out = Vec::new();
        let relay = process.relay.as_mut().expect("alive");
        match what {
            What::Hear(from, _, _, message) => {
                relay.on_message(now, &self.places[from].0, message, &mut out);
            }
            What::Tick(..) => {
                if process.tick_at > now {
                    return;
                }
                process.tick_at = Time::MAX;
                relay.on_tick(now, &mut out);
            }
            What::Answer(_, _, poll, epoch, items) => {
                if poll != process.poll || !process.open {
                    return;
                }
                if process.tail.epoch != epoch {
                    process.tail = Place { epoch, number: 0 };
                }
                process.tail.number = items.last().map_or(process.tail.number, |item| item.number);
                relay.on_command(
                    now,
                    Ask::Fed {
                        stream: self.stream.name.clone(),
                        epoch,
                        items,
                    },
                    &mut out,
                );
                self.poll(to);
            }
            What::Quiet(_, _, poll) => {
                if poll == process.poll
                    && process.open
                    && self.waiting.get(&to) == Some(&(life, poll))
                {
                    self.answer(to, life, poll);
                }
            }
            What::Unfed(_, _, poll) => {
                if poll == process.poll && process.open {
                    relay.on_command(
                        now,
                        Ask::Unfed {
                            stream: self.stream.name.clone(),
                        },
                        &mut out,
                    );
                    self.poll(to);
                }
            }
            What::Poll(..) | What::Take(..) => unreachable!(),
        }
        self.done(to, out);
    }

    fn take(&mut self, reader: u64, number: u64) {
        let Some((i, _)) = self.readers.get(&reader) else {
            return;
        };
        let i = *i;
        match self.processes[i].paused {
            true => self.processes[i].held.push(What::Take(reader, number)),
            false => self.ask(i, Ask::Taken { reader, number }),
        }
    }

    pub fn ask(&mut self, i: usize, ask: Ask) {
        if self.processes[i].paused {
            return;
        }
        let mut out = Vec::new();
        if let Some(relay) = self.processes[i].relay.as_mut() {
            relay.on_command(self.now, ask, &mut out);
            self.done(i, out);
        }
    }
}
