//! Many routers in one process, each fed only its own events.

use crate::wire::{decode, Incoming, Reply};
use foldmux::interface::{Action, CacheId, Event, Time};
use foldmux::Router;
use foldmux_load_reports::RouterLoadReports;
use foldmux_settings as settings;
use std::collections::BTreeMap;

/// A router, and what its servers report, where the settings have reports or probes.
struct Instance {
    router: Router,
    load_reports: Option<RouterLoadReports>,
}

#[derive(Default)]
pub struct Host {
    deaf: bool,
    probes: bool,
    instances: BTreeMap<u32, Instance>,
    actions: Vec<Action>,
}

impl Host {
    /// To compare: reports and probes left aside whatever the settings say, or probes sent where settings and price
    /// allow them, as if the router went by what they find.
    pub fn new(deaf: bool, probes: bool) -> Host {
        Host {
            deaf,
            probes,
            ..Host::default()
        }
    }

    /// Plays one batch and gives the reply's frame, or one plain line on what is wrong.
    pub fn batch(&mut self, now: Time, body: &[u8], records: u32) -> Result<Vec<u8>, String> {
        let mut reply = Reply::default();
        for (instance, incoming) in decode(body, records).map_err(|e| e.to_string())? {
            if let Incoming::Start { seed, settings } = &incoming {
                let mut decoded = settings::parse(settings)?;
                decoded.reports.placement_uses_load |= self.probes;
                let load_reports = RouterLoadReports::new(decoded.reports, &decoded.settings)
                    .filter(|_| !self.deaf);
                let router = Router::new(decoded.settings, *seed);
                self.instances.insert(
                    instance,
                    Instance {
                        router,
                        load_reports,
                    },
                );
                continue;
            }
            if let Incoming::Stop = incoming {
                self.instances.remove(&instance);
                continue;
            }
            let Some(held) = self.instances.get_mut(&instance) else {
                continue;
            };
            held.take(now, incoming, &mut self.actions);
            for action in self.actions.drain(..) {
                reply.push(instance, &action);
            }
        }
        Ok(reply.into_frame())
    }
}

impl Instance {
    fn take(&mut self, now: Time, incoming: Incoming, out: &mut Vec<Action>) {
        match incoming {
            Incoming::Event(event) => self.feed(now, event, out),
            Incoming::Ended(report, cache, load) => {
                if !load.is_empty() {
                    self.load_reports.iter_mut().for_each(|load_reports| {
                        load_reports.record_report_values(now, cache, &load)
                    });
                }
                self.feed(now, Event::Outcome(report), out);
            }
            Incoming::Probed {
                cache,
                ok,
                elapsed,
                report,
            } => match &mut self.load_reports {
                Some(load_reports) => load_reports.record_probe_values(now, cache, ok, &report),
                None => self.feed(
                    now,
                    Event::HealthChecked {
                        cache,
                        ok,
                        elapsed,
                        report,
                    },
                    out,
                ),
            },
            Incoming::Start { .. } | Incoming::Stop => {}
        }
    }

    fn feed(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let Some(load_reports) = &mut self.load_reports else {
            return self.router.handle(now, event, out);
        };
        let looks = matches!(event, Event::Timer { .. });
        load_reports.observe_event(now, &event);
        let before = out.len();
        self.router.handle(now, event, out);
        out[before..]
            .iter()
            .for_each(|action| load_reports.observe_action(now, action));
        if looks {
            let (mut events, mut probes): (Vec<Event>, Vec<CacheId>) = Default::default();
            load_reports.poll(now, &mut events, &mut probes);
            out.extend(
                probes
                    .into_iter()
                    .map(|cache| Action::HealthCheck { cache }),
            );
            events
                .into_iter()
                .for_each(|event| self.router.handle(now, event, out));
        }
    }
}
