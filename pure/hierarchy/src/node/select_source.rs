//! The selection of a source for the next attempt of a fetch.

use super::Node;
use crate::in_flight::CollapseScope;
use crate::slow_start::{NodeStart, SlowStartLimiter};
use crate::tree::{NodeIndex, NodeKind, Tree, TreeVersion};
use crate::TimestampUs;
use std::sync::Arc;

/// Work of one fill, in the unit of full rates.
const ONE_FILL: f64 = 1.0;

/// A fetch that needs a source.
#[derive(Clone, Copy, Debug)]
pub struct SourceRequest<'a> {
    /// Id of the object.
    pub object: u64,
    /// Which fills it may wait for.
    pub scope: CollapseScope,
    /// Nodes that the fill has passed.
    pub passed: &'a [&'a str],
    /// Nodes at which an attempt for it failed, at this node or at one before.
    pub tried: &'a [&'a str],
}

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceChoice {
    /// The source's name in the tree.
    pub name: Arc<str>,
    /// Whether it is the archive.
    pub archive: bool,
    /// Steps from there to the archive: it may take so many leases to respond.
    pub height: u8,
    /// The version of the tree that it was selected by.
    pub version: TreeVersion,
    /// The fill goes on uncollapsed: it must not wait at the source.
    pub uncollapsed: bool,
    /// The source is to give a cached copy only; a miss there says nothing of the object.
    pub only_if_cached: bool,
    /// A source that would have been first is on the fill's path.
    pub loop_avoided: bool,
    /// Sources passed over because their slow start allows no more.
    pub held_back: u32,
}

/// Why there is no source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoSource {
    /// All that are left are on the fill's path.
    Loop,
    /// All that are left are warming up, and their slow start allows no more.
    WarmingUp,
    /// All were tried.
    Exhausted,
}

/// The sources of an attempt, best first.
struct Candidates {
    tree: Arc<Tree>,
    own: NodeIndex,
    sources: Vec<NodeIndex>,
    uncollapsed: bool,
    loop_avoided: bool,
}

impl Node {
    /// The source of a fetch's next attempt.
    ///
    /// # Errors
    ///
    /// Where no source is left.
    pub fn select_source(
        &mut self,
        now: TimestampUs,
        request: &SourceRequest,
    ) -> Result<SourceChoice, NoSource> {
        let candidates = self.candidates(now, request)?;
        let Candidates { tree, own, .. } = &candidates;
        let mut held_back = 0;
        for source in &candidates.sources {
            let archive = tree.node(*source).kind == NodeKind::Archive;
            if archive {
                if let Some(choice) = self.previous_shield(now, &candidates, request) {
                    return Ok(choice);
                }
            }
            if !self.try_acquire(now, tree, *own, *source) {
                held_back += 1;
                continue;
            }
            return Ok(SourceChoice {
                name: tree.name(*source).clone(),
                archive,
                height: tree.height(*source),
                version: tree.version(),
                uncollapsed: candidates.uncollapsed,
                only_if_cached: false,
                loop_avoided: candidates.loop_avoided,
                held_back,
            });
        }
        Err(NoSource::WarmingUp)
    }

    /// A fill ends under the tree that it began under, while that may be used, as those who wait for it rely on its tree;
    /// after that it is uncollapsed, and uses the tree in service.
    fn tree_of(&self, now: TimestampUs, scope: CollapseScope) -> (Arc<Tree>, bool) {
        let own_tree = match scope {
            CollapseScope::Version(version) => self.versions.usable_version(now, version),
            CollapseScope::Uncollapsed => None,
        };
        let uncollapsed = own_tree.is_none();
        let tree = own_tree.unwrap_or_else(|| self.versions.current()).clone();
        (tree, uncollapsed)
    }

