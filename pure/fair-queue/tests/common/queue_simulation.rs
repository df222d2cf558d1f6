//! One queue in virtual time; requests take a random time, whatever was predicted.
#![allow(dead_code)]

use foldmux_fair_queue::queue::{Admission, Dispatch, Queue, RunHandle, Setup, SlotRequest};
use foldmux_fair_queue::tenants::Weight;
use foldmux_fair_queue::Time;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

#[derive(Clone, Debug)]
pub struct Tenant {
    pub name: String,
    pub weight: f64,
    /// How many of its requests wait or run at any time after `start_at`.
    pub open: usize,
    pub start_at: Time,
    pub predicted: Time,
    pub durations: (Time, Time),
    pub slow: bool,
    /// Whether it uses sixty tenant names, none of which is configured.
    pub invents_names: bool,
}

impl Tenant {
    pub fn new(name: &str, open: usize, durations: (Time, Time)) -> Tenant {
        let (slow, predicted) = (durations.1 > 100_000, (durations.0 + durations.1) / 2);
        Tenant {
            name: name.into(),
            weight: 1.0,
            open,
            start_at: 0,
            predicted,
            durations,
            slow,
            invents_names: false,
        }
    }
}

pub struct QueueSimulation {
    pub queue: Queue,
    pub now: Time,
    pub tenants: Vec<Tenant>,
    /// By tenant: slot time used, and waits in the order of starts; then the ids of all requests in the order of
    /// starts.
    pub time: Vec<Time>,
    pub waits: Vec<Vec<Time>>,
    pub starts: Vec<u64>,
    pub rejected: usize,
    /// Slot time in use and slot time available while requests waited.
    pub busy: (u64, u64),
    pub slots: usize,
    ends: BinaryHeap<Reverse<(Time, u64)>>,
    arrivals: BinaryHeap<Reverse<(Time, usize)>>,
    held: BTreeMap<u64, (usize, RunHandle)>,
    arrived_at: BTreeMap<u64, (usize, Time)>,
    next: u64,
    rng: fastrand::Rng,
}

pub fn setup(slots: usize) -> Setup {
    let (max_waiting, buckets) = (1_000_000, 64);
    Setup {
        slots,
        slow_share: 0.5,
        max_slot_time: 1_000_000,
        max_waiting,
        buckets,
        unnamed_weight: Weight::ONE,
    }
}

impl QueueSimulation {
    pub fn new(slots: usize, tenants: Vec<Tenant>, seed: u64) -> QueueSimulation {
        let mut queue = Queue::new(setup(slots));
        let weights = tenants.iter().filter(|t| !t.invents_names);
        let weights = weights
            .map(|t| (t.name.as_str().into(), Weight::from_f64(t.weight)))
            .collect();
        queue.set_weights(0, &weights, Weight::ONE);
        let arrivals = tenants
            .iter()
            .enumerate()
            .flat_map(|(at, t)| (0..t.open).map(move |_| Reverse((t.start_at, at))));
        QueueSimulation {
            queue,
            now: 0,
            time: vec![0; tenants.len()],
            waits: vec![Vec::new(); tenants.len()],
            starts: Vec::new(),
            rejected: 0,
            busy: (0, 0),
            slots,
            ends: BinaryHeap::new(),
            arrivals: arrivals.collect(),
            held: BTreeMap::new(),
            arrived_at: BTreeMap::new(),
            next: 0,
            rng: fastrand::Rng::with_seed(seed),
            tenants,
        }
    }

    pub fn enter(&mut self, at: usize, is_retry: bool) -> u64 {
        self.next += 1;
        let (id, t) = (self.next, &self.tenants[at]);
        let name = if t.invents_names {
            format!("{}-{}", t.name, id % 60)
        } else {
            t.name.clone()
        };
        let request = SlotRequest {
            id,
            tenant: &name,
            cost: t.predicted,
            slow: t.slow,
            start_deadline: Time::MAX,
            is_retry,
        };
        match self.queue.enter(self.now, &request) {
            Admission::Started(run) => {
                self.arrived_at.insert(id, (at, self.now));
                self.start(id, run);
            }
            Admission::Queued(_) => {
                self.arrived_at.insert(id, (at, self.now));
            }
            Admission::Rejected { .. } => self.rejected += 1,
        }
        id
    }

    fn start(&mut self, id: u64, run: RunHandle) {
        let (at, arrived_at) = self.arrived_at.remove(&id).expect("the request arrived");
        let (min, max) = self.tenants[at].durations;
        let duration = self.rng.u64(min..=max).max(1);
        self.waits[at].push(self.now - arrived_at);
        self.starts.push(id);
        self.held.insert(id, (at, run));
        self.ends.push(Reverse((self.now + duration, id)));
    }

    pub fn dispatch(&mut self) {
        while let Some(next) = self.queue.next(self.now) {
            match next {
                Dispatch::Start { id, run } => self.start(id, run),
                Dispatch::TimedOut { id } => panic!("request {id} has no deadline"),
            }
        }
    }

    pub fn run(&mut self, until: Time) {
        loop {
            let end = self.ends.peek().map(|e| e.0 .0).unwrap_or(Time::MAX);
            let enter = self.arrivals.peek().map(|e| e.0 .0).unwrap_or(Time::MAX);
            let to = end.min(enter);
            if to > until {
                break;
            }
            let [running, waiting] = self.queue.sizes();
            if waiting > 0 {
                self.busy.0 += (to - self.now) * running as u64;
                self.busy.1 += (to - self.now) * self.slots as u64;
            }
            for (at, _) in self.held.values() {
                self.time[*at] += to - self.now;
            }
            self.now = to;
            if enter <= end {
                let Reverse((_, at)) = self.arrivals.pop().expect("peeked");
                self.enter(at, false);
            } else {
                let Reverse((_, id)) = self.ends.pop().expect("peeked");
                let (at, run) = self.held.remove(&id).expect("the request runs");
                self.queue.finish(self.now, run);
                if self.tenants[at].open > 0 {
                    self.arrivals.push(Reverse((self.now, at)));
                }
            }
            self.dispatch();
        }
    }
}
