//! Tracks the load of a router's servers where the settings have reports or probes: fed with what is sent and received,
//! it says at each poll which relative loads have moved and which servers to probe.

use crate::fields::{Fields, Load};
use crate::probe_budget::{ProbeBudget, ProbeCandidate};
use crate::table::LoadTable;
use foldmux_stats::{DecayingRate, Time};
use std::collections::BTreeMap;

/// A relative load that has moved by less than this since its last update is not reported again.
const MIN_UPDATE: f64 = 0.1;
/// A probe that moves the relative load by this much counts as useful: it may have changed a selection.
const USEFUL_CHANGE: f64 = 0.3;
/// Polls in the mean interval between two reports.
const POLLS_PER_INTERVAL: f64 = 4.0;
/// Weight of a new attempt in the ratio of attempts that were rejected or lost.
const LOSS_WEIGHT: f64 = 0.02;
/// The send rate of a server is averaged over so many lifetimes of a report.
const SEND_RATE_LIFETIMES: f64 = 2.0;

/// What the settings say of reports and probes.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    /// The fields of a report, in the order of its values.
    pub fields: Fields,
    /// Responses carry reports; else only responses to probes do.
    pub in_responses: bool,
    /// The platform allows probes.
    pub probes: bool,
    /// The router selects by relative load; else no report can change a selection, and no probe is worth its price.
    pub placement_uses_load: bool,
    /// Points of service that one probe per request costs, of 1.
    pub price: f64,
    /// Timeout of a probe (us).
    pub probe_timeout: Time,
    /// The shortest latency objective of a class (us): stands for the interval between two reports until it is measured.
    pub min_latency_objective: Time,
}

impl Setup {
    /// Whether reports or probes are of use here; else nothing is tracked.
    pub fn is_wanted(&self) -> bool {
        (self.in_responses && !self.fields.is_empty()) || self.probes_pay()
    }

    /// Whether probes are allowed and may be worth their price.
    pub fn probes_pay(&self) -> bool {
        self.probes && self.placement_uses_load
    }
}

/// A member of the list.
#[derive(Clone, Copy, Debug)]
pub struct Server {
    /// Its id in the list.
    pub id: u32,
    /// When it started (us): reports of an earlier start are about another process.
    pub started_at: Time,
    /// Whether it takes requests from here: one of this zone, ready and not in maintenance.
    pub ready: bool,
}

/// What a poll found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Update {
    /// A relative load has moved: 1 is average, and stands for a server without a report.
    RelativeLoad {
        /// The server's id.
        server: u32,
        /// Its load as a multiple of the average.
        relative_load: f32,
    },
    /// This server is to be probed.
    Probe {
        /// The server's id.
        server: u32,
    },
}

struct TrackedServer {
    started_at: Time,
    ready: bool,
    sends: DecayingRate,
    /// The relative load of its last update.
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
    /// `None` where the settings have neither reports nor probes.
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

    /// The fields of a report, for reading one.
    pub fn fields(&self) -> &Fields {
        &self.setup.fields
    }

    /// Takes the complete list (`full`: servers not in it are gone), or the servers that changed; `true` beside one: it is
    /// gone.
    pub fn update_servers(&mut self, full: bool, list: impl Iterator<Item = (Server, bool)>) {
        let mut named = Vec::new();
        for (server, gone) in list {
            named.push(server.id);
            let same = self
                .servers
                .get(&server.id)
                .is_some_and(|known| known.started_at == server.started_at);
            if gone || !same {
                self.forget(server.id);
            }
            if !server.ready {
                self.probes.forget(server.id);
            }
            if !gone {
                let over = SEND_RATE_LIFETIMES * self.reports.lifetime() as f64;
                let new = TrackedServer {
                    started_at: server.started_at,
                    ready: false,
                    sends: DecayingRate::new(over),
                    last_update: 1.0,
                };
                self.servers.entry(server.id).or_insert(new).ready = server.ready;
            }
        }
        if full {
            let gone: Vec<u32> = self
                .servers
                .keys()
                .filter(|id| !named.contains(id))
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

    /// A request arrived.
    pub fn request(&mut self) {
        self.probes.request();
    }

    /// An attempt was sent to a server.
    pub fn record_send(&mut self, now: Time, server: u32) {
        self.reports.record_send(server);
        self.servers
            .get_mut(&server)
            .into_iter()
            .for_each(|known| known.sends.add(now, 1.0));
    }

    /// An attempt ended; `refused`: rejected without effect; `lost`: timed out, reset, or answered with an error.
    pub fn record_completion(&mut self, now: Time, server: u32, refused: bool, lost: bool) {
        self.reports.record_completion(now, server, refused);
        self.loss_rate += LOSS_WEIGHT * ((refused || lost) as u8 as f64 - self.loss_rate);
    }

    /// A response carried a report. One of a server that is not listed is ignored.
    pub fn record_report(&mut self, now: Time, server: u32, load: Load) {
        if self.setup.in_responses && self.servers.contains_key(&server) {
            self.reports.record_report(now, server, load);
        }
    }

    /// A probe ended. It counts only while the server takes requests: the response may have crossed a drain.
    pub fn record_probe(&mut self, now: Time, server: u32, healthy: bool, load: Load) {
        if !self.servers.get(&server).is_some_and(|known| known.ready) {
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

    /// Adds what has changed to `out`, [`POLLS_PER_INTERVAL`] times in the interval between two reports.
    pub fn poll(&mut self, now: Time, out: &mut Vec<Update>) {
        if now < self.next_poll {
            return;
        }
        let lifetime = self.reports.lifetime();
        self.next_poll =
            now + (lifetime as f64 / crate::table::LIFETIME_INTERVALS / POLLS_PER_INTERVAL) as Time;
        let average = self.reports.average(now);
        for (&server, known) in &mut self.servers {
            let relative_load = self.reports.relative_to(now, server, average);
            let back = relative_load == 1.0 && known.last_update != 1.0;
            if (relative_load - known.last_update).abs() >= MIN_UPDATE || back {
                known.last_update = relative_load;
                out.push(Update::RelativeLoad {
                    server,
                    relative_load: relative_load as f32,
                });
            }
            let expected_attempts = known.sends.per_us(now) * lifetime as f64;
            let confidence = self.reports.confidence(now, server);
            let case = ProbeCandidate {
                server,
                confidence,
                expected_attempts,
                loss_rate: self.loss_rate,
                ready: known.ready,
            };
            if self.probes.try_probe(now, case) {
                out.push(Update::Probe { server });
            }
        }
    }
}
