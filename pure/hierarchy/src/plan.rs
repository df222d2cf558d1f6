//! What a rewiring would move: which nodes get other parents, and for how many objects fills take another way.

use crate::tree::{Kind, Tree};
use std::sync::Arc;

/// Objects that stand for all; ids are spread by hashing, so that any will do.
const SAMPLE: u64 = 8_192;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub name: Arc<str>,
    pub kind: Kind,
    pub before: Vec<Arc<str>>,
    pub after: Vec<Arc<str>>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub came: Vec<Arc<str>>,
    pub went: Vec<Arc<str>>,
    /// Nodes in both trees whose parents differ.
    pub rewired: Vec<Change>,
    /// Part of the objects that get another shield.
    pub shields_moved: f64,
    /// Part of (location, object) whose fills go by other hubs than before: what those hubs lack, they fetch.
    pub ways_moved: f64,
    /// Fetches from the archive that the change itself causes, a held object: one where its new shield is a hub
    /// that it had not, as long as the old one can't be asked.
    pub extra_fetches: f64,
}

/// The hubs that a fill passes from a node to the archive while all is well.
fn hubs_on_way(tree: &Tree, name: &str, object: u64) -> Vec<Arc<str>> {
    let mut hubs = Vec::new();
    let mut at = tree.find(name);
    while let Some(from) = at {
        at = tree
            .next(from, object, |_| true)
            .first()
            .copied()
            .filter(|to| *to != tree.archive());
        hubs.extend(at.map(|hub| tree.name(hub).clone()));
    }
    hubs
}

pub fn plan(old: &Tree, new: &Tree) -> Plan {
    let names = |tree: &Tree| {
        tree.nodes()
            .map(|(_, n)| n.name.clone())
            .collect::<Vec<_>>()
    };
    let parents = |tree: &Tree, name: &str| {
        let ix = tree
            .find(name)
            .map(|ix| tree.node(ix).parents.clone())
            .unwrap_or_default();
        ix.into_iter()
            .map(|p| tree.name(p).clone())
            .collect::<Vec<_>>()
    };
    let rewired = new
        .nodes()
        .filter(|(_, node)| old.find(&node.name).is_some())
        .map(|(_, node)| Change {
            name: node.name.clone(),
            kind: node.kind,
            before: parents(old, &node.name),
            after: parents(new, &node.name),
        })
        .filter(|change| change.before != change.after)
        .collect();
    let share = |n: u64, of: u64| if of == 0 { 0.0 } else { n as f64 / of as f64 };
    let shield = |tree: &Tree, object| tree.shield(object).map(|ix| tree.name(ix).clone());
    let moved = (0..SAMPLE)
        .filter(|o| shield(old, *o) != shield(new, *o))
        .count() as u64;
    let locations: Vec<Arc<str>> = new
        .of_kind(Kind::Location)
        .map(|(_, n)| n.name.clone())
        .filter(|name| old.find(name).is_some())
        .collect();
    // Fewer objects for each location where there are many: the figure needs no more.
    let each = (SAMPLE / locations.len().max(1) as u64).max(64);
    let other = |name: &Arc<str>, o: u64| hubs_on_way(old, name, o) != hubs_on_way(new, name, o);
    let ways = locations
        .iter()
        .map(|name| (0..each).filter(|o| other(name, *o)).count() as u64)
        .sum();
    Plan {
        came: names(new)
            .into_iter()
            .filter(|n| old.find(n).is_none())
            .collect(),
        went: names(old)
            .into_iter()
            .filter(|n| new.find(n).is_none())
            .collect(),
        rewired,
        shields_moved: share(moved, SAMPLE),
        ways_moved: share(ways, each * locations.len() as u64),
        extra_fetches: share(moved, SAMPLE),
    }
}

#[cfg(test)]
mod tests;
