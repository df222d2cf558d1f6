//! The next hops of a fill. A location asks its parents in order. A hub with hubs among its parents asks those first. A top
//! hub, whose only parent is the archive, asks the top hubs that rank higher than itself for the object, highest first, and
//! then the archive. The top hub with the highest rank is the object's shield: it alone asks the archive while all sources
//! are healthy.
//!
//! A fill never takes a cycle under one tree: parents form no cycle ([`Tree::validate`]), each hop between top hubs goes to
//! a higher rank, and no top hub has a hub as its parent.

use crate::mix;
use crate::tree::{NodeIndex, NodeKind, Tree};

/// Maximum number of top hubs that are asked before the archive: the shield and one fallback. Each further one would only
/// add latency to a fill whose hubs are unhealthy.
pub const MAX_SHIELDS: usize = 2;

/// Rendezvous score of a hub for an object. All nodes compute the same scores, and adding or removing a hub moves only the
/// objects of that hub.
fn score(object: u64, seed: u64) -> u64 {
    mix(object ^ seed)
}

/// Mixes an object's id before it is scored, as ids may be consecutive.
fn mix_id(object: u64) -> u64 {
    mix(object.wrapping_add(0x9e37_79b9_7f4a_7c15))
}

impl Tree {
    /// The rank of a top hub for an object whose id was mixed; a higher one is preferred.
    fn rank(&self, object: u64, index: NodeIndex) -> (u64, NodeIndex) {
        (score(object, self.node(index).seed), index)
    }

    /// The origin shield of an object: the hub that fetches it from the archive for all others. `None` if the tree has no
    /// top hub.
    pub fn shield(&self, object: u64) -> Option<NodeIndex> {
        let object = mix_id(object);
        self.top_hubs()
            .iter()
            .copied()
            .max_by_key(|index| self.rank(object, *index))
    }

    /// Appends the highest-ranked usable top hubs for an object to `hops`, at most [`MAX_SHIELDS`]. With `below`, only hubs
    /// that rank higher than that hub are considered.
    fn append_shields(
        &self,
        object: u64,
        below: Option<NodeIndex>,
        usable: &impl Fn(NodeIndex) -> bool,
        hops: &mut Vec<NodeIndex>,
    ) {
        let object = mix_id(object);
        let min_rank = below.map(|index| self.rank(object, index));
        // Selects the best in one pass, without sorting.
        let mut best: [Option<(u64, NodeIndex)>; MAX_SHIELDS] = [None; MAX_SHIELDS];
        for &index in self.top_hubs() {
            let rank = Some(self.rank(object, index));
            if rank <= min_rank || rank <= best[MAX_SHIELDS - 1] || !usable(index) {
                continue;
            }
            let position = best
                .iter()
                .position(|b| *b < rank)
                .unwrap_or(MAX_SHIELDS - 1);
            best[position..].rotate_right(1);
            best[position] = rank;
        }
        hops.extend(best.into_iter().flatten().map(|(_, index)| index));
    }

    /// The nodes to which `from` may send a fill for this object, in order of preference. Nodes for which `usable` is false
    /// (on the fill's path, tried or ejected) are left out. Empty for the archive.
    pub fn next_hops(
        &self,
        from: NodeIndex,
        object: u64,
        usable: impl Fn(NodeIndex) -> bool,
    ) -> Vec<NodeIndex> {
        let node = self.node(from);
        let mut hops = Vec::with_capacity(4);
        match node.kind {
            NodeKind::Archive => return hops,
            NodeKind::Hub if node.parents == [self.archive()] => {
                self.append_shields(object, Some(from), &usable, &mut hops);
            }
            _ => {
                let hubs = node
                    .parents
                    .iter()
                    .filter(|p| **p != self.archive() && usable(**p));
                hops.extend(hubs);
                if node.parents.last() == Some(&self.archive()) {
                    // The shield is asked before the archive here too; otherwise each of these hubs would fetch the object
                    // from the archive itself.
                    let parent_hubs = hops.clone();
                    let other = |index: NodeIndex| {
                        index != from && !parent_hubs.contains(&index) && usable(index)
                    };
                    self.append_shields(object, None, &other, &mut hops);
                }
            }
        }
        if node.parents.last() == Some(&self.archive()) && usable(self.archive()) {
            hops.push(self.archive());
        }
        hops
    }

    /// Whether a fill may go from one node to another under this tree, for at least some objects.
    pub fn allows(&self, from: NodeIndex, to: NodeIndex) -> bool {
        let node = self.node(from);
        let uses_shield = node.parents.last() == Some(&self.archive());
        node.parents.contains(&to) || (uses_shield && from != to && self.top_hubs().contains(&to))
    }
}

#[cfg(test)]
mod tests;
