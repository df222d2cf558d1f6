//! The ear between a router and its host, whichever that is: shown each event and each action, it says what else the
//! router is to be fed and which probes are to be sent.

use crate::ear::{Ear, Server, Setup, Tell};
use crate::fields::Load;
use foldmux::interface::{Action, CacheId, Event, MemberState, Outcome, RequestId, Settings, Time};
use std::collections::HashMap;

/// Most requests whose attempt is remembered: far over what one process has open.
const OPEN: usize = 65_536;

pub struct Beside {
    ear: Ear,
    settings: Settings,
    /// Where the latest attempt of a request went.
    out: HashMap<RequestId, CacheId>,
    tells: Vec<Tell>,
}

impl Beside {
    /// None where the settings have neither reports nor probes: then a host does nothing more than without.
    pub fn new(setup: Setup, settings: &Settings) -> Option<Beside> {
        let ear = Ear::new(setup)?;
        Some(Beside {
            ear,
            settings: settings.clone(),
            out: HashMap::new(),
            tells: Vec::new(),
        })
    }

    /// What the router is about to be fed.
    pub fn event(&mut self, now: Time, event: &Event) {
        match event {
            Event::Members { full, members } => {
                let one = |member: &foldmux::interface::Member| {
                    let ready =
                        member.state == MemberState::Ready && self.settings.tier(member) == 0;
                    let server = Server {
                        id: member.cache.0,
                        boot: member.started_at,
                        ready,
                    };
                    (server, member.state == MemberState::Gone)
                };
                self.ear.listed(*full, members.iter().map(one));
            }
            Event::Request(_) => self.ear.request(),
            Event::Outcome(report) => {
                let Some(cache) = self.out.remove(&report.id) else {
                    return;
                };
                let refused =
                    matches!(report.outcome, Outcome::Overloaded | Outcome::ConnectFailed);
                let lost = matches!(
                    report.outcome,
                    Outcome::Error | Outcome::TimedOut | Outcome::Reset
                );
                self.ear.ended(now, cache.0, refused, lost);
            }
            Event::ClientDisconnected { id } => drop(self.out.remove(id)),
            _ => {}
        }
    }

    /// What the router gave.
    pub fn action(&mut self, now: Time, action: &Action) {
        if let Action::Fetch(fetch) = action {
            self.ear.sent(now, fetch.cache.0);
            if self.out.len() < OPEN {
                self.out.insert(fetch.id, fetch.cache);
            }
        }
    }

    /// A report that an answer carried.
    pub fn heard(&mut self, now: Time, cache: CacheId, load: Load) {
        self.ear.heard(now, cache.0, load);
    }

    /// Its values by place.
    pub fn heard_values(&mut self, now: Time, cache: CacheId, values: &[f32]) {
        let load = self.ear.fields().load(values);
        self.ear.heard(now, cache.0, load);
    }

    /// What a probe found: whether the server is well, and its report; empty where it gave none.
    pub fn probed(&mut self, now: Time, cache: CacheId, well: bool, load: Load) {
        self.ear.probed(now, cache.0, well, load);
    }

    pub fn probed_values(&mut self, now: Time, cache: CacheId, well: bool, values: &[f32]) {
        let load = self.ear.fields().load(values);
        self.ear.probed(now, cache.0, well, load);
    }

    /// What the router is to be fed besides, and the probes to be sent. A crowding goes as the one value of a report.
    pub fn look(&mut self, now: Time, events: &mut Vec<Event>, probes: &mut Vec<CacheId>) {
        self.ear.look(now, &mut self.tells);
        for tell in self.tells.drain(..) {
            match tell {
                Tell::Probe { server } => probes.push(CacheId(server)),
                Tell::Crowding { server, crowding } => events.push(Event::HealthChecked {
                    cache: CacheId(server),
                    ok: true,
                    elapsed: 0,
                    report: vec![crowding],
                }),
            }
        }
    }
}
