//! The fill tree: nodes and their ordered parents. [`Tree::validate`] is the only way to construct a [`Tree`].

mod draft;
mod validate;

pub use draft::{ProposedNode, TreeDraft, TreeFault};

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// Maximum number of nodes in a tree.
pub const MAX_NODES: usize = 16_384;
/// Maximum number of parents of one node.
pub const MAX_PARENTS: usize = 8;
/// Maximum length of a node name: it must fit into one host name label, as node ids in `CDN-Loop` are host names.
pub const MAX_NAME_BYTES: usize = 63;

/// Index of a node in one [`Tree`]. It is not valid in any other tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeIndex(pub u16);

/// Kind of a node in the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeKind {
    /// The caches and edge proxies of one site. A location requests fills and serves none.
    Location,
    /// A cache that serves fills, and forwards those that it can't serve to its own sources.
    Hub,
    /// The origin, which holds all objects; the only root of the tree.
    Archive,
}

impl fmt::Display for NodeKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            NodeKind::Location => "location",
            NodeKind::Hub => "hub",
            NodeKind::Archive => "archive",
        })
    }
}

/// One node of a tree.
#[derive(Clone, Debug)]
pub struct Node {
    /// The node's name, unique in the tree.
    pub name: Arc<str>,
    /// The node's kind.
    pub kind: NodeKind,
    /// The node's parents, in order of preference.
    pub parents: Vec<NodeIndex>,
    /// Hash of the name, for rendezvous hashing of objects over nodes.
    pub(crate) seed: u64,
}

/// Identifies a tree. Trees with different nodes or parents have different versions, except for collisions of the digest
/// within one epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TreeVersion {
    /// The tree's number. A newer tree has a higher one, unless it replaces a tree by [`Tree::instead_of`].
    pub epoch: u64,
    /// Digest of the tree's nodes and their parents.
    pub digest: u32,
}

impl fmt::Display for TreeVersion {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}-{:08x}", self.epoch, self.digest)
    }
}

impl TreeVersion {
    /// Parses the output of `Display`: the epoch in decimal, a hyphen, and eight hex digits of the digest.
    pub fn parse(text: &str) -> Option<TreeVersion> {
        let (epoch, digest) = text.split_once('-')?;
        let digits = |t: &str| !t.is_empty() && t.bytes().all(|b| b.is_ascii_hexdigit());
        if !digits(epoch) || !digits(digest) || digest.len() != 8 {
            return None;
        }
        Some(TreeVersion {
            epoch: epoch.parse().ok()?,
            digest: u32::from_str_radix(digest, 16).ok()?,
        })
    }
}

/// A validated tree. It has no cycle, and the archive is reachable from each node.
#[derive(Clone, Debug)]
pub struct Tree {
    version: TreeVersion,
    instead_of: Option<u64>,
    nodes: Vec<Node>,
    archive: NodeIndex,
    /// Hubs whose only parent is the archive. The shield of an object is one of them.
    top_hubs: Vec<NodeIndex>,
    /// Hops of the longest path from each node to the archive, including the detour over a shield.
    heights: Vec<u8>,
    by_name: HashMap<Arc<str>, NodeIndex>,
}

impl Tree {
    /// The tree's epoch and digest.
    pub fn version(&self) -> TreeVersion {
        self.version
    }

    /// The tree's number.
    pub fn epoch(&self) -> u64 {
        self.version.epoch
    }

    /// The epoch in service that this tree may replace although its own number is not higher.
    pub fn instead_of(&self) -> Option<u64> {
        self.instead_of
    }

    /// The index of the node with this name.
    pub fn find(&self, name: &str) -> Option<NodeIndex> {
        self.by_name.get(name).copied()
    }

    /// The node at this index.
    ///
    /// # Panics
    ///
    /// If the index is out of range, as that of another tree may be.
    pub fn node(&self, index: NodeIndex) -> &Node {
        &self.nodes[index.0 as usize]
    }

    /// The name of the node at this index.
    ///
    /// # Panics
    ///
    /// If the index is out of range, as that of another tree may be.
    pub fn name(&self, index: NodeIndex) -> &Arc<str> {
        &self.node(index).name
    }

    /// The archive, which is the root of the tree.
    pub fn archive(&self) -> NodeIndex {
        self.archive
    }

    /// Hops from a node to the archive, on the longest path that a fill takes while all sources are healthy.
    ///
    /// # Panics
    ///
    /// If the index is out of range, as that of another tree may be.
    pub fn height(&self, index: NodeIndex) -> u8 {
        self.heights[index.0 as usize]
    }

    /// The largest height of any node.
    pub fn max_height(&self) -> u8 {
        self.heights.iter().copied().max().unwrap_or(0)
    }

    /// The hubs whose only parent is the archive.
    pub fn top_hubs(&self) -> &[NodeIndex] {
        &self.top_hubs
    }

    /// All nodes, sorted by name.
    pub fn nodes(&self) -> impl Iterator<Item = (NodeIndex, &Node)> {
        self.nodes
            .iter()
            .enumerate()
            .map(|(position, node)| (NodeIndex(position as u16), node))
    }

    /// The nodes of one kind, sorted by name.
    pub fn of_kind(&self, kind: NodeKind) -> impl Iterator<Item = (NodeIndex, &Node)> {
        self.nodes().filter(move |(_, node)| node.kind == kind)
    }

    /// The nodes that may send fills to this one: those that have it as a parent and, for a top hub, all that may use a
    /// shield. Sorted by name.
    pub fn callers(&self, index: NodeIndex) -> impl Iterator<Item = NodeIndex> + '_ {
        self.nodes()
            .filter(move |(from, _)| self.allows(*from, index))
            .map(|(from, _)| from)
    }

    /// The position of `caller` among the [`Tree::callers`] of a node, and the number of these callers.
    pub fn caller_position(&self, index: NodeIndex, caller: NodeIndex) -> (usize, usize) {
        let callers: Vec<NodeIndex> = self.callers(index).collect();
        (
            callers.iter().position(|c| *c == caller).unwrap_or(0),
            callers.len(),
        )
    }
}

#[cfg(test)]
mod tests;
