//! Feedback: how an outcome updates the estimates, with one method for each estimate.

use super::capacity::ObservedTransfer;
use super::concurrency::Timing;
use super::outliers::HealthSample;
use super::requests::Attempt;
use super::sibling_query::QueryResult;
use super::{Router, SAMPLE_WEIGHT};
use crate::interface::{
    AttemptReport, CacheStatus, CacheStatusDetail, MemberState, Outcome, Tier, Time,
};

/// Ratio of the latency headroom above which a response counts as late: overload is noticed before objectives are
/// missed.
const LATE_HEADROOM_RATIO: f64 = 0.5;
/// Latency that a rejection by a source counts as, in multiples of the longest latency objective. Two in a row bring
/// the mean near the longest objective, above which another source is preferred.
const REJECTION_LATENCY_OBJECTIVES: f64 = 5.0;

/// An attempt and its outcome, as input to the estimates.
struct Observation<'a> {
    attempt: &'a Attempt,
    outcome: Outcome,
    cache_status: CacheStatus,
    /// Time from the action to the outcome (us).
    elapsed: f64,
    /// Latency beyond the transfer time (us).
    latency: f64,
}

impl<'a> Observation<'a> {
    fn new(attempt: &'a Attempt, report: &AttemptReport) -> Observation<'a> {
        let elapsed = report.elapsed as f64;
        Observation {
            attempt,
            outcome: report.outcome,
            cache_status: report.cache_status,
            elapsed,
            latency: (elapsed - attempt.transfer_time).max(0.0),
        }
    }

    fn is_served(&self) -> bool {
        self.outcome == Outcome::Served
    }

    fn is_timeout(&self) -> bool {
        self.outcome == Outcome::TimedOut
    }

    /// An error or a timeout.
    fn has_failed(&self) -> bool {
        matches!(self.outcome, Outcome::Error | Outcome::TimedOut)
    }

    fn is_status_unknown(&self) -> bool {
        self.cache_status == CacheStatus::Unknown
    }

    /// The cache had the object, according to its cache status or else to the object table.
    fn is_hit(&self) -> bool {
        self.cache_status == CacheStatus::Hit
            || (self.is_status_unknown() && self.attempt.plan.is_listed)
    }

    /// Served from a fill, according to the cache status or else because the object table did not list the object.
    fn is_filled(&self) -> bool {
        let states_fill = matches!(
            self.cache_status,
            CacheStatus::Filled | CacheStatus::FilledByOrigin
        );
        self.is_served()
            && (states_fill || (self.is_status_unknown() && !self.attempt.plan.is_listed))
    }

    /// A fill was likely when the attempt was sent.
    fn expected_fill(&self) -> bool {
        !self.attempt.plan.is_listed
    }

    fn is_late(&self) -> bool {
        self.is_served() && self.latency > LATE_HEADROOM_RATIO * self.attempt.latency_headroom
    }

    /// The response, if any, came after the latency objective.
    fn missed_objective(&self) -> bool {
        self.is_timeout() || self.latency > self.attempt.latency_headroom
    }

    /// Rejected, timed out, or failed by the origin.
    fn is_lost(&self) -> bool {
        matches!(self.outcome, Outcome::Overloaded | Outcome::TimedOut)
            || self.cache_status == CacheStatus::OriginFailed
    }

    /// A rejection that may be the source's. Without a cache status it may be the cache's own; those raise the latency
    /// of all sources alike.
    fn is_rejected_fill(&self) -> bool {
        self.expected_fill() && self.is_status_unknown() && self.outcome == Outcome::Overloaded
    }

    /// The source failed. A source that lacks the object, or whose origin failed, is healthy.
    fn counts_against_source(&self) -> bool {
        match self.cache_status {
            CacheStatus::Unknown => self.expected_fill() && self.has_failed(),
            CacheStatus::SourceMissed | CacheStatus::OriginFailed => false,
            status => status.is_source_fault(),
        }
    }
}

impl Router {
    /// Updates every estimate from the outcome of an attempt.
    pub(super) fn update_estimates(
        &mut self,
        now: Time,
        attempt: &Attempt,
        report: &AttemptReport,
    ) {
        let observation = Observation::new(attempt, report);
        self.update_cache(now, &observation);
        self.update_limits(&observation);
        self.update_gates(&observation);
        self.update_parent_loss_rate(&observation);
        self.update_source(now, &observation);
        self.update_sibling_query_gain(now, &observation);
        self.update_object_table(now, &observation);
    }

