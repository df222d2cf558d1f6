//! All decisions of one hub together: the trees that it uses, its fetches in flight, and what it knows of its sources. A
//! hub on sockets and one in a simulation decide by the same code.

mod select_source;

pub use select_source::{NoSource, SourceChoice, SourceRequest};

use crate::health::{AttemptOutcome, Health};
use crate::in_flight::{
    Admission, AfterFailure, CollapseScope, FetchId, FetchKey, FetchLimits, FetchRequest,
    FetchTable, FillOrigin, WaiterId,
};
use crate::slow_start::{NodeStart, SlowStart, SlowStartLimiter};
use crate::tree::Tree;
use crate::versions::{Applied, TopologyRejected, TopologyVersions};
use crate::TimestampUs;
use std::collections::HashMap;
use std::sync::Arc;

const US_PER_MS: u64 = 1_000;

/// What is known of a source.
#[derive(Default)]
struct Source {
    health: Health,
    /// When it last started by its own account, in Unix time (ms); 0 while it has not said.
    started_unix_ms: u64,
    /// A source that has not been heard of counts as started when it is first wanted: one that did start lately must not be
    /// overloaded by the first that is sent to it.
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

/// What is known of the nodes' full rates, in fills a second by name; a node that is not in it is not limited.
pub type FullRates = HashMap<Arc<str>, f64>;

/// All that one hub decides by.
pub struct Node {
    versions: TopologyVersions,
    fetches: FetchTable,
    sources: HashMap<Arc<str>, Source>,
    full_rates: FullRates,
    slow_start: SlowStart,
}

impl Node {
    /// The hub of that name. A previous tree may be used for `overlap_us`.
    ///
    /// # Errors
    ///
    /// Where the hub is not in the tree.
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

    /// Its fetches, and who waits for them.
    pub fn fetches(&self) -> &FetchTable {
        &self.fetches
    }

    /// The trees that it uses.
    pub fn versions(&self) -> &TopologyVersions {
        &self.versions
    }

    /// Previous trees, and sources that something is known of.
    pub fn sizes(&self) -> (usize, usize) {
        (self.versions.previous_count(), self.sources.len())
    }

    /// Puts a tree into service, with the full rates that come with it.
    ///
    /// # Errors
    ///
    /// Where the tree is rejected; nothing changes then.
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

    /// A part is requested that is not cached here: see [`FetchTable::request`]. With the scope in which the fill goes on.
    pub fn request(
        &mut self,
        now: TimestampUs,
        key: FetchKey,
        origin: FillOrigin,
        min_birth: u64,
        until: TimestampUs,
    ) -> (Admission, CollapseScope) {
        let version = self.current_tree().version();
        let request = FetchRequest {
            key,
            origin,
            version,
            min_birth,
            until,
        };
        let admission = self.fetches.request(now, request);
        (admission, origin.collapse_scope(version))
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

    /// Records an attempt at a source. `started_unix_ms`: when the source started, if it says so; `unix_ms`: now.
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
            // It may come back restarted: until it says when it started, it counts as started now.
            source.started_unix_ms = 0;
            source.set_start(now);
        }
        let restarted = started_unix_ms.filter(|started| *started != source.started_unix_ms);
        if let Some(started) = restarted {
            source.started_unix_ms = started;
            let age_us = unix_ms.saturating_sub(started).saturating_mul(US_PER_MS);
            // One that started before this node's clock must not count as started with it.
            let at = if age_us >= self.slow_start.ramp_us {
                0
            } else {
                now.saturating_sub(age_us).max(1)
            };
            source.set_start(at);
        }
    }

    /// Drops previous trees whose time is over, and what is known of nodes that no tree names. Returns the nodes that this
    /// one may not ask any more.
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
