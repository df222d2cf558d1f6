//! What a miss is filled from: the listed holder, a sibling, a parent or the origin.

use super::*;

/// The slowest origin for what the parents' way turns away: so much of the least aim leaves room for it.
const SLOW: f64 = 0.5;
/// It takes that where parents lose more than this part: where they are late the links may be what is short.
const LOST: f64 = 0.05;
/// One in so many misses is queried though the gate is closed, so that it can open again.
const TRICKLE: u64 = 16;

impl Router {
    pub(super) fn plan(&mut self, now: Time, id: RequestId) -> Option<Plan> {
        let draw = self.draw(u64::MAX);
        let request = &self.requests[&id];
        let pass_on = self.settings.classes[request.class].bypass_cache;
        let Some(cache) = self.place(now, request) else {
            // No cache of the own zone may take it: straight to a parent or the origin where that is allowed.
            let source = self
                .parent(now, request, false)
                .filter(|_| self.settings.direct_fetch)?;
            let direct = Plan {
                cache: source,
                source,
                ..Plan::default()
            };
            return self.may_repeat_at(now, request, source).then_some(direct);
        };
        let mut plan = Plan {
            cache,
            source: cache,
            ..Plan::default()
        };
        let listed = self.local.get(request.key, now).map(|entry| entry.cache);
        plan.listed = listed == Some(cache);
        let elsewhere = listed.filter(|c| !plan.listed && !request.tried.contains(c));
        let gives = |c: &CacheId| self.servers.get(c).is_some_and(|s| self.gives(now, s));
        if let Some(source) = elsewhere
            .filter(|_| self.settings.sibling_fills != SiblingFills::None)
            .filter(gives)
        {
            // The listed holder fills it, from what it holds.
            return Some(Plan {
                source,
                hold_only: true,
                ..plan
            });
        }
        let asked = if plan.listed || pass_on {
            None
        } else {
            self.sibling(now, request)
        };
        if let Some((source, time_out)) =
            asked.and_then(|s| Some((s, self.query_time(now, request, draw)?)))
        {
            return Some(Plan {
                source,
                hold_only: true,
                query: true,
                time_out,
                ..plan
            });
        }
        plan.source = self.parent(now, request, plan.listed)?;
        Some(plan)
    }

    /// Of two parents drawn at random the one with the lower smoothed latency; then the origin. The draw is
    /// seeded by the object, so that its fills meet at few parents: each further one asks the origin again.
    pub(super) fn parent(&self, now: Time, request: &Request, listed: bool) -> Option<CacheId> {
        let weight = self.class_work[request.class];
        let room = |c: &&CacheId| {
            let server = &self.servers[c];
            let cold_for_none = (listed || request.lease > 0) && self.cold(now, server);
            server.ready() && self.cold_room(now, server, weight) && !cold_for_none
        };
        let fit = |c: &&CacheId| self.healthy(now, &self.servers[c]) && !request.tried.contains(c);
        let mut parents: Vec<CacheId> = self.tiers[2]
            .iter()
            .filter(room)
            .filter(fit)
            .copied()
            .collect();
        parents.sort_by_key(|&c| (rendezvous_rank(request.key, c.0 as u64), c));
        // Guards against one slow spell leaving a parent out for good: one not heard of lately is average.
        let average = self.parent_latency(now);
        let latency = |c: &CacheId| self.servers[c].latency.get(now, HEARD).unwrap_or(average);
        let drawn = parents
            .iter()
            .take(2)
            .min_by(|a, b| latency(a).total_cmp(&latency(b)));
        // Guards against a parent that refuses, or is crowded, being asked for all as it is the one left.
        // From the longest aim on, no class has its answer in time.
        let [_, slow] = self.settings.latency_objectives();
        let quick = |c: &&CacheId| {
            self.servers[c]
                .latency
                .get(now, HEARD)
                .is_none_or(|l| l < slow)
        };
        let origin = || self.tiers[3].iter().filter(room).find(quick);
        let above = drawn.filter(quick).or_else(origin).or(drawn);
        above
            .or_else(|| self.tiers[3].iter().chain(&self.tiers[2]).find(room))
            .copied()
    }

    pub(super) fn parent_latency(&self, now: Time) -> f64 {
        let above = self.tiers[2].iter().chain(&self.tiers[3]);
        mean(above.filter_map(|c| self.servers[c].latency.get(now, HEARD)))
            .unwrap_or_else(|| START * self.settings.latency_objectives()[0])
    }

    /// The origin, for what the parents' way turns away: where they lose fills and it is not known to lag.
    pub(super) fn round_parents(&self, now: Time, request: &Request) -> Option<CacheId> {
        let slow = SLOW * self.settings.latency_objectives()[0];
        let quick = |s: &Server| s.latency.get(now, HEARD).is_none_or(|l| l < slow);
        let well = |c: &&CacheId| self.servers[c].ready() && quick(&self.servers[c]);
        let fit = |c: &&CacheId| !request.tried.contains(c) && well(c);
        self.tiers[3]
            .iter()
            .find(fit)
            .filter(|_| self.lost > LOST)
            .copied()
    }

    /// The sibling asked: the object's home cache in a neighbouring zone, same hub first. Cold siblings are
    /// left alone: a look counts as load too.
    pub(super) fn sibling(&self, now: Time, request: &Request) -> Option<CacheId> {
        if self.settings.sibling_fills != SiblingFills::Any {
            return None;
        }
        let key = request.key;
        let fit = |c: &&CacheId| self.gives(now, &self.servers[c]);
        let zone = |c: &CacheId| mix(key ^ self.servers[c].member.zone as u64);
        let order = |c: &&CacheId| (zone(c), rendezvous_rank(key, c.0 as u64), **c);
        let home = self.tiers[1].iter().filter(fit).max_by_key(order);
        home.filter(|c| !request.tried.contains(c)).copied()
    }

    /// The query's time-out, if its four conditions hold: time left, attempts, budget, recent payoff.
    pub(super) fn query_time(&self, now: Time, request: &Request, draw: u64) -> Option<Time> {
        let s = &self.settings;
        if request.queried || request.attempts + 2 > s.max_attempts {
            return None;
        }
        let left = request.aim_at.min(request.deadline).saturating_sub(now) as f64;
        let above = self.parent_latency(now);
        let time = left - above - STRETCH * request.work;
        if time < STRETCH * request.work + above || self.retries < 1.0 {
            return None;
        }
        (self.query_gain > 0.0 || draw.is_multiple_of(TRICKLE)).then_some(time as Time)
    }
}
