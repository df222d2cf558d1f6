//! What edge proxies and hubs hold.

use super::events::{Back, Fill};
use super::store::{Part, Store};
use foldmux::interface::{RequestId, Time};
use foldmux::Router;
use foldmux_hierarchy::in_flight::{CollapseScope, FetchId, WaiterId};
use foldmux_hierarchy::node::Node;
use std::collections::HashMap;

/// A request at an edge proxy.
pub(super) struct Open {
    pub(super) part: Part,
    pub(super) size_kb: f64,
    pub(super) asked: Time,
    pub(super) aim: Time,
    pub(super) worth: f64,
    pub(super) bound: Time,
    pub(super) attempts: u8,
    pub(super) hops: u32,
}

/// A hub.
pub(super) struct HubState {
    pub(super) node: Node,
    pub(super) store: Store,
    pub(super) link_free: Time,
    pub(super) fetches: HashMap<FetchId, Flight>,
}

/// A fetch under way at a hub.
pub(super) struct Flight {
    pub(super) fill: Fill,
    pub(super) lane: CollapseScope,
    pub(super) tried: Vec<usize>,
    pub(super) waits: Vec<(WaiterId, Back)>,
}

/// An edge proxy.
pub(super) struct EdgeState {
    pub(super) router: Router,
    pub(super) open: HashMap<RequestId, Open>,
    /// Purges that it was told of: when, and of when.
    pub(super) told: HashMap<u64, (Time, Time)>,
}
