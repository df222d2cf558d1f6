//! The settings of a router: what it knows of its deployment.

use super::{Member, Time};

/// Whether, and where, the attempts of a class may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Any number of times.
    Idempotent,
    /// With an idempotency key: only in the group of caches that share a memory of keys, and only while they remember
    /// the key.
    Keyed(KeyScope),
    /// Only when every earlier attempt is known not to have been processed.
    NonIdempotent,
}

/// Which caches share their memory of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All caches.
    All,
    /// The caches of a zone.
    Zone,
    /// The caches of a cell.
    Cell,
}

impl RetrySafety {
    /// The number of a server's key group. Within a group, duplicates of a keyed request are dropped.
    pub fn key_group(self, member: &Member) -> u32 {
        match self {
            RetrySafety::Keyed(KeyScope::Zone) => 1 + member.zone as u32,
            RetrySafety::Keyed(KeyScope::Cell) => 1 + member.cell as u32,
            _ => 0,
        }
    }

    /// Whether both servers share a memory of idempotency keys.
    pub fn same_key_group(self, one: &Member, other: &Member) -> bool {
        self.key_group(one) == self.key_group(other)
    }
}

/// The rules for a class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency objective: a response within this time, plus `latency_objective_stretch` times the transfer time, has
    /// its full value.
    pub latency_objective: Time,
    /// Multiple of the transfer time by which the latency objective is extended.
    pub latency_objective_stretch: f64,
    /// How long a client waits for a response, over all attempts.
    pub deadline: Time,
    /// Value of a response in time, relative to the other classes. No rule uses it.
    pub priority_weight: f64,
    /// The fraction of its value that a response after the latency objective retains. No rule uses it.
    pub late_value_ratio: f64,
    /// Whether, and where, attempts may be retried.
    pub retry_safety: RetrySafety,
    /// How long the caches remember an idempotency key; used by keyed classes only.
    pub idempotency_window: Time,
    /// How long a copy is fresh; 0 sets no limit.
    pub freshness_lifetime: Time,
    /// How long after its freshness lifetime a copy may still be served while it is revalidated; such a response is
    /// worth less.
    pub stale_while_revalidate: Time,
    /// Responses are never stored; the origin answers every request.
    pub bypass_cache: bool,
}

impl Class {
    /// The time before which a retry must be sent if the first attempt was sent at `sent`; 0 sets no bound.
    pub fn retry_before(&self, sent: Time) -> Time {
        match self.retry_safety {
            RetrySafety::Keyed(_) => sent.saturating_add(self.idempotency_window),
            RetrySafety::Idempotent | RetrySafety::NonIdempotent => 0,
        }
    }
}

/// Which sibling caches may be the source of a fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiblingFills {
    /// None.
    None,
    /// Caches of the own zone.
    OwnZone,
    /// Caches of any zone.
    Any,
}

/// How much detail responses carry about their cache status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatusDetail {
    /// Nothing.
    None,
    /// Whether the response is a hit.
    HitOnly,
    /// Everything that [`CacheStatus`](super::CacheStatus) has.
    All,
}

/// A server's place in the hierarchy, relative to a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tier {
    /// A cache of the own zone.
    OwnCache,
    /// A cache of another zone.
    Sibling,
    /// An upper-tier cache.
    Parent,
    /// The origin.
    Origin,
}

impl Tier {
    /// Number of tiers.
    pub const COUNT: usize = Tier::ALL.len();
    /// All tiers, in the order of their numbers.
    pub const ALL: [Tier; 4] = [Tier::OwnCache, Tier::Sibling, Tier::Parent, Tier::Origin];
}

/// How a server ramps up its capacity after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// The ratio of its full capacity that it starts with.
    pub initial_ratio: f64,
    /// Time until it has its full capacity.
    pub duration: Time,
    /// The load within the overload window at which it fails, as a multiple of its present capacity.
    pub overload_multiple: f64,
}

