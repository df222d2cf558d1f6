//! What a router's host keeps beside it where the settings have reports: it hears what comes and goes, and says now and
//! then what the router is to be told and which server is to be asked.

use crate::asking::{Asking, Case};
use crate::fields::{Fields, Load};
use crate::heard::Reports;
use foldmux_stats::{DecayingRate, Time};
use std::collections::BTreeMap;

/// A crowding that moved by less than this is not told again.
const STEP: f64 = 0.1;
/// A probe that moved it by this much may have changed a choice.
const CHANGE: f64 = 0.3;
/// Looks in the time between two reports.
const LOOKS: f64 = 4.0;
/// Weight of a new end in the share of attempts that were refused or lost.
const SMOOTH: f64 = 0.02;
/// Over so many of the times for which a report lasts the sends to a server are averaged.
const OVER: f64 = 2.0;

/// What the settings say of reports and probes.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    /// The fields of a report, in the order of its values.
    pub fields: Fields,
    /// Answers carry them; else probes alone do.
    pub in_answers: bool,
    pub probes: bool,
    /// The router places by crowding: else no answer can change a choice, and no probe pays.
    pub acted_on: bool,
    /// Points of service in 1 that one probe a request costs.
    pub price: f64,
    /// Longest wait for a probe's answer (us).
    pub patience: Time,
    /// The least aim of a class (us): until reports are heard, what lies between two of them.
    pub least_aim: Time,
}

impl Setup {
    /// Reports or probes are of use here: else there is nothing to keep.
    pub fn is_wanted(&self) -> bool {
        (self.in_answers && !self.fields.is_empty()) || self.asks()
    }

    /// Probes may be sent, and may pay.
    pub fn asks(&self) -> bool {
        self.probes && self.acted_on
    }
}

/// A member of the list.
#[derive(Clone, Copy, Debug)]
pub struct Server {
    pub id: u32,
    /// When it started: at another start, what was heard is of another process.
    pub boot: Time,
    /// It takes requests from here: it is one of the location's, and neither drains nor is gone nor out by hand.
    pub ready: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Tell {
    /// How crowded a server is beside the others: 1 is average, and unheard.
    Crowding {
        server: u32,
        crowding: f32,
    },
    Probe {
        server: u32,
    },
}

struct Known {
    boot: Time,
    ready: bool,
    sends: DecayingRate,
    /// What the router was told last.
    told: f64,
}

pub struct Ear {
    setup: Setup,
    reports: Reports,
    asking: Asking,
    servers: BTreeMap<u32, Known>,
    /// Share of the attempts that were refused or lost.
    loss: f64,
    look_at: Time,
}

impl Ear {
    /// None where the settings have neither reports nor probes.
    pub fn new(setup: Setup) -> Option<Ear> {
        let reports = Reports::new(setup.least_aim as f64);
        let asking = Asking::new(setup.asks(), setup.price, setup.patience);
        setup.is_wanted().then(|| Ear {
            setup,
            reports,
            asking,
            servers: BTreeMap::new(),
            loss: 0.0,
            look_at: 0,
        })
    }

    /// Values as they stand in an answer's field; as they come by place: [`Fields::load`].
    pub fn fields(&self) -> &Fields {
        &self.setup.fields
    }

    /// The whole list (`full`: those not named are gone), or what changed.
    pub fn listed(&mut self, full: bool, list: impl Iterator<Item = (Server, bool)>) {
        let mut named = Vec::new();
        for (server, gone) in list {
            named.push(server.id);
            let same = self
                .servers
                .get(&server.id)
                .is_some_and(|known| known.boot == server.boot);
            if gone || !same {
                self.forget(server.id);
            }
            if !server.ready {
                self.asking.forget(server.id);
            }
            if !gone {
                let over = OVER * self.reports.lasts() as f64;
                let new = Known {
                    boot: server.boot,
                    ready: false,
                    sends: DecayingRate::new(over),
                    told: 1.0,
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
        self.asking.forget(server);
    }

    pub fn request(&mut self) {
        self.asking.request();
    }

    pub fn sent(&mut self, now: Time, server: u32) {
        self.reports.sent(server);
        self.servers
            .get_mut(&server)
            .into_iter()
            .for_each(|known| known.sends.add(now, 1.0));
    }

    /// An attempt ended; `refused`: turned away unseen; `lost`: no answer came in time, or an error.
    pub fn ended(&mut self, now: Time, server: u32, refused: bool, lost: bool) {
        self.reports.ended(now, server, refused);
        self.loss += SMOOTH * ((refused || lost) as u8 as f64 - self.loss);
    }

    /// An answer carried a report. One of a server that is not listed is passed over.
    pub fn heard(&mut self, now: Time, server: u32, load: Load) {
        if self.setup.in_answers && self.servers.contains_key(&server) {
            self.reports.heard(now, server, load);
        }
    }

    /// A probe ended. What it found counts only where the server still takes requests: the answer may have crossed a drain.
    pub fn probed(&mut self, now: Time, server: u32, well: bool, load: Load) {
        if !self.servers.get(&server).is_some_and(|known| known.ready) {
            return;
        }
        let before = self.reports.crowding(now, server);
        self.reports.heard(now, server, load);
        if !well {
            self.reports.doubt(now, server);
        }
        let after = self.reports.crowding(now, server);
        self.asking
            .answered(server, (after - before).abs() >= CHANGE);
    }

    /// What is to be told and asked now: a look every quarter of the time between two reports.
    pub fn look(&mut self, now: Time, out: &mut Vec<Tell>) {
        if now < self.look_at {
            return;
        }
        let lasts = self.reports.lasts();
        self.look_at = now + (lasts as f64 / crate::heard::FADES / LOOKS) as Time;
        let average = self.reports.average(now);
        for (&server, known) in &mut self.servers {
            let crowding = self.reports.beside(now, server, average);
            let back = crowding == 1.0 && known.told != 1.0;
            if (crowding - known.told).abs() >= STEP || back {
                known.told = crowding;
                out.push(Tell::Crowding {
                    server,
                    crowding: crowding as f32,
                });
            }
            let uses = known.sends.per_us(now) * lasts as f64;
            let trust = self.reports.trust(now, server);
            let case = Case {
                server,
                trust,
                uses,
                loss: self.loss,
                ready: known.ready,
            };
            if self.asking.ask(now, case) {
                out.push(Tell::Probe { server });
            }
        }
    }
}
