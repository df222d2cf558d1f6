//! A fleet in virtual time: processes with their own clocks, links that lose and delay messages and fail, tenants
//! that send requests, and a backend that counts what runs under each slot.
#![allow(dead_code)]

use foldmux_fair_queue::local_pool::{
    LocalPool, PoolAdmission, PoolDispatch, Request, SlotInUse, Ticket,
};
use foldmux_fair_queue::queue::Setup;
use foldmux_fair_queue::slots::{FleetSetup, PoolSetup};
use foldmux_fair_queue::slow::CostModel;
use foldmux_fair_queue::tenants::{name_hash, Weight};
use foldmux_fair_queue::{Command, FleetSlots, HeldSlots, Message, Peer, Time};
use foldmux_replicas::{
    ClockDrift, Effect, Effects, ReplicaConfiguration, ReplicaSet, StateMachine,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub mod checks;
mod idle_slots;
pub mod peers;
pub mod queue_simulation;
pub mod workload;
#[allow(unused_imports)]
pub use peers::{index, peer};
#[allow(unused_imports)]
pub use workload::{jain, percentile, Workload, WorkloadStats};

pub const POOL: u64 = 77;
pub const LONGEST: Time = 1_000_000;
pub const LEASE: Time = 2_500_000;

#[derive(Clone, Debug)]
pub struct SimulationConfig {
    pub processes: usize,
    pub slots: u16,
    /// If false, first come, first served.
    pub fair: bool,
    pub seed: u64,
    pub loss: f64,
    pub delay: (Time, Time),
    pub waiting: usize,
}

impl Default for SimulationConfig {
    fn default() -> SimulationConfig {
        let (loss, delay, waiting) = (0.0, (200, 2_000), 20_000);
        SimulationConfig {
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
    pub local: LocalPool,
    pub fleet: Option<FleetSlots>,
    pub up: bool,
    pub paused_until: Time,
    pub incarnation: u64,
    /// The process's clock: its offset (us), and its drift in millionths.
    clock_offset: Time,
    clock_drift_ppm: i64,
    slot_in_use: BTreeMap<u64, SlotInUse>,
    waits: BTreeMap<u64, Ticket>,
}

enum Event {
    Deliver {
        to: usize,
        from: usize,
        incarnation: u64,
        message: Box<Message>,
    },
    Tick(usize),
    Arrive(usize),
    End {
        process: usize,
        incarnation: u64,
        id: u64,
    },
    EndReported {
        process: usize,
        incarnation: u64,
        id: u64,
    },
}

/// A request that its client has not given up or seen end.
struct OpenRequest {
    workload: usize,
    process: usize,
    arrived_at: Time,
    duration: Time,
    started: bool,
}

pub struct Simulation {
    pub config: SimulationConfig,
    pub now: Time,
    pub processes: Vec<Process>,
    pub workloads: Vec<Workload>,
    pub stats: Vec<WorkloadStats>,
    /// Number of requests running at the backend, by slot.
    pub backend: BTreeMap<u16, u32>,
    pub running: usize,
    /// How often two processes held the same slot, or two requests ran under one.
    pub violations: usize,
    pub max_running: usize,
    /// Slot time in use and slot time available while requests waited.
    pub busy: (f64, f64),
    /// Slot time not in use: idle at a process where no request waits, idle at one where some wait, held by no
    /// process.
    pub unused: [f64; 3],
    pub blocked_links: BTreeSet<(usize, usize)>,
    open: BTreeMap<u64, OpenRequest>,
    heap: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    pub rng: fastrand::Rng,
    weights: BTreeMap<std::sync::Arc<str>, Weight>,
    counted: Time,
}

impl Simulation {
    pub fn new(config: SimulationConfig, workloads: Vec<Workload>) -> Simulation {
        let mut simulation = Simulation {
            rng: fastrand::Rng::with_seed(config.seed),
            now: 1_000,
            processes: Vec::new(),
            stats: workloads.iter().map(|_| WorkloadStats::default()).collect(),
            weights: workloads
                .iter()
                .map(|s| (s.tenant.as_str().into(), Weight::from_f64(s.weight)))
                .collect(),
            workloads,
            backend: BTreeMap::new(),
            running: 0,
            violations: 0,
            max_running: 0,
            busy: (0.0, 0.0),
            unused: [0.0; 3],
            blocked_links: BTreeSet::new(),
            open: BTreeMap::new(),
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            counted: 0,
            config,
        };
        for at in 0..simulation.config.processes {
            let (clock_offset, clock_drift_ppm) = (
                simulation.rng.u64(0..1_000_000_000),
                simulation.rng.i64(-9_000..9_000),
            );
            let process = simulation.process(at, clock_offset, clock_drift_ppm);
            simulation.processes.push(process);
            simulation.at(1_000, Event::Tick(at));
        }
        (0..simulation.workloads.len()).for_each(|workload| simulation.arrive_next(workload, true));
        simulation
    }

    fn process(&mut self, at: usize, clock_offset: Time, clock_drift_ppm: i64) -> Process {
        let incarnation = self.rng.u64(1..);
        let setup = Setup {
            slots: 0,
            slow_share: 0.5,
            max_slot_time: LONGEST,
            max_waiting: self.config.waiting,
            buckets: 64,
            unnamed_weight: Weight::ONE,
        };
        let slow_threshold = if self.config.fair { 100_000 } else { Time::MAX };
        let cost_model = CostModel::new(2, slow_threshold, LONGEST);
        let single_process = self.config.processes == 1;
        let held_slots = if single_process {
            HeldSlots::unleased(self.config.slots)
        } else {
            HeldSlots::default()
        };
        let mut local = LocalPool::new(POOL, setup, cost_model, held_slots);
        let mut process = Process {
            fleet: None,
            up: true,
            paused_until: 0,
            incarnation,
            clock_offset,
            clock_drift_ppm,
            slot_in_use: BTreeMap::new(),
            waits: BTreeMap::new(),
            local: LocalPool::new(POOL, setup, CostModel::new(1, 1, 1), HeldSlots::default()),
        };
        let now = process.clock(self.now);
        local.set_weights(now, &self.weights, Weight::ONE);
        process.local = local;
        if !single_process {
            let peers: Vec<Peer> = (0..self.config.processes.max(3)).map(peer).collect();
            let replicas = ReplicaConfiguration::stable(
                ReplicaSet::new(peers.clone()).expect("at least three peers"),
            );
            let weights = self
                .weights
                .iter()
                .map(|(name, w)| (name_hash(name), w.0))
                .collect();
            let pool = PoolSetup {
                key: POOL,
                slots: self.config.slots,
                lease: LEASE,
                weights,
                unnamed_weight: 1_000,
            };
            let drift = ClockDrift::from_percent(1.0).expect("valid drift");
            let setup = FleetSetup {
                own: peer(at),
                incarnation,
                peers,
                replicas,
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
            self.handle(event);
        }
        self.count(until);
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(at) if !self.awake(at) => self.later(at, Event::Tick(at)),
            Event::Tick(at) => {
                self.tick(at);
                self.at(self.now + 10_000, Event::Tick(at));
            }
            Event::Deliver {
                to,
                from,
                incarnation,
                message,
            } => {
                if self.blocked_links.contains(&(from, to))
                    || self.processes[to].incarnation != incarnation
                {
                } else if !self.awake(to) {
                    self.later(
                        to,
                        Event::Deliver {
                            to,
                            from,
                            incarnation,
                            message,
                        },
                    );
                } else if self.processes[to].up {
                    self.fleet(to, |fleet, now, out| {
                        fleet.on_message(now, &peer(from), *message, out)
                    });
                }
            }
            Event::Arrive(workload) => self.arrive(workload),
            Event::End {
                process,
                incarnation,
                id,
            } => {
                self.release_backend(id as u16);
                self.observe_end(process, incarnation, id >> 16);
            }
            Event::EndReported {
                process,
                incarnation,
                id,
            } => self.observe_end(process, incarnation, id),
        }
    }

    fn awake(&self, at: usize) -> bool {
        self.now >= self.processes[at].paused_until
    }

    fn later(&mut self, at: usize, event: Event) {
        let wake = self.processes[at].paused_until;
        self.at(wake.max(self.now + 1), event);
    }

    /// Calls a process's `FleetSlots` and carries out its effects.
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
                Effect::Emit(event) => self.processes[at].local.on_event(now, event),
                Effect::Send { to, message } => self.send(at, index(&to), message),
            }
        }
        self.dispatch(at);
    }
}
