//! The sibling query: whether a sibling cache is asked for its stored copy before a parent is.
//!
//! Inputs: the time left until the latency objective, the parents' fill latency, the retry budget, and the
//! gain of earlier queries. Unit: microseconds. A query is sent only if it leaves time for a fill from a
//! parent after it, and if recent queries saved time on average.

use super::requests::Request;
use super::{Router, SAMPLE_WEIGHT};
use crate::interface::{CacheId, Settings, SiblingFills, Tier, Time};
use foldmux_stats::{mix, rendezvous_rank};

/// Gain that is assumed before the first query, as a ratio of the shortest latency objective.
const INITIAL_GAIN_RATIO: f64 = 0.2 / 4.0;
/// Time that a transfer usually takes, as a multiple of its time at full rate.
const TRANSFER_STRETCH: f64 = 1.25;
/// While queries do not save time, one miss in this many still queries a sibling, so that a change is noticed.
const EXPLORATION_INTERVAL: u64 = 16;
/// Number of attempts that a query and the fill after it need.
const ATTEMPTS_NEEDED: u32 = 2;

/// How a query ended.
pub(super) enum QueryResult {
    /// The sibling filled the miss; `saved` is the time gained over a fill from a parent (us).
    Filled { saved: f64 },
    /// The query took `lost` (us) and gave no fill.
    NotFilled { lost: f64 },
}

/// Mean time that a query saves over a fill from a parent, including unsuccessful queries (us).
pub(super) struct SiblingQueryGain(f64);

impl SiblingQueryGain {
    pub(super) fn new(settings: &Settings) -> SiblingQueryGain {
        let [shortest_objective, _] = settings.latency_objectives();
        SiblingQueryGain(INITIAL_GAIN_RATIO * shortest_objective)
    }

    /// Records a query. Its gain or loss is capped at the longest latency objective, so that one sibling that hangs
    /// does not end the queries.
    pub(super) fn record(&mut self, result: QueryResult, longest_objective: f64) {
        let gain = match result {
            QueryResult::Filled { saved } => saved,
            QueryResult::NotFilled { lost } => -lost,
        };
        let bounded = gain.clamp(-longest_objective, longest_objective);
        self.0 += SAMPLE_WEIGHT * (bounded - self.0);
    }

    fn saves_time(&self) -> bool {
        self.0 > 0.0
    }
}

impl Router {
    /// The sibling to query: the object's home in another zone of the nearest hub. A sibling that is warming up is not
    /// queried, as a query is load too.
    pub(super) fn sibling_for(&self, now: Time, request: &Request) -> Option<CacheId> {
        if self.settings.sibling_fills != SiblingFills::Any {
            return None;
        }
        let key = request.key.0;
        let home = self.tiers[Tier::Sibling]
            .iter()
            .copied()
            .filter(|cache| self.can_serve_fills(now, &self.servers[cache]))
            .max_by_key(|&cache| {
                let zone = self.servers[&cache].member.zone as u64;
                (mix(key ^ zone), rendezvous_rank(key, cache.0 as u64), cache)
            });
        home.filter(|&cache| !request.has_failed_at(cache))
    }

    /// The timeout of a sibling query, if one is to be sent: enough attempts, time and retry budget remain for a fill
    /// from a parent after it, and queries save time or one is due for exploration.
    pub(super) fn sibling_query_timeout(
        &self,
        now: Time,
        request: &Request,
        draw: u64,
    ) -> Option<Time> {
        let attempts_needed = request.attempts + ATTEMPTS_NEEDED;
        if request.sibling_queried || attempts_needed > self.settings.max_attempts {
            return None;
        }
        let due = request.objective_at.min(request.deadline);
        let left = due.saturating_sub(now) as f64;
        let upper_tier_latency = self.upper_tier_latency(now);
        let timeout = left - upper_tier_latency - TRANSFER_STRETCH * request.transfer_time;
        let least = TRANSFER_STRETCH * request.transfer_time + upper_tier_latency;
        if timeout < least || !self.retry_budget.has_token() {
            return None;
        }
        let explores = draw.is_multiple_of(EXPLORATION_INTERVAL);
        (self.sibling_query_gain.saves_time() || explores).then_some(timeout as Time)
    }
}
