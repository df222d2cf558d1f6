//! What tenants ask of a fleet in virtual time, how it is served, and what it comes to.

use super::*;

/// A tenant's requests.
#[derive(Clone, Debug)]
pub struct Stream {
    pub tenant: String,
    pub weight: f64,
    /// The processes that it comes by.
    pub by: Vec<usize>,
    /// So many a second; 0: so many are open at all times at each process.
    pub rate: f64,
    pub open: usize,
    /// What one takes, evenly between; its size goes with it.
    pub takes: (Time, Time),
    pub patience: Time,
    pub from: Time,
}

#[derive(Clone, Debug, Default)]
pub struct Figure {
    pub asked: usize,
    pub served: usize,
    pub refused: usize,
    pub waits: Vec<Time>,
    pub slot_time: Time,
}

pub fn percentile(values: &[Time], percent: usize) -> Time {
    let mut values = values.to_vec();
    values.sort_unstable();
    values
        .get((values.len() * percent / 100).min(values.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0)
}

pub fn jain(values: &[f64]) -> f64 {
    let (sum, squares): (f64, f64) = (values.iter().sum(), values.iter().map(|v| v * v).sum());
    sum * sum / (values.len() as f64 * squares)
}

impl Process {
    pub fn clock(&self, real: Time) -> Time {
        self.offset + (real as i128 * (1_000_000 + self.ppm as i128) / 1_000_000) as Time
    }
}

impl World {
    pub(super) fn arrive_next(&mut self, stream: usize, first: bool) {
        let s = &self.streams[stream];
        let start = if first {
            self.now.max(s.from)
        } else {
            self.now
        };
        if s.rate > 0.0 {
            let gap = -(1.0 - self.rng.f64()).ln() / s.rate * 1e6;
            self.at(start + gap as Time, Event::Arrive(stream));
        } else if first {
            let (open, by) = (s.open, s.by.len());
            (0..open * by).for_each(|_| self.at(start, Event::Arrive(stream)));
        }
    }

    pub(super) fn arrive(&mut self, stream: usize) {
        let s = self.streams[stream].clone();
        let by = if s.rate > 0.0 {
            self.rng.usize(..s.by.len())
        } else {
            self.figures[stream].asked % s.by.len()
        };
        self.ask_at(stream, s.by[by], false);
        if s.rate > 0.0 {
            self.arrive_next(stream, false);
        }
    }

    pub fn ask_at(&mut self, stream: usize, at: usize, repeat: bool) {
        let s = self.streams[stream].clone();
        self.figures[stream].asked += 1;
        if !self.processes[at].up || !self.awake(at) {
            self.figures[stream].refused += 1;
            return;
        }
        let takes = self.rng.u64(s.takes.0..=s.takes.1);
        self.next += 1;
        let id = self.next;
        let now = self.processes[at].clock(self.now);
        let request = Request {
            id,
            tenant: if self.plan.fair { &s.tenant } else { "all" },
            class: 0,
            size_kb: takes as f64 / 1_000.0,
            source: 1,
            deadline: now + s.patience,
            repeat,
        };
        let asked = self.processes[at].local.enter(now, &request);
        self.open.insert(
            id,
            Open {
                stream,
                process: at,
                came: self.now,
                takes,
                started: false,
            },
        );
        match asked {
            Asked::Now(used) => self.start(at, id, used),
            Asked::Waits(ticket) => {
                self.processes[at].waits.insert(id, ticket);
            }
            Asked::Refused(_) => self.over(id, false),
        }
        self.go_on(at);
    }

    fn start(&mut self, at: usize, id: u64, used: InUse) {
        let now = self.processes[at].clock(self.now);
        let open = self.open.get_mut(&id).expect("it is open");
        open.started = true;
        // What runs is cut off at its bound.
        let bound = used.until().saturating_sub(now).min(LONGEST);
        let takes = open.takes.min(bound);
        let (stream, waited) = (open.stream, self.now - open.came);
        self.figures[stream].waits.push(waited);
        self.figures[stream].slot_time += takes;
        let slot = used.slot();
        *self.behind.entry(slot).or_default() += 1;
        self.running += 1;
        self.most_running = self.most_running.max(self.running);
        self.overrun += (self.behind[&slot] > 1) as usize;
        let life = self.processes[at].life;
        self.processes[at].used.insert(id, used);
        self.at(
            self.now + takes,
            Event::End {
                process: at,
                life,
                id: id << 16 | slot as u64,
            },
        );
    }

    /// What ran has ended; its process hears of it once it is awake.
    pub(super) fn known(&mut self, at: usize, life: u64, id: u64) {
        if self.processes[at].life != life {
            return self.over(id, false);
        }
        if !self.awake(at) {
            return self.later(
                at,
                Event::Known {
                    process: at,
                    life,
                    id,
                },
            );
        }
        let now = self.processes[at].clock(self.now);
        if let Some(used) = self.processes[at].used.remove(&id) {
            self.processes[at].local.ended(now, used);
        }
        let served = self.open.get(&id).is_some_and(|o| {
            self.now - o.came <= self.streams[o.stream].patience + o.takes.min(LONGEST)
        });
        self.over(id, served);
        self.go_on(at);
    }

    pub(super) fn leave_behind(&mut self, slot: u16) {
        self.running -= 1;
        self.behind.entry(slot).and_modify(|n| *n -= 1);
    }

    fn over(&mut self, id: u64, served: bool) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        let figure = &mut self.figures[open.stream];
        figure.served += served as usize;
        figure.refused += !served as usize;
        let s = &self.streams[open.stream];
        if s.rate == 0.0 && s.open > 0 {
            // One of those that are open at all times; a refused one comes again a little later.
            let again = if served { 0 } else { 20_000 };
            let stream = open.stream;
            self.at(self.now + again, Event::Arrive(stream));
        }
    }

    /// Whatever can go now goes.
    pub(super) fn go_on(&mut self, at: usize) {
        let now = self.processes[at].clock(self.now);
        while let Some(then) = self.processes[at].local.next(now) {
            match then {
                Then::Start(id, used) => {
                    self.processes[at].waits.remove(&id);
                    self.start(at, id, used);
                }
                Then::Late(id) => {
                    self.processes[at].waits.remove(&id);
                    self.over(id, false);
                }
            }
        }
        if let Some(gave) = self.processes[at].local.gave() {
            self.fleet(at, |fleet, now, out| fleet.on_command(now, gave, out));
        }
    }

    pub(super) fn tick(&mut self, at: usize) {
        if !self.processes[at].up {
            return;
        }
        let uses: Ask = self.processes[at]
            .local
            .uses(self.processes[at].clock(self.now));
        self.fleet(at, |fleet, now, out| {
            fleet.on_command(now, uses, out);
            fleet.on_tick(now, out);
        });
        self.sure();
    }

    /// No slot is held by two, each by its own clock.
    pub fn sure(&mut self) {
        let mut held = BTreeSet::new();
        for process in self.processes.iter().filter(|p| p.up) {
            for (slot, _) in process.local.stock().surely(process.clock(self.now)) {
                self.overrun += !held.insert(slot) as usize;
            }
        }
    }

    pub(super) fn send(&mut self, from: usize, to: usize, message: Message) {
        if to >= self.processes.len() || self.rng.f64() < self.plan.loss {
            return;
        }
        let (least, most) = self.plan.delay;
        let life = self.processes[to].life;
        // Now and then one comes twice, the second time late.
        let copies = if self.plan.loss > 0.0 && self.rng.f64() < 0.02 {
            2
        } else {
            1
        };
        for copy in 0..copies {
            let delay = if from == to {
                1
            } else {
                self.rng.u64(least..=most)
            } + copy * 300_000;
            let message = Box::new(message.clone());
            self.at(
                self.now + delay,
                Event::Deliver {
                    to,
                    from,
                    life,
                    message,
                },
            );
        }
    }

    /// What `from` tells `to` of its use.
    pub fn digest_from(&mut self, from: usize, to: usize, told: foldmux_fair_queue::digest::Use) {
        let life = 99;
        let digest = foldmux_fair_queue::digest::Digest {
            life,
            held: 1,
            uses: vec![told],
        };
        let message = Message {
            pool: POOL,
            word: foldmux_fair_queue::message::Word::Digest(digest),
        };
        self.fleet(to, |fleet, now, out| {
            fleet.on_message(now, &peer(from), message, out)
        });
    }

    /// It gives back what is idle, and claims no more.
    pub fn leave(&mut self, at: usize) {
        self.fleet(at, |fleet, now, out| {
            fleet.on_command(now, Ask::Leaving { pool: POOL }, out)
        });
    }

    /// Killed: all that waits or runs there is lost to its client; what runs behind goes on to its end.
    pub fn kill(&mut self, at: usize) {
        self.processes[at].up = false;
        self.processes[at].life = 0;
        let lost: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, o)| o.process == at && !o.started)
            .map(|o| *o.0)
            .collect();
        lost.into_iter().for_each(|id| self.over(id, false));
    }

    pub fn restart(&mut self, at: usize) {
        let (offset, ppm) = (self.processes[at].offset, self.processes[at].ppm);
        self.processes[at] = self.process(at, offset, ppm);
    }

    pub fn pause(&mut self, at: usize, time: Time) {
        self.processes[at].paused_until = self.now + time;
    }
}
