//! The effects of a change of the tree: the nodes whose parents change, and the objects whose fills take another path.

use crate::tree::{NodeKind, Tree};
use std::sync::Arc;

/// Number of sampled objects. Ids are hashed, so consecutive ones are a fair sample.
const SAMPLED_OBJECTS: u64 = 8_192;

/// Minimum number of objects that are sampled for each location.
const MIN_OBJECTS_PER_LOCATION: u64 = 64;

/// A node whose parents change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParentChange {
    /// The node's name.
    pub name: Arc<str>,
    /// The node's kind.
    pub kind: NodeKind,
    /// The node's parents in the old tree.
    pub before: Vec<Arc<str>>,
    /// The node's parents in the new tree.
    pub after: Vec<Arc<str>>,
}

/// The effects of a change of the tree.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Nodes that are only in the new tree.
    pub added: Vec<Arc<str>>,
    /// Nodes that are only in the old tree.
    pub removed: Vec<Arc<str>>,
    /// Nodes in both trees whose parents differ.
    pub reparented: Vec<ParentChange>,
    /// Fraction of the objects that get another shield, from 0 to 1.
    pub shields_moved: f64,
    /// Fraction of the pairs of location and object whose fills pass other hubs than before, from 0 to 1.
    pub paths_moved: f64,
    /// Upper bound on the fetches from the archive that the change causes per cached object: one for each object that gets
    /// another shield and whose old shield can't be asked.
    pub extra_fetches: f64,
}

/// The hubs that a fill passes from a node to the archive while all sources are healthy.
fn hubs_on_path(tree: &Tree, name: &str, object: u64) -> Vec<Arc<str>> {
    let mut hubs = Vec::new();
    let mut at = tree.find(name);
    while let Some(from) = at {
        at = tree
            .next_hops(from, object, |_| true)
            .first()
            .copied()
            .filter(|to| *to != tree.archive());
        hubs.extend(at.map(|hub| tree.name(hub).clone()));
    }
    hubs
}

/// Compares two trees. The fractions are estimates from sampled objects.
pub fn plan(old: &Tree, new: &Tree) -> Plan {
    let names = |tree: &Tree| {
        tree.nodes()
            .map(|(_, n)| n.name.clone())
            .collect::<Vec<_>>()
    };
    let parents = |tree: &Tree, name: &str| {
        let indexes = tree
            .find(name)
            .map(|index| tree.node(index).parents.clone())
            .unwrap_or_default();
        indexes
            .into_iter()
            .map(|p| tree.name(p).clone())
            .collect::<Vec<_>>()
    };
    let reparented = new
        .nodes()
        .filter(|(_, node)| old.find(&node.name).is_some())
        .map(|(_, node)| ParentChange {
            name: node.name.clone(),
            kind: node.kind,
            before: parents(old, &node.name),
            after: parents(new, &node.name),
        })
        .filter(|change| change.before != change.after)
        .collect();
    let fraction = |n: u64, of: u64| if of == 0 { 0.0 } else { n as f64 / of as f64 };
    let shield = |tree: &Tree, object| tree.shield(object).map(|index| tree.name(index).clone());
    let moved_shields = (0..SAMPLED_OBJECTS)
        .filter(|o| shield(old, *o) != shield(new, *o))
        .count() as u64;
    let locations: Vec<Arc<str>> = new
        .of_kind(NodeKind::Location)
        .map(|(_, n)| n.name.clone())
        .filter(|name| old.find(name).is_some())
        .collect();
    // With many locations fewer objects of each are enough for the estimate.
    let objects_per_location =
        (SAMPLED_OBJECTS / locations.len().max(1) as u64).max(MIN_OBJECTS_PER_LOCATION);
    let path_moved =
        |name: &Arc<str>, o: u64| hubs_on_path(old, name, o) != hubs_on_path(new, name, o);
    let moved_paths: u64 = locations
        .iter()
        .map(|name| {
            (0..objects_per_location)
                .filter(|o| path_moved(name, *o))
                .count() as u64
        })
        .sum();
    Plan {
        added: names(new)
            .into_iter()
            .filter(|n| old.find(n).is_none())
            .collect(),
        removed: names(old)
            .into_iter()
            .filter(|n| new.find(n).is_none())
            .collect(),
        reparented,
        shields_moved: fraction(moved_shields, SAMPLED_OBJECTS),
        paths_moved: fraction(moved_paths, objects_per_location * locations.len() as u64),
        extra_fetches: fraction(moved_shields, SAMPLED_OBJECTS),
    }
}

#[cfg(test)]
mod tests;
