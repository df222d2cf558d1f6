//! What the table of fetches is asked, and what it answers.

use crate::tree::TreeVersion;
use crate::TimestampUs;

/// A part of an object, by the class that requests it: what one fetch brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FetchKey {
    /// The class's number at this hub.
    pub class: u32,
    /// Id of the object.
    pub object: u64,
    /// Part of the object, from 0.
    pub part: u32,
}

/// One fetch at this hub.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FetchId(pub u64);

/// One request that waits for a fetch, its leader's included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterId(pub u64);

/// Which fills may wait for each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CollapseScope {
    /// All nodes so far used this version of the tree.
    Version(TreeVersion),
    /// It passed nodes of two versions: it waits for no other fill.
    Uncollapsed,
}

/// How a fill comes to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FillOrigin {
    /// The version of the tree that its sender used. `None`: it begins here.
    pub version: Option<TreeVersion>,
    /// It is uncollapsed already: it must not wait.
    pub uncollapsed: bool,
}

impl FillOrigin {
    /// A fill that begins at this node.
    pub const LOCAL: FillOrigin = FillOrigin {
        version: None,
        uncollapsed: false,
    };

    /// The scope in which it goes on from a node that uses `current`.
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
    /// How the fill came here.
    pub origin: FillOrigin,
    /// The version of the tree in service at this node.
    pub version: TreeVersion,
    /// When a copy must have left the origin at the earliest; 0: any will do. Not on this node's clock.
    pub min_birth: u64,
    /// When the request times out.
    pub until: TimestampUs,
}

/// What a request is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Make this fetch, and wait for it.
    Lead(FetchId, WaiterId),
    /// Wait for this fetch, which another request leads.
    Follow(FetchId, WaiterId),
    /// No capacity for another fetch, or for another waiter.
    Rejected,
}

/// What becomes of a fetch whose attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    /// Retry at another source, for all who wait; the number of the new attempt.
    Retry(u32),
    /// Nobody waits, or there is no time or attempt left: all who wait fail.
    GiveUp,
    /// The attempt is not the one in flight.
    Stale,
}

/// Bounds of a table of fetches.
#[derive(Clone, Copy, Debug)]
pub struct FetchLimits {
    /// Fetches in flight at once.
    pub fetches: usize,
    /// Those who wait for them, all together.
    pub waiters: usize,
    /// An attempt without progress for so long is failed (us).
    pub lease_us: u64,
    /// Attempts of one fetch.
    pub attempts: u32,
}

/// What happened since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FetchCounts {
    /// Fetches begun.
    pub led: u64,
    /// Requests that followed a fetch in flight.
    pub followed: u64,
    /// Requests rejected for want of capacity.
    pub rejected: u64,
    /// Retries of a fetch.
    pub retried: u64,
    /// Attempts whose lease expired.
    pub leases_expired: u64,
    /// Fetches that nobody waited for any more.
    pub cancelled: u64,
}
