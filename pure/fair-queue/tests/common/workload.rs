//! What tenants request from a fleet in virtual time, how it is served, and statistics of it.

use super::*;

/// The requests of a tenant.
#[derive(Clone, Debug)]
pub struct Workload {
    pub tenant: String,
    pub weight: f64,
    /// The processes that it sends to.
    pub processes: Vec<usize>,
    /// Requests per second; if 0, `open` requests are kept open at each process.
    pub rate: f64,
    pub open: usize,
    /// Bounds of a request's duration (us), uniformly distributed; its size is proportional to it.
    pub durations: (Time, Time),
    pub timeout: Time,
    pub start_at: Time,
}

#[derive(Clone, Debug, Default)]
pub struct WorkloadStats {
    pub sent: usize,
    pub served: usize,
    pub rejected: usize,
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
        self.clock_offset
            + (real as i128 * (1_000_000 + self.clock_drift_ppm as i128) / 1_000_000) as Time
    }
}

impl Simulation {
    pub(super) fn arrive_next(&mut self, workload: usize, first: bool) {
        let s = &self.workloads[workload];
        let start = if first {
            self.now.max(s.start_at)
        } else {
            self.now
        };
        if s.rate > 0.0 {
            let gap = -(1.0 - self.rng.f64()).ln() / s.rate * 1e6;
            self.at(start + gap as Time, Event::Arrive(workload));
        } else if first {
            let (open, processes) = (s.open, s.processes.len());
            (0..open * processes).for_each(|_| self.at(start, Event::Arrive(workload)));
        }
    }

    pub(super) fn arrive(&mut self, workload: usize) {
        let s = self.workloads[workload].clone();
        let index = if s.rate > 0.0 {
            self.rng.usize(..s.processes.len())
        } else {
            self.stats[workload].sent % s.processes.len()
        };
        self.enter_at(workload, s.processes[index], false);
        if s.rate > 0.0 {
            self.arrive_next(workload, false);
        }
    }

    pub fn enter_at(&mut self, workload: usize, process: usize, is_retry: bool) {
        let s = self.workloads[workload].clone();
        self.stats[workload].sent += 1;
        if !self.processes[process].up || !self.awake(process) {
            self.stats[workload].rejected += 1;
            return;
        }
        let duration = self.rng.u64(s.durations.0..=s.durations.1);
        self.next += 1;
        let id = self.next;
        let now = self.processes[process].clock(self.now);
        let request = Request {
            id,
            tenant: if self.config.fair { &s.tenant } else { "all" },
            class: 0,
            size_kb: duration as f64 / 1_000.0,
            source: 1,
            deadline: now + s.timeout,
            is_retry,
        };
        let admission = self.processes[process].local.enter(now, &request);
        self.open.insert(
            id,
            OpenRequest {
                workload,
                process,
                arrived_at: self.now,
                duration,
                started: false,
            },
        );
        match admission {
            PoolAdmission::Started(slot_in_use) => self.start(process, id, slot_in_use),
            PoolAdmission::Queued(ticket) => {
                self.processes[process].waits.insert(id, ticket);
            }
            PoolAdmission::Rejected(_) => self.finish_request(id, false),
        }
        self.dispatch(process);
    }

    fn start(&mut self, process: usize, id: u64, slot_in_use: SlotInUse) {
        let now = self.processes[process].clock(self.now);
        let open = self.open.get_mut(&id).expect("the request is open");
        open.started = true;
        // A request that reaches the bound of its slot is aborted.
        let bound = slot_in_use.expires_at().saturating_sub(now).min(LONGEST);
        let duration = open.duration.min(bound);
        let (workload, waited) = (open.workload, self.now - open.arrived_at);
        self.stats[workload].waits.push(waited);
        self.stats[workload].slot_time += duration;
        let slot = slot_in_use.slot();
        *self.backend.entry(slot).or_default() += 1;
        self.running += 1;
        self.max_running = self.max_running.max(self.running);
        self.violations += (self.backend[&slot] > 1) as usize;
        let incarnation = self.processes[process].incarnation;
        self.processes[process].slot_in_use.insert(id, slot_in_use);
        self.at(
            self.now + duration,
            Event::End {
                process,
                incarnation,
                id: id << 16 | slot as u64,
            },
        );
    }

    /// A request ended at the backend; its process observes this once it is not paused.
    pub(super) fn observe_end(&mut self, process: usize, incarnation: u64, id: u64) {
        if self.processes[process].incarnation != incarnation {
            return self.finish_request(id, false);
        }
        if !self.awake(process) {
            return self.later(
                process,
                Event::EndReported {
                    process,
                    incarnation,
                    id,
                },
            );
        }
        let now = self.processes[process].clock(self.now);
        if let Some(slot_in_use) = self.processes[process].slot_in_use.remove(&id) {
            self.processes[process].local.finish(now, slot_in_use);
        }
        let served = self.open.get(&id).is_some_and(|o| {
            self.now - o.arrived_at <= self.workloads[o.workload].timeout + o.duration.min(LONGEST)
        });
        self.finish_request(id, served);
        self.dispatch(process);
    }

