//! The fleet's services that the operator's file names beside membership: replicated request records (cover), the journal
//! relayed by site, permits of pools.

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

/// What the services need of the process.
pub struct ProcessContext<'a> {
    /// Its name in the fleet.
    pub name: &'a str,
    /// The settings.
    pub decoded: &'a Decoded,
    /// The classes as the fronts serve them: name and place.
    pub classes: Vec<(&'a Arc<str>, &'a Arc<usize>)>,
    /// The caches, parents and origin.
    pub members: &'a Arc<ServerList>,
    /// Most requests in flight.
    pub max_requests: usize,
    /// Memory limit (MB).
    pub memory_mb: u64,
    /// Seeds all randomness of the services.
    pub seed: u64,
}

/// The services, added to the fleet's thread and not started yet.
#[derive(Default)]
pub struct PreparedServices {
    cover: Option<(PreparedCover, Port<foldmux_takeover::Command>)>,
    relay: Option<(JournalRelay, Port<foldmux_relay::Command>)>,
    pools: Option<Arc<PoolPermits>>,
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
    /// Adds the state machine of each service that the file names to the fleet's thread.
    ///
    /// # Errors
    ///
    /// Where the file names what the settings do not have.
    pub fn add(
        builder: &mut Builder,
        config: &FleetConfig,
        context: &ProcessContext,
    ) -> Result<PreparedServices, String> {
        let mut services = PreparedServices::default();
        let bounds = (context.max_requests, context.memory_mb, context.seed);
        if let Some(ready) = PreparedCover::new(
            config,
            context.name,
            context.decoded,
            context.classes.iter().copied(),
            bounds,
        )? {
            let port = ready.add(builder);
            let classes: Vec<&str> = config
                .covers
                .iter()
                .map(|cover| &*cover.value.class)
                .collect();
            services
                .descriptions
                .push(format!("covers {}", classes.join(", ")));
            services.cover = Some((ready, port));
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
            context.members.clone(),
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

    /// Shares what this process reads at the journal service from now on, where the file says so.
    pub fn share(&self, journal: &mut JournalClient) {
        self.relay
            .iter()
            .for_each(|(relay, _)| journal.share(relay.readers.clone()));
    }

    /// Starts the services. `began`: the start of the fleet's clock; `journal`: the client that reads the source.
    ///
    /// # Errors
    ///
    /// Where a thread or a socket can't be had.
    pub fn start(
        self,
        core: &Arc<Core>,
        journal: JournalClient,
        began: Instant,
        seed: u64,
    ) -> Result<RunningServices, String> {
        let PreparedServices {
            cover,
            relay,
            pools,
            descriptions,
        } = self;
        let mut running = RunningServices::default();
        if let Some((ready, port)) = cover {
            running.cover = Some(ready.start(core, port, began)?);
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
    /// Hands over at once what other processes can continue.
    pub fn leave(&self) {
        self.cover.iter().for_each(RunningCover::release_all);
        self.relay.iter().for_each(|relay| relay.readers.drain());
        self.pools.iter().for_each(|pools| pools.leave());
    }

    /// Applies the weights of tenants; how many, `None` where there is no pool.
    pub fn update_weights(&self, config: &FleetConfig, tenants: &[(String, f64)]) -> Option<usize> {
        self.pools
            .as_ref()
            .map(|pools| pools.update_weights(config, tenants))
    }

    /// Logs the counters of replicated records.
    pub fn report(&self) {
        self.cover
            .iter()
            .for_each(|cover| tracing::info!("fleet: {}", cover.report()));
    }
}
