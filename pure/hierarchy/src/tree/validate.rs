//! Validation of a draft.

use super::{
    Node, NodeIndex, NodeKind, ProposedNode, Tree, TreeDraft, TreeFault, TreeVersion,
    MAX_NAME_BYTES, MAX_NODES, MAX_PARENTS,
};
use crate::mix;
use std::collections::HashMap;
use std::sync::Arc;

/// Indexes of the nodes by name.
type ByName = HashMap<Arc<str>, NodeIndex>;

impl Tree {
    /// Validates a draft and builds the tree from it.
    ///
    /// # Errors
    ///
    /// Returns all faults of the draft, those of single nodes in the order of the draft. A cycle is reported only if there
    /// is no other fault, and for a draft of more than [`MAX_NODES`] nodes nothing else is checked.
    pub fn validate(draft: &TreeDraft) -> Result<Tree, Vec<TreeFault>> {
        let mut faults = Vec::new();
        if draft.epoch == 0 {
            faults.push(TreeFault::EpochZero);
        }
        if draft.nodes.is_empty() {
            faults.push(TreeFault::Empty);
        }
        if draft.nodes.len() > MAX_NODES {
            // Skips the other checks, whose cost would not be bounded.
            return Err(vec![TreeFault::TooManyNodes(draft.nodes.len())]);
        }
        // Nodes are sorted by name, so that their order in the draft has no effect on the digest.
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
            faults.push(TreeFault::NotOneArchive(
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
    for (position, proposed) in sorted.iter().enumerate() {
        if by_name
            .insert(proposed.name.as_str().into(), NodeIndex(position as u16))
            .is_some()
        {
            faults.push(TreeFault::DuplicateName(proposed.name.clone()));
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
        seed: hash_name(p.name.bytes()),
    };
    sorted.iter().map(node).collect()
}

/// The hubs whose only parent is the archive.
fn top_hubs(nodes: &[Node], archive: NodeIndex) -> Vec<NodeIndex> {
    let is_top_hub = |index: &NodeIndex| {
        nodes[index.0 as usize].kind == NodeKind::Hub
            && nodes[index.0 as usize].parents == [archive]
    };
    (0..nodes.len() as u16)
        .map(NodeIndex)
        .filter(is_top_hub)
        .collect()
}

/// Hops of the longest path from each node to the archive. `order` lists each node after its parents. A hub that asks the
/// archive has a height of at least 2, as it goes over the object's shield.
fn heights(nodes: &[Node], archive: NodeIndex, order: &[NodeIndex]) -> Vec<u8> {
    let mut heights = vec![0u8; nodes.len()];
    for index in order {
        let node = &nodes[index.0 as usize];
        let highest_parent = node.parents.iter().map(|p| heights[p.0 as usize]).max();
        let uses_shield = node.kind == NodeKind::Hub && node.parents.last() == Some(&archive);
        let min_height = if uses_shield { 2 } else { 0 };
        heights[index.0 as usize] = highest_parent
            .map_or(0, |h| h.saturating_add(1))
            .max(min_height);
    }
    heights
}

/// Checks the name of one node, the number of its parents, and each of them.
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
        faults.push(TreeFault::InvalidName(name.clone()));
    }
    match (kind, parents.len()) {
        (NodeKind::Archive, 0) => {}
        (NodeKind::Archive, _) => faults.push(TreeFault::ArchiveHasParents(name.clone())),
        (_, 0) => faults.push(TreeFault::NoParent(name.clone(), *kind)),
        (_, n) if n > MAX_PARENTS => faults.push(TreeFault::TooManyParents(name.clone(), n)),
        _ => {}
    }
    for (position, parent) in parents.iter().enumerate() {
        let Some(index) = by_name.get(parent.as_str()) else {
            faults.push(TreeFault::UnknownParent(name.clone(), parent.clone()));
            continue;
        };
        if parents[..position].contains(parent) {
            faults.push(TreeFault::DuplicateParent(name.clone(), parent.clone()));
        }
        match sorted[index.0 as usize].kind {
            NodeKind::Location => {
                faults.push(TreeFault::ParentIsLocation(name.clone(), parent.clone()))
            }
            NodeKind::Archive if *kind == NodeKind::Location && !draft.skip_tiers => {
                faults.push(TreeFault::SkipsHubs(name.clone()))
            }
            // With the archive before a lower hub, a fill could go over the shield and back down to that hub: a cycle that
            // the lists of parents don't show.
            NodeKind::Archive if position + 1 < parents.len() => {
                faults.push(TreeFault::ArchiveNotLast(name.clone()))
            }
            _ => {}
        }
    }
}

fn valid_name(name: &str) -> bool {
    let valid_characters = name
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
    valid_characters
        && !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && !name.starts_with('-')
        && !name.ends_with('-')
}

/// Sorts the nodes topologically, each after its parents.
///
/// # Errors
///
/// Returns a cycle of parents, with the same node at both ends. All parents of a node are followed, as a fill may use each
/// of them.
fn parents_first(nodes: &[Node]) -> Result<Vec<NodeIndex>, Vec<NodeIndex>> {
    #[derive(Clone, Copy, PartialEq)]
    enum Visit {
        Unseen,
        OnPath,
        Done,
    }
    let mut visits = vec![Visit::Unseen; nodes.len()];
    let mut order = Vec::with_capacity(nodes.len());
    for start in 0..nodes.len() as u16 {
        // The nodes from the start to the current one, each with the number of its parents that were visited. There is no
        // recursion, as a chain may have as many nodes as the tree.
        let mut path: Vec<(NodeIndex, usize)> = Vec::new();
        if visits[start as usize] == Visit::Unseen {
            visits[start as usize] = Visit::OnPath;
            path.push((NodeIndex(start), 0));
        }
        while let Some((node, next_parent)) = path.last_mut() {
            let Some(&parent) = nodes[node.0 as usize].parents.get(*next_parent) else {
                visits[node.0 as usize] = Visit::Done;
                order.push(*node);
                path.pop();
                continue;
            };
            *next_parent += 1;
            match visits[parent.0 as usize] {
                Visit::Done => {}
                Visit::Unseen => {
                    visits[parent.0 as usize] = Visit::OnPath;
                    path.push((parent, 0));
                }
                Visit::OnPath => {
                    let cycle_start = path
                        .iter()
                        .position(|(index, _)| *index == parent)
                        .unwrap_or(0);
                    let mut cycle: Vec<NodeIndex> = path[cycle_start..]
                        .iter()
                        .map(|(index, _)| *index)
                        .collect();
                    cycle.push(parent);
                    return Err(cycle);
                }
            }
        }
    }
    Ok(order)
}

/// FNV-1a, followed by [`mix`]. It is used for rendezvous hashing and is not cryptographic.
fn hash_name(bytes: impl Iterator<Item = u8>) -> u64 {
    mix(bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ byte as u64).wrapping_mul(0x100_0000_01b3)
    }))
}

/// Digest of the nodes and their parents. It distinguishes trees of the same epoch that were given to different nodes, so
/// that fills under them are not collapsed.
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