    /// The cache's attempts in flight, failure rate and capacity, and the load that caches serve.
    fn update_cache(&mut self, now: Time, observation: &Observation) {
        let attempt = observation.attempt;
        let tier = self.tier_of(attempt.plan.cache);
        let [shortest_objective, _] = self.settings.latency_objectives();
        let Some(server) = self.servers.get_mut(&attempt.plan.cache) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        if observation.outcome.is_responsive() {
            server.response_due = None;
        }
        let is_sibling_query = attempt.plan.sibling_query_timeout.is_some();
        let sample = match observation.outcome {
            Outcome::Served => HealthSample::Success,
            Outcome::ConnectFailed => HealthSample::Unreachable,
            // The queried sibling was slow, not the cache.
            Outcome::TimedOut if is_sibling_query => return,
            Outcome::Reset | Outcome::TimedOut => HealthSample::Failure,
            // An error counts once the request was served elsewhere; being overloaded is no failure.
            Outcome::Error
            | Outcome::Overloaded
            | Outcome::Cancelled
            | Outcome::NeverSent
            | Outcome::Miss => return,
        };
        let tier_failure_rate = &mut self.tier_failure_rate[tier];
        server
            .failures
            .record_outcome(now, sample, tier_failure_rate);
        if !observation.is_served() {
            return;
        }
        self.load.caches.served.add(now, attempt.load);
        if observation.is_hit() {
            server.capacity.record(&ObservedTransfer {
                concurrency: (attempt.concurrency_at_send + server.in_flight) as f64 / 2.0 + 1.0,
                elapsed: observation.elapsed,
                transfer_time: attempt.transfer_time,
                shortest_objective,
            });
        }
    }

    /// The concurrency limits, and the ratio of the attempts without a fill that get no response.
    fn update_limits(&mut self, observation: &Observation) {
        let attempt = observation.attempt;
        if attempt.may_reach_origin {
            self.update_origin_limit(observation);
        } else if attempt.is_cacheable {
            let is_without_fill = !observation.expected_fill() || !attempt.plan.has_source();
            if is_without_fill && observation.outcome != Outcome::Cancelled {
                let sample = observation.is_timeout() as u8 as f64;
                self.no_response_rate += SAMPLE_WEIGHT * (sample - self.no_response_rate);
            }
            let timing = if observation.is_served() && observation.is_hit() {
                Timing::of(observation.is_late())
            } else {
                Timing::NotCounted
            };
            self.limits.cache.record_completion(timing);
        }
    }

    /// The limit of fills that may reach the origin. Only a response that misses its objective counts as late here:
    /// fills from a distant parent need most of that time even without overload, and an object whose fills were
    /// rejected for that would never be stored.
    fn update_origin_limit(&mut self, observation: &Observation) {
        let is_served_fill = observation.is_served() && !observation.is_hit();
        let timing = if observation.is_timeout() || is_served_fill {
            Timing::of(observation.missed_objective())
        } else {
            Timing::NotCounted
        };
        self.limits.origin.record_completion(timing);
        // The same ratio of responses is lost without a fill, so these losses are not due to the origin.
        self.limits.origin.compensate(self.no_response_rate);
    }

    /// The admission gates: each late or lost use lowers the gate of the path that it is due to.
    fn update_gates(&mut self, observation: &Observation) {
        let attempt = observation.attempt;
        let plan = &attempt.plan;
        if observation.is_late() && observation.is_hit() {
            // Even stored copies are late: the caches' links are overloaded, and fills would add load.
            self.gates.zone.decrease();
        }
        let is_late_fill = observation.is_late() && observation.is_filled();
        let is_slow_or_lost = is_late_fill || observation.is_lost();
        if !is_slow_or_lost || !plan.has_source() || plan.sibling_query_timeout.is_some() {
            return;
        }
        if self.is_due_to_links(observation) {
            self.gates.zone.decrease();
        } else {
            let tier = self.tier_of(plan.source);
            self.gates.upper_tier(tier).decrease();
        }
        if observation.cache_status == CacheStatus::OriginFailed {
            self.gates.origin.decrease();
        }
    }

