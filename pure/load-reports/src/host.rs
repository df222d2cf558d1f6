//! Connects a [`LoadTracker`] to a router. The router's host passes every event and action of the router to it, and
//! polls it for further events to pass to the router and for probes to send.

use crate::fields::Load;
use crate::tracker::{LoadTracker, Server, Setup, Update};
use foldmux::interface::{
    Action, CacheId, Event, MemberState, Outcome, RequestId, Settings, Tier, Time,
};
use std::collections::HashMap;

/// Maximum number of requests whose latest attempt is remembered.
const MAX_REQUESTS: usize = 65_536;

/// Drives a [`LoadTracker`] with a router's events and actions.
pub struct RouterLoadReports {
    tracker: LoadTracker,
    settings: Settings,
    /// The server to which the latest attempt of each request went.
    in_flight: HashMap<RequestId, CacheId>,
    updates: Vec<Update>,
}

impl RouterLoadReports {
    /// Creates the tracker; `None` if `setup` has neither reports nor probes. `settings` are the router's, which tell
    /// the caches of its own zone from other members.
    pub fn new(setup: Setup, settings: &Settings) -> Option<RouterLoadReports> {
        let tracker = LoadTracker::new(setup)?;
        Some(RouterLoadReports {
            tracker,
            settings: settings.clone(),
            in_flight: HashMap::new(),
            updates: Vec::new(),
        })
    }

    /// Records an event, before it is passed to the router.
    pub fn observe_event(&mut self, now: Time, event: &Event) {
        match event {
            Event::Members { full, members } => {
                let server = |member: &foldmux::interface::Member| {
                    let ready = member.state == MemberState::Ready
                        && self.settings.tier(member) == Tier::OwnCache;
                    let server = Server {
                        id: member.cache.0,
                        started_at: member.started_at,
                        ready,
                    };
                    (server, member.state == MemberState::Gone)
                };
                self.tracker
                    .update_servers(*full, members.iter().map(server));
            }
            Event::Request(_) => self.tracker.record_request(),
            Event::Outcome(report) => {
                let Some(cache) = self.in_flight.remove(&report.id) else {
                    return;
                };
                let rejected =
                    matches!(report.outcome, Outcome::Overloaded | Outcome::ConnectFailed);
                let lost = matches!(
                    report.outcome,
                    Outcome::Error | Outcome::TimedOut | Outcome::Reset
                );
                self.tracker.record_completion(now, cache.0, rejected, lost);
            }
            Event::ClientDisconnected { id } => drop(self.in_flight.remove(id)),
            _ => {}
        }
    }

    /// Records an action of the router.
    pub fn observe_action(&mut self, now: Time, action: &Action) {
        if let Action::Fetch(fetch) = action {
            self.tracker.record_send(now, fetch.cache.0);
            if self.in_flight.len() < MAX_REQUESTS {
                self.in_flight.insert(fetch.id, fetch.cache);
            }
        }
    }

    /// Records a report that a response carried.
    pub fn record_report(&mut self, now: Time, cache: CacheId, load: Load) {
        self.tracker.record_report(now, cache.0, load);
    }

    /// Records a report that a response carried, with its values in the order of [`Setup::fields`].
    pub fn record_report_values(&mut self, now: Time, cache: CacheId, values: &[f32]) {
        let load = self.tracker.fields().load(values);
        self.tracker.record_report(now, cache.0, load);
    }

    /// Records the end of a probe: whether the server is healthy, and its report, which may be empty.
    pub fn record_probe(&mut self, now: Time, cache: CacheId, healthy: bool, load: Load) {
        self.tracker.record_probe(now, cache.0, healthy, load);
    }

    /// Records the end of a probe, with its report's values in the order of [`Setup::fields`].
    pub fn record_probe_values(
        &mut self,
        now: Time,
        cache: CacheId,
        healthy: bool,
        values: &[f32],
    ) {
        let load = self.tracker.fields().load(values);
        self.tracker.record_probe(now, cache.0, healthy, load);
    }

    /// Adds the events to pass to the router, and the servers to probe. A relative load is passed in the form of a
    /// successful health check that took no time, as the only value of its report.
    pub fn poll(&mut self, now: Time, events: &mut Vec<Event>, probes: &mut Vec<CacheId>) {
        self.tracker.poll(now, &mut self.updates);
        for update in self.updates.drain(..) {
            match update {
                Update::Probe { server } => probes.push(CacheId(server)),
                Update::RelativeLoad {
                    server,
                    relative_load,
                } => events.push(Event::HealthChecked {
                    cache: CacheId(server),
                    ok: true,
                    elapsed: 0,
                    report: vec![relative_load],
                }),
            }
        }
    }
}
