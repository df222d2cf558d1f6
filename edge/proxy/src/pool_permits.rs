//! Permits for the pools of the operator's file. An attempt waits for a slot that the fleet leases to this process:
//! on its request's own thread, at a channel of its own. Without a pool in the file, none of this is started.

mod pool;
mod weights;

use crate::fleet::replica_set::replica_set;
use crate::pool_permits::pool::{Pool, PoolPermit, Wakeup};
use crate::pool_permits::weights::{by_name_hash, weights};
use crossbeam_channel::{bounded, Sender};
use foldmux::interface::{CacheId, Fetch};
use foldmux_core::cancellation::Cancellable;
use foldmux_core::permits::{AttemptPermits, Permit, PermitRequest};
use foldmux_core::retry_after::{Rejected, MAX_RETRY_AFTER};
use foldmux_core::servers::ServerList;
use foldmux_fair_queue::local_pool::{LocalPool, PoolAdmission, Request};
use foldmux_fair_queue::queue::Setup;
use foldmux_fair_queue::slots::{FleetSetup, FleetSlots, PoolSetup};
use foldmux_fair_queue::slow::CostModel;
use foldmux_fair_queue::tenants::{name_hash, TenantBy, Weight};
use foldmux_fair_queue::{Event, HeldSlots};
use foldmux_fleet::{Builder, Sink};
use foldmux_operator::{Fleet as FleetConfig, PoolBy};
use foldmux_replicas::{Peer, ReplicaConfiguration};
use foldmux_settings::Decoded;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Number of the slots' state machine in frames of the fleet.
pub const PART: u8 = 3;
/// How often usage and demand are reported to the fleet, and waits that have timed out are ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of queues that tenants without a weight of their own are hashed into.
const UNNAMED_TENANT_BUCKETS: u32 = 1_024;

/// The attempts that a pool bounds: those to members of these kinds, and those whose fill names such a member as its
/// source.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerKinds(Vec<usize>);

impl ServerKinds {
    /// Resolves a pool's name: `archive`, `hub` and `cache` as defined by the settings, or the name of a kind.
    ///
    /// # Errors
    ///
    /// Fails if the name is none of these.
    pub fn of(pool: &str, decoded: &Decoded) -> Result<ServerKinds, String> {
        let settings = &decoded.settings;
        let (archive, hub) = (settings.origin_kind, settings.parent_kind);
        let caches = || {
            (0..decoded.kinds.len())
                .filter(|kind| *kind != archive && Some(*kind) != hub)
                .collect()
        };
        let kinds = match (decoded.kinds.iter().position(|kind| kind == pool), pool) {
            (Some(kind), _) => vec![kind],
            (None, "archive") => vec![archive],
            (None, "hub") => hub.into_iter().collect(),
            (None, "cache") => caches(),
            _ => {
                return Err(format!(
                    "pool {pool:?} is neither archive, hub, cache nor a kind of the settings"
                ))
            }
        };
        Ok(ServerKinds(kinds))
    }
}

/// All pools, and this process's part in them.
pub struct PoolPermits {
    members: Arc<ServerList>,
    pools: Vec<(ServerKinds, Arc<Pool>)>,
}

impl PoolPermits {
    /// The pools of the file; `None` if the file has none. Adds the slots' state machine to the fleet's thread.
    ///
    /// # Errors
    ///
    /// Fails if a pool names no kind of the settings, or the replica set is invalid.
    pub fn add(
        builder: &mut Builder,
        config: &FleetConfig,
        name: &str,
        decoded: &Decoded,
        members: Arc<ServerList>,
        seed: u64,
    ) -> Result<Option<Arc<PoolPermits>>, String> {
        if config.pools.is_empty() {
            return Ok(None);
        }
        let classes = &decoded.settings.classes;
        let max_slot_time = classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(1);
        let slow_threshold = classes
            .iter()
            .map(|class| class.latency_objective)
            .filter(|objective| *objective > 0)
            .min()
            .unwrap_or(max_slot_time);
        // No attempt starts that may outlast its slot's lease, even just before the lease is renewed.
        let lease = 2 * max_slot_time + config.lease_ms * 1_000;
        let weights = weights(config, &decoded.tenants);
        let (mut pools, mut setups) = (Vec::new(), Vec::new());
        for pool in &config.pools {
            let kinds = ServerKinds::of(&pool.name, decoded)?;
            let by = match pool.by {
                PoolBy::Tenant => TenantBy::Tenant,
                PoolBy::Class => TenantBy::Class,
                PoolBy::Caller => TenantBy::Caller,
            };
            let pool_key = name_hash(&pool.name);
            let setup = Setup {
                slots: 0,
                slow_share: 0.5,
                max_slot_time,
                max_waiting: config.queue as usize,
                buckets: UNNAMED_TENANT_BUCKETS,
                unnamed_weight: Weight::ONE,
            };
            let cost_model = CostModel::new(classes.len(), slow_threshold, max_slot_time);
            let mut local = LocalPool::new(pool_key, setup, cost_model, HeldSlots::default());
            local.set_weights(0, &weights, Weight::ONE);
            pools.push((
                kinds,
                Pool::new(
                    pool_key,
                    by,
                    local,
                    decoded.settings.max_retry_after.unwrap_or(0),
                ),
            ));
            setups.push(PoolSetup {
                key: pool_key,
                slots: pool.slots as u16,
                lease,
                weights: by_name_hash(&weights).collect(),
                unnamed_weight: Weight::ONE.0,
            });
        }
        let (replicas, drift) = replica_set(config)?;
        let replicas = ReplicaConfiguration::stable(replicas);
        let peers = config
            .peers
            .iter()
            .map(|peer| Peer::new(&peer.name))
            .collect();
        let setup = FleetSetup {
            own: Peer::new(name),
            incarnation: incarnation(seed),
            peers,
            replicas,
            drift,
            pools: setups,
        };
        let pools = Arc::new(PoolPermits { members, pools });
        // The fleet's clock starts with its thread, which is not started yet: the state machine takes its first time
        // as zero.
        let port = builder.add(PART, FleetSlots::new(0, setup), SlotEvents(pools.clone()));
        pools
            .pools
            .iter()
            .for_each(|(_, pool)| pool.connect(port.clone()));
        Ok(Some(pools))
    }

