//! Permits of the pools in the operator's file: an attempt waits on its request's own thread, at a channel of its own, for a
//! slot that the fleet leases to this process. Without a pool in the file nothing here is started.

mod pool;
mod weights;

use crate::fleet::replica_set::replica_set;
use crate::pool_permits::pool::{Pool, PoolPermit, Wakeup};
use crate::pool_permits::weights::{keyed, weights};
use crossbeam_channel::{bounded, Sender};
use foldmux::interface::{CacheId, Fetch};
use foldmux_core::cancellation::Cancellable;
use foldmux_core::permits::{AttemptPermits, Permit, PermitRequest};
use foldmux_core::retry_after::{Rejected, MAX_RETRY_AFTER};
use foldmux_core::servers::ServerList;
use foldmux_fair_queue::local::{Asked, Local, Request};
use foldmux_fair_queue::queue::Setup;
use foldmux_fair_queue::slots::{FleetSetup, FleetSlots, PoolSetup};
use foldmux_fair_queue::slow::Figures;
use foldmux_fair_queue::tenants::{key, By, Weight};
use foldmux_fair_queue::{Stock, Told};
use foldmux_fleet::{Builder, Sink};
use foldmux_operator::{Fleet as FleetConfig, PoolBy};
use foldmux_replicas::{Peer, ReplicaConfiguration};
use foldmux_settings::Decoded;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The number of the slots' state machine in frames.
pub const PART: u8 = 3;
/// How often usage and demand are reported to the fleet, and waits that are over are ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Tenants without a weight of their own are hashed into so many queues.
const UNNAMED_TENANT_BUCKETS: u32 = 1_024;

/// Which attempts a pool bounds: those to members of these kinds, and those whose fill names one as its source.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerKinds(Vec<usize>);

impl ServerKinds {
    /// `archive`, `hub` and `cache`, by what the settings call them, or a kind by its own name.
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

/// All pools, as this process takes part in them.
pub struct PoolPermits {
    members: Arc<ServerList>,
    pools: Vec<(ServerKinds, Arc<Pool>)>,
}

impl PoolPermits {
    /// The pools of the file, with the slots' state machine added to the fleet's thread; `None` where the file has no pool.
    ///
    /// # Errors
    ///
    /// Where a pool names no kind of the settings, or the replicas can't be used.
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
        let longest = classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(1);
        let slow_over = classes
            .iter()
            .map(|class| class.latency_objective)
            .filter(|aim| *aim > 0)
            .min()
            .unwrap_or(longest);
        // No attempt starts that may outlast its slot's lease, also right before the lease is renewed.
        let lease = 2 * longest + config.lease_ms * 1_000;
        let weights = weights(config, &decoded.tenants);
        let (mut pools, mut setups) = (Vec::new(), Vec::new());
        for pool in &config.pools {
            let kinds = ServerKinds::of(&pool.name, decoded)?;
            let by = match pool.by {
                PoolBy::Tenant => By::Tenant,
                PoolBy::Class => By::Class,
                PoolBy::Caller => By::Caller,
            };
            let key_of = key(&pool.name);
            let setup = Setup {
                slots: 0,
                slow_share: 0.5,
                longest,
                waiting: config.queue as usize,
                buckets: UNNAMED_TENANT_BUCKETS,
                unnamed: Weight::ONE,
            };
            let figures = Figures::new(classes.len(), slow_over, longest);
            let mut local = Local::new(key_of, setup, figures, Stock::default());
            local.retune(0, &weights, Weight::ONE);
            pools.push((
                kinds,
                Pool::new(
                    key_of,
                    by,
                    local,
                    decoded.settings.max_retry_after.unwrap_or(0),
                ),
            ));
            setups.push(PoolSetup {
                key: key_of,
                slots: pool.slots as u16,
                lease,
                weights: keyed(&weights).collect(),
                unnamed: Weight::ONE.0,
            });
        }
        let (replicas, drift) = replica_set(config)?;
        let seats = ReplicaConfiguration::stable(replicas);
        let peers = config
            .peers
            .iter()
            .map(|peer| Peer::new(&peer.name))
            .collect();
        let setup = FleetSetup {
            own: Peer::new(name),
            life: life(seed),
            peers,
            seats,
            drift,
            pools: setups,
        };
        let pools = Arc::new(PoolPermits { members, pools });
        // The fleet's clock began with its thread, which is yet to start: the part takes its first time as that.
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
    /// Where no thread can be had.
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

