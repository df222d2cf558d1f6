//! Tracks the load of a router's servers where the settings have reports or probes. It records what is sent and received,
//! and each poll returns which relative loads have changed and which servers to probe.

use crate::fields::{Fields, Load};
use crate::probe_budget::{ProbeBudget, ProbeCandidate};
use crate::table::LoadTable;
use foldmux_stats::{DecayingRate, Time};
use std::collections::BTreeMap;

/// Smallest change of a relative load since its last update that is reported again.
const MIN_UPDATE: f64 = 0.1;
/// Smallest change of a relative load for which a probe counts as useful: it may have changed a selection.
const USEFUL_CHANGE: f64 = 0.3;
/// Number of polls in the mean interval between two reports.
const POLLS_PER_INTERVAL: f64 = 4.0;
/// Weight of a new attempt in the ratio of attempts that were rejected or lost.
const LOSS_WEIGHT: f64 = 0.02;
/// Time constant of a server's send rate, in lifetimes of a report.
const SEND_RATE_LIFETIMES: f64 = 2.0;

/// The settings of load reports and probes.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    /// Fields of a report, in the order of its values.
    pub fields: Fields,
    /// Whether all responses carry reports; otherwise only responses to probes do.
    pub in_responses: bool,
    /// Whether the platform allows probes.
    pub probes: bool,
    /// Whether the router selects by relative load; otherwise no report can change a selection, and no probe is worth its
    /// price.
    pub placement_uses_load: bool,
    /// Cost of one probe per request, in points of service (0 to 1).
    pub price: f64,
    /// Timeout of a probe (us).
    pub probe_timeout: Time,
    /// The shortest latency objective of a class (us), which is assumed as the interval between two reports until that is
    /// measured.
    pub min_latency_objective: Time,
}

impl Setup {
    /// Returns whether reports or probes are of use; otherwise nothing is tracked.
    pub fn is_wanted(&self) -> bool {
        (self.in_responses && !self.fields.is_empty()) || self.probes_pay()
    }

    /// Returns whether probes are allowed and may be worth their price.
    pub fn probes_pay(&self) -> bool {
        self.probes && self.placement_uses_load
    }
}

/// A server of the member list.
#[derive(Clone, Copy, Debug)]
pub struct Server {
    /// Its id in the member list.
    pub id: u32,
    /// When it started (us); reports of an earlier start are about another process.
    pub started_at: Time,
    /// Whether it takes requests from this proxy: a cache of the same zone, ready and not in maintenance.
    pub ready: bool,
}

/// A result of [`LoadTracker::poll`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Update {
    /// A relative load has changed: 1 is average, also for a server without a report.
    RelativeLoad {
        /// The server's id.
        server: u32,
        /// Its load as a multiple of the average.
        relative_load: f32,
    },
    /// A server should be probed.
    Probe {
        /// The server's id.
        server: u32,
    },
}

struct TrackedServer {
    started_at: Time,
    ready: bool,
    sends: DecayingRate,
    /// Relative load that was last returned as an update; 1 before.
    last_update: f64,
}

/// The load of all servers of one router.
pub struct LoadTracker {
    setup: Setup,
    reports: LoadTable,
    probes: ProbeBudget,
    servers: BTreeMap<u32, TrackedServer>,
    /// Ratio of attempts that were rejected or lost.
    loss_rate: f64,
    next_poll: Time,
}

impl LoadTracker {
    /// Creates a tracker without servers; `None` if the settings have neither reports nor probes.
    pub fn new(setup: Setup) -> Option<LoadTracker> {
        let reports = LoadTable::new(setup.min_latency_objective as f64);
        let probes = ProbeBudget::new(setup.probes_pay(), setup.price, setup.probe_timeout);
        setup.is_wanted().then(|| LoadTracker {
            setup,
            reports,
            probes,
            servers: BTreeMap::new(),
            loss_rate: 0.0,
            next_poll: 0,
        })
    }

    /// Returns the fields of a report, for parsing one.
    pub fn fields(&self) -> &Fields {
        &self.setup.fields
    }

