//! All decisions of one hub together: the trees that it uses, its fetches in flight, and the state of its sources. The hub
//! process and the simulator share this code.

mod select_source;

pub use select_source::{NoSource, SourceChoice, SourceRequest};

use crate::health::{AttemptOutcome, Health};
use crate::in_flight::{
    Admission, AfterFailure, CollapseScope, FetchId, FetchKey, FetchLimits, FetchRequest,
    FetchTable, FillContext, WaiterId,
};
use crate::slow_start::{NodeStart, SlowStart, SlowStartLimiter};
use crate::tree::Tree;
use crate::versions::{Applied, TopologyRejected, TopologyVersions};
use crate::TimestampUs;
use std::collections::HashMap;
use std::sync::Arc;

const US_PER_MS: u64 = 1_000;

/// What this node knows about a source.
#[derive(Default)]
struct Source {
    health: Health,
    /// When it last started, as reported by itself, in Unix time (ms); 0 if it has not reported it.
    started_unix_ms: u64,
    /// Created when the source is first selected. A source that has not reported its start counts as started at that time,
    /// as it may have started recently and must not be overloaded by the first fills.
    limiter: Option<SlowStartLimiter>,
}

impl Source {
    fn set_start(&mut self, at: TimestampUs) {
        if let Some(limiter) = &mut self.limiter {
            let start = NodeStart {
                at,
                ..limiter.start()
            };
            limiter.set_start(start);
        }
    }
}

/// Full rates of nodes by name, in fills per second. A node without an entry is not limited.
pub type FullRates = HashMap<Arc<str>, f64>;

/// The state that one hub decides by.
pub struct Node {
    versions: TopologyVersions,
    fetches: FetchTable,
    sources: HashMap<Arc<str>, Source>,
    full_rates: FullRates,
    slow_start: SlowStart,
}

impl Node {
    /// Creates the hub called `name`, with `tree` in service. A replaced tree may be used for `overlap_us`.
    ///
    /// # Errors
    ///
    /// Returns an error if the hub is not in the tree.
    pub fn new(
        name: &str,
        tree: Tree,
        overlap_us: u64,
        limits: FetchLimits,
        slow_start: SlowStart,
        full_rates: FullRates,
    ) -> Result<Node, TopologyRejected> {
        Ok(Node {
            versions: TopologyVersions::new(name, tree, overlap_us)?,
            fetches: FetchTable::new(limits),
            sources: HashMap::new(),
            full_rates,
            slow_start,
        })
    }

    /// The tree in service.
    pub fn current_tree(&self) -> &Arc<Tree> {
        self.versions.current()
    }

    /// The fetches in flight, and the requests that wait for them.
    pub fn fetches(&self) -> &FetchTable {
        &self.fetches
    }

    /// The trees in use.
    pub fn versions(&self) -> &TopologyVersions {
        &self.versions
    }

    /// The number of previous trees, and the number of sources with recorded state.
    pub fn sizes(&self) -> (usize, usize) {
        (self.versions.previous_count(), self.sources.len())
    }

    /// Puts a tree into service, and replaces the full rates with those of its configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the tree is rejected; then nothing changes.
    pub fn apply_tree(
        &mut self,
        now: TimestampUs,
        tree: Tree,
        full_rates: FullRates,
    ) -> Result<Applied, TopologyRejected> {
        let applied = self.versions.apply(now, tree)?;
        if applied == Applied::New {
            self.full_rates = full_rates;
        }
        Ok(applied)
    }

    /// Admits a request for a part that is not cached here, under the tree in service; see [`FetchTable::request`]. Also
    /// returns the scope in which the fill continues.
    pub fn request(
        &mut self,
        now: TimestampUs,
        key: FetchKey,
        context: FillContext,
        min_birth: u64,
        deadline: TimestampUs,
    ) -> (Admission, CollapseScope) {
        let version = self.current_tree().version();
        let request = FetchRequest {
            key,
            context,
            version,
            min_birth,
            deadline,
        };
        let admission = self.fetches.request(now, request);
        (admission, context.collapse_scope(version))
    }

    /// See [`FetchTable::leave`].
    pub fn leave(&mut self, waiter: WaiterId) -> Option<FetchId> {
        self.fetches.leave(waiter)
    }

    /// See [`FetchTable::renew_lease`].
    pub fn renew_lease(&mut self, now: TimestampUs, id: FetchId, attempt: u32) {
        self.fetches.renew_lease(now, id, attempt);
    }

    /// See [`FetchTable::complete`].
    pub fn complete(&mut self, id: FetchId, attempt: u32) -> bool {
        self.fetches.complete(id, attempt)
    }

    /// See [`FetchTable::fail`].
    pub fn fail(&mut self, now: TimestampUs, id: FetchId, attempt: u32) -> AfterFailure {
        self.fetches.fail(now, id, attempt)
    }

    /// See [`FetchTable::expired_leases`].
    pub fn expired_leases(&mut self, now: TimestampUs) -> Vec<(FetchId, u32)> {
        self.fetches.expired_leases(now)
    }

    /// Records the outcome of an attempt at a source. `unix_ms` is the current Unix time (ms), and `started_unix_ms` the time
    /// at which the source started, if it reported one.
    pub fn record_attempt(
        &mut self,
        now: TimestampUs,
        unix_ms: u64,
        name: &Arc<str>,
        outcome: AttemptOutcome,
        started_unix_ms: Option<u64>,
    ) {
        let source = self.sources.entry(name.clone()).or_default();
        source.health.record(now, outcome);
        let faulty = matches!(outcome, AttemptOutcome::Unreached | AttemptOutcome::Failed);
        if faulty {
            // The source may be restarting, so it counts as started now until it reports a start.
            source.started_unix_ms = 0;
            source.set_start(now);
        }
        let restarted = started_unix_ms.filter(|started| *started != source.started_unix_ms);
        if let Some(started) = restarted {
            source.started_unix_ms = started;
            let age_us = unix_ms.saturating_sub(started).saturating_mul(US_PER_MS);
            // A start before the origin of this node's clock would saturate to that origin, and a source past its ramp would
            // count as warming up. It is marked by 0 instead.
            let at = if age_us >= self.slow_start.ramp_us {
                0
            } else {
                now.saturating_sub(age_us).max(1)
            };
            source.set_start(at);
        }
    }

    /// Drops previous trees whose overlap has ended, and the state of sources that are in no tree any more. Returns the nodes
    /// that this one may not ask any more; see [`TopologyVersions::expire`].
    pub fn expire(&mut self, now: TimestampUs) -> Vec<Arc<str>> {
        let drained = self.versions.expire(now);
        if self.versions.previous_count() == 0 {
            let current = self.versions.current();
            self.sources.retain(|name, _| current.find(name).is_some());
        }
        drained
    }
}

#[cfg(test)]
mod tests;
