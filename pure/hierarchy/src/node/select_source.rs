//! The selection of a source for the next attempt of a fetch.

use super::Node;
use crate::in_flight::CollapseScope;
use crate::slow_start::{NodeStart, SlowStartLimiter};
use crate::tree::{NodeIndex, NodeKind, Tree, TreeVersion};
use crate::TimestampUs;
use std::sync::Arc;

/// Work of one fill, in the unit of [`super::FullRates`].
const ONE_FILL: f64 = 1.0;

/// A fetch that needs a source.
#[derive(Clone, Copy, Debug)]
pub struct SourceRequest<'a> {
    /// Id of the object.
    pub object: u64,
    /// The scope in which the fill continues.
    pub scope: CollapseScope,
    /// Names of the nodes that the fill has passed.
    pub passed: &'a [&'a str],
    /// Names of the nodes at which an attempt for it failed, made by this node or by an earlier one on its path.
    pub tried: &'a [&'a str],
}

/// The source that was selected for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceChoice {
    /// The source's name in the tree.
    pub name: Arc<str>,
    /// Whether the source is the archive.
    pub archive: bool,
    /// Hops from the source to the archive. A response may take as many leases.
    pub height: u8,
    /// The version of the tree by which the source was selected.
    pub version: TreeVersion,
    /// Whether the fill continues uncollapsed, and must not wait for other fills at the source.
    pub uncollapsed: bool,
    /// Whether the source may serve only a cached copy. A miss does not mean then that the object is missing.
    pub only_if_cached: bool,
    /// Whether the preferred source was left out because it is on the fill's path.
    pub loop_avoided: bool,
    /// Number of sources that were left out because their slow-start limit was reached.
    pub held_back: u32,
}

/// The reason for which there is no source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoSource {
    /// All untried sources are on the fill's path.
    Loop,
    /// All remaining sources are warming up, and their slow-start limits were reached.
    WarmingUp,
    /// All sources were tried.
    Exhausted,
}

/// The possible sources of an attempt.
struct Candidates {
    tree: Arc<Tree>,
    own: NodeIndex,
    /// In order of preference.
    sources: Vec<NodeIndex>,
    uncollapsed: bool,
    loop_avoided: bool,
}

impl Node {
    /// Selects the source of a fetch's next attempt, and takes one fill from that source's slow-start budget.
    ///
    /// # Errors
    ///
    /// Returns the reason if no source can be asked.
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

    /// The tree by which a fill is routed, and whether it is uncollapsed. While the tree that the fill began under may be
    /// used, the fill keeps to it, as the rule against cycles of waits relies on that. Afterwards the fill is uncollapsed
    /// and uses the tree in service.
    fn routing_tree(&self, now: TimestampUs, scope: CollapseScope) -> (Arc<Tree>, bool) {
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
        let (tree, uncollapsed) = self.routing_tree(now, request.scope);
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
        let all_untried = tree.next_hops(own, request.object, untried);
        let loop_avoided = all_untried
            .first()
            .is_some_and(|first| passed.contains(first));
        let mut sources = tree.next_hops(own, request.object, |source| {
            allowed(source) && healthy(source)
        });
        if sources.is_empty() {
            // Falls back to ejected sources if there is no healthy one.
            sources = tree.next_hops(own, request.object, allowed);
        }
        match (sources.is_empty(), all_untried.is_empty()) {
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

    /// Selects a hub that was the object's shield under a previous tree that may still be used, to ask it for a cached copy
    /// before the archive. Otherwise a change of the tree would cause another fetch from the archive for each object that
    /// gets another shield. That hub does not forward the request, so no loop can occur.
    fn previous_shield(
        &mut self,
        now: TimestampUs,
        candidates: &Candidates,
        request: &SourceRequest,
    ) -> Option<SourceChoice> {
        let Candidates { tree, own, .. } = candidates;
        let shield_name = |previous: &Arc<Tree>| {
            let shield = previous.shield(request.object)?;
            Some(previous.name(shield).clone())
        };
        let shields: Vec<Arc<str>> = self
            .versions
            .usable_previous(now)
            .filter_map(shield_name)
            .collect();
        for name in shields {
            let visited = request.passed.contains(&&*name) || request.tried.contains(&&*name);
            if visited || !self.is_healthy(now, &name) {
                continue;
            }
            let Some(source) = tree.find(&name).filter(|source| source != own) else {
                continue;
            };
            // A request for a cached copy costs a hub that is warming up as much as a fill.
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

    /// Takes one fill from the slow-start budget of a source, and returns whether it may be sent. Without this limit, a change
    /// of the tree could overload a recently started hub.
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
        let state = self.sources.entry(name.clone()).or_default();
        // All nodes derive the callers of a source, and so their turns, from the tree in the same way.
        let limiter = state.limiter.get_or_insert_with(|| {
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
