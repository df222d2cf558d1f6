//! Where a fill goes next. A location goes by its parents in their order. A hub that has hubs above it goes by
//! those; one that has the archive alone goes to the hubs that rank before it for the object, best first, and
//! then to the archive. The best of all is the object's shield: it alone asks the archive while all is well.
//!
//! Why no fill goes in a circle under one tree: parents form no cycle ([`Tree::check`]), a step among the top
//! hubs always goes to a better rank, and no top hub has a hub as its parent.

use crate::mix;
use crate::tree::{Ix, Kind, Tree};

/// Better-ranked hubs that a top hub tries before it goes to the archive itself: the shield, and one that stands
/// in for it. Each further one would only add to the time of a fill whose hubs are unwell.
pub const SHIELDS_TRIED: usize = 2;

/// Rendezvous score of a hub for an object: each node finds the same, and a hub that comes or goes moves only the
/// objects that it has or had.
fn score(object: u64, seed: u64) -> u64 {
    mix(object ^ seed)
}

/// An object's place among the hubs, spread before it is scored, as ids may be in sequence.
fn spread(object: u64) -> u64 {
    mix(object.wrapping_add(0x9e37_79b9_7f4a_7c15))
}

impl Tree {
    fn rank(&self, object: u64, ix: Ix) -> (u64, Ix) {
        (score(object, self.node(ix).seed), ix)
    }

    /// The hub that fetches an object from the archive for all; none where no hub asks the archive.
    pub fn shield(&self, object: u64) -> Option<Ix> {
        let object = spread(object);
        self.tops()
            .iter()
            .copied()
            .max_by_key(|ix| self.rank(object, *ix))
    }

    /// The best top hubs for an object that may still be used, of those that rank before `below`.
    fn shields(
        &self,
        object: u64,
        below: Option<Ix>,
        may: &impl Fn(Ix) -> bool,
        found: &mut Vec<Ix>,
    ) {
        let object = spread(object);
        let bound = below.map(|ix| self.rank(object, ix));
        // One pass, without sorting: the two best that may be used.
        let mut best: [Option<(u64, Ix)>; SHIELDS_TRIED] = [None; SHIELDS_TRIED];
        for &ix in self.tops() {
            let rank = Some(self.rank(object, ix));
            if rank <= bound || rank <= best[SHIELDS_TRIED - 1] || !may(ix) {
                continue;
            }
            let at = best
                .iter()
                .position(|b| *b < rank)
                .unwrap_or(SHIELDS_TRIED - 1);
            best[at..].rotate_right(1);
            best[at] = rank;
        }
        found.extend(best.into_iter().flatten().map(|(_, ix)| ix));
    }

    /// Where a fill for this object may go next from a node, best first: nodes for which `may` is false (on the
    /// fill's way, tried in vain, unwell) are left out. The archive is never left out for being unwell: there is
    /// no other; but a node that tried it says so by `may` as well.
    pub fn next(&self, from: Ix, object: u64, may: impl Fn(Ix) -> bool) -> Vec<Ix> {
        let node = self.node(from);
        let mut found = Vec::with_capacity(4);
        match node.kind {
            Kind::Archive => return found,
            Kind::Hub if node.parents == [self.archive()] => {
                self.shields(object, Some(from), &may, &mut found);
            }
            _ => {
                let hubs = node
                    .parents
                    .iter()
                    .filter(|p| **p != self.archive() && may(**p));
                found.extend(hubs);
                if node.parents.last() == Some(&self.archive()) {
                    // Guards against each hub that may ask the archive doing so by itself: the shield first.
                    let known = found.clone();
                    let other = |ix: Ix| ix != from && !known.contains(&ix) && may(ix);
                    self.shields(object, None, &other, &mut found);
                }
            }
        }
        if node.parents.last() == Some(&self.archive()) && may(self.archive()) {
            found.push(self.archive());
        }
        found
    }

    /// Whether this tree lets a fill go from one node to another, for whatever object.
    pub fn allows(&self, from: Ix, to: Ix) -> bool {
        let node = self.node(from);
        let over_shield = node.parents.last() == Some(&self.archive());
        node.parents.contains(&to) || (over_shield && from != to && self.tops().contains(&to))
    }
}

#[cfg(test)]
mod tests;
