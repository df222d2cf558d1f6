//! The choice of a source for a fetch's next try.

use super::Node;
use crate::cold::{Gate, Start};
use crate::ledger::Lane;
use crate::tree::{Ix, Kind, Stamp, Tree};
use crate::Time;
use std::sync::Arc;

/// One fetch that wants a source.
#[derive(Clone, Copy, Debug)]
pub struct Seeking<'a> {
    /// Id of the object.
    pub object: u64,
    /// Which fills it may wait for.
    pub lane: Lane,
    /// Nodes that the fill has passed.
    pub passed: &'a [&'a str],
    /// Nodes that somebody tried for it in vain, this node among them.
    pub tried: &'a [&'a str],
}

/// Where a try goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The source's name in the tree.
    pub name: Arc<str>,
    /// Whether it is the archive.
    pub archive: bool,
    /// Steps from there to the archive: it may take so many leases to answer.
    pub height: u8,
    /// The tree that it was chosen by.
    pub stamp: Stamp,
    /// The fill goes on solo: it must not wait at the source.
    pub solo: bool,
    /// It is to give what it holds and no more; a miss there says nothing of the object.
    pub hold_only: bool,
    /// A source that would have been first is on the fill's way.
    pub avoided: bool,
    /// Sources passed over because they are cold and have been given enough.
    pub held_back: u32,
}

/// Why there is no source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoWay {
    /// All that are left are on the fill's way.
    Loop,
    /// All that are left are cold and have been given enough.
    Cold,
    /// All were tried.
    Tried,
}

impl Node {
    /// The source of a fetch's next try.
    pub fn choose(&mut self, now: Time, seeking: &Seeking) -> Result<Choice, NoWay> {
        // A fill ends under the tree that it began under, while that may be used; after that it is solo, as those
        // who wait for it count on its tree.
        let began = match seeking.lane {
            Lane::Of(stamp) => self.wiring.under(now, stamp).cloned(),
            Lane::Solo => None,
        };
        let solo = began.is_none();
        let tree = began.unwrap_or_else(|| self.wiring.present().clone());
        let me = self.wiring.me(&tree);
        let places = |names: &[&str]| {
            names
                .iter()
                .filter_map(|name| tree.find(name))
                .collect::<Vec<Ix>>()
        };
        let (passed, tried) = (places(seeking.passed), places(seeking.tried));
        let sources = &self.sources;
        let well = |ix: Ix| {
            let health = sources.get(tree.name(ix)).map(|s| s.health);
            tree.node(ix).kind == Kind::Archive || health.is_none_or(|h| h.well(now))
        };
        let fresh = |ix: Ix| !tried.contains(&ix);
        let all = tree.next(me, seeking.object, fresh);
        let avoided = all.first().is_some_and(|ix| passed.contains(ix));
        let open = |ix: Ix| fresh(ix) && !passed.contains(&ix);
        let mut next = tree.next(me, seeking.object, |ix| open(ix) && well(ix));
        if next.is_empty() {
            // All that are left are unwell: better one of those than none.
            next = tree.next(me, seeking.object, open);
        }
        if next.is_empty() {
            return Err(if all.is_empty() {
                NoWay::Tried
            } else {
                NoWay::Loop
            });
        }
        let (stamp, mut held_back) = (tree.stamp(), 0);
        for ix in next {
            let archive = tree.node(ix).kind == Kind::Archive;
            if archive {
                if let Some(choice) = self.former_shield(now, &tree, me, seeking, avoided) {
                    return Ok(choice);
                }
            }
            let name = tree.name(ix).clone();
            if !self.gate_of(now, &tree, me, ix) {
                // Guards against a hub that started lately being pushed over by what is rewired to it.
                held_back += 1;
                continue;
            }
            let height = tree.height(ix);
            return Ok(Choice {
                name,
                archive,
                height,
                stamp,
                solo,
                hold_only: false,
                avoided,
                held_back,
            });
        }
        Err(NoWay::Cold)
    }

    /// The hub that shielded the object under a tree that may still be used: it is asked for what it holds before
    /// the archive is. Guards against a rewiring sending all that moves to the archive once more. It passes nothing
    /// on for this, so that no circle can come of it.
    fn former_shield(
        &mut self,
        now: Time,
        tree: &Tree,
        me: Ix,
        seeking: &Seeking,
        avoided: bool,
    ) -> Option<Choice> {
        let named = |former: &Arc<Tree>| Some(former.name(former.shield(seeking.object)?).clone());
        let formers: Vec<Arc<str>> = self.wiring.usable_former(now).filter_map(named).collect();
        for name in formers {
            let well = self.sources.get(&name).is_none_or(|s| s.health.well(now));
            let used = seeking.passed.contains(&&*name) || seeking.tried.contains(&&*name);
            // A look counts at a hub that started lately as a fill does.
            let Some(ix) = tree.find(&name).filter(|ix| *ix != me && well && !used) else {
                continue;
            };
            if self.gate_of(now, tree, me, ix) {
                let (stamp, solo, hold_only) = (tree.stamp(), true, true);
                let (archive, height, held_back) = (false, 0, 0);
                return Some(Choice {
                    name,
                    archive,
                    height,
                    stamp,
                    solo,
                    hold_only,
                    avoided,
                    held_back,
                });
            }
        }
        None
    }

    /// Whether a source may be given one more fill now, as far as its start allows.
    fn gate_of(&mut self, now: Time, tree: &Tree, me: Ix, ix: Ix) -> bool {
        let name = tree.name(ix);
        let Some(full) = self.paces.get(name).copied().filter(|full| *full > 0.0) else {
            return true;
        };
        let source = self.sources.entry(name.clone()).or_default();
        let start = Start {
            at: now.max(1),
            full,
        };
        // Its callers are known to all from the tree, and so is each one's turn.
        let gate = source.gate.get_or_insert_with(|| {
            let (turn, callers) = tree.turn(ix, me);
            Gate::new(self.cold, start, turn, callers)
        });
        gate.take(now, 1.0)
    }
}