/// The deployment's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This router's index among all routers.
    pub index: u32,
    /// Number of routers. No rule uses it.
    pub router_count: u32,
    /// Index of this router's zone.
    pub zone: usize,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// Number of routers by zone. No rule uses it.
    pub routers_by_zone: Vec<u32>,
    /// By zone: the zone of its hub. The hubs form a ring.
    pub hub_by_zone: Vec<usize>,
    /// The kind of the parents, if the deployment has any.
    pub parent_kind: Option<usize>,
    /// The kind of the origin.
    pub origin_kind: usize,
    /// Which siblings may be the source of a fill.
    pub sibling_fills: SiblingFills,
    /// How much detail responses carry about their cache status.
    pub cache_status_detail: CacheStatusDetail,
    /// Caches can join a request to a fill that is already in progress.
    pub request_collapsing: bool,
    /// Attempts may also go directly to parents and the origin.
    pub direct_fetch: bool,
    /// Maximum transfer rate of one response in KB per second; 0 if it is not known.
    pub client_kb_per_s: f64,
    /// Members' weights are the capacities of their links, in concurrent transfers at the maximum rate. No rule uses
    /// it.
    pub weights_known: bool,
    /// The router must tell its host to subscribe to the member list.
    pub subscribe_members: bool,
    /// Attempts can be cancelled.
    pub can_cancel: bool,
    /// Hedged requests are allowed. No rule of the router uses it; the host checks its limits against it.
    pub may_hedge: bool,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Health checks are allowed. No rule uses it.
    pub may_health_check: bool,
    /// Messages to peers are allowed. No rule uses it.
    pub may_message_peers: bool,
    /// Longest Retry-After that clients obey; `None` if rejections carry no Retry-After.
    pub max_retry_after: Option<Time>,
    /// How long after its deadline a response still counts as in time.
    pub response_slack: Time,
    /// How long a draining server still takes requests. No rule uses it.
    pub drain_timeout: Time,
    /// Slow start of caches: the ratio of the full capacity at the start.
    pub cache_slow_start_ratio: f64,
    /// Slow start of caches: time until the full capacity.
    pub cache_slow_start_time: Time,
    /// The load within `overload_window` at which a cache fails, as a multiple of its present capacity.
    pub cache_overload_multiple: f64,
    /// The window over which load is summed to detect overload.
    pub overload_window: Time,
    /// Slow start of parents: the ratio of the full capacity at the start.
    pub parent_slow_start_ratio: f64,
    /// Slow start of parents: time until the full capacity.
    pub parent_slow_start_time: Time,
    /// The load within `overload_window` at which a parent fails, as a multiple of its present capacity.
    pub parent_overload_multiple: f64,
    /// How long after a purge invalid copies may still be served without a penalty. No rule of the router uses it; the
    /// host checks its limits against it.
    pub purge_slack: Time,
    /// Time after a purge until the last invalid copies are gone.
    pub purge_complete: Time,
    /// The multiple of its capacity at which the origin stops responding for a while; 0 if it never does. No rule uses
    /// it.
    pub origin_overload_multiple: f64,
}

impl Settings {
    /// The shortest and the longest latency objective of the classes that are cached (us).
    pub fn latency_objectives(&self) -> [f64; 2] {
        let cached = || {
            self.classes
                .iter()
                .filter(|class| !class.bypass_cache)
                .map(|class| class.latency_objective as f64)
        };
        [cached().fold(1e9, f64::min), cached().fold(0.0, f64::max)]
    }

    /// Duration of the longest slow start, of caches or parents.
    pub fn longest_slow_start(&self) -> Time {
        self.cache_slow_start_time.max(self.parent_slow_start_time)
    }

    /// The tier of a server, relative to this router's zone.
    pub fn tier(&self, member: &Member) -> Tier {
        match member.kind {
            kind if kind == self.origin_kind => Tier::Origin,
            kind if Some(kind) == self.parent_kind => Tier::Parent,
            _ if member.zone == self.zone => Tier::OwnCache,
            _ => Tier::Sibling,
        }
    }

    /// Steps on the ring of hubs between this zone's hub and another's.
    pub fn hub_distance(&self, zone: usize) -> usize {
        let hub = |zone: usize| self.hub_by_zone.get(zone).copied().unwrap_or(0);
        let apart = hub(zone).abs_diff(hub(self.zone));
        apart.min(self.hub_by_zone.iter().copied().max().unwrap_or(0) + 1 - apart)
    }

    /// The slow start of parents if `is_parent`, else of caches.
    pub fn slow_start(&self, is_parent: bool) -> SlowStart {
        if is_parent {
            SlowStart {
                initial_ratio: self.parent_slow_start_ratio,
                duration: self.parent_slow_start_time,
                overload_multiple: self.parent_overload_multiple,
            }
        } else {
            SlowStart {
                initial_ratio: self.cache_slow_start_ratio,
                duration: self.cache_slow_start_time,
                overload_multiple: self.cache_overload_multiple,
            }
        }
    }
}
