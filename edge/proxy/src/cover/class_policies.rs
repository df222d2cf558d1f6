//! The policies of covered classes, from the operator's file and the settings.

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

/// How requests of a covered class are served.
#[derive(Clone, Copy)]
pub struct ReplicatedClass {
    pub retry_safety: RetrySafety,
    /// Attempts carry the record's term, as their receiver rejects lower ones.
    pub terms: bool,
    /// A request that can't be replicated is rejected; else it runs without a record.
    pub rejects_unreplicated: bool,
}

/// The covered classes by name, each with its index in the router's list.
#[derive(Default)]
pub struct ReplicatedClasses(HashMap<Arc<str>, (ReplicatedClass, Arc<usize>)>);

impl ReplicatedClasses {
    pub fn get(&self, name: &str) -> Option<&ReplicatedClass> {
        self.0.get(name).map(|(class, _)| class)
    }

    /// The index of a class in the router's list; a zero of its own for a class that is not covered.
    pub fn index(&self, name: &str) -> Arc<usize> {
        self.0
            .get(name)
            .map(|(_, index)| index.clone())
            .unwrap_or_default()
    }

    /// Leaves out classes that the settings or the fronts don't have. `indices`: the classes that the fronts serve, with
    /// their indices in the router's list.
    pub fn new<'a>(
        config: &FleetConfig,
        decoded: &Decoded,
        indices: impl Iterator<Item = (&'a Arc<str>, &'a Arc<usize>)>,
    ) -> ReplicatedClasses {
        let indices: HashMap<&str, &Arc<usize>> =
            indices.map(|(name, index)| (&**name, index)).collect();
        let replicated = |cover: &foldmux_operator::Cover| {
            let settings_index = decoded
                .classes
                .iter()
                .position(|class| *class == cover.class)?;
            let class = ReplicatedClass {
                retry_safety: decoded.settings.classes[settings_index].retry_safety,
                terms: cover.terms,
                rejects_unreplicated: cover.uncovered == UncoveredConfig::Refuse,
            };
            Some((
                Arc::from(cover.class.as_str()),
                (class, (*indices.get(cover.class.as_str())?).clone()),
            ))
        };
        ReplicatedClasses(
            config
                .covers
                .iter()
                .filter_map(|cover| replicated(&cover.value))
                .collect(),
        )
    }
}

/// The state machine's configuration. `max_requests`: requests that this process has open at once; `memory_mb`: the memory
/// that it may use.
///
/// # Errors
///
/// When the operator's file lists no valid replica set, or a clock drift that is out of range.
pub fn setup(
    config: &FleetConfig,
    name: &str,
    decoded: &Decoded,
    max_requests: usize,
    memory_mb: u64,
    seed: u64,
) -> Result<Setup, String> {
    let (replicas, drift) = replica_set(config)?;
    let round_trip = config.round_trip_ms * 1_000;
    let (mut policies, mut max_deadline) = (ClassPolicies::new(), 0);
    for cover in config.covers.iter().map(|cover| &cover.value) {
        let Some(settings_index) = decoded
            .classes
            .iter()
            .position(|class| *class == cover.class)
        else {
            continue;
        };
        let class = &decoded.settings.classes[settings_index];
        // Shorter than the archive's window by the way of a repeat to it, and by the drift of its clock.
        let window = drift
            .shortened(class.idempotency_window)
            .saturating_sub(round_trip);
        let policy = ClassPolicy {
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
        max_deadline = max_deadline.max(class.deadline);
        policies.insert(cover.class.as_str().into(), policy);
    }
    // The replica's records may use a tenth of the memory. Each counts as a kilobyte at least.
    let max_record_bytes = memory_mb as usize * 1024 * 1024 / 10;
    Ok(Setup {
        name: Peer::new(name),
        session: RandomState::new().build_hasher().finish(),
        replicas,
        policies,
        lease: config.lease_ms * 1_000,
        drift,
        max_deadline,
        // Until `PersistentTakeover` has recovered the log file. Without one the replica abstains for a recovery window after
        // each start.
        state_recovered: false,
        max_records: max_record_bytes / 1024,
        max_record_bytes,
        max_requests: 2 * max_requests,
        max_waiters: max_requests,
        seed,
    })
}
