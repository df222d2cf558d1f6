//! The validation of a draft.

use super::{
    Node, NodeIndex, NodeKind, ProposedNode, Tree, TreeDraft, TreeFault, TreeVersion,
    MAX_NAME_BYTES, MAX_NODES, MAX_PARENTS,
};
use crate::mix;
use std::collections::HashMap;
use std::sync::Arc;

/// The nodes by name.
type ByName = HashMap<Arc<str>, NodeIndex>;

impl Tree {
    /// The tree of a draft.
    ///
    /// # Errors
    ///
    /// All faults of the draft, in the order of its nodes.
    pub fn validate(draft: &TreeDraft) -> Result<Tree, Vec<TreeFault>> {
        let mut faults = Vec::new();
        if draft.epoch == 0 {
            faults.push(TreeFault::EpochZero);
        }
        if draft.nodes.is_empty() {
            faults.push(TreeFault::Empty);
        }
        if draft.nodes.len() > MAX_NODES {
            // Nothing more is checked: the size of the draft is not bounded.
            return Err(vec![TreeFault::TooManyNodes(draft.nodes.len())]);
        }
        // Nodes are sorted by name, so that the order in which a tree is written down makes no difference.
        let mut sorted: Vec<&ProposedNode> = draft.nodes.iter().collect();
        sorted.sort_by(|a, b| a.name.cmp(&b.name));
        let by_name = index_by_name(&sorted, &mut faults);
        for proposed in &draft.nodes {
            check_node(draft, proposed, &by_name, &sorted, &mut faults);
        }
        let archives: Vec<&ProposedNode> = draft
            .nodes
            .iter()
            .filter(|n| n.kind == NodeKind::Archive)
            .collect();
        if archives.len() != 1 && !draft.nodes.is_empty() {
            faults.push(TreeFault::Archives(
                archives.iter().map(|n| n.name.clone()).collect(),
            ));
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        let archive = by_name[archives[0].name.as_str()];
        let nodes = resolve_parents(&sorted, &by_name);
        let order = parents_first(&nodes).map_err(|cycle| {
            let names = cycle
                .iter()
                .map(|index| nodes[index.0 as usize].name.to_string())
                .collect();
            vec![TreeFault::Cycle(names)]
        })?;
        let top_hubs = top_hubs(&nodes, archive);
        let heights = heights(&nodes, archive, &order);
        let version = TreeVersion {
            epoch: draft.epoch,
            digest: digest(&nodes),
        };
        Ok(Tree {
            version,
            instead_of: draft.instead_of,
            nodes,
            archive,
            top_hubs,
            heights,
            by_name,
        })
    }
}

fn index_by_name(sorted: &[&ProposedNode], faults: &mut Vec<TreeFault>) -> ByName {
    let mut by_name: ByName = HashMap::with_capacity(sorted.len());
    for (at, proposed) in sorted.iter().enumerate() {
        if by_name
            .insert(proposed.name.as_str().into(), NodeIndex(at as u16))
            .is_some()
        {
            faults.push(TreeFault::Twice(proposed.name.clone()));
        }
    }
    by_name
}

fn resolve_parents(sorted: &[&ProposedNode], by_name: &ByName) -> Vec<Node> {
    let node = |p: &&ProposedNode| Node {
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
fn top_hubs(nodes: &[Node], archive: NodeIndex) -> Vec<NodeIndex> {
    let top = |index: &NodeIndex| {
        nodes[index.0 as usize].kind == NodeKind::Hub
            && nodes[index.0 as usize].parents == [archive]
    };
    (0..nodes.len() as u16).map(NodeIndex).filter(top).collect()
}

/// Steps of the longest path of each node to the archive, the one over a shield included.
fn heights(nodes: &[Node], archive: NodeIndex, order: &[NodeIndex]) -> Vec<u8> {
    let mut heights = vec![0u8; nodes.len()];
    for index in order {
        let node = &nodes[index.0 as usize];
        let above = node.parents.iter().map(|p| heights[p.0 as usize]).max();
        let over_shield = node.kind == NodeKind::Hub && node.parents.last() == Some(&archive);
        let least = if over_shield { 2 } else { 0 };
        heights[index.0 as usize] = above.map_or(0, |h| h.saturating_add(1)).max(least);
    }
    heights
}

/// Checks one node by itself, and its parents' names.
fn check_node(
    draft: &TreeDraft,
    proposed: &ProposedNode,
    by_name: &ByName,
    sorted: &[&ProposedNode],
    faults: &mut Vec<TreeFault>,
) {
    let ProposedNode {
        name,
        kind,
        parents,
    } = proposed;
    if !valid_name(name) {
        faults.push(TreeFault::Name(name.clone()));
    }
    match (kind, parents.len()) {
        (NodeKind::Archive, 0) => {}
        (NodeKind::Archive, _) => faults.push(TreeFault::ArchiveHasParents(name.clone())),
        (_, 0) => faults.push(TreeFault::Parentless(name.clone(), *kind)),
        (_, n) if n > MAX_PARENTS => faults.push(TreeFault::TooManyParents(name.clone(), n)),
        _ => {}
    }
    for (at, parent) in parents.iter().enumerate() {
        let Some(index) = by_name.get(parent.as_str()) else {
            faults.push(TreeFault::Unknown(name.clone(), parent.clone()));
            continue;
        };
        if parents[..at].contains(parent) {
            faults.push(TreeFault::ParentTwice(name.clone(), parent.clone()));
        }
        match sorted[index.0 as usize].kind {
            NodeKind::Location => {
                faults.push(TreeFault::ParentIsLocation(name.clone(), parent.clone()))
            }
            NodeKind::Archive if *kind == NodeKind::Location && !draft.skip_tiers => {
                faults.push(TreeFault::Skips(name.clone()))
            }
            // With the archive first and a lower hub behind it, the path over the shield and back down would be a cycle
            // that no list of parents shows.
            NodeKind::Archive if at + 1 < parents.len() => {
                faults.push(TreeFault::ArchiveNotLast(name.clone()))
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
        && name.len() <= MAX_NAME_BYTES
        && !name.starts_with('-')
        && !name.ends_with('-')
}

/// All nodes, each after its parents; or a cycle of parents, from a node back to itself. All parents count, as each
/// may be used.
fn parents_first(nodes: &[Node]) -> Result<Vec<NodeIndex>, Vec<NodeIndex>> {
    #[derive(Clone, Copy, PartialEq)]
    enum Visit {
        Unseen,
        OnPath,
        Done,
    }
    let mut seen = vec![Visit::Unseen; nodes.len()];
    let mut order = Vec::with_capacity(nodes.len());
    for start in 0..nodes.len() as u16 {
        // The nodes from the start to here, each with the number of its parents that were visited. No recursion: a
        // chain may be as long as the tree.
        let mut path: Vec<(NodeIndex, usize)> = Vec::new();
        if seen[start as usize] == Visit::Unseen {
            seen[start as usize] = Visit::OnPath;
            path.push((NodeIndex(start), 0));
        }
        while let Some((at, next)) = path.last_mut() {
            let Some(&parent) = nodes[at.0 as usize].parents.get(*next) else {
                seen[at.0 as usize] = Visit::Done;
                order.push(*at);
                path.pop();
                continue;
            };
            *next += 1;
            match seen[parent.0 as usize] {
                Visit::Done => {}
                Visit::Unseen => {
                    seen[parent.0 as usize] = Visit::OnPath;
                    path.push((parent, 0));
                }
                Visit::OnPath => {
                    let from = path
                        .iter()
                        .position(|(index, _)| *index == parent)
                        .unwrap_or(0);
                    let mut cycle: Vec<NodeIndex> =
                        path[from..].iter().map(|(index, _)| *index).collect();
                    cycle.push(parent);
                    return Err(cycle);
                }
            }
        }
    }
    Ok(order)
}

/// FNV-1a, mixed. For rendezvous hashing, not for secrets.
fn hash(bytes: impl Iterator<Item = u8>) -> u64 {
    mix(bytes.fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ b as u64).wrapping_mul(0x100_0000_01b3)
    }))
}

/// Tells two trees of one epoch apart, where nodes were given different ones: their fills must not be collapsed.
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
