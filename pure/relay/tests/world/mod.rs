//! A fleet in virtual time: processes, links that lose and delay messages or are cut, a source that each
//! process reads by its own long polls, and readers whose events are checked against the reference model of
//! [`model`].
#![allow(dead_code)]

pub mod faults;
mod io;
pub mod model;
mod observe;

use foldmux_relay::{
    Command, Item, Message, Position, Relay, SlowReaderPolicy, StartPosition, StreamConfig,
};
use foldmux_replicas::{Peer, StateMachine, Time};
use model::{ReaderModel, SourceLog};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub const MS: Time = 1_000;
pub const LEASE: Time = 500 * MS;
pub const SILENCE_TIMEOUT: Time = 150 * MS;
/// How long a poll without news is held, and after how long an unanswered one fails; as in the edge proxy.
const POLL_WAIT: Time = 1_000 * MS;
const POLL_TIMEOUT: Time = 1_700 * MS;

pub fn stream(
    slow_readers: SlowReaderPolicy,
    start: StartPosition,
    shared_numbering: bool,
) -> StreamConfig {
    StreamConfig {
        name: "s".into(),
        slow_readers,
        start,
        shared_numbering,
        silence_timeout: SILENCE_TIMEOUT,
        snapshot_window: 10_000 * MS,
        max_items: 64,
        max_bytes: 1 << 16,
        max_keys: 64,
        max_unacknowledged: 16,
    }
}

pub struct Process {
    pub relay: Option<Relay>,
    pub incarnation: u64,
    pub paused: bool,
    pub draining: bool,
    /// What arrived while it was paused.
    deferred: Vec<Scheduled>,
    pub reads_source: bool,
    /// Whether its first poll is answered at once.
    answer_at_once: bool,
    /// Its position at the source, which outlives its relays; and the number of the poll in flight.
    source_position: Position,
    poll: u64,
    tick_at: Time,
}

#[derive(Clone)]
enum Scheduled {
    Deliver(usize, usize, u64, Message),
    Tick(usize, u64),
    /// A poll that reaches the source; its answer; its end without news, or without an answer.
    Poll(usize, u64, u64),
    PollAnswered(usize, u64, u64, u64, Vec<Item>),
    PollExpired(usize, u64, u64),
    PollFailed(usize, u64, u64),
    Acknowledge(u64, u64),
}

pub struct World {
    pub now: Time,
    pub stream: StreamConfig,
    pub processes: Vec<Process>,
    pub locations: Vec<(Peer, Vec<std::sync::Arc<str>>)>,
    pub replica_count: usize,
    pub log: SourceLog,
    pub readers: BTreeMap<u64, (usize, ReaderModel)>,
    /// How long a slow reader takes for each batch. `None`: forever.
    pub slow_readers: BTreeMap<u64, Option<Time>>,
    pub next_reader: u64,
    /// Cut links as (from, to). The source is `usize::MAX`.
    pub cut_links: BTreeSet<(usize, usize)>,
    pub loss_probability: f64,
    waiting: BTreeMap<usize, (u64, u64)>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    scheduled: BTreeMap<u64, Scheduled>,
    order: u64,
    last_delivery: BTreeMap<(usize, usize), Time>,
    pub rng: Xoshiro256PlusPlus,
    /// Polls and answers at the source, messages between processes, and the most processes that read the
    /// source at once.
    pub polls: u64,
    pub answers: u64,
    pub sent: u64,
    pub max_open_sources: usize,
    pub direct_reads: u64,
}

pub const SOURCE: usize = usize::MAX;

impl World {
    /// `locations`: the location of each process, such as `a/hub1/office2`.
    pub fn new(seed: u64, stream: StreamConfig, locations: &[&str]) -> World {
        let named = |(i, position): (usize, &&str)| {
            (
                Peer::new(&format!("n{i}")),
                position.split('/').map(Into::into).collect(),
            )
        };
        let mut world = World {
            now: 0,
            processes: Vec::new(),
            locations: locations.iter().enumerate().map(named).collect(),
            replica_count: locations.len().clamp(3, 5),
            log: SourceLog::default(),
            readers: BTreeMap::new(),
            slow_readers: BTreeMap::new(),
            next_reader: 1,
            cut_links: BTreeSet::new(),
            loss_probability: 0.0,
            waiting: BTreeMap::new(),
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            order: 0,
            last_delivery: BTreeMap::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            polls: 0,
            answers: 0,
            sent: 0,
            max_open_sources: 0,
            direct_reads: 0,
            stream,
        };
        for i in 0..locations.len() {
            let relay = Some(world.new_relay(i, 1));
            world.processes.push(Process {
                relay,
                incarnation: 1,
                paused: false,
                draining: false,
                deferred: Vec::new(),
                reads_source: false,
                answer_at_once: false,
                source_position: Position {
                    epoch: 0,
                    number: 0,
                },
                poll: 0,
                tick_at: Time::MAX,
            });
        }
        world
    }

