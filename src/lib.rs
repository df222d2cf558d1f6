//! foldmux decides, for a request router in front of edge caches, which cache a request goes to
//! and what a miss there is filled from: a sibling cache, a parent or the origin.
//!
//! A front feeds a [`Router`] what happens, with its own clock, and carries out the actions that
//! come back. The router does no input or output, reads no clock and starts no thread.
//!
//! ```
//! use foldmux::interface::*;
//! use foldmux::Router;
//!
//! let class = Class {
//!     aim: 400_000, aim_stretch: 2.0, deadline: 3_000_000, worth: 1.0, late_worth: 0.2,
//!     repeat: Repeat::Safe, repeat_window: 0, fresh: 0, grace: 0, pass_on: false,
//! };
//! let settings = Settings {
//!     index: 0, routers: 1, zone: 0, classes: vec![class], routers_by_zone: vec![1],
//!     hub_of: vec![0], parent_kind: None, origin_kind: 1, siblings: Siblings::Any,
//!     notes: Notes::All, can_join: true, direct: false, client_kb_per_s: 5000.0,
//!     weights_told: false, must_ask: false, may_cancel: true, may_duplicate: true,
//!     max_attempts: 4, may_probe: false, may_tell_peers: false, retry_after: Some(1_000_000),
//!     answer_slack: 8_000, drain_grace: 1_000_000, cache_cold_from: 0.2,
//!     cache_cold_for: 15_000_000, cache_fall_multiple: 2.5, fall_window: 1_000_000,
//!     parent_cold_from: 0.1, parent_cold_for: 15_000_000, parent_fall_multiple: 2.0,
//!     purge_slack: 300_000, purge_done: 6_000_000, origin_fall_multiple: 0.0,
//! };
//! let mut router = Router::new(settings, 42);
//! let mut actions = Vec::new();
//! let member = |cache, kind| Member {
//!     cache: CacheId(cache), zone: 0, kind, cell: 0, state: State::Ready, weight: 1.0, boot: 0,
//! };
//! router.handle(1_000_000, Event::Members {
//!     full: true, members: vec![member(7, 0), member(9, 1)],
//! }, &mut actions);
//! actions.clear();
//! router.handle(1_002_000, Event::Request(Ask {
//!     id: RequestId(1), class: 0, object: ObjectId(55), part: 0, group: 3, size_kb: 200.0,
//!     budget: 3_000_000, lease: 0, within: None,
//! }), &mut actions);
//! // The front now sends this to the cache and reports how it ended as `Event::Outcome`.
//! let fetch = actions.iter().find_map(|action| match action {
//!     Action::Fetch(fetch) => Some(fetch),
//!     _ => None,
//! });
//! let fetch = fetch.expect("one attempt");
//! assert_eq!((fetch.cache, fetch.source), (CacheId(7), CacheId(9)));
//! ```
//!
//! Time is in microseconds. Events of one moment are handed over one by one; the actions are to
//! be carried out in the order given. See [`interface`] for what each means.

pub mod interface;
pub mod router;

pub use router::Router;
