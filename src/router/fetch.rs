//! Sending of attempts: the bounds on the copy's age and on the time, the action, and the accounting.

use super::purges::max_age_since;
use super::requests::{Attempt, Plan, Request};
use super::Router;
use crate::interface::{Action, CacheId, Class, Fetch, RequestId, RetrySafety, Tier, Time};

/// Timeout of an attempt, as a multiple of the time left until the latency objective: a later response is worth little,
/// and the timeout detects a server that accepts attempts but never responds.
const TIMEOUT_MULTIPLE: Time = 2;
/// Maximum number of sends, and of placements, counted for one server: far more than any slow-start budget allows.
const MAX_COUNTED_SENDS: usize = 4_096;
/// Retention rank of a response that is not to be stored.
const RANK_NOT_STORED: u8 = 0;
/// Retention rank of an object's first copy in the zone. An object that is known to be stored already ranks one higher.
const RANK_FIRST_COPY: u8 = 1;

impl Router {
    /// Sends an attempt of an open request as planned.
    pub(super) fn send(&mut self, now: Time, id: RequestId, plan: Plan, out: &mut Vec<Action>) {
        let request = &self.requests[&id];
        out.push(Action::Fetch(self.fetch_action(now, id, request, &plan)));
        let attempt = self.new_attempt(now, request, plan);
        self.count_send(now, id, &attempt);
        self.limits.record_send(&attempt);
        let request = self.requests.get_mut(&id).expect("the request is open");
        let number = request.attempts as u8;
        request.attempts += 1;
        request.sibling_queried |= plan.sibling_query_timeout.is_some();
        self.attempts.insert((id, number), attempt);
    }

    fn fetch_action(&self, now: Time, id: RequestId, request: &Request, plan: &Plan) -> Fetch {
        let class = &self.settings.classes[request.class];
        let valid_from = self
            .purges
            .valid_from(now, request.key.object(), request.group);
        let first_sent = request.first_possibly_processed.map(|first| first.sent_at);
        Fetch {
            id,
            cache: plan.cache,
            timeout: timeout(now, request, class, plan).unwrap_or(0),
            is_idempotent: class.retry_safety == RetrySafety::Idempotent,
            send_before: first_sent.map_or(0, |sent| class.retry_before(sent)),
            source: plan.source,
            retention_rank: self.retention_rank(now, request, class),
            max_age: self.max_age(now, class, plan, valid_from).unwrap_or(0),
            collapse: self.settings.request_collapsing && !class.bypass_cache,
            only_if_cached: plan.only_if_cached,
            revalidate: class.freshness_lifetime > 0 && valid_from.is_none(),
        }
    }

    /// The maximum age of an acceptable copy: within its freshness lifetime, and newer than a purge.
    fn max_age(
        &self,
        now: Time,
        class: &Class,
        plan: &Plan,
        valid_from: Option<Time>,
    ) -> Option<Time> {
        let since_purge = valid_from.map(|valid_from| max_age_since(now, valid_from));
        // While many fills are in flight, a stale copy is preferred to another fill.
        let accepts_stale = plan.accepts_stale || self.limits.origin.is_busy();
        let lifetime = if accepts_stale {
            class.freshness_lifetime + class.stale_while_revalidate
        } else {
            class.freshness_lifetime
        };
        let since_fresh = (class.freshness_lifetime > 0).then_some(lifetime);
        [since_purge, since_fresh].into_iter().flatten().min()
    }

    /// The retention priority of the copy.
    fn retention_rank(&self, now: Time, request: &Request, class: &Class) -> u8 {
        if class.bypass_cache {
            return RANK_NOT_STORED;
        }
        let is_stored = self.object_table.holder(now, request.key).is_some();
        RANK_FIRST_COPY + is_stored as u8
    }

    fn new_attempt(&self, now: Time, request: &Request, plan: Plan) -> Attempt {
        let is_cacheable = !self.settings.classes[request.class].bypass_cache;
        let has_upper_tier_source =
            matches!(self.tier_of(plan.source), Tier::Parent | Tier::Origin);
        let time_left = request.objective_at.saturating_sub(now) as f64;
        Attempt {
            plan,
            key: request.key,
            group: request.group,
            transfer_time: request.transfer_time,
            load: self.mean_transfer_time[request.class],
            has_upper_tier_source,
            may_reach_origin: has_upper_tier_source
                && !plan.is_listed
                && !plan.only_if_cached
                && is_cacheable,
            concurrency_at_send: self
                .servers
                .get(&plan.cache)
                .map_or(0, |server| server.in_flight),
            sent_at: now,
            is_cacheable,
            latency_headroom: time_left - request.transfer_time,
        }
    }

    /// Counts an attempt at its cache, and at its source if a fill is likely.
    fn count_send(&mut self, now: Time, id: RequestId, attempt: &Attempt) {
        let plan = &attempt.plan;
        let request = &self.requests[&id];
        let placed_until = request.placement_ttl.map(|ttl| now + ttl);
        let due = request
            .objective_at
            .max(now + request.transfer_time as Time);
        if let Some(server) = self.servers.get_mut(&plan.cache) {
            server.in_flight += 1;
            server.response_due = server.response_due.or(Some(due));
        }
        self.count_load(now, plan.cache, attempt.load, placed_until);
        if !plan.is_listed && plan.has_source() {
            if let Some(server) = self.servers.get_mut(&plan.source) {
                server.fills_in_flight += 1;
            }
            self.count_load(now, plan.source, attempt.load, placed_until);
        }
    }

    /// Counts the load of an attempt at a server, and that of a placement until it expires.
    fn count_load(&mut self, now: Time, cache: CacheId, load: f64, placed_until: Option<Time>) {
        if let Some(server) = self.servers.get_mut(&cache) {
            let window_start = now.saturating_sub(self.settings.overload_window);
            server
                .recent_sends
                .add(now, load, window_start, MAX_COUNTED_SENDS);
        }
        if let Some(until) = placed_until {
            self.placements
                .entry(cache)
                .or_default()
                .add(until, load, now + 1, MAX_COUNTED_SENDS);
        }
    }
}

/// How long to wait for an attempt (us). With `None`, or 0 after the latency objective has passed, the request's
/// deadline is the only bound.
fn timeout(now: Time, request: &Request, class: &Class, plan: &Plan) -> Option<Time> {
    if plan.sibling_query_timeout.is_some() {
        return plan.sibling_query_timeout;
    }
    // An attempt that must not be repeated is not abandoned.
    let may_be_abandoned = class.retry_safety == RetrySafety::Idempotent;
    may_be_abandoned.then(|| TIMEOUT_MULTIPLE * request.objective_at.saturating_sub(now))
}
