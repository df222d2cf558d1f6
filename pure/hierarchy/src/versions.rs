//! How one node goes from one version of the tree to the next, while others learn of it at other times: make before break.
//!
//! New fills use the new tree at once. A fill that began under a previous tree may end under it until the overlap is over,
//! and then that tree's edges are drained. A tree that is not newer is rejected, unless it names the one in service.

use crate::tree::{NodeIndex, Tree, TreeVersion};
use crate::TimestampUs;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

/// Previous trees at the most; before one more is added the oldest ends at once.
pub const MAX_PREVIOUS_VERSIONS: usize = 4;

/// What came of a tree that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is in service now; the one before may be used until its end.
    New,
    /// It is the one in service.
    Same,
}

/// Why a tree is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TopologyRejected {
    /// Not newer than the epoch in service, and not meant to replace it.
    Older {
        /// Its epoch.
        proposed: u64,
        /// The epoch in service.
        present: u64,
    },
    /// Another tree of the epoch that is in service.
    Conflict {
        /// The epoch of both.
        epoch: u64,
    },
    /// It names an epoch to replace that is not the one in service.
    NotInService {
        /// The epoch that it names.
        named: u64,
        /// The epoch in service.
        present: u64,
    },
    /// This node, by its name, is not in it.
    NodeMissing(String),
}

impl fmt::Display for TopologyRejected {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            TopologyRejected::Older { proposed, present } => write!(
                f,
                "epoch {proposed} is older than epoch {present} in service; instead_of = {present} takes it all the same"
            ),
            TopologyRejected::Conflict { epoch } => {
                write!(f, "epoch {epoch} is in service with another tree; a change needs a higher number")
            }
            TopologyRejected::NotInService { named, present } => {
                write!(f, "it is to take the place of epoch {named}, but epoch {present} is in service")
            }
            TopologyRejected::NodeMissing(name) => write!(f, "{name}, this node, is not in it"),
        }
    }
}

impl std::error::Error for TopologyRejected {}

struct PreviousVersion {
    tree: Arc<Tree>,
    /// When its last fill must have ended.
    until: TimestampUs,
}

/// The trees that one node uses: the current one, and previous ones until their fills are over.
pub struct TopologyVersions {
    node_name: String,
    current: Arc<Tree>,
    previous: VecDeque<PreviousVersion>,
    /// How long a fill may end under the tree that it began under.
    overlap_us: u64,
}

impl TopologyVersions {
    /// One tree, and none before it.
    ///
    /// # Errors
    ///
    /// Where the node is not in the tree.
    pub fn new(
        node_name: &str,
        tree: Tree,
        overlap_us: u64,
    ) -> Result<TopologyVersions, TopologyRejected> {
        if tree.find(node_name).is_none() {
            return Err(TopologyRejected::NodeMissing(node_name.to_string()));
        }
        Ok(TopologyVersions {
            node_name: node_name.to_string(),
            current: Arc::new(tree),
            previous: VecDeque::new(),
            overlap_us,
        })
    }

    /// The tree in service.
    pub fn current(&self) -> &Arc<Tree> {
        &self.current
    }

    /// This node in a tree that was accepted here.
    ///
    /// # Panics
    ///
    /// Where the tree was not accepted here, and this node is not in it.
    pub fn own_node(&self, tree: &Tree) -> NodeIndex {
        tree.find(&self.node_name)
            .expect("no tree without this node is accepted")
    }

    /// Puts a tree into service; it may arrive at any time, and more than once.
    ///
    /// # Errors
    ///
    /// Where it must not replace the one in service; nothing changes then.
    pub fn apply(&mut self, now: TimestampUs, tree: Tree) -> Result<Applied, TopologyRejected> {
        self.expire(now);
        if tree.version() == self.current.version() {
            return Ok(Applied::Same);
        }
        self.check(&tree)?;
        // A tree that returns to service while it is a previous one is no previous one any more.
        self.previous
            .retain(|previous| previous.tree.version() != tree.version());
        let replaced = std::mem::replace(&mut self.current, Arc::new(tree));
        self.previous.push_back(PreviousVersion {
            tree: replaced,
            until: now.saturating_add(self.overlap_us),
        });
        while self.previous.len() > MAX_PREVIOUS_VERSIONS {
            self.previous.pop_front();
        }
        Ok(Applied::New)
    }

    fn check(&self, tree: &Tree) -> Result<(), TopologyRejected> {
        if tree.find(&self.node_name).is_none() {
            return Err(TopologyRejected::NodeMissing(self.node_name.clone()));
        }
        let (proposed, present) = (tree.epoch(), self.current.epoch());
        match tree.instead_of() {
            // A step back that was meant for another state of things must not be taken.
            Some(named) if proposed <= present && named != present => {
                Err(TopologyRejected::NotInService { named, present })
            }
            None if proposed == present => Err(TopologyRejected::Conflict { epoch: proposed }),
            None if proposed < present => Err(TopologyRejected::Older { proposed, present }),
            _ => Ok(()),
        }
    }

    /// The tree that a fill began under, while it may still be used.
    pub fn usable_version(&self, now: TimestampUs, version: TreeVersion) -> Option<&Arc<Tree>> {
        if self.current.version() == version {
            return Some(&self.current);
        }
        let usable = |previous: &&PreviousVersion| {
            previous.tree.version() == version && now < previous.until
        };
        self.previous
            .iter()
            .find(usable)
            .map(|previous| &previous.tree)
    }

    /// Whether this node may ask another one under a tree.
    fn allows(&self, tree: &Tree, source: &str) -> bool {
        tree.find(source)
            .is_some_and(|source| tree.allows(self.own_node(tree), source))
    }

    /// Whether a fill that began here under `version` may use a node as its source: always by the tree in service, else by
    /// its own tree until that ends.
    pub fn may_use(&self, now: TimestampUs, version: TreeVersion, source: &str) -> bool {
        let own_tree = self.usable_version(now, version);
        self.allows(&self.current, source) || own_tree.is_some_and(|tree| self.allows(tree, source))
    }

    /// Drops previous trees whose time is over, and returns the nodes that this node may not ask any more under any tree,
    /// so that connections to them can be closed.
    pub fn expire(&mut self, now: TimestampUs) -> Vec<Arc<str>> {
        let (expired, kept): (Vec<PreviousVersion>, Vec<PreviousVersion>) =
            std::mem::take(&mut self.previous)
                .into_iter()
                .partition(|previous| previous.until <= now);
        self.previous = kept.into();
        let mut drained: Vec<Arc<str>> = Vec::new();
        for PreviousVersion { tree, .. } in expired {
            let own = self.own_node(&tree);
            for (source, node) in tree.nodes() {
                let name = &node.name;
                let lost = tree.allows(own, source) && !self.allowed_by_any(name);
                if lost && !drained.contains(name) {
                    drained.push(name.clone());
                }
            }
        }
        drained
    }

    fn allowed_by_any(&self, source: &str) -> bool {
        let mut previous = self.previous.iter();
        self.allows(&self.current, source)
            || previous.any(|previous| self.allows(&previous.tree, source))
    }

    /// Previous trees that may still be used, the latest first.
    pub fn usable_previous(&self, now: TimestampUs) -> impl Iterator<Item = &Arc<Tree>> {
        self.previous
            .iter()
            .rev()
            .filter(move |previous| now < previous.until)
            .map(|previous| &previous.tree)
    }

    /// Previous trees that have not been dropped.
    pub fn previous_count(&self) -> usize {
        self.previous.len()
    }
}

#[cfg(test)]
mod tests;
