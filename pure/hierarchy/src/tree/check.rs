//! The checks that make a tree of a draft.

use super::{
    Draft, Fault, Ix, Kind, Node, Proposed, Stamp, Tree, NAME_MOST, NODES_MOST, PARENTS_MOST,
};
use crate::mix;
use std::collections::HashMap;
use std::sync::Arc;

/// The nodes' places by their names.
type ByName = HashMap<Arc<str>, Ix>;

impl Tree {
    /// The tree, or all that is wrong with the draft, in the order of its nodes.
    pub fn check(draft: &Draft) -> Result<Tree, Vec<Fault>> {
        let mut faults = Vec::new();
        if draft.epoch == 0 {
            faults.push(Fault::EpochZero);
        }
        if draft.nodes.is_empty() {
            faults.push(Fault::Empty);
        }
        if draft.nodes.len() > NODES_MOST {
            // Nothing more is looked at: the draft may be without bounds.
            return Err(vec![Fault::TooManyNodes(draft.nodes.len())]);
        }
        // Nodes stand in the order of their names: the same tree is the same however it was written down.
        let mut sorted: Vec<&Proposed> = draft.nodes.iter().collect();
        sorted.sort_by(|a, b| a.name.cmp(&b.name));
        let by_name = index_by_name(&sorted, &mut faults);
        for proposed in &draft.nodes {
            check_node(draft, proposed, &by_name, &sorted, &mut faults);
        }
        let archives: Vec<&Proposed> = draft
            .nodes
            .iter()
            .filter(|n| n.kind == Kind::Archive)
            .collect();
        if archives.len() != 1 && !draft.nodes.is_empty() {
            faults.push(Fault::Archives(
                archives.iter().map(|n| n.name.clone()).collect(),
            ));
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        let archive = by_name[archives[0].name.as_str()];
        let nodes = resolve_parents(&sorted, &by_name);
        let order = parents_first(&nodes).map_err(|circle| {
            let names = circle
                .iter()
                .map(|ix| nodes[ix.0 as usize].name.to_string())
                .collect();
            vec![Fault::Cycle(names)]
        })?;
        let tops = top_hubs(&nodes, archive);
        let heights = heights(&nodes, archive, &order);
        let stamp = Stamp {
            epoch: draft.epoch,
            digest: digest(&nodes),
        };
        Ok(Tree {
            stamp,
            instead_of: draft.instead_of,
            nodes,
            archive,
            tops,
            heights,
            by_name,
        })
    }
}

fn index_by_name(sorted: &[&Proposed], faults: &mut Vec<Fault>) -> ByName {
    let mut by_name: ByName = HashMap::with_capacity(sorted.len());
    for (at, proposed) in sorted.iter().enumerate() {
        if by_name
            .insert(proposed.name.as_str().into(), Ix(at as u16))
            .is_some()
        {
            faults.push(Fault::Twice(proposed.name.clone()));
        }
    }
    by_name
}

fn resolve_parents(sorted: &[&Proposed], by_name: &ByName) -> Vec<Node> {
    let node = |p: &&Proposed| Node {
        name: p.name.as_str().into(),
        kind: p.kind,
        parents: p
            .parents
            .iter()
            .map(|parent| by_name[parent.as_str()])
            .collect(),
        seed: hash(p.name.bytes()),
    };
    sorted.iter().map(node).collect()
}

/// Hubs whose only parent is the archive.
fn top_hubs(nodes: &[Node], archive: Ix) -> Vec<Ix> {
    let top = |ix: &Ix| {
        nodes[ix.0 as usize].kind == Kind::Hub && nodes[ix.0 as usize].parents == [archive]
    };
    (0..nodes.len() as u16).map(Ix).filter(top).collect()
}

/// Longest way of each node to the archive, in steps, the one over a shield counted.
fn heights(nodes: &[Node], archive: Ix, order: &[Ix]) -> Vec<u8> {
    let mut heights = vec![0u8; nodes.len()];
    for ix in order {
        let node = &nodes[ix.0 as usize];
        let above = node.parents.iter().map(|p| heights[p.0 as usize]).max();
        let over_shield = node.kind == Kind::Hub && node.parents.last() == Some(&archive);
        let least = if over_shield { 2 } else { 0 };
        heights[ix.0 as usize] = above.map_or(0, |h| h.saturating_add(1)).max(least);
    }
    heights
}

/// What can be said of one node by itself and its parents' names.
fn check_node(
    draft: &Draft,
    proposed: &Proposed,
    by_name: &ByName,
    sorted: &[&Proposed],
    faults: &mut Vec<Fault>,
) {
    let Proposed {
        name,
        kind,
        parents,
    } = proposed;
    if !valid_name(name) {
        faults.push(Fault::Name(name.clone()));
    }
    match (kind, parents.len()) {
        (Kind::Archive, 0) => {}
        (Kind::Archive, _) => faults.push(Fault::ArchiveHasParents(name.clone())),
        (_, 0) => faults.push(Fault::Parentless(name.clone(), *kind)),
        (_, n) if n > PARENTS_MOST => faults.push(Fault::TooManyParents(name.clone(), n)),
        _ => {}
    }
    for (at, parent) in parents.iter().enumerate() {
        let Some(ix) = by_name.get(parent.as_str()) else {
            faults.push(Fault::Unknown(name.clone(), parent.clone()));
            continue;
        };
        if parents[..at].contains(parent) {
            faults.push(Fault::ParentTwice(name.clone(), parent.clone()));
        }
        match sorted[ix.0 as usize].kind {
            Kind::Location => faults.push(Fault::ParentIsLocation(name.clone(), parent.clone())),
            Kind::Archive if *kind == Kind::Location && !draft.skip => {
                faults.push(Fault::Skips(name.clone()))
            }
            // Guards against a hub that has the archive first and a lower hub behind it: the way over the shield
            // and back down would be a circle that no list of parents shows.
            Kind::Archive if at + 1 < parents.len() => {
                faults.push(Fault::ArchiveNotLast(name.clone()))
            }
            _ => {}
        }
    }
}

fn valid_name(name: &str) -> bool {
    let inner = name
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
    inner
        && !name.is_empty()
        && name.len() <= NAME_MOST
        && !name.starts_with('-')
        && !name.ends_with('-')
}

/// All nodes, each after its parents; or a circle of parents, from a node back to itself. All parents count, as each
/// may be used.
fn parents_first(nodes: &[Node]) -> Result<Vec<Ix>, Vec<Ix>> {
    #[derive(Clone, Copy, PartialEq)]
    enum Seen {
        No,
        Open,
        Done,
    }
    let mut seen = vec![Seen::No; nodes.len()];
    let mut order = Vec::with_capacity(nodes.len());
    for start in 0..nodes.len() as u16 {
        // The nodes on the way, each with the number of its parents that were looked at. No recursion: a chain
        // may be as long as the tree.
        let mut path: Vec<(Ix, usize)> = Vec::new();
        if seen[start as usize] == Seen::No {
            seen[start as usize] = Seen::Open;
            path.push((Ix(start), 0));
        }
        while let Some((at, next)) = path.last_mut() {
            let Some(&parent) = nodes[at.0 as usize].parents.get(*next) else {
                seen[at.0 as usize] = Seen::Done;
                order.push(*at);
                path.pop();
                continue;
            };
            *next += 1;
            match seen[parent.0 as usize] {
                Seen::Done => {}
                Seen::No => {
                    seen[parent.0 as usize] = Seen::Open;
                    path.push((parent, 0));
                }
                Seen::Open => {
                    let from = path.iter().position(|(ix, _)| *ix == parent).unwrap_or(0);
                    let mut circle: Vec<Ix> = path[from..].iter().map(|(ix, _)| *ix).collect();
                    circle.push(parent);
                    return Err(circle);
                }
            }
        }
    }
    Ok(order)
}

/// FNV-1a, spread: for placing, not for secrets.
fn hash(bytes: impl Iterator<Item = u8>) -> u64 {
    mix(bytes.fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ b as u64).wrapping_mul(0x100_0000_01b3)
    }))
}

/// Guards against two trees under one number, told to two nodes: their fills must not be taken for each other's.
fn digest(nodes: &[Node]) -> u32 {
    let mut digest = 0;
    for node in nodes {
        digest = mix(digest ^ node.seed ^ node.kind as u64);
        for parent in &node.parents {
            digest = mix(digest.wrapping_add(1) ^ nodes[parent.0 as usize].seed);
        }
    }
    digest as u32
}
