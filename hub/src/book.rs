//! The book: all that is decided at a hub, under one lock, by `foldmux-hierarchy`'s node; beside it, where nodes are
//! and the bytes of each fetch that is under way.

use crate::flight::{Flight, Verdict};
use crate::tally::{add, Tally};
use foldmux_hierarchy::fill_path::FillPath;
use foldmux_hierarchy::health::AttemptOutcome;
use foldmux_hierarchy::in_flight::{
    Admission, AfterFailure, CollapseScope, FetchId, FetchKey, FetchLimits, FillContext, WaiterId,
};
use foldmux_hierarchy::node::{NoSource, Node, SourceChoice, SourceRequest};
use foldmux_hierarchy::tree::{NodeIndex, TreeVersion};
use foldmux_hierarchy::versions::{Applied, TopologyRejected};
use foldmux_hierarchy::TimestampUs;
use foldmux_operator::Hierarchy;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// One fetch, as its thread carries it from try to try.
#[derive(Clone)]
pub struct Fill {
    pub id: FetchId,
    pub key: FetchKey,
    pub path: String,
    pub via: String,
    pub way: FillPath,
    pub lane: CollapseScope,
    pub born_after: u64,
    /// Nodes that somebody tried for this fill in vain.
    pub past: Vec<String>,
    pub flight: Arc<Flight>,
}

/// Where a try goes, and where that is.
pub struct Target {
    pub choice: SourceChoice,
    pub address: SocketAddr,
}

pub struct Book {
    state: Mutex<State>,
}

struct State {
    node: Node,
    hierarchy: Hierarchy,
    flights: HashMap<FetchId, Arc<Flight>>,
}

/// A place in the ledger, and the bytes to wait for.
pub struct Waiting<'a> {
    book: &'a Book,
    wait: WaiterId,
    pub flight: Arc<Flight>,
}

impl Drop for Waiting<'_> {
    /// Guards against a fetch that goes on for nobody, and a place that is never given back.
    fn drop(&mut self) {
        self.book.leave(self.wait);
    }
}

