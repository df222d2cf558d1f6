//! The change of one node from one version of the tree to the next, while other nodes apply it at other times
//! (make before break).
//!
//! New fills use the new tree at once. A fill that began under a previous tree may finish under it until the overlap ends;
//! then the edges of that tree are drained. A tree that is not newer is rejected, unless it names the epoch in service as
//! the one that it replaces.

use crate::tree::{NodeIndex, Tree, TreeVersion};
use crate::TimestampUs;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

/// Maximum number of previous trees. When it is exceeded, the oldest one is dropped before its overlap ends.
pub const MAX_PREVIOUS_VERSIONS: usize = 4;

/// The effect of a tree that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The tree is in service now. The one that it replaced may be used until its overlap ends.
    New,
    /// The tree was in service already.
    Same,
}

/// The reason for which a tree is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TopologyRejected {
    /// The tree is older than the one in service, and does not name it as the one to replace.
    Older {
        /// The epoch of the rejected tree.
        proposed: u64,
        /// The epoch in service.
        present: u64,
    },
    /// The tree has the epoch in service, but a different digest.
    Conflict {
        /// The epoch of both trees.
        epoch: u64,
    },
    /// The tree names an epoch to replace that is not the one in service.
    NotInService {
        /// The epoch that the tree names.
        named: u64,
        /// The epoch in service.
        present: u64,
    },
    /// The tree does not contain this node, whose name is given.
    NodeMissing(String),
}

impl fmt::Display for TopologyRejected {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            TopologyRejected::Older { proposed, present } => write!(
                f,
                "epoch {proposed} is older than epoch {present} in service; set instead_of = {present} to apply it anyway"
            ),
            TopologyRejected::Conflict { epoch } => {
                write!(f, "epoch {epoch} is in service with another tree; a change needs a higher epoch")
            }
            TopologyRejected::NotInService { named, present } => {
                write!(f, "instead_of names epoch {named}, but epoch {present} is in service")
            }
            TopologyRejected::NodeMissing(name) => write!(f, "this node, {name}, is not in the tree"),
        }
    }
}

impl std::error::Error for TopologyRejected {}

struct PreviousVersion {
    tree: Arc<Tree>,
    /// The end of the overlap, by which its last fill must have ended.
    usable_until: TimestampUs,
}

/// The trees that one node uses: the one in service, and previous ones until their overlap ends.
pub struct TopologyVersions {
    node_name: String,
    current: Arc<Tree>,
    previous: VecDeque<PreviousVersion>,
    /// How long a replaced tree may be used by fills that began under it.
    overlap_us: u64,
}

impl TopologyVersions {
    /// Starts with `tree` in service and no previous trees. Each replaced tree may be used for `overlap_us`.
    ///
    /// # Errors
    ///
    /// Returns [`TopologyRejected::NodeMissing`] if the node is not in the tree.
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

    /// The index of this node in a tree that was accepted here.
    ///
    /// # Panics
    ///
    /// If this node is not in the tree, which is possible only for a tree that was not accepted here.
    pub fn own_node(&self, tree: &Tree) -> NodeIndex {
        tree.find(&self.node_name)
            .expect("an accepted tree contains this node")
    }

    /// Puts a tree into service. The same tree may be applied more than once, and trees may arrive in any order.
    ///
    /// # Errors
    ///
    /// Returns an error if the tree must not replace the one in service, which then stays.
    pub fn apply(&mut self, now: TimestampUs, tree: Tree) -> Result<Applied, TopologyRejected> {
        self.expire(now);
        if tree.version() == self.current.version() {
            return Ok(Applied::Same);
        }
        self.check(&tree)?;
        // A previous tree that returns to service is removed from the previous ones.
        self.previous
            .retain(|previous| previous.tree.version() != tree.version());
        let replaced = std::mem::replace(&mut self.current, Arc::new(tree));
        self.previous.push_back(PreviousVersion {
            tree: replaced,
            usable_until: now.saturating_add(self.overlap_us),
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
            // A rollback of another epoch than the one in service must not be applied.
            Some(named) if proposed <= present && named != present => {
                Err(TopologyRejected::NotInService { named, present })
            }
            None if proposed == present => Err(TopologyRejected::Conflict { epoch: proposed }),
            None if proposed < present => Err(TopologyRejected::Older { proposed, present }),
            _ => Ok(()),
        }
    }

    /// The tree of this version, if it is in service or may still be used.
    pub fn usable_version(&self, now: TimestampUs, version: TreeVersion) -> Option<&Arc<Tree>> {
        if self.current.version() == version {
            return Some(&self.current);
        }
        let usable = |previous: &&PreviousVersion| {
            previous.tree.version() == version && now < previous.usable_until
        };
        self.previous
            .iter()
            .find(usable)
            .map(|previous| &previous.tree)
    }

    /// Whether a tree allows this node to send fills to `source`.
    fn allows(&self, tree: &Tree, source: &str) -> bool {
        tree.find(source)
            .is_some_and(|source| tree.allows(self.own_node(tree), source))
    }

    /// Whether a fill that began here under `version` may use `source`: either the tree in service allows it, or the tree of
    /// that version does and may still be used.
    pub fn may_use(&self, now: TimestampUs, version: TreeVersion, source: &str) -> bool {
        let own_tree = self.usable_version(now, version);
        self.allows(&self.current, source) || own_tree.is_some_and(|tree| self.allows(tree, source))
    }

    /// Drops previous trees whose overlap has ended. Returns the nodes that no remaining tree allows as sources any more, so
    /// that connections to them can be closed.
    pub fn expire(&mut self, now: TimestampUs) -> Vec<Arc<str>> {
        let (expired, kept): (Vec<PreviousVersion>, Vec<PreviousVersion>) =
            std::mem::take(&mut self.previous)
                .into_iter()
                .partition(|previous| previous.usable_until <= now);
        self.previous = kept.into();
        let mut drained: Vec<Arc<str>> = Vec::new();
        for PreviousVersion { tree, .. } in expired {
            let own = self.own_node(&tree);
            for (source, node) in tree.nodes() {
                let name = &node.name;
                let not_allowed_now = tree.allows(own, source) && !self.allowed_by_any(name);
                if not_allowed_now && !drained.contains(name) {
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

    /// The previous trees that may still be used, most recent first.
    pub fn usable_previous(&self, now: TimestampUs) -> impl Iterator<Item = &Arc<Tree>> {
        self.previous
            .iter()
            .rev()
            .filter(move |previous| now < previous.usable_until)
            .map(|previous| &previous.tree)
    }

    /// The number of previous trees that have not been dropped.
    pub fn previous_count(&self) -> usize {
        self.previous.len()
    }
}

#[cfg(test)]
mod tests;
