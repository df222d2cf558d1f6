//! What the operator's file and the settings say of covered classes.

use crate::fleet::replica_set::replica_set;
use foldmux::interface::RetrySafety;
use foldmux_operator::{
    Fleet as FleetConfig, Unclaimed as UnclaimedConfig, Uncovered as UncoveredConfig,
};
use foldmux_replicas::Peer;
use foldmux_settings::Decoded;
use foldmux_takeover::{
    ClassPolicies, ClassPolicy, Repeatability, Setup, UnclaimedPolicy, UnreplicatedPolicy,
};
use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::sync::Arc;

/// A covered class, as requests of it go by it.
#[derive(Clone, Copy)]
pub struct ReplicatedClass {
    pub repeat: RetrySafety,
    pub terms: bool,
    /// What can't be covered is refused.
    pub refuse: bool,
}

#[derive(Default)]
pub struct ReplicatedClasses(HashMap<Arc<str>, (ReplicatedClass, Arc<usize>)>);

impl ReplicatedClasses {
    pub fn get(&self, name: &str) -> Option<&ReplicatedClass> {
        self.0.get(name).map(|(class, _)| class)
    }

    pub fn place(&self, name: &str) -> Arc<usize> {
        self.0
            .get(name)
            .map(|(_, place)| place.clone())
            .unwrap_or_default()
    }

    /// `places`: the classes as the fronts serve them.
    pub fn new<'a>(
        config: &FleetConfig,
        decoded: &Decoded,
        places: impl Iterator<Item = (&'a Arc<str>, &'a Arc<usize>)>,
    ) -> ReplicatedClasses {
        let places: HashMap<&str, &Arc<usize>> =
            places.map(|(name, place)| (&**name, place)).collect();
        let one = |cover: &foldmux_operator::Cover| {
            let at = decoded
                .classes
                .iter()
                .position(|class| *class == cover.class)?;
            let repeat = decoded.settings.classes[at].retry_safety;
            let class = ReplicatedClass {
                repeat,
                terms: cover.terms,
                refuse: cover.uncovered == UncoveredConfig::Refuse,
            };
            Some((
                Arc::from(cover.class.as_str()),
                (class, (*places.get(cover.class.as_str())?).clone()),
            ))
        };
        ReplicatedClasses(
            config
                .covers
                .iter()
                .filter_map(|said| one(&said.value))
                .collect(),
        )
    }
}

/// `open`: requests that this process has at once; `memory_mb`: what it may use.
pub fn setup(
    config: &FleetConfig,
    name: &str,
    decoded: &Decoded,
    open: usize,
    memory_mb: u64,
    seed: u64,
) -> Result<Setup, String> {
    let (replicas, drift) = replica_set(config)?;
    let way = config.round_trip_ms * 1_000;
    let (mut rules, mut longest) = (ClassPolicies::new(), 0);
    for cover in config.covers.iter().map(|said| &said.value) {
        let Some(at) = decoded
            .classes
            .iter()
            .position(|class| *class == cover.class)
        else {
            continue;
        };
        let class = &decoded.settings.classes[at];
        // A repeat is on its way to the archive for a while, and the archive's clock is its own.
        let window = drift
            .shortened(class.idempotency_window)
            .saturating_sub(way);
        let rule = ClassPolicy {
            unreplicated: if cover.uncovered == UncoveredConfig::Refuse {
                UnreplicatedPolicy::Reject
            } else {
                UnreplicatedPolicy::Run
            },
            unclaimed: if cover.unclaimed == UnclaimedConfig::Finish {
                UnclaimedPolicy::Finish
            } else {
                UnclaimedPolicy::Release
            },
            retention: cover.keep_ms * 1_000,
            repeatability: match class.retry_safety {
                RetrySafety::Idempotent => Repeatability::Safe,
                RetrySafety::Keyed(_) => Repeatability::Keyed { window },
                RetrySafety::NonIdempotent => Repeatability::SingleShot,
            },
        };
        longest = longest.max(class.deadline);
        rules.insert(cover.class.as_str().into(), rule);
    }
    // A tenth of the memory for what other processes' requests need remembered; a record has a kilobyte, at the least.
    let bytes = memory_mb as usize * 1024 * 1024 / 10;
    Ok(Setup {
        name: Peer::new(name),
        session: RandomState::new().build_hasher().finish(),
        replicas,
        policies: rules,
        lease: config.lease_ms * 1_000,
        drift,
        max_deadline: longest,
        // Until `PersistentTakeover` has recovered its log; without one the replica abstains for a window after each start.
        state_recovered: false,
        max_records: bytes / 1024,
        max_record_bytes: bytes,
        max_requests: 2 * open,
        max_waiters: open,
        seed,
    })
}
