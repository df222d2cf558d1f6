//! How a class of requests is treated, as the operator's file and the settings say.

use foldmux_replicas::Micros;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How far the attempts of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Repeatability {
    /// Any number of times, anywhere.
    Safe,
    /// Within the group of caches that drops repeats of a key.
    Keyed {
        /// For how long after the first attempt.
        window: Micros,
    },
    /// Only when every earlier attempt is known not to have run.
    SingleShot,
}

/// What becomes of a request that can't be replicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnreplicatedPolicy {
    /// It runs.
    Run,
    /// It is rejected.
    Reject,
}

/// What becomes of a request whose owner is gone and whose client has not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnclaimedPolicy {
    /// A successor finishes it.
    Finish,
    /// It is dropped.
    Release,
}

/// The policy of a replicated class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClassPolicy {
    /// For requests that can't be replicated.
    pub unreplicated: UnreplicatedPolicy,
    /// For requests that no client waits for.
    pub unclaimed: UnclaimedPolicy,
    /// How long a final answer is retained.
    pub retention: Micros,
    /// How far attempts may be repeated.
    pub repeatability: Repeatability,
}

/// The policies by name of class.
pub type ClassPolicies = BTreeMap<Arc<str>, ClassPolicy>;
