//! The fill tree: nodes and their ordered parents. A [`Tree`] exists only once its draft was validated.

mod draft;
mod validate;

pub use draft::{ProposedNode, TreeDraft, TreeFault};

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// Nodes of a tree at the most.
pub const MAX_NODES: usize = 16_384;
/// Parents of one node at the most.
pub const MAX_PARENTS: usize = 8;
/// Longest name of a node: one label of a host name, as `CDN-Loop` requires.
pub const MAX_NAME_BYTES: usize = 63;

/// A node of one tree; it means nothing in another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeIndex(pub u16);

/// What a node of the tree is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeKind {
    /// Caches and edge proxies of one site; requests fills and serves none.
    Location,
    /// Caches copies and forwards fills.
    Hub,
    /// Holds everything; the one root.
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
    /// Its name, unlike any other in the tree.
    pub name: Arc<str>,
    /// What it is.
    pub kind: NodeKind,
    /// In the order in which they are asked.
    pub parents: Vec<NodeIndex>,
    /// Stands for the name where objects are hashed over nodes.
    pub(crate) seed: u64,
}

/// Which tree a fill was routed by. Two different trees never share a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TreeVersion {
    /// Its number; a newer tree has a higher one.
    pub epoch: u64,
    /// Digest of its nodes and their parents.
    pub digest: u32,
}

impl fmt::Display for TreeVersion {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}-{:08x}", self.epoch, self.digest)
    }
}

impl TreeVersion {
    /// Reads what `Display` writes.
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

/// A tree that passed every check. It has no cycle, and each node reaches the archive.
#[derive(Clone, Debug)]
pub struct Tree {
    version: TreeVersion,
    instead_of: Option<u64>,
    nodes: Vec<Node>,
    archive: NodeIndex,
    /// Hubs whose only parent is the archive: an object's shield is one of them.
    top_hubs: Vec<NodeIndex>,
    /// Steps of the longest path to the archive, the one over a shield included.
    heights: Vec<u8>,
    by_name: HashMap<Arc<str>, NodeIndex>,
}

impl Tree {
    /// Its number and digest.
    pub fn version(&self) -> TreeVersion {
        self.version
    }

    /// The tree's number.
    pub fn epoch(&self) -> u64 {
        self.version.epoch
    }

    /// The epoch in service that it replaces, though its own number is lower.
    pub fn instead_of(&self) -> Option<u64> {
        self.instead_of
    }

    /// The node of a name.
    pub fn find(&self, name: &str) -> Option<NodeIndex> {
        self.by_name.get(name).copied()
    }

    /// A node.
    ///
    /// # Panics
    ///
    /// Where the index is of another tree.
    pub fn node(&self, index: NodeIndex) -> &Node {
        &self.nodes[index.0 as usize]
    }

    /// The name of a node.
    pub fn name(&self, index: NodeIndex) -> &Arc<str> {
        &self.node(index).name
    }

    /// The root.
    pub fn archive(&self) -> NodeIndex {
        self.archive
    }

    /// Steps from a node to the archive, on the longest path that a fill takes while all sources are healthy.
    pub fn height(&self, index: NodeIndex) -> u8 {
        self.heights[index.0 as usize]
    }

    /// The greatest height of any node.
    pub fn max_height(&self) -> u8 {
        self.heights.iter().copied().max().unwrap_or(0)
    }

    /// Hubs whose only parent is the archive.
    pub fn top_hubs(&self) -> &[NodeIndex] {
        &self.top_hubs
    }

    /// All nodes, in the order of their names.
    pub fn nodes(&self) -> impl Iterator<Item = (NodeIndex, &Node)> {
        self.nodes
            .iter()
            .enumerate()
            .map(|(at, node)| (NodeIndex(at as u16), node))
    }

    /// The nodes of one kind.
    pub fn of_kind(&self, kind: NodeKind) -> impl Iterator<Item = (NodeIndex, &Node)> {
        self.nodes().filter(move |(_, node)| node.kind == kind)
    }

    /// The nodes that may ask this one: those that have it as a parent, and for a top hub all that may go over a shield.
    pub fn callers(&self, index: NodeIndex) -> impl Iterator<Item = NodeIndex> + '_ {
        self.nodes()
            .filter(move |(at, _)| self.allows(*at, index))
            .map(|(at, _)| at)
    }

    /// A caller's number among all that may ask a node, and how many they are.
    pub fn caller_turn(&self, index: NodeIndex, caller: NodeIndex) -> (usize, usize) {
        let callers: Vec<NodeIndex> = self.callers(index).collect();
        (
            callers.iter().position(|c| *c == caller).unwrap_or(0),
            callers.len(),
        )
    }
}

#[cfg(test)]
mod tests;
