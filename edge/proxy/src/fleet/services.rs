//! The services of the fleet that the operator's file enables: replicated request records (cover), the journal relayed
//! by site, and permits of pools.

use crate::cover::start::RunningCover;
use crate::cover::PreparedCover;
use crate::journal::JournalClient;
use crate::journal_relay::{self, JournalRelay};
use crate::pool_permits::PoolPermits;
use foldmux_core::servers::ServerList;
use foldmux_core::Core;
use foldmux_fleet::{Builder, Port};
use foldmux_operator::Fleet as FleetConfig;
use foldmux_settings::Decoded;
use std::sync::Arc;
use std::time::Instant;

/// What the fleet and its services need to know of this process.
pub struct ProcessContext<'a> {
    /// The name of this process in the fleet.
    pub name: &'a str,
    /// The settings.
    pub decoded: &'a Decoded,
    /// The name and slot of each class in service.
    pub classes: Vec<(&'a Arc<str>, &'a Arc<usize>)>,
    /// The caches, parents and the origin.
    pub servers: &'a Arc<ServerList>,
    /// Most requests in flight at once.
    pub max_requests: usize,
    /// Limit on the memory of this process (MB).
    pub memory_mb: u64,
    /// The seed of the random choices of the fleet and its services.
    pub seed: u64,
}

/// The services, whose state machines were added to the fleet's thread, and that are not started yet.
#[derive(Default)]
pub struct PreparedServices {
    cover: Option<(PreparedCover, Port<foldmux_takeover::Command>)>,
    relay: Option<(JournalRelay, Port<foldmux_relay::Command>)>,
    pools: Option<Arc<PoolPermits>>,
    /// A line for the log for each service.
    descriptions: Vec<String>,
}

/// The services in service.
#[derive(Default)]
pub struct RunningServices {
    cover: Option<RunningCover>,
    relay: Option<JournalRelay>,
    pools: Option<Arc<PoolPermits>>,
}

impl PreparedServices {
    /// Adds the state machine of each service that the file enables to the fleet's thread.
    ///
    /// # Errors
    ///
    /// Returns an error if a service can't be used, for example because the file names a class that the settings don't
    /// have.
    pub fn add(
        builder: &mut Builder,
        config: &FleetConfig,
        context: &ProcessContext,
    ) -> Result<PreparedServices, String> {
        let mut services = PreparedServices::default();
        let bounds = (context.max_requests, context.memory_mb, context.seed);
        if let Some(prepared) = PreparedCover::new(
            config,
            context.name,
            context.decoded,
            context.classes.iter().copied(),
            bounds,
        )? {
            let port = prepared.add(builder);
            let classes: Vec<&str> = config
                .covers
                .iter()
                .map(|cover| &*cover.value.class)
                .collect();
            services
                .descriptions
                .push(format!("covers {}", classes.join(", ")));
            services.cover = Some((prepared, port));
        }
        if let Some((relay, state_machine, sink)) =
            JournalRelay::new(config, context.name, context.seed)?
        {
            let port = builder.add(journal_relay::PART, state_machine, sink);
            services
                .descriptions
                .push(format!("relays {}", journal_relay::JOURNAL));
            services.relay = Some((relay, port));
        }
        services.pools = PoolPermits::add(
            builder,
            config,
            context.name,
            context.decoded,
            context.servers.clone(),
            context.seed,
        )?;
        if services.pools.is_some() {
            let pools: Vec<String> = config
                .pools
                .iter()
                .map(|pool| format!("{} ({} slots)", pool.name, pool.slots))
                .collect();
            services
                .descriptions
                .push(format!("shares {}", pools.join(", ")));
        }
        Ok(services)
    }

    /// Shares the events that this process reads from the journal service from now on, if the file enables the relay.
    pub fn share(&self, journal: &mut JournalClient) {
        self.relay
            .iter()
            .for_each(|(relay, _)| journal.share(relay.readers.clone()));
    }

    /// Starts the services. `clock_start`: the zero of the fleet's clock; `journal`: a clone of the client that reads
    /// the journal service.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread or a socket can't be created.
    pub fn start(
        self,
        core: &Arc<Core>,
        journal: JournalClient,
        clock_start: Instant,
        seed: u64,
    ) -> Result<RunningServices, String> {
        let PreparedServices {
            cover,
            relay,
            pools,
            descriptions,
        } = self;
        let mut running = RunningServices::default();
        if let Some((prepared, port)) = cover {
            running.cover = Some(prepared.start(core, port, clock_start)?);
        }
        if let Some((relay, port)) = relay {
            relay.start(port, journal, seed)?;
            running.relay = Some(relay);
        }
        if let Some(pools) = pools {
            pools.start().map_err(|e| format!("fleet: {e}"))?;
            let _ = core.permits.set(pools.clone());
            running.pools = Some(pools);
        }
        descriptions
            .iter()
            .for_each(|line| tracing::info!("fleet: {line}"));
        Ok(running)
    }
}

impl RunningServices {
    /// Hands over the work that other processes can continue.
    pub fn leave(&self) {
        self.cover.iter().for_each(RunningCover::release_all);
        self.relay.iter().for_each(|relay| relay.readers.drain());
        self.pools.iter().for_each(|pools| pools.leave());
    }

    /// Applies the weights of tenants to the pools. Returns how many, or `None` if there is no pool.
    pub fn update_weights(&self, config: &FleetConfig, tenants: &[(String, f64)]) -> Option<usize> {
        self.pools
            .as_ref()
            .map(|pools| pools.update_weights(config, tenants))
    }

    /// Logs the counters of replicated request records.
    pub fn report(&self) {
        self.cover
            .iter()
            .for_each(|cover| tracing::info!("fleet: {}", cover.report()));
    }
}
