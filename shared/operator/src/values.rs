//! What an operator's file can set, as checked values. A part that the file does not name is off.

mod dns;
mod ext_proc;
mod fleet;

pub use dns::{Dns, Tls};
pub use ext_proc::{AskRule, Durable, ExtProc, LedgerFile, TokenKey};
pub use fleet::{
    Cover, Fleet, Peer, Pool, PoolBy, Slow, Stream, StreamFirst, Unclaimed, Uncovered,
};

use foldmux_hierarchy::slow_start::SlowStart;
use foldmux_hierarchy::tree::{NodeKind, Tree};
use foldmux_limits::resolve::LimitsFile;
use garde::Validate;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

#[derive(Clone, Debug, Default)]
pub struct Operator {
    pub hierarchy: Option<Hierarchy>,
    pub relay: Option<Relay>,
    pub dns: Option<Dns>,
    pub ext_proc: Option<ExtProc>,
    /// What this process shares with others of a fleet.
    pub fleet: Option<Fleet>,
    /// Limits by class and route, as the file says them; the account's rules are checked by whoever knows the account.
    pub limits: Option<LimitsFile>,
}

/// The fill tree, with what a node needs to reach the others.
#[derive(Clone, Debug)]
pub struct Hierarchy {
    pub tree: Tree,
    /// Node ids in `CDN-Loop` are `NAME.DOMAIN`.
    pub domain: String,
    /// How long a fill may end as it began once another tree is in service.
    pub overlap_ms: u64,
    pub nodes: HashMap<Arc<str>, Place>,
    /// What a hub that started lately may be given.
    pub slow_start: SlowStart,
}

/// Where a node of the tree is, and what it can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    pub address: Option<SocketAddr>,
    /// Fills that it answers a second at full pace; 0: not told, and never held back.
    pub fills_per_s: f64,
}

/// A hub cache of our own: `foldmux hub`.
#[derive(Clone, Debug, PartialEq, Validate)]
#[garde(allow_unvalidated)]
pub struct Relay {
    /// Memory for copies.
    #[garde(range(min = 1, max = 65_536))]
    pub memory_mb: u64,
    /// Connections of those who ask; each has a thread.
    #[garde(range(min = 1, max = 65_536))]
    pub connections: u64,
    /// Fetches under way; each has a thread and a buffer.
    #[garde(range(min = 1, max = 16_384))]
    pub fetches: u64,
    /// Those who wait for them.
    #[garde(range(min = 1, max = 65_536))]
    pub waits: u64,
    /// A fetch that shows no progress for so long is given up for another source.
    #[garde(range(min = 10, max = 60_000))]
    pub lease_ms: u64,
    /// Tries of one fetch, at all its sources together.
    #[garde(range(min = 1, max = 16))]
    pub attempts: u64,
    /// How long somebody waits who does not say how long (`Via-Wait`), and the longest that is believed.
    #[garde(range(min = 10, max = 600_000))]
    pub wait_ms: u64,
    /// Classes that run at the archive: passed on once, never collapsed, kept or sent a second way.
    #[garde(length(max = 64))]
    pub writes: Vec<String>,
    /// The journal service that tells of purges; without one a hub goes by the bounds of fills alone.
    pub journal: Option<SocketAddr>,
}

impl Default for Relay {
    fn default() -> Relay {
        Relay {
            memory_mb: 64,
            connections: 512,
            fetches: 256,
            waits: 4_096,
            lease_ms: 500,
            attempts: 4,
            wait_ms: 5_000,
            writes: Vec::new(),
            journal: None,
        }
    }
}

impl Hierarchy {
    /// The nodes of a kind, by name.
    pub fn names(&self, kind: NodeKind) -> Vec<Arc<str>> {
        self.tree
            .of_kind(kind)
            .map(|(_, node)| node.name.clone())
            .collect()
    }
}
