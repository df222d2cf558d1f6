//! The state of a request and of its attempts, and the acceptance of new requests.

use super::Router;
use crate::interface::{
    Action, CacheId, Class, IncomingRequest, ObjectId, RequestId, Settings, Time,
};

/// Number of low bits of a [`PartKey`] that identify the object; the part's number is in the bits above.
const OBJECT_BITS: u32 = 52;
const OBJECT_MASK: u64 = (1 << OBJECT_BITS) - 1;
/// Weight of a request's transfer time in the mean of its class.
const TRANSFER_TIME_WEIGHT: f64 = 0.01;

/// Identifies a part of an object, the unit that caches store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct PartKey(pub(super) u64);

impl PartKey {
    pub(super) fn new(object: ObjectId, part: u32) -> PartKey {
        PartKey(ObjectKey::of(object).0 | (part as u64) << OBJECT_BITS)
    }

    /// The object that the part belongs to.
    pub(super) fn object(self) -> ObjectKey {
        ObjectKey(self.0 & OBJECT_MASK)
    }
}

/// Identifies an object as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ObjectKey(u64);

impl ObjectKey {
    pub(super) fn of(object: ObjectId) -> ObjectKey {
        ObjectKey(object.0 & OBJECT_MASK)
    }
}

/// An attempt that may have been processed.
#[derive(Clone, Copy)]
pub(super) struct PossiblyProcessed {
    pub(super) sent_at: Time,
    pub(super) cache: CacheId,
}

/// An open request: one without a final result.
#[derive(Default)]
pub(super) struct Request {
    /// Index of its class.
    pub(super) class: usize,
    pub(super) key: PartKey,
    /// The object's cache tag.
    pub(super) group: u32,
    /// Time that the response takes at full rate (us).
    pub(super) transfer_time: f64,
    /// The time until which a response meets the latency objective.
    pub(super) objective_at: Time,
    pub(super) deadline: Time,
    /// Number of attempts sent.
    pub(super) attempts: u32,
    /// How long its client may use the selected cache without the router; `None` if the host sends the attempts.
    pub(super) placement_ttl: Option<Time>,
    /// The only key group that attempts may go to; set if an attempt that this router did not make may have been
    /// processed.
    pub(super) required_group: Option<u32>,
    /// Whether a sibling query was sent.
    pub(super) sibling_queried: bool,
    /// Whether the response has begun.
    pub(super) response_started: bool,
    /// Caches and sources that failed the request.
    pub(super) failed_servers: Vec<CacheId>,
    /// Caches that responded with an error.
    pub(super) errored_caches: Vec<CacheId>,
    /// The first attempt that may have been processed.
    pub(super) first_possibly_processed: Option<PossiblyProcessed>,
}

impl Request {
    fn new(now: Time, incoming: IncomingRequest, class: &Class, transfer_time: f64) -> Request {
        let stretch = (class.latency_objective_stretch * transfer_time) as Time;
        let objective = (class.latency_objective + stretch).min(class.deadline);
        Request {
            class: incoming.class,
            key: PartKey::new(incoming.object, incoming.part),
            group: incoming.group,
            transfer_time,
            objective_at: now + objective,
            deadline: now + incoming.time_budget,
            placement_ttl: (incoming.placement_ttl > 0).then_some(incoming.placement_ttl),
            required_group: incoming.required_group,
            ..Request::default()
        }
    }

    pub(super) fn has_failed_at(&self, server: CacheId) -> bool {
        self.failed_servers.contains(&server)
    }
}

/// The plan of an attempt: its cache, and the source of a miss.
#[derive(Clone, Copy, Default)]
pub(super) struct Plan {
    pub(super) cache: CacheId,
    /// The server that a miss is filled from. If it equals `cache`, nothing is filled.
    pub(super) source: CacheId,
    /// The source responds only with a stored copy.
    pub(super) only_if_cached: bool,
    /// The timeout of a sibling query; `None` if the attempt is not one.
    pub(super) sibling_query_timeout: Option<Time>,
    /// The object table says that the cache has the object.
    pub(super) is_listed: bool,
    /// A stale copy is acceptable, as a fill was not admitted.
    pub(super) accepts_stale: bool,
}

impl Plan {
    /// An attempt at a cache without a fill.
    pub(super) fn without_fill(cache: CacheId) -> Plan {
        Plan {
            cache,
            source: cache,
            ..Plan::default()
        }
    }

    /// Whether a miss is filled.
    pub(super) fn has_source(&self) -> bool {
        self.source != self.cache
    }
}

/// An attempt in flight.
pub(super) struct Attempt {
    pub(super) plan: Plan,
    pub(super) key: PartKey,
    pub(super) group: u32,
    /// Time that the response takes at full rate (us).
    pub(super) transfer_time: f64,
    /// The load that the attempt counts as: the mean transfer time of its class (us).
    pub(super) load: f64,
    /// Its source is a parent or the origin.
    pub(super) has_upper_tier_source: bool,
    /// A fill is likely and its source may fetch from the origin.
    pub(super) may_reach_origin: bool,
    /// Attempts in flight at the cache when it was sent.
    pub(super) concurrency_at_send: u32,
    pub(super) sent_at: Time,
    /// Its class is cached.
    pub(super) is_cacheable: bool,
    /// Longest latency beyond the transfer time that meets the objective (us); negative if none does.
    pub(super) latency_headroom: f64,
}

impl Router {
    /// Accepts a request and sends its first attempt. A request of an unknown class, or with the id of an open request,
    /// is ignored.
    pub(super) fn on_request(
        &mut self,
        now: Time,
        incoming: IncomingRequest,
        out: &mut Vec<Action>,
    ) {
        let (id, class) = (incoming.id, incoming.class);
        if class >= self.settings.classes.len() || self.requests.contains_key(&id) {
            return;
        }
        let mean = self.mean_transfer_time[class];
        let rules = &self.settings.classes[class];
        let transfer_time = transfer_time(&self.settings, incoming.size_kb)
            .unwrap_or(mean)
            .min(rules.deadline as f64);
        self.mean_transfer_time[class] = if mean == 0.0 {
            transfer_time
        } else {
            mean + TRANSFER_TIME_WEIGHT * (transfer_time - mean)
        };
        let request = Request::new(now, incoming, rules, transfer_time);
        self.retry_budget.record_request();
        self.load.offered.add(now, self.mean_transfer_time[class]);
        self.requests.insert(id, request);
        self.send_next_attempt(now, id, out);
    }

    pub(super) fn on_response_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.response_started = true;
        }
    }

    pub(super) fn on_shutdown(&mut self, deadline: Time) {
        for request in self.requests.values_mut() {
            request.deadline = request.deadline.min(deadline);
        }
    }
}

/// Time that a response of this size takes at full rate (us), if both are known.
fn transfer_time(settings: &Settings, size_kb: f64) -> Option<f64> {
    let is_known = settings.client_kb_per_s > 0.0 && size_kb > 0.0 && size_kb.is_finite();
    is_known.then(|| size_kb / settings.client_kb_per_s * 1e6)
}
