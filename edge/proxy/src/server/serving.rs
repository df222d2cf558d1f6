//! Phases 4 to 6: starts the fronts, applies reloads, and drains the process.

use super::checked::CheckedSetup;
use super::endpoints::Endpoints;
use super::error::StartError;
use super::outcome_log;
use super::running_core::RunningCore;
use crate::admin::{self, Admin};
use crate::config::{Config, ConfigFiles};
use crate::drain::{drain_time, ClientListener, Drain, MAX_DRAIN, RESPONSE_MARGIN};
use crate::fleet::RunningFleet;
use crate::reload::{client_classes, Reloader};
use foldmux_core::log_throttle::LogThrottle;
use foldmux_core::messages::Command;
use foldmux_core::Core;
use foldmux_extproc::serve::{Bound as BoundProcessor, Serving as Processor};
use foldmux_fronts::listen::named;
use foldmux_fronts::msgpack::{ClientClass, Front};
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
    fleet: Option<RunningFleet>,
    processor: Option<Processor>,
    /// The classes at the start, if there are limits. Limits refer to classes by their slots; holding the classes keeps
    /// a reload from giving their slots to other classes.
    _limited_classes: Option<Vec<ClientClass>>,
}

impl<'a> Server<'a> {
    /// Starts the parts in the order of their dependencies.
    pub(super) fn start(
        mut checked: CheckedSetup,
        files: ConfigFiles<'a>,
    ) -> Result<Server<'a>, StartError> {
        let has_limits = checked.limits.is_some();
        let running_core = RunningCore::start(&mut checked)?;
        let endpoints = Endpoints::start(&checked, &running_core)?;
        let core = running_core.core;
        let processor = match checked.processor.take() {
            Some(bound) => Some(serve_processor(bound, &checked, &core, &endpoints)?),
            None => None,
        };
        let front = new_front(&checked, &core, &endpoints);
        let max_clients = checked.config.bounds.clients;
        let listener = ClientListener::start(endpoints.listener, front.clone(), max_clients)?;
        let fleet = match checked.fleet.take().zip(endpoints.relay_client) {
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
            endpoints_known: endpoints.endpoints_known,
            drain_deadline: front.leave_by.clone(),
            conf_loaded: AtomicU64::new(0),
            conf_invalid: AtomicU64::new(0),
        });
        serve_admin(&checked.config, &admin)?;
        outcome_log::start(core.clone(), running_core.pool)?;
        let limited_classes = has_limits.then(|| client_classes(&checked.classes));
        let reloader = Reloader {
            files,
            startup: checked.startup,
            shape: checked.config.shape,
            tenants: checked.config.decoded.tenants,
            classes: checked.classes,
            account: checked.account,
            hierarchy: endpoints.hierarchy,
            front: front.clone(),
            journal_service: endpoints.journal_service,
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

    /// Reads the configuration and the operator's file again, and applies them.
    pub(super) fn reload(&mut self) {
        self.reloader
            .reload(self.fleet.as_ref(), self.processor.as_ref());
    }

    /// Drains, and returns when the process may exit. [`crate::server`] has the timeline.
    pub(super) fn shut_down(self) {
        let deadline = Instant::now() + drain_time(self.longest_deadline());
        let _ = self.front.leave_by.set(deadline);
        self.core.event_loop.send(Command::Shutdown {
            deadline: self.core.clock.at(deadline - RESPONSE_MARGIN),
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

    /// The longest request deadline of the classes now in service; a reload may have changed it.
    fn longest_deadline(&self) -> Duration {
        let classes = self.front.classes();
        let longest_us = classes.iter().map(|class| class.longest).max();
        Duration::from_micros(longest_us.unwrap_or(0))
    }
}

fn serve_processor(
    bound: BoundProcessor,
    checked: &CheckedSetup,
    core: &Arc<Core>,
    endpoints: &Endpoints,
) -> Result<Processor, StartError> {
    let address = bound.address()?;
    let max_attempts = checked.config.decoded.settings.max_attempts;
    let endpoints_known: Arc<AtomicBool> = endpoints.endpoints_known.clone();
    let processor = bound.serve(core.clone(), max_attempts, endpoints_known)?;
    tracing::info!("external processor on {address}");
    Ok(processor)
}

/// Starts the admin interface, if the configuration has an address for it.
fn serve_admin(config: &Config, admin: &Arc<Admin>) -> Result<(), StartError> {
    let Some(address) = config.admin_address else {
        return Ok(());
    };
    let bound = admin::serve(address, admin.clone(), config.bounds.operator)?;
    tracing::info!("admin interface on {bound}");
    Ok(())
}

fn new_front(checked: &CheckedSetup, core: &Arc<Core>, endpoints: &Endpoints) -> Arc<Front> {
    Arc::new(Front {
        leave_by: Arc::new(OnceLock::new()),
        core: core.clone(),
        classes: RwLock::new(Arc::new(client_classes(&checked.classes))),
        listed: endpoints.endpoints_known.clone(),
        nobody: "".into(),
        connections: AtomicU64::new(1),
        end_lines: LogThrottle::new(Instant::now()),
    })
}

/// Drains the external processor on a thread of its own, so that streams which don't end delay no client of the other
/// fronts.
fn drain_processor(mut processor: Processor) -> Result<JoinHandle<()>, String> {
    named("processor", PROCESSOR_DRAIN_STACK, move || {
        let ended = processor.leave(MAX_DRAIN);
        tracing::info!(
            "external processor: {}; all streams ended: {ended}",
            processor.line()
        );
    })
}
