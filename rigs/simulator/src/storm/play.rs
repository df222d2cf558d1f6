//! The day: its arrivals, what is to happen when, and what each event sets off.

use super::*;
use foldmux::Router;
use foldmux_limits::admission::{AdmissionControl, LimitKey};
use foldmux_limits::resolve::ResolvedLimits;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

pub(super) enum Event {
    Arrive {
        class: usize,
        tries: u32,
        budget: Time,
        key: u64,
    },
    /// An attempt is sent, after its pause.
    Send {
        id: u64,
        fetch: Fetch,
        attempt: u8,
    },
    Ended {
        id: u64,
        attempt: u8,
        outcome: Outcome,
        sent: Time,
    },
    Timer {
        token: u32,
    },
    /// Its client waits no longer.
    Leaves(u64),
    /// A request that waits for a place has waited until its client's deadline.
    Overdue(u64),
    Fails(bool),
}

pub(super) struct Open {
    pub(super) class: usize,
    pub(super) key: u64,
    pub(super) tries: u32,
    pub(super) deadline: Time,
    pub(super) limits: Option<(LimitKey, Arc<ResolvedLimits>)>,
    pub(super) asked: bool,
    pub(super) attempts: u64,
    pub(super) out: u32,
    /// When the first attempt that may have run was sent.
    pub(super) ran: Option<Time>,
    pub(super) ask: IncomingRequest,
    pub(super) arrived: Time,
}

pub(super) struct World<'a> {
    pub(super) s: &'a Storm,
    pub(super) now: Time,
    pub(super) events: BinaryHeap<Reverse<(Time, u64)>>,
    pub(super) bodies: HashMap<u64, Event>,
    pub(super) next: u64,
    pub(super) classes: Vec<Class>,
    pub(super) router: Router,
    pub(super) admission: Option<(AdmissionControl, LimitSet)>,
    pub(super) open: HashMap<u64, Open>,
    /// By box: when each of its slots is free.
    pub(super) slots: Vec<Vec<f64>>,
    pub(super) failing: bool,
    pub(super) rng: StdRng,
    pub(super) service: LogNormal<f64>,
    /// By key: when its first run began.
    pub(super) keys: HashMap<u64, Time>,
    /// What each box holds.
    pub(super) held: HashSet<(usize, u64)>,
    /// By second: attempts at boxes that live on; worth; worth that was asked for.
    pub(super) load: Vec<u64>,
    pub(super) worth: Vec<f64>,
    pub(super) wanted: Vec<f64>,
    pub(super) day: Day,
    pub(super) attempts: u64,
    pub(super) records: (u64, u64),
    pub(super) serial: u64,
}

impl<'a> World<'a> {
    pub(super) fn new(s: &'a Storm, limits: Option<LimitSet>) -> World<'a> {
        let (spread, settings): (f64, Settings) = (0.3, settings());
        let seconds = s.seconds as usize + 10;
        World {
            s,
            now: START,
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            next: 0,
            classes: settings.classes.clone(),
            router: Router::new(settings, s.seed),
            admission: limits.map(|limits| (AdmissionControl::new(&limits), limits)),
            open: HashMap::new(),
            slots: vec![vec![0.0; s.slots]; s.boxes],
            failing: false,
            rng: StdRng::seed_from_u64(s.seed),
            service: LogNormal::new((s.service_ms * 1e3).ln() - spread * spread / 2.0, spread)
                .expect("sound"),
            keys: HashMap::new(),
            held: HashSet::new(),
            load: vec![0; seconds],
            worth: vec![0.0; seconds],
            wanted: vec![0.0; seconds],
            day: Day::default(),
            attempts: 0,
            records: (0, 0),
            serial: 0,
        }
    }

    pub(super) fn after(&mut self, us: f64, event: Event) {
        self.next += 1;
        self.events
            .push(Reverse((self.now + us.max(0.0) as Time, self.next)));
        self.bodies.insert(self.next, event);
    }

    pub(super) fn second(&self, at: Time) -> usize {
        (((at - START) as f64 / SECOND) as usize).min(self.load.len() - 1)
    }

    pub(super) fn broken(&mut self, what: &'static str) {
        *self.day.broken.entry(what).or_default() += 1;
    }

    pub(super) fn run(mut self) -> Day {
        let member = |n: usize, zone, kind| Member {
            cache: CacheId(n as u32),
            zone,
            kind,
            cell: 0,
            state: MemberState::Ready,
            weight: 1.0,
            started_at: 0,
        };
        let mut members: Vec<Member> = (0..self.s.boxes).map(|n| member(n, 1, 0)).collect();
        members.extend([member(1_000, 0, 1), member(2_000, 0, 2)]);
        self.tell(foldmux::interface::Event::Members {
            full: true,
            members,
        });
        self.after(self.s.fail_at_s * SECOND, Event::Fails(true));
        self.after(
            (self.s.fail_at_s + self.s.fail_for_s) * SECOND,
            Event::Fails(false),
        );
        self.schedule();
        let end = START + (self.s.seconds * SECOND) as Time;
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = at;
            if at > end && self.open.is_empty() {
                break;
            }
            let Some(event) = self.bodies.remove(&number) else {
                continue;
            };
            self.handle(event);
            if let Some((admission, _)) = &mut self.admission {
                for id in admission.expire(at) {
                    self.finish(id, None);
                }
            }
        }
        self.figures()
    }

    /// All arrivals, by the seed alone: the same day for all limits.
    pub(super) fn schedule(&mut self) {
        let mut rng = StdRng::seed_from_u64(self.s.seed ^ 0x5bd1);
        let total: f64 = self.s.shares.iter().sum();
        let gap = Exp::new(self.s.rate).expect("checked");
        let mut at = 0.0;
        loop {
            at += gap.sample(&mut rng);
            if at >= self.s.seconds {
                break;
            }
            let mut draw = rng.random_range(0.0..total);
            let class = self.s.shares.iter().position(|share| {
                draw -= share;
                draw < 0.0
            });
            self.arrival(at, class.unwrap_or(0));
        }
        if self.s.flood > 0.0 {
            let gap = Exp::new(self.s.flood).expect("checked");
            let mut at = self.s.fail_at_s;
            while at < self.s.fail_at_s + self.s.fail_for_s {
                self.arrival(at, 1);
                at += gap.sample(&mut rng);
            }
        }
    }

    pub(super) fn arrival(&mut self, at: f64, class: usize) {
        self.serial += 1;
        let (key, budget) = (self.serial, self.classes[class].deadline);
        self.after(
            at * SECOND,
            Event::Arrive {
                class,
                tries: 0,
                budget,
                key,
            },
        );
    }

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive {
                class,
                tries,
                budget,
                key,
            } => self.arrive(class, tries, budget, key),
            Event::Send { id, fetch, attempt } => self.send(id, fetch, attempt),
            Event::Ended {
                id,
                attempt,
                outcome,
                sent,
            } => self.ended(id, attempt, outcome, sent),
            Event::Timer { token } => self.tell(foldmux::interface::Event::Timer { token }),
            Event::Overdue(id) => {
                if self.open.get(&id).is_some_and(|open| !open.asked) {
                    self.finish(id, None);
                }
            }
            Event::Leaves(id) => self.leaves(id),
            Event::Fails(fails) => {
                self.failing = fails;
                let count = self.failed_boxes();
                // Nothing waits at them any more.
                self.slots[..count]
                    .iter_mut()
                    .for_each(|slots| slots.fill(0.0));
            }
        }
    }

    pub(super) fn failed_boxes(&self) -> usize {
        (self.s.boxes as f64 * self.s.fail_part).round() as usize
    }
}
