//! A fleet in virtual time: processes with clocks of their own, links that lose, delay and are cut, tenants that ask, and a
//! pool behind that counts what runs there under each slot.
#![allow(dead_code)]

use foldmux_fair_queue::local::{Asked, InUse, Local, Request, Then, Ticket};
use foldmux_fair_queue::queue::Setup;
use foldmux_fair_queue::slots::{FleetSetup, PoolSetup};
use foldmux_fair_queue::slow::Figures;
use foldmux_fair_queue::tenants::{key, Weight};
use foldmux_fair_queue::{Ask, FleetSlots, Message, Peer, Stock, Time};
use foldmux_replicas::{
    ClockDrift, Effect, Effects, ReplicaConfiguration, ReplicaSet, StateMachine,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub mod checks;
pub mod names;
pub mod one;
mod spare;
pub mod tenants;
#[allow(unused_imports)]
pub use names::{index, peer};
#[allow(unused_imports)]
pub use tenants::{jain, percentile, Figure, Stream};

pub const POOL: u64 = 77;
pub const LONGEST: Time = 1_000_000;
pub const LEASE: Time = 2_500_000;

#[derive(Clone, Debug)]
pub struct Plan {
    pub processes: usize,
    pub slots: u16,
    /// Off: first come, first served.
    pub fair: bool,
    pub seed: u64,
    pub loss: f64,
    pub delay: (Time, Time),
    pub waiting: usize,
}

impl Default for Plan {
    fn default() -> Plan {
        let (loss, delay, waiting) = (0.0, (200, 2_000), 20_000);
        Plan {
            processes: 1,
            slots: 16,
            fair: true,
            seed: 1,
            loss,
            delay,
            waiting,
        }
    }
}

pub struct Process {
    pub local: Local,
    pub fleet: Option<FleetSlots>,
    pub up: bool,
    pub paused_until: Time,
    pub life: u64,
    /// Its clock: an offset, and how fast it runs in millionths.
    offset: Time,
    ppm: i64,
    used: BTreeMap<u64, InUse>,
    waits: BTreeMap<u64, Ticket>,
}

enum Event {
    Deliver {
        to: usize,
        from: usize,
        life: u64,
        message: Box<Message>,
    },
    Tick(usize),
    Arrive(usize),
    End {
        process: usize,
        life: u64,
        id: u64,
    },
    Known {
        process: usize,
        life: u64,
        id: u64,
    },
}

/// One request, from where it stands at the client.
struct Open {
    stream: usize,
    process: usize,
    came: Time,
    takes: Time,
    started: bool,
}

pub struct World {
    pub plan: Plan,
    pub now: Time,
    pub processes: Vec<Process>,
    pub streams: Vec<Stream>,
    pub figures: Vec<Figure>,
    /// What runs behind, by slot: how many at once.
    pub behind: BTreeMap<u16, u32>,
    pub running: usize,
    /// Slots held by two at once, or more running than there are slots.
    pub overrun: usize,
    pub most_running: usize,
    /// Slot time in use, and what was to be had while anything waited.
    pub busy: (f64, f64),
    /// Of what was not in use: idle where none waits, idle where one does, held by none.
    pub spare: [f64; 3],
    pub cut: BTreeSet<(usize, usize)>,
    open: BTreeMap<u64, Open>,
    heap: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    pub rng: fastrand::Rng,
    weights: BTreeMap<std::sync::Arc<str>, Weight>,
    counted: Time,
}

impl World {
    pub fn new(plan: Plan, streams: Vec<Stream>) -> World {
        let mut world = World {
            rng: fastrand::Rng::with_seed(plan.seed),
            now: 1_000,
            processes: Vec::new(),
            figures: streams.iter().map(|_| Figure::default()).collect(),
            weights: streams
                .iter()
                .map(|s| (s.tenant.as_str().into(), Weight::of(s.weight)))
                .collect(),
            streams,
            behind: BTreeMap::new(),
            running: 0,
            overrun: 0,
            most_running: 0,
            busy: (0.0, 0.0),
            spare: [0.0; 3],
            cut: BTreeSet::new(),
            open: BTreeMap::new(),
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            counted: 0,
            plan,
        };
        for at in 0..world.plan.processes {
            let (offset, ppm) = (
                world.rng.u64(0..1_000_000_000),
                world.rng.i64(-9_000..9_000),
            );
            let process = world.process(at, offset, ppm);
            world.processes.push(process);
            world.at(1_000, Event::Tick(at));
        }
        (0..world.streams.len()).for_each(|stream| world.arrive_next(stream, true));
        world
    }

    fn process(&mut self, at: usize, offset: Time, ppm: i64) -> Process {
        let life = self.rng.u64(1..);
        let setup = Setup {
            slots: 0,
            slow_share: 0.5,
            longest: LONGEST,
            waiting: self.plan.waiting,
            buckets: 64,
            unnamed: Weight::ONE,
        };
        let slow_over = if self.plan.fair { 100_000 } else { Time::MAX };
        let figures = Figures::new(2, slow_over, LONGEST);
        let alone = self.plan.processes == 1;
        let stock = if alone {
            Stock::own(self.plan.slots)
        } else {
            Stock::default()
        };
        let mut local = Local::new(POOL, setup, figures, stock);
        let mut process = Process {
            fleet: None,
            up: true,
            paused_until: 0,
            life,
            offset,
            ppm,
            used: BTreeMap::new(),
            waits: BTreeMap::new(),
            local: Local::new(POOL, setup, Figures::new(1, 1, 1), Stock::default()),
        };
        let now = process.clock(self.now);
        local.retune(now, &self.weights, Weight::ONE);
        process.local = local;
        if !alone {
            let peers: Vec<Peer> = (0..self.plan.processes.max(3)).map(peer).collect();
            let seats = ReplicaConfiguration::stable(
                ReplicaSet::new(peers.clone()).expect("three at least"),
            );
            let weights = self
                .weights
                .iter()
                .map(|(name, w)| (key(name), w.0))
                .collect();
            let pool = PoolSetup {
                key: POOL,
                slots: self.plan.slots,
                lease: LEASE,
                weights,
                unnamed: 1_000,
            };
            let drift = ClockDrift::from_percent(1.0).expect("a drift");
            let setup = FleetSetup {
                own: peer(at),
                life,
                peers,
                seats,
                drift,
                pools: vec![pool],
            };
            process.fleet = Some(FleetSlots::new(now, setup));
        }
        process
    }

    fn at(&mut self, time: Time, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.heap.push(Reverse((time, self.next)));
    }

    pub fn run(&mut self, until: Time) {
        while let Some(Reverse((time, id))) = self.heap.peek().copied().filter(|e| e.0 .0 <= until)
        {
            self.heap.pop();
            self.count(time);
            self.now = self.now.max(time);
            let event = self.events.remove(&id).expect("once");
            self.happen(event);
        }
        self.count(until);
        self.now = until;
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(at) if !self.awake(at) => self.later(at, Event::Tick(at)),
            Event::Tick(at) => {
                self.tick(at);
                self.at(self.now + 10_000, Event::Tick(at));
            }
            Event::Deliver {
                to,
                from,
                life,
                message,
            } => {
                if self.cut.contains(&(from, to)) || self.processes[to].life != life {
                } else if !self.awake(to) {
                    self.later(
                        to,
                        Event::Deliver {
                            to,
                            from,
                            life,
                            message,
                        },
                    );
                } else if self.processes[to].up {
                    self.fleet(to, |fleet, now, out| {
                        fleet.on_message(now, &peer(from), *message, out)
                    });
                }
            }
            Event::Arrive(stream) => self.arrive(stream),
            Event::End { process, life, id } => {
                self.leave_behind(id as u16);
                self.known(process, life, id >> 16);
            }
            Event::Known { process, life, id } => self.known(process, life, id),
        }
    }

    fn awake(&self, at: usize) -> bool {
        self.now >= self.processes[at].paused_until
    }

    fn later(&mut self, at: usize, event: Event) {
        let wake = self.processes[at].paused_until;
        self.at(wake.max(self.now + 1), event);
    }

    /// Calls a process's fleet side, and does what it wants done.
    fn fleet(
        &mut self,
        at: usize,
        call: impl FnOnce(&mut FleetSlots, Time, &mut Effects<FleetSlots>),
    ) {
        let now = self.processes[at].clock(self.now);
        let mut out = Vec::new();
        let Some(fleet) = self.processes[at].fleet.as_mut() else {
            return;
        };
        call(fleet, now, &mut out);
        for act in out {
            match act {
                Effect::Emit(told) => self.processes[at].local.told(now, told),
                Effect::Send { to, message } => self.send(at, index(&to), message),
            }
        }
        self.go_on(at);
    }
}