    /// Updates the member list. `list` holds all servers if `full` is set, and otherwise those that changed; `true` next to
    /// a server means that it is gone.
    pub fn update_servers(&mut self, full: bool, list: impl Iterator<Item = (Server, bool)>) {
        let mut listed = Vec::new();
        for (server, gone) in list {
            listed.push(server.id);
            let same_process = self
                .servers
                .get(&server.id)
                .is_some_and(|tracked| tracked.started_at == server.started_at);
            if gone || !same_process {
                self.forget(server.id);
            }
            if !server.ready {
                self.probes.forget(server.id);
            }
            if !gone {
                let time_constant = SEND_RATE_LIFETIMES * self.reports.lifetime() as f64;
                let new = TrackedServer {
                    started_at: server.started_at,
                    ready: false,
                    sends: DecayingRate::new(time_constant),
                    last_update: 1.0,
                };
                self.servers.entry(server.id).or_insert(new).ready = server.ready;
            }
        }
        if full {
            let gone: Vec<u32> = self
                .servers
                .keys()
                .filter(|id| !listed.contains(id))
                .copied()
                .collect();
            gone.into_iter().for_each(|id| self.forget(id));
        }
    }

    fn forget(&mut self, server: u32) {
        self.servers.remove(&server);
        self.reports.forget(server);
        self.probes.forget(server);
    }

    /// Records the arrival of a request.
    pub fn record_request(&mut self) {
        self.probes.record_request();
    }

    /// Records an attempt sent to a server.
    pub fn record_send(&mut self, now: Time, server: u32) {
        self.reports.record_send(server);
        self.servers
            .get_mut(&server)
            .into_iter()
            .for_each(|tracked| tracked.sends.add(now, 1.0));
    }

    /// Records the end of an attempt. `rejected`: it had no effect; `lost`: it timed out, was reset or ended in an error.
    pub fn record_completion(&mut self, now: Time, server: u32, rejected: bool, lost: bool) {
        self.reports.record_completion(now, server, rejected);
        self.loss_rate += LOSS_WEIGHT * ((rejected || lost) as u8 as f64 - self.loss_rate);
    }

    /// Records a report that a response carried. A report of a server that is not listed is ignored.
    pub fn record_report(&mut self, now: Time, server: u32, load: Load) {
        if self.setup.in_responses && self.servers.contains_key(&server) {
            self.reports.record_report(now, server, load);
        }
    }

    /// Records the end of a probe. It counts only while the server takes requests, since the server may have begun to drain
    /// while the probe was in flight.
    pub fn record_probe(&mut self, now: Time, server: u32, healthy: bool, load: Load) {
        if !self
            .servers
            .get(&server)
            .is_some_and(|tracked| tracked.ready)
        {
            return;
        }
        let before = self.reports.relative_load(now, server);
        self.reports.record_report(now, server, load);
        if !healthy {
            self.reports.distrust(now, server);
        }
        let after = self.reports.relative_load(now, server);
        self.probes
            .record_probe(server, (after - before).abs() >= USEFUL_CHANGE);
    }

    /// Adds what has changed to `out`, at most [`POLLS_PER_INTERVAL`] times in the mean interval between two reports.
    pub fn poll(&mut self, now: Time, out: &mut Vec<Update>) {
        if now < self.next_poll {
            return;
        }
        let lifetime = self.reports.lifetime();
        self.next_poll =
            now + (lifetime as f64 / crate::table::LIFETIME_INTERVALS / POLLS_PER_INTERVAL) as Time;
        let average = self.reports.average(now);
        for (&server, tracked) in &mut self.servers {
            let relative_load = self.reports.relative_to(now, server, average);
            let is_average_again = relative_load == 1.0 && tracked.last_update != 1.0;
            if (relative_load - tracked.last_update).abs() >= MIN_UPDATE || is_average_again {
                tracked.last_update = relative_load;
                out.push(Update::RelativeLoad {
                    server,
                    relative_load: relative_load as f32,
                });
            }
            let expected_attempts = tracked.sends.per_us(now) * lifetime as f64;
            let confidence = self.reports.confidence(now, server);
            let candidate = ProbeCandidate {
                server,
                confidence,
                expected_attempts,
                loss_rate: self.loss_rate,
                ready: tracked.ready,
            };
            if self.probes.try_probe(now, candidate) {
                out.push(Update::Probe { server });
            }
        }
    }
}
