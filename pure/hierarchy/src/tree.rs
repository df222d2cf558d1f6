//! One tree: its nodes, their ordered parents, and the checks without which no tree comes to be.

mod check;
mod draft;

pub use draft::{Draft, Fault, Proposed};

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// Most nodes of a tree.
pub const NODES_MOST: usize = 16_384;
/// Most parents of one node.
pub const PARENTS_MOST: usize = 8;
/// Longest name of a node: a label of a host name, as the way's header wants it.
pub const NAME_MOST: usize = 63;

/// A node's place in one tree; it means nothing in another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ix(pub u16);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Caches and edge proxies of one place; asks for fills and gives none.
    Location,
    /// Keeps copies and passes fills on.
    Hub,
    /// Holds everything; the one root.
    Archive,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Kind::Location => "location",
            Kind::Hub => "hub",
            Kind::Archive => "archive",
        })
    }
}

/// One node of a tree.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its name, unlike any other in the tree.
    pub name: Arc<str>,
    /// What it is.
    pub kind: Kind,
    /// In the order in which they are asked.
    pub parents: Vec<Ix>,
    /// Stands for the name where objects are hashed over nodes.
    pub(crate) seed: u64,
}

/// Which tree a fill was routed by: two trees never share one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Stamp {
    /// The tree's number.
    pub epoch: u64,
    /// Of its nodes and their parents.
    pub digest: u32,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}-{:08x}", self.epoch, self.digest)
    }
}

impl Stamp {
    /// Reads what `Display` writes.
    pub fn parse(text: &str) -> Option<Stamp> {
        let (epoch, digest) = text.split_once('-')?;
        let digits = |t: &str| !t.is_empty() && t.bytes().all(|b| b.is_ascii_hexdigit());
        if !digits(epoch) || !digits(digest) || digest.len() != 8 {
            return None;
        }
        Some(Stamp {
            epoch: epoch.parse().ok()?,
            digest: u32::from_str_radix(digest, 16).ok()?,
        })
    }
}

/// A tree that passed every check. It has no cycle, and each node reaches the archive.
#[derive(Clone, Debug)]
pub struct Tree {
    stamp: Stamp,
    instead_of: Option<u64>,
    nodes: Vec<Node>,
    archive: Ix,
    /// Hubs that ask the archive alone: an object's shield is one of them.
    tops: Vec<Ix>,
    /// Longest way to the archive, in steps, the one over a shield counted.
    heights: Vec<u8>,
    by_name: HashMap<Arc<str>, Ix>,
}

impl Tree {
    /// Number and digest.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// The tree's number.
    pub fn epoch(&self) -> u64 {
        self.stamp.epoch
    }

    /// The epoch in service that it takes the place of, though its own number is lower.
    pub fn instead_of(&self) -> Option<u64> {
        self.instead_of
    }

    /// The node of a name.
    pub fn find(&self, name: &str) -> Option<Ix> {
        self.by_name.get(name).copied()
    }

    /// The node at a place.
    pub fn node(&self, ix: Ix) -> &Node {
        &self.nodes[ix.0 as usize]
    }

    /// The name of the node at a place.
    pub fn name(&self, ix: Ix) -> &Arc<str> {
        &self.node(ix).name
    }

    /// The root.
    pub fn archive(&self) -> Ix {
        self.archive
    }

    /// Steps from a node to the archive, on the longest way that a fill may take while all is well.
    pub fn height(&self, ix: Ix) -> u8 {
        self.heights[ix.0 as usize]
    }

    /// The greatest height of any node.
    pub fn tallest(&self) -> u8 {
        self.heights.iter().copied().max().unwrap_or(0)
    }

    /// Hubs whose only parent is the archive.
    pub fn tops(&self) -> &[Ix] {
        &self.tops
    }

    /// All nodes, in the order of their names.
    pub fn nodes(&self) -> impl Iterator<Item = (Ix, &Node)> {
        self.nodes
            .iter()
            .enumerate()
            .map(|(at, node)| (Ix(at as u16), node))
    }

    /// The nodes of one kind.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = (Ix, &Node)> {
        self.nodes().filter(move |(_, node)| node.kind == kind)
    }

    /// The nodes that may ask this one: those that name it as a parent, and for a top hub all that go over a shield.
    pub fn callers(&self, ix: Ix) -> impl Iterator<Item = Ix> + '_ {
        self.nodes()
            .filter(move |(at, _)| self.allows(*at, ix))
            .map(|(at, _)| at)
    }

    /// A caller's place among all that may ask a node, and how many they are.
    pub fn turn(&self, ix: Ix, caller: Ix) -> (usize, usize) {
        let callers: Vec<Ix> = self.callers(ix).collect();
        (
            callers.iter().position(|c| *c == caller).unwrap_or(0),
            callers.len(),
        )
    }
}

#[cfg(test)]
mod tests;