    /// Starts the thread that reports usage and demand and ends waits that are over.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start(self: &Arc<PoolPermits>) -> io::Result<()> {
        let pools = Arc::downgrade(self);
        let thread = thread::Builder::new()
            .name("turns".into())
            .stack_size(256 * 1024);
        thread.spawn(move || {
            while let Some(pools) = pools.upgrade() {
                pools.pools.iter().for_each(|(_, pool)| pool.poll());
                drop(pools);
                thread::sleep(POLL_INTERVAL);
            }
        })?;
        Ok(())
    }

    /// Applies the weights of the file and the settings; waiting requests keep their place. Returns the number of
    /// weights.
    pub fn update_weights(&self, config: &FleetConfig, tenants: &[(String, f64)]) -> usize {
        let weights = weights(config, tenants);
        self.pools
            .iter()
            .for_each(|(_, pool)| pool.update_weights(&weights));
        weights.len()
    }

    /// Called when this process shuts down: idle slots are released at once, the others as their attempts end.
    pub fn leave(&self) {
        self.pools.iter().for_each(|(_, pool)| pool.leave());
    }

    fn on_event(&self, event: Event) {
        let (Event::SlotHeld { pool, .. }
        | Event::HoldLimit { pool, .. }
        | Event::RemoteUsage { pool, .. }) = event;
        let own = self.pools.iter().find(|(_, own)| own.key == pool);
        own.into_iter()
            .for_each(|(_, pool)| pool.on_event(event.clone()));
    }

    /// The pool that bounds an attempt: that of the fill's source, else that of its cache. At most one, so no request
    /// waits for a slot while it holds another.
    fn pool(&self, fetch: &Fetch) -> Option<(&Arc<Pool>, CacheId)> {
        let filled = (fetch.source != fetch.cache).then_some(fetch.source);
        filled.into_iter().chain([fetch.cache]).find_map(|at| {
            let kind = self.members.get(at)?.member.kind;
            let pool = self.pools.iter().find(|(kinds, _)| kinds.0.contains(&kind));
            pool.map(|(_, pool)| (pool, at))
        })
    }
}

/// A new incarnation for each start, from the time, the seed and the process id.
fn incarnation(seed: u64) -> u64 {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    (now.as_nanos() as u64 ^ seed.rotate_left(32) ^ std::process::id() as u64).max(1)
}

/// Passes events of the slots' state machine to the pools.
struct SlotEvents(Arc<PoolPermits>);

impl Sink<Event> for SlotEvents {
    fn told(&self, event: Event) {
        self.0.on_event(event);
    }

    /// Leased slots expire and no new ones are acquired, so the pool's limit still holds.
    fn gone(&self) {
        tracing::error!(
            "fleet: the slots' state machine has stopped; requests to pools are rejected once the slots held here expire"
        );
    }
}

/// Wakes a request that waits for a slot when its client leaves.
struct WakeOnCancel(Sender<Wakeup>);

impl Cancellable for WakeOnCancel {
    fn cancel(&self) {
        let _ = self.0.try_send(Wakeup::ClientGone);
    }
}

impl AttemptPermits for PoolPermits {
    fn acquire(&self, attempt: &PermitRequest) -> Result<Option<Box<dyn Permit>>, Rejected> {
        let Some((pool, source)) = self.pool(attempt.fetch) else {
            return Ok(None);
        };
        let client = attempt.request;
        let request = Request {
            id: attempt.cancel.id.0,
            // No front's protocol carries a tenant.
            tenant: pool.by.tenant_of(None, &client.caller, &client.class_name),
            class: *client.class,
            size_kb: client.size_kb,
            source: source.0 as u64,
            deadline: pool.time_of(attempt.deadline),
            is_retry: attempt.attempt > 0,
        };
        // Capacity for a slot and for the client's cancellation.
        let (wake, woken) = bounded(2);
        let ticket = match pool.enter(&request, &wake) {
            PoolAdmission::Started(slot) => return Ok(Some(Box::new(PoolPermit::new(pool, slot)))),
            PoolAdmission::Rejected(wait) => return Err(pool.rejected(Duration::from_micros(wait))),
            PoolAdmission::Queued(ticket) => ticket,
        };
        // A request that was cancelled before does not wait.
        let wakeup = match attempt
            .cancel
            .register(attempt.attempt, Arc::new(WakeOnCancel(wake)))
        {
            true => woken.recv_deadline(attempt.deadline).ok(),
            false => None,
        };
        attempt.cancel.unregister();
        match wakeup {
            Some(Wakeup::Granted(slot)) => Ok(Some(Box::new(PoolPermit::new(pool, slot)))),
            Some(Wakeup::TimedOut) => Err(pool.rejected(MAX_RETRY_AFTER)),
            _ => {
                // A slot granted just now is released with its permit.
                if !pool.cancel(request.id, ticket) {
                    woken.try_iter().for_each(|wakeup| match wakeup {
                        Wakeup::Granted(slot) => drop(PoolPermit::new(pool, slot)),
                        Wakeup::TimedOut | Wakeup::ClientGone => {}
                    });
                }
                Err(pool.rejected(MAX_RETRY_AFTER))
            }
        }
    }
}