    fn candidates(
        &self,
        now: TimestampUs,
        request: &SourceRequest,
    ) -> Result<Candidates, NoSource> {
        let (tree, uncollapsed) = self.tree_of(now, request.scope);
        let own = self.versions.own_node(&tree);
        let indexes = |names: &[&str]| -> Vec<NodeIndex> {
            names.iter().filter_map(|name| tree.find(name)).collect()
        };
        let (passed, tried) = (indexes(request.passed), indexes(request.tried));
        let untried = |source: NodeIndex| !tried.contains(&source);
        let allowed = |source: NodeIndex| untried(source) && !passed.contains(&source);
        let healthy = |source: NodeIndex| {
            let is_archive = tree.node(source).kind == NodeKind::Archive;
            is_archive || self.is_healthy(now, tree.name(source))
        };
        let all = tree.next_hops(own, request.object, untried);
        let loop_avoided = all.first().is_some_and(|first| passed.contains(first));
        let mut sources = tree.next_hops(own, request.object, |source| {
            allowed(source) && healthy(source)
        });
        if sources.is_empty() {
            // An ejected source is better than none.
            sources = tree.next_hops(own, request.object, allowed);
        }
        match (sources.is_empty(), all.is_empty()) {
            (true, true) => Err(NoSource::Exhausted),
            (true, false) => Err(NoSource::Loop),
            (false, _) => Ok(Candidates {
                tree,
                own,
                sources,
                uncollapsed,
                loop_avoided,
            }),
        }
    }

    fn is_healthy(&self, now: TimestampUs, name: &str) -> bool {
        let source = self.sources.get(name);
        source.is_none_or(|source| source.health.is_healthy(now))
    }

    /// The hub that shielded the object under a previous tree that may still be used: it is asked for a cached copy before
    /// the archive is. Keeps a change of the tree from fetching all that moves from the archive once more. It does not
    /// forward the request, so that no loop can come of it.
    fn previous_shield(
        &mut self,
        now: TimestampUs,
        candidates: &Candidates,
        request: &SourceRequest,
    ) -> Option<SourceChoice> {
        let Candidates { tree, own, .. } = candidates;
        let shield = |previous: &Arc<Tree>| {
            let shield = previous.shield(request.object)?;
            Some(previous.name(shield).clone())
        };
        let shields: Vec<Arc<str>> = self
            .versions
            .usable_previous(now)
            .filter_map(shield)
            .collect();
        for name in shields {
            let used = request.passed.contains(&&*name) || request.tried.contains(&&*name);
            if used || !self.is_healthy(now, &name) {
                continue;
            }
            let Some(source) = tree.find(&name).filter(|source| source != own) else {
                continue;
            };
            // A request for a cached copy costs a hub that warms up as much as a fill.
            if self.try_acquire(now, tree, *own, source) {
                return Some(SourceChoice {
                    name,
                    archive: false,
                    height: 0,
                    version: tree.version(),
                    uncollapsed: true,
                    only_if_cached: true,
                    loop_avoided: candidates.loop_avoided,
                    held_back: 0,
                });
            }
        }
        None
    }

    /// Takes one fill from what a source's slow start allows. Keeps a hub that started lately from being overloaded by
    /// what a change of the tree sends to it.
    fn try_acquire(
        &mut self,
        now: TimestampUs,
        tree: &Tree,
        own: NodeIndex,
        source: NodeIndex,
    ) -> bool {
        let name = tree.name(source);
        let full_rate = self.full_rates.get(name).copied();
        let Some(full_rate) = full_rate.filter(|rate| *rate > 0.0) else {
            return true;
        };
        let slow_start = self.slow_start;
        let known = self.sources.entry(name.clone()).or_default();
        // All nodes derive the callers of a source, and so their turns, from the tree alike.
        let limiter = known.limiter.get_or_insert_with(|| {
            let start = NodeStart {
                at: now.max(1),
                full_rate,
            };
            let (turn, callers) = tree.caller_position(source, own);
            SlowStartLimiter::new(slow_start, start, turn, callers)
        });
        limiter.try_acquire(now, ONE_FILL)
    }
}
