//! A proposed tree, and the reasons for which one is rejected.

use super::{NodeKind, MAX_NAME_BYTES, MAX_NODES, MAX_PARENTS};
use std::fmt;

/// A proposed tree, not validated yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TreeDraft {
    /// The tree's number, from 1.
    pub epoch: u64,
    /// The epoch in service that this tree may replace although its own number is not higher.
    pub instead_of: Option<u64>,
    /// Whether locations may have the archive as a parent.
    pub skip_tiers: bool,
    /// All nodes, in any order.
    pub nodes: Vec<ProposedNode>,
}

/// One node of a draft.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProposedNode {
    /// The node's name: 1 to [`MAX_NAME_BYTES`] lower-case letters, digits and inner hyphens.
    pub name: String,
    /// The node's kind.
    pub kind: NodeKind,
    /// Names of the node's parents, in order of preference.
    pub parents: Vec<String>,
}

/// A reason for which a draft is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TreeFault {
    /// The epoch is 0.
    EpochZero,
    /// The draft has no nodes.
    Empty,
    /// The draft has this many nodes, more than [`MAX_NODES`].
    TooManyNodes(usize),
    /// This is not a valid node name.
    InvalidName(String),
    /// Two nodes have this name.
    DuplicateName(String),
    /// The draft has no archive, or several: these.
    NotOneArchive(Vec<String>),
    /// The archive has parents.
    ArchiveHasParents(String),
    /// A node that is not the archive has no parent.
    NoParent(String, NodeKind),
    /// The node has this many parents, more than [`MAX_PARENTS`].
    TooManyParents(String, usize),
    /// The node names this parent twice.
    DuplicateParent(String, String),
    /// The node names a parent that is not in the draft.
    UnknownParent(String, String),
    /// The node names a location as a parent.
    ParentIsLocation(String, String),
    /// A location has the archive as a parent, and [`TreeDraft::skip_tiers`] is not set.
    SkipsHubs(String),
    /// The node names the archive before another parent.
    ArchiveNotLast(String),
    /// A cycle of parents: the path from a node back to itself, with that node at both ends.
    Cycle(Vec<String>),
}

impl TreeFault {
    /// The node that the fault concerns, if it concerns one. Its name can be used to locate the fault in the source of the
    /// draft.
    pub fn node(&self) -> Option<&str> {
        match self {
            TreeFault::EpochZero | TreeFault::Empty | TreeFault::TooManyNodes(_) => None,
            TreeFault::NotOneArchive(names) | TreeFault::Cycle(names) => {
                names.first().map(String::as_str)
            }
            TreeFault::InvalidName(node)
            | TreeFault::DuplicateName(node)
            | TreeFault::ArchiveHasParents(node) => Some(node),
            TreeFault::NoParent(node, _)
            | TreeFault::TooManyParents(node, _)
            | TreeFault::DuplicateParent(node, _) => Some(node),
            TreeFault::UnknownParent(node, _) | TreeFault::ParentIsLocation(node, _) => Some(node),
            TreeFault::SkipsHubs(node) | TreeFault::ArchiveNotLast(node) => Some(node),
        }
    }
}

impl std::error::Error for TreeFault {}

impl fmt::Display for TreeFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            TreeFault::EpochZero => write!(f, "the epoch must be 1 or more"),
            TreeFault::Empty => write!(f, "the tree has no nodes"),
            TreeFault::TooManyNodes(n) => write!(f, "the tree has {n} nodes; the maximum is {MAX_NODES}"),
            TreeFault::InvalidName(name) => write!(
                f,
                "{name:?} is not a valid node name: it must have 1 to {MAX_NAME_BYTES} lower-case letters, digits and inner hyphens"
            ),
            TreeFault::DuplicateName(name) => write!(f, "node {name} is declared twice"),
            TreeFault::NotOneArchive(names) if names.is_empty() => write!(f, "the tree has no archive"),
            TreeFault::NotOneArchive(names) => {
                write!(f, "the tree has {} archives ({}); it must have exactly one", names.len(), names.join(", "))
            }
            TreeFault::ArchiveHasParents(name) => write!(f, "the archive {name} has parents; it must be the root"),
            TreeFault::NoParent(name, kind) => {
                write!(f, "{kind} {name} has no parent and can't reach the archive")
            }
            TreeFault::TooManyParents(name, n) => write!(f, "{name} has {n} parents; the maximum is {MAX_PARENTS}"),
            TreeFault::DuplicateParent(name, parent) => write!(f, "{name} names the parent {parent} twice"),
            TreeFault::UnknownParent(name, parent) => write!(f, "{name} names the parent {parent}, which is not in the tree"),
            TreeFault::ParentIsLocation(name, parent) => {
                write!(f, "{name} names the location {parent} as a parent; locations serve no fills")
            }
            TreeFault::SkipsHubs(name) => write!(
                f,
                "location {name} names the archive as a parent, which bypasses all hubs; skip_tiers = True allows it"
            ),
            TreeFault::ArchiveNotLast(name) => {
                write!(f, "{name} names the archive before another parent; the archive must be the last parent")
            }
            TreeFault::Cycle(names) => write!(f, "the parents form a cycle: {}", names.join(" -> ")),
        }
    }
}
