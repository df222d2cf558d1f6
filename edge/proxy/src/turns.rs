//! Whose turn it is at the pools of the operator's file, in service: requests wait on their own threads, each at a channel
//! of its own; slots come from the fleet. Without a pool in the file nothing here is started.

mod pool;
mod weights;

use crate::fleet::replica_set::replica_set;
use crate::turns::pool::{Pool, TurnPlace, Word};
use crate::turns::weights::{keyed, weights};
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
use foldmux_operator::{Fleet as Said, PoolBy};
use foldmux_replicas::{Peer, ReplicaConfiguration};
use foldmux_settings::Decoded;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The byte of the part's frames.
pub const PART: u8 = 3;
/// What the fleet hears of use and wants, and who waited for too long, is looked at so often.
const BEAT: Duration = Duration::from_millis(20);
/// Tenants without a name are told apart by so many.
const BUCKETS: u32 = 1_024;

/// Which attempts a pool bounds: those to members of these kinds, and those whose fill names one as its source.
#[derive(Clone, Debug, PartialEq)]
pub struct Kinds(Vec<usize>);

impl Kinds {
    /// `archive`, `hub` and `cache`, by what the settings call them, or a kind by its own name.
    pub fn of(pool: &str, decoded: &Decoded) -> Result<Kinds, String> {
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
        Ok(Kinds(kinds))
    }
}

/// All pools, at this process.
pub struct Turns {
    members: Arc<ServerList>,
    pools: Vec<(Kinds, Arc<Pool>)>,
}

impl Turns {
    /// The pools of the file, their slots' part of the fleet added; none where the file has no pool.
    pub fn add(
        builder: &mut Builder,
        said: &Said,
        name: &str,
        decoded: &Decoded,
        members: Arc<ServerList>,
        seed: u64,
    ) -> Result<Option<Arc<Turns>>, String> {
        if said.pools.is_empty() {
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
        // None starts that may outlast its slot's lease, also right before the lease is renewed.
        let lease = 2 * longest + said.lease_ms * 1_000;
        let weights = weights(said, &decoded.tenants);
        let (mut pools, mut setups) = (Vec::new(), Vec::new());
        for pool in &said.pools {
            let kinds = Kinds::of(&pool.name, decoded)?;
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
                waiting: said.queue as usize,
                buckets: BUCKETS,
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
        let (replicas, drift) = replica_set(said)?;
        let seats = ReplicaConfiguration::stable(replicas);
        let peers = said
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
        let turns = Arc::new(Turns { members, pools });
        // The fleet's clock began with its thread, which is yet to start: the part takes its first time as that.
        let port = builder.add(PART, FleetSlots::new(0, setup), News(turns.clone()));
        turns
            .pools
            .iter()
            .for_each(|(_, pool)| pool.ask_by(port.clone()));
        Ok(Some(turns))
    }

    /// Has the fleet hear of use and wants, and those that waited for too long of it.
    pub fn start(self: &Arc<Turns>) -> io::Result<()> {
        let turns = Arc::downgrade(self);
        let thread = thread::Builder::new()
            .name("turns".into())
            .stack_size(256 * 1024);
        thread.spawn(move || {
            while let Some(turns) = turns.upgrade() {
                turns.pools.iter().for_each(|(_, pool)| pool.beat());
                drop(turns);
                thread::sleep(BEAT);
            }
        })?;
        Ok(())
    }

    /// Weights as the file and the settings say now; what waits keeps its place and goes by them from here on.
    pub fn reweigh(&self, said: &Said, tenants: &[(String, f64)]) -> usize {
        let weights = weights(said, tenants);
        self.pools
            .iter()
            .for_each(|(_, pool)| pool.reweigh(&weights));
        weights.len()
    }

    /// It leaves: idle slots are given back at once, the others as they end.
    pub fn leave(&self) {
        self.pools.iter().for_each(|(_, pool)| pool.leave());
    }

    fn told(&self, told: Told) {
        let (Told::Held { pool, .. } | Told::Most { pool, .. } | Told::Used { pool, .. }) = told;
        let own = self.pools.iter().find(|(_, own)| own.key == pool);
        own.into_iter()
            .for_each(|(_, pool)| pool.told(told.clone()));
    }

    /// The pool that bounds an attempt: that of the fill's source, else of where it goes. One at the most, so that none
    /// waits for one with another in hand.
    fn pool(&self, fetch: &Fetch) -> Option<(&Arc<Pool>, CacheId)> {
        let filled = (fetch.source != fetch.cache).then_some(fetch.source);
        filled.into_iter().chain([fetch.cache]).find_map(|at| {
            let kind = self.members.get(at)?.member.kind;
            let pool = self.pools.iter().find(|(kinds, _)| kinds.0.contains(&kind));
            pool.map(|(_, pool)| (pool, at))
        })
    }
}

/// Another for each start: the time, and the seed where two start in one moment.
fn life(seed: u64) -> u64 {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    (now.as_nanos() as u64 ^ seed.rotate_left(32) ^ std::process::id() as u64).max(1)
}

struct News(Arc<Turns>);

impl Sink<Told> for News {
    fn told(&self, told: Told) {
        self.0.told(told);
    }

    /// What is held runs out with its leases, and no more comes: the cap holds.
    fn gone(&self) {
        tracing::error!(
            "fleet: no more slots come; requests of pools are refused once those here run out"
        );
    }
}

/// Wakes a request that waits for its turn: its client left.
struct Cut(Sender<Word>);

impl Cancellable for Cut {
    fn cancel(&self) {
        let _ = self.0.try_send(Word::Left);
    }
}

impl AttemptPermits for Turns {
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
        // Room for its turn and for its client's leave.
        let (tell, told) = bounded(2);
        let ticket = match pool.enter(&request, &tell) {
            Asked::Now(used) => return Ok(Some(Box::new(TurnPlace::new(pool, used)))),
            Asked::Refused(wait) => return Err(pool.rejected(Duration::from_micros(wait))),
            Asked::Waits(ticket) => ticket,
        };
        // A cancel that came before leaves it no turn.
        let heard = match attempt
            .cancel
            .register(attempt.attempt, Arc::new(Cut(tell)))
        {
            true => told.recv_deadline(attempt.deadline).ok(),
            false => None,
        };
        attempt.cancel.unregister();
        match heard {
            Some(Word::Go(used)) => Ok(Some(Box::new(TurnPlace::new(pool, used)))),
            Some(Word::Late) => Err(pool.rejected(MAX_RETRY_AFTER)),
            _ => {
                // It may have been told in this moment: then its slot comes back with the place.
                if !pool.left(request.id, ticket) {
                    told.try_iter().for_each(|word| match word {
                        Word::Go(used) => drop(TurnPlace::new(pool, used)),
                        Word::Late | Word::Left => {}
                    });
                }
                Err(pool.rejected(MAX_RETRY_AFTER))
            }
        }
    }
}
