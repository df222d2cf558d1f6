//! One queue alone, in virtual time: tenants whose requests take what they take, whatever was foretold.
#![allow(dead_code)]

use foldmux_fair_queue::queue::{Entered, Next, Place, Queue, Setup, Wish};
use foldmux_fair_queue::tenants::Weight;
use foldmux_fair_queue::Time;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

#[derive(Clone, Debug)]
pub struct Tenant {
    pub name: String,
    pub weight: f64,
    /// So many of its requests wait or run at all times, from a time on.
    pub open: usize,
    pub from: Time,
    pub foretold: Time,
    pub takes: (Time, Time),
    pub slow: bool,
    /// It comes by sixty names, none of which is known.
    pub renames: bool,
}

impl Tenant {
    pub fn new(name: &str, open: usize, takes: (Time, Time)) -> Tenant {
        let (slow, foretold) = (takes.1 > 100_000, (takes.0 + takes.1) / 2);
        Tenant {
            name: name.into(),
            weight: 1.0,
            open,
            from: 0,
            foretold,
            takes,
            slow,
            renames: false,
        }
    }
}

pub struct One {
    pub queue: Queue,
    pub now: Time,
    pub tenants: Vec<Tenant>,
    /// By tenant: slot time, waits in the order of their starts, requests in the order in which they started.
    pub time: Vec<Time>,
    pub waits: Vec<Vec<Time>>,
    pub starts: Vec<u64>,
    pub refused: usize,
    /// Slot time in use while anything waited, and what was to be had.
    pub busy: (u64, u64),
    pub slots: usize,
    ends: BinaryHeap<Reverse<(Time, u64)>>,
    asks: BinaryHeap<Reverse<(Time, usize)>>,
    held: BTreeMap<u64, (usize, Place)>,
    came: BTreeMap<u64, (usize, Time)>,
    next: u64,
    rng: fastrand::Rng,
}

pub fn setup(slots: usize) -> Setup {
    let (waiting, buckets) = (1_000_000, 64);
    Setup {
        slots,
        slow_share: 0.5,
        longest: 1_000_000,
        waiting,
        buckets,
        unnamed: Weight::ONE,
    }
}

impl One {
    pub fn new(slots: usize, tenants: Vec<Tenant>, seed: u64) -> One {
        let mut queue = Queue::new(setup(slots));
        let weights = tenants.iter().filter(|t| !t.renames);
        let weights = weights
            .map(|t| (t.name.as_str().into(), Weight::of(t.weight)))
            .collect();
        queue.retune(0, &weights, Weight::ONE);
        let asks = tenants
            .iter()
            .enumerate()
            .flat_map(|(at, t)| (0..t.open).map(move |_| Reverse((t.from, at))));
        One {
            queue,
            now: 0,
            time: vec![0; tenants.len()],
            waits: vec![Vec::new(); tenants.len()],
            starts: Vec::new(),
            refused: 0,
            busy: (0, 0),
            slots,
            ends: BinaryHeap::new(),
            asks: asks.collect(),
            held: BTreeMap::new(),
            came: BTreeMap::new(),
            next: 0,
            rng: fastrand::Rng::with_seed(seed),
            tenants,
        }
    }

    pub fn ask(&mut self, at: usize, repeat: bool) -> u64 {
        self.next += 1;
        let (id, t) = (self.next, &self.tenants[at]);
        let name = if t.renames {
            format!("{}-{}", t.name, id % 60)
        } else {
            t.name.clone()
        };
        let wish = Wish {
            id,
            tenant: &name,
            cost: t.foretold,
            slow: t.slow,
            latest: Time::MAX,
            repeat,
        };
        match self.queue.enter(self.now, &wish) {
            Entered::Now(place) => {
                self.came.insert(id, (at, self.now));
                self.start(id, place);
            }
            Entered::Waits(_) => {
                self.came.insert(id, (at, self.now));
            }
            Entered::Refused { .. } => self.refused += 1,
        }
        id
    }

    fn start(&mut self, id: u64, place: Place) {
        let (at, came) = self.came.remove(&id).expect("it came");
        let (least, most) = self.tenants[at].takes;
        let takes = self.rng.u64(least..=most).max(1);
        self.waits[at].push(self.now - came);
        self.starts.push(id);
        self.held.insert(id, (at, place));
        self.ends.push(Reverse((self.now + takes, id)));
    }

    pub fn go_on(&mut self) {
        while let Some(next) = self.queue.next(self.now) {
            match next {
                Next::Start { id, place } => self.start(id, place),
                Next::Late { id } => panic!("{id} has all time"),
            }
        }
    }

    pub fn run(&mut self, until: Time) {
        loop {
            let end = self.ends.peek().map(|e| e.0 .0).unwrap_or(Time::MAX);
            let ask = self.asks.peek().map(|e| e.0 .0).unwrap_or(Time::MAX);
            let to = end.min(ask);
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
            if ask <= end {
                let Reverse((_, at)) = self.asks.pop().expect("peeked");
                self.ask(at, false);
            } else {
                let Reverse((_, id)) = self.ends.pop().expect("peeked");
                let (at, place) = self.held.remove(&id).expect("it runs");
                self.queue.ended(self.now, place);
                if self.tenants[at].open > 0 {
                    self.asks.push(Reverse((self.now, at)));
                }
            }
            self.go_on();
        }
    }
}
