//! Dispatch: whether the planned attempt goes out, with its fill, without it, or not at all.
//!
//! One step a gate: the zone's fill gate (a jam of fills on the caches' links), the gate of the upper
//! tier and the limit of fills that may reach the origin, and last the limit of attempts at caches.
//! A fill that is held back becomes an attempt at stored copies; what none of these can answer is
//! rejected at once.

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
        let is_spent = request.attempts >= self.settings.max_attempts || now >= request.deadline;
        let plan = if is_spent {
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

    /// The plan with the fill that the gates admit, if any.
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
        let bypass = self.origin_past_parents(now, id, &plan, tier);
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

    /// Whether the limit of fills that may reach the origin admits one more. Short transfers come first when it is
    /// nearly used up: more requests are answered for what the origin and the links carry.
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

    /// The origin, in place of the parents that the gates hold a fill back from: what parents lose must not be rejected
    /// while the origin has capacity.
    fn origin_past_parents(
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

    /// Who is asked for a stored copy when a fill is held back: a parent for its own, instead of the origin a sibling.
    /// So a slow or stopped origin can recover.
    fn stored_copy_source(&self, now: Time, id: RequestId, plan: &Plan, tier: Tier) -> CacheId {
        match tier {
            Tier::Origin if plan.is_listed => plan.cache,
            Tier::Origin => self
                .sibling_for(now, &self.requests[&id])
                .unwrap_or(plan.cache),
            _ => plan.source,
        }
    }

    /// Whether a first attempt goes out: where the caches' links are overloaded, all responses would be late.
    fn admit_first_attempt(&self, draws: &GateDraws) -> bool {
        self.limits.cache.has_capacity(draws.concurrency, 1.0)
    }

    /// Mean transfer time over the cached classes that were seen (us).
    fn mean_cached_transfer_time(&self) -> f64 {
        let cached = self
            .mean_transfer_time
            .iter()
            .zip(&self.settings.classes)
            .filter(|(&time, class)| !class.bypass_cache && time > 0.0);
        mean(cached.map(|(&time, _)| time)).unwrap_or(0.0)
    }
}
