//! Dispatch: whether the planned attempt is sent with its fill, without it, or not at all.
//!
//! The gates are checked in this order: the zone's fill gate (against too many fills on the caches'
//! links), the gate of the upper tier together with the limit of fills that may reach the origin, and
//! the limit of attempts at caches. Where a fill is not admitted, the attempt asks for stored copies
//! only; a request that these cannot answer is rejected without further attempts.

use super::admission::DRAW_RANGE;
use super::requests::Plan;
use super::Router;
use crate::interface::{Action, CacheId, RequestId, Tier, Time};
use foldmux_stats::mean;

/// The random draws of one attempt, below [`DRAW_RANGE`].
struct GateDraws {
    zone_gate: u64,
    upper_tier_gate: u64,
    concurrency: u64,
}

impl Router {
    /// Sends the next attempt of a request, or ends the request.
    pub(super) fn send_next_attempt(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_cacheable = !self.settings.classes[request.class].bypass_cache;
        let is_first = request.attempts == 0;
        let is_exhausted =
            request.attempts >= self.settings.max_attempts || now >= request.deadline;
        let plan = if is_exhausted {
            None
        } else {
            self.plan_attempt(now, id)
        };
        let Some(mut plan) = plan else {
            return self.give_up(id, out);
        };
        let draws = GateDraws {
            zone_gate: self.random_below(DRAW_RANGE),
            upper_tier_gate: self.random_below(DRAW_RANGE),
            concurrency: self.random_below(DRAW_RANGE),
        };
        if is_cacheable {
            plan = self.admit_fill(now, id, plan, &draws);
            let is_admitted = if is_first {
                self.admit_first_attempt(&draws)
            } else {
                // A retry needs a source, as the cache's own copy was tried.
                plan.has_source()
            };
            if !is_admitted {
                return self.give_up(id, out);
            }
        }
        self.send(now, id, plan, out);
    }

    /// The plan, reduced to the fill that the gates admit, if any.
    fn admit_fill(&mut self, now: Time, id: RequestId, plan: Plan, draws: &GateDraws) -> Plan {
        if plan.has_source() && !self.gates.zone.admit(now, draws.zone_gate) {
            return Plan {
                is_listed: plan.is_listed,
                accepts_stale: true,
                ..Plan::without_fill(plan.cache)
            };
        }
        match self.tier_of(plan.source) {
            Tier::OwnCache | Tier::Sibling => plan,
            tier @ (Tier::Parent | Tier::Origin) => {
                self.admit_upper_tier(now, id, plan, tier, draws)
            }
        }
    }

    fn admit_upper_tier(
        &mut self,
        now: Time,
        id: RequestId,
        plan: Plan,
        tier: Tier,
        draws: &GateDraws,
    ) -> Plan {
        let draw = draws.upper_tier_gate;
        let has_capacity = plan.is_listed || self.origin_limit_admits(id, draws.concurrency);
        if self.gates.upper_tier(tier).admit(now, draw) && has_capacity {
            return plan;
        }
        let bypass = self.origin_bypassing_parents(now, id, &plan, tier);
        if let Some(origin) = bypass {
            if self.gates.origin.admit(now, draw) && has_capacity {
                return Plan {
                    source: origin,
                    only_if_cached: false,
                    accepts_stale: false,
                    ..plan
                };
            }
        }
        Plan {
            source: self.stored_copy_source(now, id, &plan, tier),
            only_if_cached: true,
            accepts_stale: true,
            ..plan
        }
    }

    /// Whether the limit of fills that may reach the origin admits one more. Near the limit, short transfers are
    /// preferred: the same load on the origin and the links then answers more requests.
    fn origin_limit_admits(&self, id: RequestId, draw: u64) -> bool {
        let mean = self.mean_cached_transfer_time();
        let transfer_time = self.requests[&id].transfer_time;
        let usable_ratio = if transfer_time > mean {
            mean / transfer_time
        } else {
            1.0
        };
        self.limits.origin.has_capacity(draw, usable_ratio)
    }

    /// The origin, for a fill that the gates do not admit to the parents: fills that parents lose must not be rejected
    /// while the origin has capacity.
    fn origin_bypassing_parents(
        &self,
        now: Time,
        id: RequestId,
        plan: &Plan,
        tier: Tier,
    ) -> Option<CacheId> {
        if tier == Tier::Origin || plan.is_listed {
            return None;
        }
        self.origin_instead_of_parents(now, &self.requests[&id])
    }

    /// The server that is asked for a stored copy if a fill is not admitted: the parent itself; in place of
    /// the origin a sibling, or else the cache alone. This lets a slow or stopped origin recover.
    fn stored_copy_source(&self, now: Time, id: RequestId, plan: &Plan, tier: Tier) -> CacheId {
        match tier {
            Tier::Origin if plan.is_listed => plan.cache,
            Tier::Origin => self
                .sibling_for(now, &self.requests[&id])
                .unwrap_or(plan.cache),
            _ => plan.source,
        }
    }

    /// Whether a first attempt is sent: with the caches' links overloaded, all responses would be late.
    fn admit_first_attempt(&self, draws: &GateDraws) -> bool {
        self.limits.cache.has_capacity(draws.concurrency, 1.0)
    }

    /// Mean transfer time of the cached classes that have had requests (us).
    fn mean_cached_transfer_time(&self) -> f64 {
        let cached = self
            .mean_transfer_time
            .iter()
            .zip(&self.settings.classes)
            .filter(|(&time, class)| !class.bypass_cache && time > 0.0);
        mean(cached.map(|(&time, _)| time)).unwrap_or(0.0)
    }
}