    pub(super) fn release_backend(&mut self, slot: u16) {
        self.running -= 1;
        self.backend.entry(slot).and_modify(|n| *n -= 1);
    }

    fn finish_request(&mut self, id: u64, served: bool) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        let stats = &mut self.stats[open.workload];
        stats.served += served as usize;
        stats.rejected += !served as usize;
        let s = &self.workloads[open.workload];
        if s.rate == 0.0 && s.open > 0 {
            // One of the requests that are kept open; after a rejection the next one comes a little later.
            let delay = if served { 0 } else { 20_000 };
            let workload = open.workload;
            self.at(self.now + delay, Event::Arrive(workload));
        }
    }

    /// Starts all requests that can start.
    pub(super) fn dispatch(&mut self, process: usize) {
        let now = self.processes[process].clock(self.now);
        while let Some(dispatched) = self.processes[process].local.next(now) {
            match dispatched {
                PoolDispatch::Start(id, slot_in_use) => {
                    self.processes[process].waits.remove(&id);
                    self.start(process, id, slot_in_use);
                }
                PoolDispatch::TimedOut(id) => {
                    self.processes[process].waits.remove(&id);
                    self.finish_request(id, false);
                }
            }
        }
        if let Some(command) = self.processes[process].local.take_returned() {
            self.fleet(process, |fleet, now, out| {
                fleet.on_command(now, command, out)
            });
        }
    }

    pub(super) fn tick(&mut self, process: usize) {
        if !self.processes[process].up {
            return;
        }
        let usage: Command = self.processes[process]
            .local
            .usage_report(self.processes[process].clock(self.now));
        self.fleet(process, |fleet, now, out| {
            fleet.on_command(now, usage, out);
            fleet.on_tick(now, out);
        });
        self.check_exclusive();
    }

    /// Counts slots that two processes hold at the same time, each by its own clock.
    pub fn check_exclusive(&mut self) {
        let mut held = BTreeSet::new();
        for process in self.processes.iter().filter(|p| p.up) {
            for (slot, _) in process
                .local
                .held_slots()
                .unexpired(process.clock(self.now))
            {
                self.violations += !held.insert(slot) as usize;
            }
        }
    }

    pub(super) fn send(&mut self, from: usize, to: usize, message: Message) {
        if to >= self.processes.len() || self.rng.f64() < self.config.loss {
            return;
        }
        let (min, max) = self.config.delay;
        let incarnation = self.processes[to].incarnation;
        // Some messages are duplicated; the copy arrives late.
        let copies = if self.config.loss > 0.0 && self.rng.f64() < 0.02 {
            2
        } else {
            1
        };
        for copy in 0..copies {
            let delay = if from == to {
                1
            } else {
                self.rng.u64(min..=max)
            } + copy * 300_000;
            let message = Box::new(message.clone());
            self.at(
                self.now + delay,
                Event::Deliver {
                    to,
                    from,
                    incarnation,
                    message,
                },
            );
        }
    }

    /// Delivers a digest of `from` to `to`.
    pub fn digest_from(
        &mut self,
        from: usize,
        to: usize,
        usage: foldmux_fair_queue::digest::TenantUsage,
    ) {
        let incarnation = 99;
        let digest = foldmux_fair_queue::digest::Digest {
            incarnation,
            held: 1,
            usage: vec![usage],
        };
        let message = Message {
            pool: POOL,
            body: foldmux_fair_queue::message::MessageBody::Digest(digest),
        };
        self.fleet(to, |fleet, now, out| {
            fleet.on_message(now, &peer(from), message, out)
        });
    }

    /// The process returns idle slots and claims no more.
    pub fn leave(&mut self, process: usize) {
        self.fleet(process, |fleet, now, out| {
            fleet.on_command(now, Command::Leave { pool: POOL }, out)
        });
    }

    /// Crashes a process: clients lose its waiting and running requests; requests at the backend run to their end.
    pub fn kill(&mut self, process: usize) {
        self.processes[process].up = false;
        self.processes[process].incarnation = 0;
        let lost: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, o)| o.process == process && !o.started)
            .map(|o| *o.0)
            .collect();
        lost.into_iter()
            .for_each(|id| self.finish_request(id, false));
    }

    pub fn restart(&mut self, process: usize) {
        let (clock_offset, clock_drift_ppm) = (
            self.processes[process].clock_offset,
            self.processes[process].clock_drift_ppm,
        );
        self.processes[process] = self.process(process, clock_offset, clock_drift_ppm);
    }

    pub fn pause(&mut self, process: usize, time: Time) {
        self.processes[process].paused_until = self.now + time;
    }
}
