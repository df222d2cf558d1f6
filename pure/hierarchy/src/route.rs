//! Where a fill goes next. A location asks its parents in their order. A hub that has hubs above it asks those; a hub whose
//! only parent is the archive asks the hubs that rank before it for the object, best first, and then the archive. The best
//! of all is the object's shield: it alone asks the archive while all sources are healthy.
//!
//! No fill goes in a cycle under one tree: parents form no cycle ([`Tree::validate`]), a step among the top hubs always
//! goes to a better rank, and no top hub has a hub as its parent.

use crate::mix;
use crate::tree::{NodeIndex, NodeKind, Tree};

/// Better-ranked hubs that a top hub asks before the archive: the shield, and one fallback. Each further one would only
/// add latency to a fill whose hubs are unhealthy.
pub const MAX_SHIELDS: usize = 2;

/// Rendezvous score of a hub for an object: each node derives the same, and a hub that is added or removed moves only its
/// own objects.
fn score(object: u64, seed: u64) -> u64 {
    mix(object ^ seed)
}

/// Mixes an object's id before it is scored, as ids may be in sequence.
fn mix_id(object: u64) -> u64 {
    mix(object.wrapping_add(0x9e37_79b9_7f4a_7c15))
}

impl Tree {
    fn rank(&self, object: u64, index: NodeIndex) -> (u64, NodeIndex) {
        (score(object, self.node(index).seed), index)
    }

    /// The origin shield of an object: the hub that fetches it from the archive for all. `None` where no hub asks the archive.
    pub fn shield(&self, object: u64) -> Option<NodeIndex> {
        let object = mix_id(object);
        self.top_hubs()
            .iter()
            .copied()
            .max_by_key(|index| self.rank(object, *index))
    }

    /// Adds the best top hubs for an object that may be used, of those that rank before `below`.
    fn shields(
        &self,
        object: u64,
        below: Option<NodeIndex>,
        may: &impl Fn(NodeIndex) -> bool,
        found: &mut Vec<NodeIndex>,
    ) {
        let object = mix_id(object);
        let bound = below.map(|index| self.rank(object, index));
        // One pass, without sorting: the best that may be used.
        let mut best: [Option<(u64, NodeIndex)>; MAX_SHIELDS] = [None; MAX_SHIELDS];
        for &index in self.top_hubs() {
            let rank = Some(self.rank(object, index));
            if rank <= bound || rank <= best[MAX_SHIELDS - 1] || !may(index) {
                continue;
            }
            let at = best
                .iter()
                .position(|b| *b < rank)
                .unwrap_or(MAX_SHIELDS - 1);
            best[at..].rotate_right(1);
            best[at] = rank;
        }
        found.extend(best.into_iter().flatten().map(|(_, index)| index));
    }

    /// Where a fill for this object may go next from a node, best first. Nodes for which `may` is false (on the fill's path,
    /// tried, ejected) are left out.
    pub fn next(
        &self,
        from: NodeIndex,
        object: u64,
        may: impl Fn(NodeIndex) -> bool,
    ) -> Vec<NodeIndex> {
        let node = self.node(from);
        let mut found = Vec::with_capacity(4);
        match node.kind {
            NodeKind::Archive => return found,
            NodeKind::Hub if node.parents == [self.archive()] => {
                self.shields(object, Some(from), &may, &mut found);
            }
            _ => {
                let hubs = node
                    .parents
                    .iter()
                    .filter(|p| **p != self.archive() && may(**p));
                found.extend(hubs);
                if node.parents.last() == Some(&self.archive()) {
                    // The shield comes first also here: else each hub that may ask the archive would do so by itself.
                    let known = found.clone();
                    let other =
                        |index: NodeIndex| index != from && !known.contains(&index) && may(index);
                    self.shields(object, None, &other, &mut found);
                }
            }
        }
        if node.parents.last() == Some(&self.archive()) && may(self.archive()) {
            found.push(self.archive());
        }
        found
    }

    /// Whether a fill may go from one node to another under this tree, for any object.
    pub fn allows(&self, from: NodeIndex, to: NodeIndex) -> bool {
        let node = self.node(from);
        let over_shield = node.parents.last() == Some(&self.archive());
        node.parents.contains(&to) || (over_shield && from != to && self.top_hubs().contains(&to))
    }
}

#[cfg(test)]
mod tests;