    fn schedule(&mut self, time: Time, event: Scheduled) {
        self.order += 1;
        self.queue.push(Reverse((time, self.order)));
        self.scheduled.insert(self.order, event);
    }

    pub fn random_between(&mut self, from: Time, to: Time) -> Time {
        self.rng.random_range(from..=to)
    }

    /// Runs until this time.
    pub fn run_until(&mut self, until: Time) {
        while let Some(&Reverse((time, order))) =
            self.queue.peek().filter(|next| next.0 .0 <= until)
        {
            self.queue.pop();
            self.now = self.now.max(time);
            let event = self.scheduled.remove(&order).expect("queued");
            self.handle(event);
        }
        self.now = until;
    }

    pub fn advance(&mut self, time: Time) {
        self.run_until(self.now + time);
    }

    fn handle(&mut self, event: Scheduled) {
        let (to, incarnation) = match &event {
            Scheduled::Deliver(_, to, incarnation, _) => (*to, *incarnation),
            Scheduled::Tick(to, incarnation) => (*to, *incarnation),
            Scheduled::PollAnswered(to, incarnation, ..)
            | Scheduled::PollExpired(to, incarnation, _)
            | Scheduled::PollFailed(to, incarnation, _) => (*to, *incarnation),
            Scheduled::Poll(from, incarnation, poll) => {
                return self.on_poll(*from, *incarnation, *poll)
            }
            Scheduled::Acknowledge(reader, number) => return self.acknowledge(*reader, *number),
        };
        let process = &mut self.processes[to];
        if process.incarnation != incarnation || process.relay.is_none() {
            return;
        }
        if process.paused {
            if !matches!(event, Scheduled::Tick(..)) {
                process.deferred.push(event);
            }
            return;
        }
        let now = self.now;
        let mut effects = Vec::new();
        let relay = process.relay.as_mut().expect("alive");
        match event {
            Scheduled::Deliver(from, _, _, message) => {
                relay.on_message(now, &self.locations[from].0, message, &mut effects);
            }
            Scheduled::Tick(..) => {
                if process.tick_at > now {
                    return;
                }
                process.tick_at = Time::MAX;
                relay.on_tick(now, &mut effects);
            }
            Scheduled::PollAnswered(_, _, poll, epoch, items) => {
                if poll != process.poll || !process.reads_source {
                    return;
                }
                if process.source_position.epoch != epoch {
                    process.source_position = Position { epoch, number: 0 };
                }
                process.source_position.number = items
                    .last()
                    .map_or(process.source_position.number, |item| item.number);
                relay.on_command(
                    now,
                    Command::SourceItems {
                        stream: self.stream.name.clone(),
                        epoch,
                        items,
                    },
                    &mut effects,
                );
                self.start_poll(to);
            }
            Scheduled::PollExpired(_, _, poll) => {
                if poll == process.poll
                    && process.reads_source
                    && self.waiting.get(&to) == Some(&(incarnation, poll))
                {
                    self.answer_poll(to, incarnation, poll);
                }
            }
            Scheduled::PollFailed(_, _, poll) => {
                if poll == process.poll && process.reads_source {
                    relay.on_command(
                        now,
                        Command::SourceFailed {
                            stream: self.stream.name.clone(),
                        },
                        &mut effects,
                    );
                    self.start_poll(to);
                }
            }
            Scheduled::Poll(..) | Scheduled::Acknowledge(..) => unreachable!(),
        }
        self.carry_out(to, effects);
    }

    fn acknowledge(&mut self, reader: u64, number: u64) {
        let Some((i, _)) = self.readers.get(&reader) else {
            return;
        };
        let i = *i;
        match self.processes[i].paused {
            true => self.processes[i]
                .deferred
                .push(Scheduled::Acknowledge(reader, number)),
            false => self.command(i, Command::Acknowledge { reader, number }),
        }
    }

    pub fn command(&mut self, i: usize, command: Command) {
        if self.processes[i].paused {
            return;
        }
        let mut effects = Vec::new();
        if let Some(relay) = self.processes[i].relay.as_mut() {
            relay.on_command(self.now, command, &mut effects);
            self.carry_out(i, effects);
        }
    }
}
