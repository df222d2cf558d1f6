//! Which cache a request goes to.

use super::*;

/// A cache is full from this multiple of the transfers that it carries at full pace.
const SPILL_AT: f64 = 1.3;

impl Router {
    pub(super) fn on_request(&mut self, now: Time, ask: IncomingRequest, out: &mut Vec<Action>) {
        let IncomingRequest {
            id,
            class,
            object,
            part,
            group,
            size_kb,
            time_budget: budget,
            placement_ttl: lease,
            required_group: within,
        } = ask;
        if class >= self.settings.classes.len() || self.requests.contains_key(&id) {
            return;
        }
        let key = (object.0 & OBJECT_BITS) | (part as u64) << 52;
        let told = self.settings.client_kb_per_s > 0.0 && size_kb > 0.0 && size_kb.is_finite();
        let mean = self.class_work[class];
        let rules = &self.settings.classes[class];
        let work = if told {
            size_kb / self.settings.client_kb_per_s * 1e6
        } else {
            mean
        };
        let work = work.min(rules.deadline as f64);
        self.class_work[class] = if mean == 0.0 {
            work
        } else {
            mean + 0.01 * (work - mean)
        };
        let request = Request {
            class,
            key,
            group,
            work,
            aim_at: now
                + (rules.latency_objective + (rules.latency_objective_stretch * work) as Time)
                    .min(rules.deadline),
            deadline: now + budget,
            lease,
            within,
            ..Request::default()
        };
        self.retries = (self.retries + RETRY.0).min(RETRY.1);
        self.asked.add(now, self.class_work[class]);
        self.requests.insert(id, request);
        self.try_next(now, id, out);
    }

    /// The cache for a request: its listed holder, else the home cache; the next in the home's order where
    /// those are full, cold beyond their budget, unwell, or have failed this request.
    pub(super) fn place(&self, now: Time, request: &Request) -> Option<CacheId> {
        let listed = self.local.get(request.key, now).map(|e| e.cache);
        let weight = self.class_work[request.class];
        let takes = |c: &&CacheId| {
            let server = &self.servers[c];
            // How many use a lease is not known here: a cold cache is left out of them.
            let leasable = request.lease == 0 || !self.cold(now, server);
            let room = leasable && self.cold_room(now, server, weight);
            server.ready() && room && self.may_repeat_at(now, request, **c)
        };
        let mut order: Vec<CacheId> = self.tiers[0].iter().filter(takes).copied().collect();
        order.sort_by_key(|&c| {
            (
                Some(c) != listed,
                !rendezvous_rank(request.key, c.0 as u64),
                c,
            )
        });
        let well = |c: &CacheId| self.healthy(now, &self.servers[c]);
        let fresh = |c: &CacheId| !request.tried.contains(c);
        if self.settings.classes[request.class].bypass_cache {
            // What is never kept has no home: the calmest healthy cache passes it on.
            let calm = |c: &CacheId| (!well(c), !fresh(c), self.servers[c].out, *c);
            return order.into_iter().min_by_key(calm);
        }
        // Spilling: guards against whatever crowds one cache, such as one much wanted object or a small link.
        let load = |c: &CacheId| {
            let server = &self.servers[c];
            server.out as f64 / server.capacity.unwrap_or(f64::INFINITY).max(0.1)
        };
        let able: Vec<CacheId> = order
            .iter()
            .copied()
            .filter(|c| well(c) && fresh(c))
            .collect();
        let calm = able.iter().find(|c| load(c) < SPILL_AT).or(able.first());
        calm.or_else(|| order.iter().find(|c| well(c) || fresh(c)))
            .or(order.first())
            .copied()
    }
}
