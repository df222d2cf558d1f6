//! A proposed tree, and why one can be rejected.

use super::{NodeKind, MAX_NAME_BYTES, MAX_NODES, MAX_PARENTS};
use std::fmt;

/// A proposed tree, not validated yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TreeDraft {
    /// Its number, from 1.
    pub epoch: u64,
    /// The epoch in service that it replaces, though its own number is lower.
    pub instead_of: Option<u64>,
    /// Locations may have the archive as a parent.
    pub skip_tiers: bool,
    /// All nodes, in any order.
    pub nodes: Vec<ProposedNode>,
}

/// One node of a draft.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProposedNode {
    /// 1 to [`MAX_NAME_BYTES`] lower-case letters, digits and inner hyphens.
    pub name: String,
    /// What it is.
    pub kind: NodeKind,
    /// In the order in which they are asked.
    pub parents: Vec<String>,
}

/// Why a tree is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TreeFault {
    /// The epoch is 0.
    EpochZero,
    /// There is no node.
    Empty,
    /// So many, over [`MAX_NODES`].
    TooManyNodes(usize),
    /// No valid name.
    Name(String),
    /// Two nodes have this name.
    Twice(String),
    /// Not one archive but these.
    Archives(Vec<String>),
    /// The root has parents.
    ArchiveHasParents(String),
    /// Another node than the archive has no parent.
    Parentless(String, NodeKind),
    /// So many, over [`MAX_PARENTS`].
    TooManyParents(String, usize),
    /// The node names this parent twice.
    ParentTwice(String, String),
    /// The node names a parent that is no node.
    Unknown(String, String),
    /// The node names a location as a parent.
    ParentIsLocation(String, String),
    /// A location has the archive as a parent, and the draft does not allow it.
    Skips(String),
    /// The node names the archive before other parents.
    ArchiveNotLast(String),
    /// A cycle, from a node by its parents back to itself.
    Cycle(Vec<String>),
}

impl TreeFault {
    /// The node that the fault is reported for, where there is one.
    pub fn node(&self) -> Option<&str> {
        match self {
            TreeFault::EpochZero | TreeFault::Empty | TreeFault::TooManyNodes(_) => None,
            TreeFault::Archives(names) | TreeFault::Cycle(names) => {
                names.first().map(String::as_str)
            }
            TreeFault::Name(node) | TreeFault::Twice(node) | TreeFault::ArchiveHasParents(node) => {
                Some(node)
            }
            TreeFault::Parentless(node, _)
            | TreeFault::TooManyParents(node, _)
            | TreeFault::ParentTwice(node, _) => Some(node),
            TreeFault::Unknown(node, _) | TreeFault::ParentIsLocation(node, _) => Some(node),
            TreeFault::Skips(node) | TreeFault::ArchiveNotLast(node) => Some(node),
        }
    }
}

impl std::error::Error for TreeFault {}

impl fmt::Display for TreeFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            TreeFault::EpochZero => write!(f, "the epoch must be 1 or more"),
            TreeFault::Empty => write!(f, "there is no node"),
            TreeFault::TooManyNodes(n) => write!(f, "{n} nodes, {MAX_NODES} at most"),
            TreeFault::Name(name) => write!(
                f,
                "{name:?} is no name: 1 to {MAX_NAME_BYTES} lower-case letters, digits and inner hyphens"
            ),
            TreeFault::Twice(name) => write!(f, "{name} is there twice"),
            TreeFault::Archives(names) if names.is_empty() => write!(f, "there is no archive"),
            TreeFault::Archives(names) => {
                write!(f, "{} archives ({}); there is one", names.len(), names.join(", "))
            }
            TreeFault::ArchiveHasParents(name) => write!(f, "the archive {name} has parents; it is the root"),
            TreeFault::Parentless(name, kind) => {
                write!(f, "{kind} {name} has no parent: it can't reach the archive")
            }
            TreeFault::TooManyParents(name, n) => write!(f, "{name} has {n} parents, {MAX_PARENTS} at most"),
            TreeFault::ParentTwice(name, parent) => write!(f, "{name} names its parent {parent} twice"),
            TreeFault::Unknown(name, parent) => write!(f, "{name} names the parent {parent}, which is no node"),
            TreeFault::ParentIsLocation(name, parent) => {
                write!(f, "{name} names the location {parent} as a parent; locations give no fills")
            }
            TreeFault::Skips(name) => write!(
                f,
                "location {name} names the archive as a parent, past all hubs; skip_tiers = True allows it"
            ),
            TreeFault::ArchiveNotLast(name) => {
                write!(f, "{name} names the archive before other parents; the archive comes last")
            }
            TreeFault::Cycle(names) => write!(f, "fills would go in a circle: {}", names.join(" -> ")),
        }
    }
}
