//! Phase 3: binds the client listener, and starts to follow the endpoint list of the journal service.

use super::checked::CheckedSetup;
use super::error::StartError;
use super::running_core::RunningCore;
use crate::admin::MaintenanceRegistry;
use crate::backoff::Backoff;
use crate::hierarchy::{ActiveHierarchy, Zones};
use crate::journal::{JournalClient, JournalService, ZoneAndKindNames};
use crate::memory_share::{self, MemoryBudget};
use crate::shared_directory::shared_directory;
use foldmux_event_stream::follower::FollowerLimits;
use foldmux_fronts::listen::{named, shared};
use foldmux_fronts::msgpack::SEND_BUFFER_SIZE;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Stack of the thread that follows the journal service (bytes).
const JOURNAL_STACK: usize = 512 * 1024;

/// The client listener, bound but not accepting yet, and the parts that follow the endpoint list.
pub(super) struct Endpoints {
    pub(super) listener: TcpListener,
    pub(super) address: SocketAddr,
    pub(super) hierarchy: Option<ActiveHierarchy>,
    pub(super) maintenance: Arc<MaintenanceRegistry>,
    pub(super) journal_service: Arc<JournalService>,
    /// Set once a complete endpoint list is known.
    pub(super) endpoints_known: Arc<AtomicBool>,
    /// Applies the journal's events that peers of the fleet read, if there is a fleet.
    pub(super) relay_client: Option<JournalClient>,
}

impl Endpoints {
    pub(super) fn start(
        checked: &CheckedSetup,
        running_core: &RunningCore,
    ) -> Result<Endpoints, StartError> {
        let (config, core) = (&checked.config, &running_core.core);
        // Before the endpoint list, so that no fill is routed by the settings alone.
        let hierarchy = start_hierarchy(checked, running_core)?;
        let (listener, address) = bind(config.listen)?;
        // Before the first client is served, so that two processes never take the memory of one each.
        let buffers = core.buffers.clone();
        let memory_mb = config.limits.memory_mb;
        let budget = MemoryBudget::new(memory_mb, &config.bounds, buffers.max_bytes());
        memory_share::start(address, buffers, budget)?;
        let endpoints_known = Arc::new(AtomicBool::new(false));
        let names = ZoneAndKindNames {
            zones: config.decoded.zones.clone(),
            kinds: config.decoded.kinds.clone(),
        };
        let mut journal = JournalClient::new(
            names,
            checked.clock.clone(),
            core.event_loop.clone(),
            running_core.pool.clone(),
            endpoints_known.clone(),
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
        // The configuration's events are applied before any event of the service.
        if !journal.apply(&config.known_events) {
            return Err(StartError::KnownEventsGap);
        }
        if let Some(line) = config.defaults_line() {
            tracing::warn!("configuration: {line}");
        }
        let journal_service = Arc::new(JournalService::new(config.journal_address));
        if config.journal_address.is_none() {
            tracing::warn!("no journal service: the endpoint list stays as configured");
        }
        let relay_client = checked.fleet.is_some().then(|| journal.clone());
        let (service, backoff) = (journal_service.clone(), Backoff::new(config.seed));
        let limits = FollowerLimits {
            max_connections: config.bounds.journal,
            max_batch_bytes: config.bounds.event_bytes,
        };
        named("journal", JOURNAL_STACK, move || {
            journal.follow(&service, limits, backoff)
        })?;
        Ok(Endpoints {
            listener,
            address,
            hierarchy,
            maintenance,
            journal_service,
            endpoints_known,
            relay_client,
        })
    }
}

fn start_hierarchy(
    checked: &CheckedSetup,
    running_core: &RunningCore,
) -> Result<Option<ActiveHierarchy>, StartError> {
    let Some(hierarchy) = &checked.hierarchy else {
        return Ok(None);
    };
    let active = ActiveHierarchy::start(
        hierarchy,
        Zones::of(&checked.config.decoded),
        checked.clock.clone(),
        running_core.core.event_loop.clone(),
    )?;
    Ok(Some(active))
}

/// Binds the client listener. The kernel distributes connections over all processes that listen on the address.
fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listener = shared(address, SEND_BUFFER_SIZE)
        .map_err(|source| StartError::Listen { address, source })?;
    let bound = listener
        .local_addr()
        .map_err(|error| StartError::Component(error.to_string()))?;
    Ok((listener, bound))
}

/// Where the maintenance set is stored, for the processes that serve one port.
fn maintenance_file(port: u16) -> Option<PathBuf> {
    Some(shared_directory()?.join(format!("foldmux-maintenance-{port}")))
}
