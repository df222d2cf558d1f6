//! Phases 4 to 6: the fronts take requests, reloads are applied, and the process drains.

use super::checked::Checked;
use super::decisions::Decisions;
use super::endpoints::Endpoints;
use super::error::StartError;
use super::outcome_log;
use crate::admin::{self, Admin};
use crate::config::{Config, ConfigFiles};
use crate::drain::{time_until_kill, ClientListener, Drain, ANSWER_MARGIN, MAX_DRAIN};
use crate::fleet;
use crate::reload::{client_classes, Reloader};
use foldmux_core::log_throttle::LogThrottle;
use foldmux_core::messages::Command;
use foldmux_core::Core;
use foldmux_extproc::serve::{Bound as BoundProcessor, Serving as Processor};
use foldmux_fronts::listen::named;
use foldmux_fronts::msgpack::{Front, Taken};
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, OnceLock, RwLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Stack of the thread that waits for the external processor's streams to end (bytes).
const PROCESSOR_DRAIN_STACK: usize = 512 * 1024;

/// The process in service.
pub(super) struct Server<'a> {
    core: Arc<Core>,
    front: Arc<Front>,
    listener: ClientListener,
    reloader: Reloader<'a>,
    fleet: Option<fleet::Running>,
    processor: Option<Processor>,
    /// Limits go by the places of the classes at the start: held, so that no other class gets one of these.
    _limited_classes: Option<Vec<Taken>>,
}

impl<'a> Server<'a> {
    /// Starts every part in the order in which they depend on each other; the last line says where clients are served.
    pub(super) fn start(
        mut checked: Checked,
        files: ConfigFiles<'a>,
    ) -> Result<Server<'a>, StartError> {
        let has_limits = checked.limits.is_some();
        let decisions = Decisions::start(&mut checked)?;
        let endpoints = Endpoints::start(&checked, &decisions)?;
        let core = decisions.core;
        let processor = match checked.processor.take() {
            Some(bound) => Some(serve_processor(bound, &checked, &core, &endpoints)?),
            None => None,
        };
        let front = new_front(&checked, &core, &endpoints);
        let clients = checked.config.bounds.clients;
        let listener = ClientListener::start(endpoints.listener, front.clone(), clients)?;
        let fleet = match checked.fleet.take().zip(endpoints.relayed) {
            Some((fleet, journal)) => Some(fleet.start(&core, journal)?),
            None => None,
        };
        tracing::info!(
            "{} is listening on {}",
            checked.config.name,
            endpoints.address
        );
        let admin = Arc::new(Admin {
            core: core.clone(),
            maintenance: endpoints.maintenance,
            listed: endpoints.listed,
            leave_by: front.leave_by.clone(),
            conf_loaded: AtomicU64::new(0),
            conf_invalid: AtomicU64::new(0),
        });
        serve_admin(&checked.config, &admin)?;
        outcome_log::start(core.clone(), decisions.pool)?;
        let limited_classes = has_limits.then(|| client_classes(&checked.classes));
        let reloader = Reloader {
            files,
            startup: checked.startup,
            classes: checked.classes,
            account: checked.account,
            hierarchy: endpoints.hierarchy,
            front: front.clone(),
            service: endpoints.service,
            admin,
        };
        Ok(Server {
            core,
            front,
            listener,
            reloader,
            fleet,
            processor,
            _limited_classes: limited_classes,
        })
    }

    /// Applies what the configuration's files say now.
    pub(super) fn reload(&mut self) {
        self.reloader
            .reload(self.fleet.as_ref(), self.processor.as_ref());
    }

    /// Drains, and returns when the process may exit. See [`crate::server`] for what happens when.
    pub(super) fn shut_down(self) {
        let deadline = Instant::now() + time_until_kill(self.longest_deadline());
        let _ = self.front.leave_by.set(deadline);
        self.core.event_loop.send(Command::Shutdown {
            deadline: self.core.clock.at(deadline - ANSWER_MARGIN),
        });
        if let Some(fleet) = &self.fleet {
            fleet.leave();
        }
        let processor = self.processor.map(drain_processor);
        let drain = Drain {
            core: self.core,
            listener: self.listener,
            deadline,
        };
        drain.run();
        if let Some(Ok(processor)) = processor {
            let _ = processor.join();
        }
        if let Some(fleet) = self.fleet {
            fleet.end();
        }
    }

    /// By the classes now in service: a reload may have brought other deadlines.
    fn longest_deadline(&self) -> Duration {
        let classes = self.front.classes();
        let longest_us = classes.iter().map(|class| class.longest).max();
        Duration::from_micros(longest_us.unwrap_or(0))
    }
}

fn serve_processor(
    bound: BoundProcessor,
    checked: &Checked,
    core: &Arc<Core>,
    endpoints: &Endpoints,
) -> Result<Processor, StartError> {
    let address = bound.address()?;
    let max_attempts = checked.config.decoded.settings.max_attempts;
    let listed: Arc<AtomicBool> = endpoints.listed.clone();
    let processor = bound.serve(core.clone(), max_attempts, listed)?;
    tracing::info!("external processor on {address}");
    Ok(processor)
}

/// Listens for operators, where the configuration says so.
fn serve_admin(config: &Config, admin: &Arc<Admin>) -> Result<(), StartError> {
    let Some(address) = config.operator else {
        return Ok(());
    };
    let bound = admin::serve(address, admin.clone(), config.bounds.operator)?;
    tracing::info!("admin interface on {bound}");
    Ok(())
}

fn new_front(checked: &Checked, core: &Arc<Core>, endpoints: &Endpoints) -> Arc<Front> {
    Arc::new(Front {
        leave_by: Arc::new(OnceLock::new()),
        core: core.clone(),
        classes: RwLock::new(Arc::new(client_classes(&checked.classes))),
        listed: endpoints.listed.clone(),
        nobody: "".into(),
        connections: AtomicU64::new(1),
        end_lines: LogThrottle::new(Instant::now()),
    })
}

/// On a thread of its own, so that streams which don't end delay no client of the other fronts.
fn drain_processor(mut processor: Processor) -> Result<JoinHandle<()>, String> {
    named("processor", PROCESSOR_DRAIN_STACK, move || {
        let ended = processor.leave(MAX_DRAIN);
        tracing::info!(
            "external processor: {}; all streams ended: {ended}",
            processor.line()
        );
    })
}