    /// Whether a slow or lost fill is due to the caches' links rather than to its source: the source had a stored copy,
    /// or the cache had no free slot for a fill.
    fn is_due_to_links(&self, observation: &Observation) -> bool {
        let is_from_stored_copy = observation.cache_status == CacheStatus::Filled
            && self.settings.cache_status_detail == CacheStatusDetail::All;
        !observation.attempt.has_upper_tier_source
            || observation.attempt.plan.only_if_cached
            || is_from_stored_copy
            || observation.cache_status == CacheStatus::NoFillSlot
    }

    /// The ratio of the parents' fills that are lost.
    fn update_parent_loss_rate(&mut self, observation: &Observation) {
        let plan = &observation.attempt.plan;
        let is_parent_fill = self.tier_of(plan.source) == Tier::Parent
            && observation.expected_fill()
            && !plan.only_if_cached;
        if is_parent_fill {
            let is_lost = observation.is_lost() || observation.outcome == Outcome::Error;
            let sample = is_lost as u8 as f64;
            self.parent_loss_rate += SAMPLE_WEIGHT * (sample - self.parent_loss_rate);
        }
    }

    /// The source's fills in flight, fill latency and failure rate, and the load that parents serve.
    fn update_source(&mut self, now: Time, observation: &Observation) {
        let plan = &observation.attempt.plan;
        let tier = self.tier_of(plan.source);
        let [_, longest_objective] = self.settings.latency_objectives();
        if !plan.has_source() {
            return;
        }
        let Some(server) = self.servers.get_mut(&plan.source) else {
            return;
        };
        if observation.expected_fill() {
            server.fills_in_flight = server.fills_in_flight.saturating_sub(1);
        }
        let is_filled = observation.is_filled();
        if is_filled || observation.is_rejected_fill() {
            let sample = if observation.is_rejected_fill() {
                REJECTION_LATENCY_OBJECTIVES * longest_objective
            } else {
                observation.latency
            };
            let before = server
                .recent_fill_latency(now)
                .unwrap_or(observation.latency);
            server
                .fill_latency
                .record(now, before, sample, SAMPLE_WEIGHT);
        }
        if is_filled && tier == Tier::Parent {
            self.load.parents.served.add(now, observation.attempt.load);
        }
        if is_filled || observation.counts_against_source() {
            let sample = if is_filled {
                HealthSample::Success
            } else {
                HealthSample::Failure
            };
            server
                .failures
                .record_outcome(now, sample, &mut self.tier_failure_rate[tier]);
        }
    }

    /// The gain of sibling queries.
    fn update_sibling_query_gain(&mut self, now: Time, observation: &Observation) {
        if observation.attempt.plan.sibling_query_timeout.is_none() {
            return;
        }
        let is_unsuccessful = observation.has_failed()
            || matches!(observation.outcome, Outcome::Overloaded | Outcome::Miss);
        let result = if observation.is_filled() {
            QueryResult::Filled {
                saved: self.upper_tier_latency(now) - observation.latency,
            }
        } else if is_unsuccessful {
            QueryResult::NotFilled {
                lost: observation.elapsed,
            }
        } else {
            return;
        };
        let [_, longest_objective] = self.settings.latency_objectives();
        self.sibling_query_gain.record(result, longest_objective);
    }

    /// The object table: a miss removes an entry, a response that is stored adds one.
    fn update_object_table(&mut self, now: Time, observation: &Observation) {
        let attempt = observation.attempt;
        let cache = attempt.plan.cache;
        let is_listed_there = self.object_table.holder(now, attempt.key) == Some(cache);
        if observation.outcome == Outcome::Miss && is_listed_there {
            self.object_table.remove(attempt.key);
        }
        let is_ready_own_cache = self.servers.get(&cache).is_some_and(|server| {
            server.member.state == MemberState::Ready
                && self.settings.tier(&server.member) == Tier::OwnCache
        });
        // A copy that was requested before a purge may be invalid.
        let may_be_invalid = self
            .purges
            .valid_from(now, attempt.key.object(), attempt.group)
            .is_some_and(|valid_from| valid_from > attempt.sent_at);
        let is_stored = observation.is_served() && attempt.is_cacheable;
        if is_stored && is_ready_own_cache && !may_be_invalid {
            self.object_table
                .insert(now, attempt.key, cache, attempt.group);
        }
    }
}