pub enum Entry<'a> {
    /// A fetch is to be started, and waited for.
    Lead(FetchId, Waiting<'a>),
    Join(Waiting<'a>),
    Full,
}

fn paces(hierarchy: &Hierarchy) -> HashMap<Arc<str>, f64> {
    hierarchy
        .nodes
        .iter()
        .map(|(name, place)| (name.clone(), place.fills_per_s))
        .collect()
}

impl Book {
    pub fn new(
        me: &str,
        hierarchy: Hierarchy,
        limits: FetchLimits,
    ) -> Result<Book, TopologyRejected> {
        let (tree, overlap) = (hierarchy.tree.clone(), hierarchy.overlap_ms * 1_000);
        let node = Node::new(
            me,
            tree,
            overlap,
            limits,
            hierarchy.slow_start,
            paces(&hierarchy),
        )?;
        Ok(Book {
            state: Mutex::new(State {
                node,
                hierarchy,
                flights: HashMap::new(),
            }),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn stamp(&self) -> TreeVersion {
        self.state().node.current_tree().version()
    }

    /// Former trees held, fetches under way, those who wait, sources known.
    pub fn sizes(&self) -> [usize; 4] {
        let state = self.state();
        let ((former, sources), (fetches, waits)) =
            (state.node.sizes(), state.node.fetches().sizes());
        [former, fetches, waits, sources]
    }

    /// A new tree; nothing changes where it is refused.
    pub fn rewire(
        &self,
        now: TimestampUs,
        hierarchy: Hierarchy,
    ) -> Result<Applied, TopologyRejected> {
        let mut state = self.state();
        let taken = state
            .node
            .apply_tree(now, hierarchy.tree.clone(), paces(&hierarchy))?;
        if taken == Applied::New {
            // Addresses of nodes that only a former tree names stay until its fills are over.
            let mut nodes = std::mem::take(&mut state.hierarchy.nodes);
            nodes.extend(
                hierarchy
                    .nodes
                    .iter()
                    .map(|(name, place)| (name.clone(), *place)),
            );
            let formers: Vec<_> = state
                .node
                .versions()
                .usable_previous(now)
                .cloned()
                .collect();
            let known = |name: &str| hierarchy.tree.find(name).is_some();
            nodes.retain(|name, _| known(name) || formers.iter().any(|f| f.find(name).is_some()));
            state.hierarchy = Hierarchy { nodes, ..hierarchy };
        }
        Ok(taken)
    }

    pub fn want(
        &self,
        now: TimestampUs,
        key: FetchKey,
        arrival: FillContext,
        born_after: u64,
        until: TimestampUs,
    ) -> (Entry<'_>, CollapseScope) {
        let mut state = self.state();
        let (turn, lane) = state.node.request(now, key, arrival, born_after, until);
        let entry = match turn {
            Admission::Lead(id, wait) => {
                let flight = Arc::new(Flight::default());
                state.flights.insert(id, flight.clone());
                Entry::Lead(
                    id,
                    Waiting {
                        book: self,
                        wait,
                        flight,
                    },
                )
            }
            Admission::Follow(id, wait) => {
                let flight = state.flights[&id].clone();
                Entry::Join(Waiting {
                    book: self,
                    wait,
                    flight,
                })
            }
            Admission::Rejected => Entry::Full,
        };
        (entry, lane)
    }

    fn leave(&self, wait: WaiterId) {
        let mut state = self.state();
        let left = state
            .node
            .leave(wait)
            .and_then(|id| state.flights.remove(&id));
        drop(state);
        left.iter().for_each(|flight| flight.call_off());
    }

    /// Where a try of a fill goes; `tried` names the sources that this fetch has tried.
    pub fn choose(
        &self,
        now: TimestampUs,
        fill: &Fill,
        tried: &[Arc<str>],
        tally: &Tally,
    ) -> Result<Target, Verdict> {
        let mut state = self.state();
        let State {
            node, hierarchy, ..
        } = &mut *state;
        let passed: Vec<&str> = fill.way.visited_names(&hierarchy.domain).collect();
        let mut used: Vec<&str> = fill.past.iter().map(String::as_str).collect();
        used.extend(tried.iter().map(|name| &**name));
        let seeking = SourceRequest {
            object: fill.key.object,
            scope: fill.lane,
            passed: &passed,
            tried: &used,
        };
        let choice = node
            .select_source(now, &seeking)
            .map_err(|none| match none {
                NoSource::Loop => Verdict::Loop,
                NoSource::WarmingUp => Verdict::Full,
                NoSource::Exhausted => Verdict::Failed,
            })?;
        if choice.loop_avoided {
            add(&tally.loops_avoided);
        }
        (0..choice.held_back).for_each(|_| add(&tally.cold_held_back));
        let address = hierarchy
            .nodes
            .get(&choice.name)
            .and_then(|place| place.address);
        Ok(Target {
            address: address.ok_or(Verdict::Failed)?,
            choice,
        })
    }

    pub fn hear(
        &self,
        now: TimestampUs,
        unix_ms: u64,
        name: &Arc<str>,
        word: AttemptOutcome,
        since_ms: Option<u64>,
    ) {
        self.state()
            .node
            .record_attempt(now, unix_ms, name, word, since_ms);
    }

    /// A try failed: what is next for all who wait.
    pub fn failed(
        &self,
        now: TimestampUs,
        fill: &Fill,
        attempt: u32,
        verdict: Verdict,
    ) -> AfterFailure {
        let mut state = self.state();
        let next = state.node.fail(now, fill.id, attempt);
        match next {
            AfterFailure::Retry(attempt) => fill.flight.next(attempt),
            AfterFailure::GiveUp => {
                state.flights.remove(&fill.id);
                fill.flight.end(verdict);
            }
            AfterFailure::Stale => {}
        }
        next
    }

    /// How long somebody still waits for a fetch (us); none where nobody does.
    pub fn left(&self, now: TimestampUs, fill: &Fill) -> Option<TimestampUs> {
        self.state()
            .node
            .fetches()
            .latest_deadline(fill.id)?
            .checked_sub(now)
            .filter(|left| *left > 0)
    }

    /// Where a write goes: by its object's way, past the nodes that it has passed. One, and no other.
    pub fn first(&self, object: u64, way: &FillPath) -> Option<(SocketAddr, TreeVersion)> {
        let state = self.state();
        let tree = state.node.current_tree();
        let passed: Vec<NodeIndex> = way
            .visited_names(&state.hierarchy.domain)
            .filter_map(|name| tree.find(name))
            .collect();
        let me = state.node.versions().own_node(tree);
        let ix = *tree
            .next_hops(me, object, |ix| !passed.contains(&ix))
            .first()?;
        Some((
            state.hierarchy.nodes.get(tree.name(ix))?.address?,
            tree.version(),
        ))
    }

    pub fn beat(&self, now: TimestampUs, fill: &Fill, attempt: u32) {
        self.state().node.renew_lease(now, fill.id, attempt);
    }

    /// The fetch is over for all: its part is whole, or there is none.
    pub fn done(&self, fill: &Fill, attempt: u32, verdict: Option<Verdict>) -> bool {
        let mut state = self.state();
        let current = state.node.complete(fill.id, attempt);
        if current {
            state.flights.remove(&fill.id);
            verdict.iter().for_each(|verdict| fill.flight.end(*verdict));
        }
        current
    }

    /// Fetches whose thread died or hangs.
    pub fn lapsed(&self, now: TimestampUs) -> Vec<(FetchId, u32)> {
        self.state().node.expired_leases(now)
    }

    /// Former trees whose time is over are let go of; addresses that nothing here uses any more.
    pub fn look(&self, now: TimestampUs) -> Vec<SocketAddr> {
        let mut state = self.state();
        let State {
            node, hierarchy, ..
        } = &mut *state;
        let drained = node.expire(now);
        let addresses = drained
            .iter()
            .filter_map(|name| hierarchy.nodes.get(name)?.address)
            .collect();
        if node.sizes().0 == 0 {
            hierarchy
                .nodes
                .retain(|name, _| hierarchy.tree.find(name).is_some());
        }
        addresses
    }
}
