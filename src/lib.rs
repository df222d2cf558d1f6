//! foldmux decides, for a request router in front of edge caches, which cache a request goes to
//! and what a miss there is filled from: a sibling cache, a parent or the origin.
//!
//! A host passes events to a [`Router`], with the time of its own clock, and carries out the actions
//! that the router returns. The router does no I/O, reads no clock and starts no thread.
//!
//! ```
//! use foldmux::interface::*;
//! use foldmux::Router;
//!
//! let class = Class {
//!     latency_objective: 400_000, latency_objective_stretch: 2.0, deadline: 3_000_000,
//!     priority_weight: 1.0, late_value_ratio: 0.2, retry_safety: RetrySafety::Idempotent,
//!     idempotency_window: 0, freshness_lifetime: 0, stale_while_revalidate: 0,
//!     bypass_cache: false,
//! };
//! let settings = Settings {
//!     index: 0, router_count: 1, zone: 0, classes: vec![class], routers_by_zone: vec![1],
//!     hub_by_zone: vec![0], parent_kind: None, origin_kind: 1,
//!     sibling_fills: SiblingFills::Any, cache_status_detail: CacheStatusDetail::All,
//!     request_collapsing: true, direct_fetch: false, client_kb_per_s: 5000.0,
//!     weights_known: false, subscribe_members: false, can_cancel: true, may_hedge: true,
//!     max_attempts: 4, may_health_check: false, may_message_peers: false,
//!     max_retry_after: Some(1_000_000), response_slack: 8_000, drain_timeout: 1_000_000,
//!     cache_slow_start_ratio: 0.2, cache_slow_start_time: 15_000_000,
//!     cache_overload_multiple: 2.5, overload_window: 1_000_000,
//!     parent_slow_start_ratio: 0.1, parent_slow_start_time: 15_000_000,
//!     parent_overload_multiple: 2.0, purge_slack: 300_000, purge_complete: 6_000_000,
//!     origin_overload_multiple: 0.0,
//! };
//! let mut router = Router::new(settings, 42);
//! let mut actions = Vec::new();
//! let member = |cache, kind| Member {
//!     cache: CacheId(cache), zone: 0, kind, cell: 0, state: MemberState::Ready, weight: 1.0,
//!     started_at: 0,
//! };
//! router.handle(1_000_000, Event::Members {
//!     full: true, members: vec![member(7, 0), member(9, 1)],
//! }, &mut actions);
//! actions.clear();
//! router.handle(1_002_000, Event::Request(IncomingRequest {
//!     id: RequestId(1), class: 0, object: ObjectId(55), part: 0, group: 3, size_kb: 200.0,
//!     time_budget: 3_000_000, placement_ttl: 0, required_group: None,
//! }), &mut actions);
//! // The host now sends the attempt to the cache and reports how it ended as `Event::Outcome`.
//! let fetch = actions.iter().find_map(|action| match action {
//!     Action::Fetch(fetch) => Some(fetch),
//!     _ => None,
//! });
//! let fetch = fetch.expect("one attempt");
//! assert_eq!((fetch.cache, fetch.source), (CacheId(7), CacheId(9)));
//! ```
//!
//! Times are in microseconds. Simultaneous events are passed one by one, and actions must be carried
//! out in the order given. [`interface`] describes each event and action.

#![warn(missing_docs)]

pub mod interface;
pub mod router;

pub use router::{PurgeLog, Router};
