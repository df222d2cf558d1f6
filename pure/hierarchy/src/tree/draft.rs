//! A tree as somebody proposes it, and what may be wrong with it.

use super::{Kind, NAME_MOST, NODES_MOST, PARENTS_MOST};
use std::fmt;

/// A tree as somebody proposes it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Draft {
    /// Its number, from 1.
    pub epoch: u64,
    /// The epoch in service that this takes the place of, though its own number is lower.
    pub instead_of: Option<u64>,
    /// Locations may have the archive as a parent.
    pub skip: bool,
    /// All nodes, in any order.
    pub nodes: Vec<Proposed>,
}

/// One node of a draft.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposed {
    /// 1 to [`NAME_MOST`] lower-case letters, digits and inner hyphens.
    pub name: String,
    /// What it is.
    pub kind: Kind,
    /// In the order in which they are asked.
    pub parents: Vec<String>,
}

/// Why a tree can't be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The epoch is 0.
    EpochZero,
    /// There is no node.
    Empty,
    /// So many, over [`NODES_MOST`].
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
    Parentless(String, Kind),
    /// So many, over [`PARENTS_MOST`].
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
    /// From a node by its parents back to itself.
    Cycle(Vec<String>),
}

impl Fault {
    /// The node that the fault is told of, where there is one.
    pub fn node(&self) -> Option<&str> {
        match self {
            Fault::EpochZero | Fault::Empty | Fault::TooManyNodes(_) => None,
            Fault::Archives(names) | Fault::Cycle(names) => names.first().map(String::as_str),
            Fault::Name(node) | Fault::Twice(node) | Fault::ArchiveHasParents(node) => Some(node),
            Fault::Parentless(node, _)
            | Fault::TooManyParents(node, _)
            | Fault::ParentTwice(node, _) => Some(node),
            Fault::Unknown(node, _) | Fault::ParentIsLocation(node, _) => Some(node),
            Fault::Skips(node) | Fault::ArchiveNotLast(node) => Some(node),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::EpochZero => write!(f, "the epoch must be 1 or more"),
            Fault::Empty => write!(f, "there is no node"),
            Fault::TooManyNodes(n) => write!(f, "{n} nodes, {NODES_MOST} at most"),
            Fault::Name(name) => write!(
                f,
                "{name:?} is no name: 1 to {NAME_MOST} lower-case letters, digits and inner hyphens"
            ),
            Fault::Twice(name) => write!(f, "{name} is there twice"),
            Fault::Archives(names) if names.is_empty() => write!(f, "there is no archive"),
            Fault::Archives(names) => {
                write!(f, "{} archives ({}); there is one", names.len(), names.join(", "))
            }
            Fault::ArchiveHasParents(name) => write!(f, "the archive {name} has parents; it is the root"),
            Fault::Parentless(name, kind) => {
                write!(f, "{kind} {name} has no parent: it can't reach the archive")
            }
            Fault::TooManyParents(name, n) => write!(f, "{name} has {n} parents, {PARENTS_MOST} at most"),
            Fault::ParentTwice(name, parent) => write!(f, "{name} names its parent {parent} twice"),
            Fault::Unknown(name, parent) => write!(f, "{name} names the parent {parent}, which is no node"),
            Fault::ParentIsLocation(name, parent) => {
                write!(f, "{name} names the location {parent} as a parent; locations give no fills")
            }
            Fault::Skips(name) => write!(
                f,
                "location {name} names the archive as a parent, past all hubs; skip_tiers = True allows it"
            ),
            Fault::ArchiveNotLast(name) => {
                write!(f, "{name} names the archive before other parents; the archive comes last")
            }
            Fault::Cycle(names) => write!(f, "fills would go in a circle: {}", names.join(" -> ")),
        }
    }
}