    /// Applies the weights of the file and the settings; requests that wait keep their place. How many weights there are.
    pub fn update_weights(&self, config: &FleetConfig, tenants: &[(String, f64)]) -> usize {
        let weights = weights(config, tenants);
        self.pools
            .iter()
            .for_each(|(_, pool)| pool.update_weights(&weights));
        weights.len()
    }

    /// This process shuts down: idle slots are released at once, the others as their attempts end.
    pub fn leave(&self) {
        self.pools.iter().for_each(|(_, pool)| pool.leave());
    }

    fn told(&self, told: Told) {
        let (Told::Held { pool, .. } | Told::Most { pool, .. } | Told::Used { pool, .. }) = told;
        let own = self.pools.iter().find(|(_, own)| own.key == pool);
        own.into_iter()
            .for_each(|(_, pool)| pool.told(told.clone()));
    }

    /// The pool that bounds an attempt: that of the fill's source, else of its cache. One at most: no request waits for a slot
    /// while it holds another.
    fn pool(&self, fetch: &Fetch) -> Option<(&Arc<Pool>, CacheId)> {
        let filled = (fetch.source != fetch.cache).then_some(fetch.source);
        filled.into_iter().chain([fetch.cache]).find_map(|at| {
            let kind = self.members.get(at)?.member.kind;
            let pool = self.pools.iter().find(|(kinds, _)| kinds.0.contains(&kind));
            pool.map(|(_, pool)| (pool, at))
        })
    }
}

/// A new incarnation for each start: from the time, the seed and the process id.
fn life(seed: u64) -> u64 {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    (now.as_nanos() as u64 ^ seed.rotate_left(32) ^ std::process::id() as u64).max(1)
}

struct SlotEvents(Arc<PoolPermits>);

impl Sink<Told> for SlotEvents {
    fn told(&self, told: Told) {
        self.0.told(told);
    }

    /// Leased slots expire and no more come: the pool's bound holds.
    fn gone(&self) {
        tracing::error!(
            "fleet: no more slots come; requests of pools are refused once those here run out"
        );
    }
}

/// Wakes a request that waits for a slot when its client is gone.
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
            // The wires of the fronts name no tenant.
            tenant: pool.by.name(None, &client.caller, &client.class_name),
            class: *client.class,
            size_kb: client.size_kb,
            source: source.0 as u64,
            deadline: pool.at(attempt.deadline),
            repeat: attempt.attempt > 0,
        };
        // Capacity for a slot and for its client's cancellation.
        let (tell, told) = bounded(2);
        let ticket = match pool.enter(&request, &tell) {
            Asked::Now(used) => return Ok(Some(Box::new(PoolPermit::new(pool, used)))),
            Asked::Refused(wait) => return Err(pool.rejected(Duration::from_micros(wait))),
            Asked::Waits(ticket) => ticket,
        };
        // Cancelled before: it waits for nothing.
        let heard = match attempt
            .cancel
            .register(attempt.attempt, Arc::new(WakeOnCancel(tell)))
        {
            true => told.recv_deadline(attempt.deadline).ok(),
            false => None,
        };
        attempt.cancel.unregister();
        match heard {
            Some(Wakeup::Granted(used)) => Ok(Some(Box::new(PoolPermit::new(pool, used)))),
            Some(Wakeup::TimedOut) => Err(pool.rejected(MAX_RETRY_AFTER)),
            _ => {
                // A slot granted in this moment is released with its permit.
                if !pool.abandon(request.id, ticket) {
                    told.try_iter().for_each(|word| match word {
                        Wakeup::Granted(used) => drop(PoolPermit::new(pool, used)),
                        Wakeup::TimedOut | Wakeup::ClientGone => {}
                    });
                }
                Err(pool.rejected(MAX_RETRY_AFTER))
            }
        }
    }
}
