//! Many routers in one process, each of which is fed only its own events.

use crate::error::HostError;
use crate::wire::{decode, Incoming, Reply};
use foldmux::interface::{Action, CacheId, Event, Time};
use foldmux::Router;
use foldmux_load_reports::RouterLoadReports;
use foldmux_settings as settings;
use std::collections::BTreeMap;

/// How load reports are used, for comparisons; by default, as the settings say.
#[derive(Clone, Copy, Default)]
pub struct HostOptions {
    /// Ignore load reports and health checks, whatever the settings say.
    pub ignores_load_reports: bool,
    /// Send health checks where settings and cost allow them, as if the router acted on their results.
    pub acts_on_load_reports: bool,
}

/// A router, and the state of its servers' load reports, where the settings have reports or health checks.
struct Instance {
    router: Router,
    load_reports: Option<RouterLoadReports>,
}

/// The routers by the simulator's instance number.
#[derive(Default)]
pub struct Host {
    options: HostOptions,
    instances: BTreeMap<u32, Instance>,
    actions: Vec<Action>,
}

impl Host {
    /// A host without routers.
    pub fn new(options: HostOptions) -> Host {
        Host {
            options,
            ..Host::default()
        }
    }

    /// Plays one batch at `now` and gives the reply's frame.
    ///
    /// # Errors
    ///
    /// A record that is not in the wire format, or settings that cannot be used.
    pub fn play(&mut self, now: Time, body: &[u8], records: u32) -> Result<Vec<u8>, HostError> {
        let mut reply = Reply::default();
        for (instance, incoming) in decode(body, records)? {
            match incoming {
                Incoming::Start { seed, settings } => self.start(instance, seed, &settings)?,
                Incoming::Stop => drop(self.instances.remove(&instance)),
                incoming => self.feed(now, instance, incoming, &mut reply),
            }
        }
        Ok(reply.into_frame())
    }

    /// Starts a router, in place of one that runs under the same number.
    fn start(&mut self, instance: u32, seed: u64, settings: &str) -> Result<(), HostError> {
        let mut decoded = settings::parse(settings).map_err(HostError::Settings)?;
        decoded.reports.placement_uses_load |= self.options.acts_on_load_reports;
        let load_reports = RouterLoadReports::new(decoded.reports, &decoded.settings)
            .filter(|_| !self.options.ignores_load_reports);
        let router = Router::new(decoded.settings, seed);
        let started = Instance {
            router,
            load_reports,
        };
        self.instances.insert(instance, started);
        Ok(())
    }

    /// Feeds a router and puts its actions into the reply. What comes for a router that does not run is dropped.
    fn feed(&mut self, now: Time, instance: u32, incoming: Incoming, reply: &mut Reply) {
        let Some(running) = self.instances.get_mut(&instance) else {
            return;
        };
        running.take(now, incoming, &mut self.actions);
        for action in self.actions.drain(..) {
            reply.push(instance, &action);
        }
    }
}

impl Instance {
    fn take(&mut self, now: Time, incoming: Incoming, out: &mut Vec<Action>) {
        match incoming {
            Incoming::Event(event) => self.handle(now, event, out),
            Incoming::AttemptEnded {
                report,
                cache,
                load,
            } => {
                if let Some(load_reports) = self.load_reports.as_mut().filter(|_| !load.is_empty())
                {
                    load_reports.record_report_values(now, cache, &load);
                }
                self.handle(now, Event::Outcome(report), out);
            }
            Incoming::HealthChecked {
                cache,
                ok,
                elapsed,
                report,
            } => match &mut self.load_reports {
                Some(load_reports) => load_reports.record_probe_values(now, cache, ok, &report),
                None => {
                    let event = Event::HealthChecked {
                        cache,
                        ok,
                        elapsed,
                        report,
                    };
                    self.handle(now, event, out);
                }
            },
            Incoming::Start { .. } | Incoming::Stop => {}
        }
    }

    /// Hands an event to the router. The load reports see it first, and the actions that follow; with each timer they may
    /// add events and health checks.
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let Some(load_reports) = &mut self.load_reports else {
            return self.router.handle(now, event, out);
        };
        let is_timer = matches!(event, Event::Timer { .. });
        load_reports.observe_event(now, &event);
        let first_action = out.len();
        self.router.handle(now, event, out);
        for action in &out[first_action..] {
            load_reports.observe_action(now, action);
        }
        if is_timer {
            let mut events: Vec<Event> = Vec::new();
            let mut health_checks: Vec<CacheId> = Vec::new();
            load_reports.poll(now, &mut events, &mut health_checks);
            let checks = health_checks.into_iter();
            out.extend(checks.map(|cache| Action::HealthCheck { cache }));
            for event in events {
                self.router.handle(now, event, out);
            }
        }
    }
}
