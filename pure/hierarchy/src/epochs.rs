//! How one node goes from epoch to epoch while others learn of it at other times: make before break. New fills go
//! by the new tree at once; a fill that began under a former one may end as it began until its time is over, and
//! then that tree's edges are drained. A tree that is not newer is refused, unless it names the one in service.

use crate::tree::{Ix, Stamp, Tree};
use crate::Time;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

/// Former trees held at most; before one more is taken the oldest ends at once.
pub const FORMER_MOST: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is in service now; the one before may be used until its end.
    New,
    /// It is the one in service.
    Same,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Not newer than the epoch in service, and not told to take its place.
    Older { proposed: u64, present: u64 },
    /// Another tree under the number that is in service.
    Clash { epoch: u64 },
    /// It names an epoch to take the place of, which is not the one in service.
    NotInService { named: u64, present: u64 },
    /// This node is not in it.
    Without(String),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refused::Older { proposed, present } => write!(
                f,
                "epoch {proposed} is older than epoch {present} in service; instead_of = {present} takes it all the same"
            ),
            Refused::Clash { epoch } => {
                write!(f, "epoch {epoch} is in service with another tree; a change needs a higher number")
            }
            Refused::NotInService { named, present } => {
                write!(f, "it is to take the place of epoch {named}, but epoch {present} is in service")
            }
            Refused::Without(name) => write!(f, "{name}, this node, is not in it"),
        }
    }
}

struct Former {
    tree: Arc<Tree>,
    until: Time,
}

/// The trees that one node goes by: the present one, and former ones until their fills are over.
pub struct Wiring {
    /// This node's name.
    me: String,
    present: Arc<Tree>,
    former: VecDeque<Former>,
    /// How long a fill may end as it began.
    overlap: Time,
}

impl Wiring {
    pub fn new(me: &str, tree: Tree, overlap: Time) -> Result<Wiring, Refused> {
        if tree.find(me).is_none() {
            return Err(Refused::Without(me.to_string()));
        }
        Ok(Wiring {
            me: me.to_string(),
            present: Arc::new(tree),
            former: VecDeque::new(),
            overlap,
        })
    }

    pub fn present(&self) -> &Arc<Tree> {
        &self.present
    }

    /// This node's place in a tree that was taken here.
    pub fn me(&self, tree: &Tree) -> Ix {
        tree.find(&self.me)
            .expect("no tree without this node is taken")
    }

    /// News of a tree, whenever and however often it comes. A refusal changes nothing.
    pub fn take(&mut self, now: Time, tree: Tree) -> Result<Taken, Refused> {
        self.look(now);
        let (new, present) = (tree.stamp(), self.present.stamp());
        if new == present {
            return Ok(Taken::Same);
        }
        if tree.find(&self.me).is_none() {
            return Err(Refused::Without(self.me.clone()));
        }
        match tree.instead_of() {
            // Guards against a step back that was meant for another state of things.
            Some(named) if new.epoch <= present.epoch && named != present.epoch => {
                return Err(Refused::NotInService {
                    named,
                    present: present.epoch,
                });
            }
            None if new.epoch == present.epoch => return Err(Refused::Clash { epoch: new.epoch }),
            None if new.epoch < present.epoch => {
                return Err(Refused::Older {
                    proposed: new.epoch,
                    present: present.epoch,
                });
            }
            _ => {}
        }
        // Taken again while it is former: it is present now, and no more than that.
        self.former.retain(|f| f.tree.stamp() != new);
        let before = std::mem::replace(&mut self.present, Arc::new(tree));
        self.former.push_back(Former {
            tree: before,
            until: now.saturating_add(self.overlap),
        });
        while self.former.len() > FORMER_MOST {
            self.former.pop_front();
        }
        Ok(Taken::New)
    }

    /// The tree that a fill began under, while it may still be used.
    pub fn under(&self, now: Time, stamp: Stamp) -> Option<&Arc<Tree>> {
        if self.present.stamp() == stamp {
            return Some(&self.present);
        }
        self.former
            .iter()
            .find(|f| f.tree.stamp() == stamp && now < f.until)
            .map(|f| &f.tree)
    }

    /// Whether a fill that began here under `stamp` may still use a node as its source: always by the tree in
    /// service, else by its own tree until that is over.
    pub fn may_use(&self, now: Time, stamp: Stamp, source: &str) -> bool {
        let by = |tree: &Tree| {
            tree.find(source)
                .is_some_and(|to| tree.allows(self.me(tree), to))
        };
        by(&self.present) || self.under(now, stamp).is_some_and(|tree| by(tree))
    }

    /// Lets go of former trees whose time is over; the names that no tree here lets this node use any more, so
    /// that connections to them can be closed.
    pub fn look(&mut self, now: Time) -> Vec<Arc<str>> {
        let (over, kept): (Vec<Former>, Vec<Former>) = std::mem::take(&mut self.former)
            .into_iter()
            .partition(|f| f.until <= now);
        self.former = kept.into();
        let mut drained: Vec<Arc<str>> = Vec::new();
        for former in over {
            let from = self.me(&former.tree);
            let used = former
                .tree
                .nodes()
                .filter(|(to, _)| former.tree.allows(from, *to));
            for (_, node) in used {
                let still = |tree: &Tree| {
                    tree.find(&node.name)
                        .is_some_and(|to| tree.allows(self.me(tree), to))
                };
                let kept = still(&self.present) || self.former.iter().any(|f| still(&f.tree));
                if !kept && !drained.contains(&node.name) {
                    drained.push(node.name.clone());
                }
            }
        }
        drained
    }

    /// Former trees that may still be used, the latest first.
    pub fn usable_former(&self, now: Time) -> impl Iterator<Item = &Arc<Tree>> {
        self.former
            .iter()
            .rev()
            .filter(move |f| now < f.until)
            .map(|f| &f.tree)
    }

    /// Former trees that are held.
    pub fn former(&self) -> usize {
        self.former.len()
    }
}

#[cfg(test)]
mod tests;
