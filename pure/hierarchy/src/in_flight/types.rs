//! Arguments and results of the table of fetches.

use crate::tree::TreeVersion;
use crate::TimestampUs;

/// What one fetch retrieves: a part of an object, for one class of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FetchKey {
    /// The class's number at this hub.
    pub class: u32,
    /// Id of the object.
    pub object: u64,
    /// Part of the object, from 0.
    pub part: u32,
}

/// Identifies a fetch at this hub.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FetchId(pub u64);

/// Identifies a request that waits for a fetch, which may also be the one that leads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterId(pub u64);

/// The set of fills that may wait for each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CollapseScope {
    /// Fills that were routed by this version of the tree at all nodes so far.
    Version(TreeVersion),
    /// Fills that have passed nodes of two versions, or whose sender marked them so. They wait for no other fill.
    Uncollapsed,
}

/// What a fill carries when it arrives at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FillContext {
    /// The version of the tree by which its sender routed it; `None` if it begins at this node.
    pub version: Option<TreeVersion>,
    /// Whether it is uncollapsed already, and must not wait for another fill.
    pub uncollapsed: bool,
}

impl FillContext {
    /// A fill that begins at this node.
    pub const LOCAL: FillContext = FillContext {
        version: None,
        uncollapsed: false,
    };

    /// The scope in which the fill continues at a node whose tree in service has version `current`.
    pub fn collapse_scope(&self, current: TreeVersion) -> CollapseScope {
        let same_version = self.version.is_none_or(|version| version == current);
        if self.uncollapsed || !same_version {
            CollapseScope::Uncollapsed
        } else {
            CollapseScope::Version(current)
        }
    }
}

/// A request for a part that is not cached here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchRequest {
    /// The part.
    pub key: FetchKey,
    /// What the fill carried to this node.
    pub context: FillContext,
    /// The version of the tree in service at this node.
    pub version: TreeVersion,
    /// The earliest time at which a usable copy may have left the origin, on the origin's clock; 0 if any copy is usable.
    pub min_birth: u64,
    /// When the request times out.
    pub deadline: TimestampUs,
}

/// How a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request makes this fetch, and waits for it.
    Lead(FetchId, WaiterId),
    /// The request waits for this fetch, which another one leads.
    Follow(FetchId, WaiterId),
    /// There is no capacity for another fetch, or for another waiter.
    Rejected,
}

/// What happens to a fetch whose attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    /// It is retried at another source for all waiters; this is the number of the new attempt.
    Retry(u32),
    /// It ends, as no time or no attempt is left: all waiters fail.
    GiveUp,
    /// The failed attempt is not the one in flight; nothing changes.
    Stale,
}

/// Limits of a table of fetches.
#[derive(Clone, Copy, Debug)]
pub struct FetchLimits {
    /// Maximum number of fetches in flight.
    pub fetches: usize,
    /// Maximum number of waiting requests, over all fetches.
    pub waiters: usize,
    /// Time after which an attempt without progress counts as failed (us).
    pub lease_us: u64,
    /// Maximum number of attempts of one fetch, the first one included.
    pub attempts: u32,
}

/// Counters of a table of fetches since its creation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FetchCounts {
    /// Fetches started.
    pub led: u64,
    /// Requests that followed a fetch in flight.
    pub followed: u64,
    /// Requests rejected for want of capacity.
    pub rejected: u64,
    /// Retries of a fetch.
    pub retried: u64,
    /// Attempts whose lease expired.
    pub leases_expired: u64,
    /// Fetches cancelled because their last waiter left.
    pub cancelled: u64,
}
