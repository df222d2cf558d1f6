//! What a router knows of its deployment.

use super::{Member, Time};

/// How far the attempts of a class may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Any number of times.
    Idempotent,
    /// By an idempotency key: within the group of caches that share the memory of keys, while it lasts.
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
    /// The number of a server's key group: within it, duplicates of a keyed request are dropped.
    pub fn key_group(self, member: &Member) -> u32 {
        match self {
            RetrySafety::Keyed(KeyScope::Zone) => 1 + member.zone as u32,
            RetrySafety::Keyed(KeyScope::Cell) => 1 + member.cell as u32,
            _ => 0,
        }
    }

    /// Whether duplicates are dropped at one server as at the other.
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
    /// Factor on the transfer time that the latency objective is extended by.
    pub latency_objective_stretch: f64,
    /// How long a client waits, all its attempts together.
    pub deadline: Time,
    /// Value of a response in time, relative to the other classes. Read by no rule.
    pub priority_weight: f64,
    /// The part of the value that a response after the latency objective still has. Read by no rule.
    pub late_value_ratio: f64,
    /// How far attempts may be retried.
    pub retry_safety: RetrySafety,
    /// For keyed classes: how long the caches remember an idempotency key.
    pub idempotency_window: Time,
    /// How long a copy is fresh; 0 sets no limit.
    pub freshness_lifetime: Time,
    /// How much longer a copy may be served while it is revalidated, at a lower value.
    pub stale_while_revalidate: Time,
    /// Responses are never stored: the requests are for the origin.
    pub bypass_cache: bool,
}

impl Class {
    /// The moment before which a retry must be sent, where the first attempt was sent at `sent`; 0 sets no bound.
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

/// How much responses say of how they came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatusDetail {
    /// Nothing.
    None,
    /// Whether they are a hit.
    HitOnly,
    /// Everything that [`CacheStatus`](super::CacheStatus) has.
    All,
}

/// Where a server stands in the hierarchy, as a zone sees it.
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

/// How a server that started takes up load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// The part of its full capacity that it starts with.
    pub initial_ratio: f64,
    /// How long until it has its full capacity.
    pub duration: Time,
    /// The multiple of its present capacity over the overload window at which it fails.
    pub overload_multiple: f64,
}

/// The deployment's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This router's index among all routers.
    pub index: u32,
    /// Number of routers. Read by no rule.
    pub router_count: u32,
    /// Index of this router's zone.
    pub zone: usize,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// Number of routers by zone. Read by no rule.
    pub routers_by_zone: Vec<u32>,
    /// By zone: the zone of its hub. The hubs form a ring.
    pub hub_by_zone: Vec<usize>,
    /// The kind of the parents, where there are any.
    pub parent_kind: Option<usize>,
    /// The kind of the origin.
    pub origin_kind: usize,
    /// Which siblings may be the source of a fill.
    pub sibling_fills: SiblingFills,
    /// What responses say of how they came about.
    pub cache_status_detail: CacheStatusDetail,
    /// A cache can join a request to a fill under way.
    pub request_collapsing: bool,
    /// Parents and the origin take attempts too.
    pub direct_fetch: bool,
    /// Greatest rate of one response in KB per second; 0 where it is not known.
    pub client_kb_per_s: f64,
    /// Members' weights are their links' capacities, in transfers at the greatest rate. Read by no rule.
    pub weights_known: bool,
    /// The member list must be subscribed to.
    pub subscribe_members: bool,
    /// Attempts can be cancelled.
    pub can_cancel: bool,
    /// Hedged requests are allowed. Read by limits alone.
    pub may_hedge: bool,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Health checks are allowed. Read by no rule.
    pub may_health_check: bool,
    /// Messages to peers are allowed. Read by no rule.
    pub may_message_peers: bool,
    /// Longest Retry-After that clients obey; none where rejections carry none.
    pub max_retry_after: Option<Time>,
    /// How long after its deadline a response still counts as in time.
    pub response_slack: Time,
    /// How long a draining server still takes requests. Read by no rule.
    pub drain_timeout: Time,
    /// Slow start of caches: the part of the full capacity at the start.
    pub cache_slow_start_ratio: f64,
    /// Slow start of caches: how long until the full capacity.
    pub cache_slow_start_time: Time,
    /// The multiple of its present capacity over `overload_window` at which a cache fails.
    pub cache_overload_multiple: f64,
    /// The time over which overload is counted.
    pub overload_window: Time,
    /// Slow start of parents: the part of the full capacity at the start.
    pub parent_slow_start_ratio: f64,
    /// Slow start of parents: how long until the full capacity.
    pub parent_slow_start_time: Time,
    /// The multiple of its present capacity over `overload_window` at which a parent fails.
    pub parent_overload_multiple: f64,
    /// How long after a purge invalid copies may still be served without a penalty. Read by limits alone.
    pub purge_slack: Time,
    /// How long after a purge the last invalid copies are gone.
    pub purge_complete: Time,
    /// The multiple of its capacity at which the origin stops for a while; 0 if it does not. Read by no rule.
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

    /// How long the slow start of a cache or parent lasts at most.
    pub fn longest_slow_start(&self) -> Time {
        self.cache_slow_start_time.max(self.parent_slow_start_time)
    }

    /// The tier of a server, as this router's zone sees it.
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

    /// The slow start of parents or of caches.
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
