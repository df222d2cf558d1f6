//! Phase 3: the client listener, and the endpoint list as the journal service and the admin interface give it.

use super::checked::Checked;
use super::decisions::Decisions;
use super::error::StartError;
use crate::admin::MaintenanceRegistry;
use crate::backoff::Backoff;
use crate::hierarchy::{ActiveHierarchy, Zones};
use crate::journal::{JournalClient, JournalService, Names};
use foldmux_fronts::listen::{named, shared};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Stack of the thread that follows the journal service (bytes).
const JOURNAL_STACK: usize = 512 * 1024;

/// The client listener, bound, and the endpoint list that is being followed.
pub(super) struct Endpoints {
    pub(super) listener: TcpListener,
    pub(super) address: SocketAddr,
    pub(super) hierarchy: Option<ActiveHierarchy>,
    pub(super) maintenance: Arc<MaintenanceRegistry>,
    pub(super) service: Arc<JournalService>,
    /// Set once a whole endpoint list is known.
    pub(super) listed: Arc<AtomicBool>,
    /// For what the fleet's peers read of the journal, where there is a fleet.
    pub(super) relayed: Option<JournalClient>,
}

impl Endpoints {
    pub(super) fn start(checked: &Checked, decisions: &Decisions) -> Result<Endpoints, StartError> {
        let (config, core) = (&checked.config, &decisions.core);
        // Before the endpoint list, so that no fill is routed by the settings alone.
        let hierarchy = start_hierarchy(checked, decisions)?;
        let (listener, address) = bind(config.listen)?;
        let listed = Arc::new(AtomicBool::new(false));
        let names = Names {
            zones: config.decoded.zones.clone(),
            kinds: config.decoded.kinds.clone(),
        };
        let mut journal = JournalClient::new(
            names,
            checked.clock.clone(),
            core.event_loop.clone(),
            decisions.pool.clone(),
            listed.clone(),
        );
        let maintenance = Arc::new(MaintenanceRegistry::new(
            core.event_loop.clone(),
            maintenance_file(address.port()),
        ));
        journal.maintenance = Some(maintenance.clone());
        for class in &config.decoded.classes {
            core.metrics.register_class(&class.as_str().into());
        }
        if let Some(fleet) = &checked.fleet {
            fleet.share(&mut journal);
        }
        // What the configuration lists comes before anything that the service says.
        if !journal.apply(&config.known) {
            return Err(StartError::KnownEventsGap);
        }
        let service = Arc::new(JournalService::new(config.journal));
        if config.journal.is_none() {
            tracing::warn!("no journal service: the list stays as configured");
        }
        let relayed = checked.fleet.is_some().then(|| journal.clone());
        let (followed, backoff) = (service.clone(), Backoff::new(config.seed));
        named("journal", JOURNAL_STACK, move || {
            journal.follow(&followed, backoff)
        })?;
        Ok(Endpoints {
            listener,
            address,
            hierarchy,
            maintenance,
            service,
            listed,
            relayed,
        })
    }
}

fn start_hierarchy(
    checked: &Checked,
    decisions: &Decisions,
) -> Result<Option<ActiveHierarchy>, StartError> {
    let Some(hierarchy) = &checked.hierarchy else {
        return Ok(None);
    };
    let active = ActiveHierarchy::start(
        hierarchy,
        Zones::of(&checked.config.decoded),
        checked.clock.clone(),
        decisions.core.event_loop.clone(),
    )?;
    Ok(Some(active))
}

/// Binds the client listener; the kernel spreads connections over all processes that listen there.
fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listener = shared(address).map_err(|source| StartError::Listen { address, source })?;
    let bound = listener
        .local_addr()
        .map_err(|error| StartError::Component(error.to_string()))?;
    Ok((listener, bound))
}

/// The platform gives a directory of their own to the processes that serve one port, old and new version alike.
fn maintenance_file(port: u16) -> Option<PathBuf> {
    let directory = PathBuf::from(std::env::var_os("TMPDIR")?);
    Some(directory.join(format!("foldmux-maintenance-{port}")))
}
