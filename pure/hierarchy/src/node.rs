//! One hub's decisions, all together: the trees that it goes by, its ledger, and what it knows of its sources. A
//! hub on sockets and one in a model decide by the same.

use crate::cold::{Gate, Rule, Start};
use crate::epochs::{Refused, Taken, Wiring};
use crate::health::{Health, Word};
use crate::ledger::{Arrival, FetchId, Lane, Ledger, Limits, Next, Turn, WaitId, Want};
use crate::tree::{Ix, Kind, Stamp, Tree};
use crate::Time;
use std::collections::HashMap;
use std::sync::Arc;

/// One fetch that wants a source.
#[derive(Clone, Copy, Debug)]
pub struct Seeking<'a> {
    pub object: u64,
    pub lane: Lane,
    /// Nodes that the fill has passed.
    pub passed: &'a [&'a str],
    /// Nodes that somebody tried for it in vain, this node among them.
    pub tried: &'a [&'a str],
}

/// Where a try goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    pub name: Arc<str>,
    pub archive: bool,
    /// Steps from there to the archive: it may take so many leases to answer.
    pub height: u8,
    pub stamp: Stamp,
    pub solo: bool,
    /// It is to give what it holds and no more; a miss there says nothing of the object.
    pub hold_only: bool,
    /// A source that would have been first is on the fill's way.
    pub avoided: bool,
    /// Sources passed over because they are cold and have been given enough.
    pub held_back: u32,
}

/// Why there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoWay {
    /// All that are left are on the fill's way.
    Loop,
    /// All that are left are cold and have been given enough.
    Cold,
    /// All were tried.
    Tried,
}

#[derive(Default)]
struct Source {
    health: Health,
    /// When it last started, as it says; 0 while it has not said.
    since_ms: u64,
    /// Guards against a hub that started lately, and has not said so yet, being pushed over by the first that is
    /// sent to it: one that is not known counts as started when it is first wanted.
    gate: Option<Gate>,
}

pub struct Node {
    wiring: Wiring,
    ledger: Ledger,
    sources: HashMap<Arc<str>, Source>,
    /// Fills a second of those whose full pace is told.
    paces: HashMap<Arc<str>, f64>,
    cold: Rule,
}

impl Node {
    pub fn new(
        me: &str,
        tree: Tree,
        overlap: Time,
        limits: Limits,
        cold: Rule,
        paces: HashMap<Arc<str>, f64>,
    ) -> Result<Node, Refused> {
        let (wiring, ledger) = (Wiring::new(me, tree, overlap)?, Ledger::new(limits));
        Ok(Node { wiring, ledger, sources: HashMap::new(), paces, cold })
    }

    pub fn present(&self) -> &Arc<Tree> {
        self.wiring.present()
    }

    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    pub fn wiring(&self) -> &Wiring {
        &self.wiring
    }

    /// Former trees held, and sources known.
    pub fn sizes(&self) -> (usize, usize) {
        (self.wiring.former(), self.sources.len())
    }

    /// A new tree, and the paces that come with it; nothing changes where it is refused.
    pub fn rewire(&mut self, now: Time, tree: Tree, paces: HashMap<Arc<str>, f64>) -> Result<Taken, Refused> {
        let taken = self.wiring.take(now, tree)?;
        if taken == Taken::New {
            self.paces = paces;
        }
        Ok(taken)
    }

    // ---- who fetches and who waits ----

    pub fn want(
        &mut self,
        now: Time,
        key: crate::ledger::Key,
        arrival: Arrival,
        born_after: u64,
        until: Time,
    ) -> (Turn, Lane) {
        let present = self.wiring.present().stamp();
        let turn = self.ledger.want(now, Want { key, arrival, present, born_after, until });
        (turn, arrival.lane(present))
    }

    pub fn leave(&mut self, wait: WaitId) -> Option<FetchId> {
        self.ledger.leave(wait)
    }

    pub fn beat(&mut self, now: Time, id: FetchId, attempt: u32) {
        self.ledger.beat(now, id, attempt);
    }

    pub fn done(&mut self, id: FetchId, attempt: u32) -> bool {
        self.ledger.done(id, attempt)
    }

    pub fn failed(&mut self, now: Time, id: FetchId, attempt: u32) -> Next {
        self.ledger.failed(now, id, attempt)
    }

    pub fn lapsed(&mut self, now: Time) -> Vec<(FetchId, u32)> {
        self.ledger.lapsed(now)
    }

    // ---- where a fetch goes ----

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
        let places = |names: &[&str]| names.iter().filter_map(|name| tree.find(name)).collect::<Vec<Ix>>();
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
            return Err(if all.is_empty() { NoWay::Tried } else { NoWay::Loop });
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
            return Ok(Choice { name, archive, height, stamp, solo, hold_only: false, avoided, held_back });
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
            let Some(ix) = tree.find(&name).filter(|ix| *ix != me && well && !used) else { continue };
            if self.gate_of(now, tree, me, ix) {
                let (stamp, solo, hold_only) = (tree.stamp(), true, true);
                let (archive, height, held_back) = (false, 0, 0);
                return Some(Choice { name, archive, height, stamp, solo, hold_only, avoided, held_back });
            }
        }
        None
    }

    fn gate_of(&mut self, now: Time, tree: &Tree, me: Ix, ix: Ix) -> bool {
        let name = tree.name(ix);
        let Some(full) = self.paces.get(name).copied().filter(|full| *full > 0.0) else { return true };
        let source = self.sources.entry(name.clone()).or_default();
        let start = Start { at: now.max(1), full };
        // Its callers are known to all from the tree, and so is each one's turn.
        let gate = source.gate.get_or_insert_with(|| {
            let (turn, callers) = tree.turn(ix, me);
            Gate::new(self.cold, start, turn, callers)
        });
        gate.take(now, 1.0)
    }

    /// What a try says of its source. `since_ms`: when the source started, if it says so; `unix_ms`: now.
    pub fn hear(&mut self, now: Time, unix_ms: u64, name: &Arc<str>, word: Word, since_ms: Option<u64>) {
        let source = self.sources.entry(name.clone()).or_default();
        source.health.hear(now, word);
        let learn = |source: &mut Source, at: Time| {
            source.gate.iter_mut().for_each(|gate| gate.learn(Start { at, ..gate.start() }));
        };
        if matches!(word, Word::Unreached | Word::Failed) {
            // It may come back as a new start: until it says which, it counts as one.
            source.since_ms = 0;
            learn(source, now);
        }
        if let Some(since) = since_ms.filter(|since| *since != source.since_ms) {
            source.since_ms = since;
            let age = unix_ms.saturating_sub(since).saturating_mul(1_000);
            // Guards against one that started before this node's clock counting as started with it.
            learn(source, if age >= self.cold.over { 0 } else { now.saturating_sub(age).max(1) });
        }
    }

    /// Lets go of former trees whose time is over, and of what is known of nodes that no tree names; the names that
    /// this node may not use any more.
    pub fn look(&mut self, now: Time) -> Vec<Arc<str>> {
        let drained = self.wiring.look(now);
        if self.wiring.former() == 0 {
            // Guards against what is known of nodes piling up as they come and go.
            let present = self.wiring.present();
            self.sources.retain(|name, _| present.find(name).is_some());
        }
        drained
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ledger::Key;
    use crate::tree::{Draft, Proposed};

    const RULE: Rule = Rule { from: 0.1, over: 20_000_000, breaks_at: 2.0, window: 3_000_000, safety: 0.6 };
    const LIMITS: Limits = Limits { fetches: 10, waits: 100, lease: 1_000_000, attempts: 4 };

    fn tree(epoch: u64, tops: &[&str], low: &[(&str, &[&str])]) -> Tree {
        let node = |name: &str, kind, parents: &[&str]| Proposed {
            name: name.into(),
            kind,
            parents: parents.iter().map(|p| p.to_string()).collect(),
        };
        let mut nodes = vec![node("archive", Kind::Archive, &[])];
        nodes.extend(tops.iter().map(|name| node(name, Kind::Hub, &["archive"])));
        nodes.extend(low.iter().map(|(name, parents)| node(name, Kind::Hub, parents)));
        Tree::check(&Draft { epoch, nodes, ..Draft::default() }).unwrap()
    }

    fn node(me: &str, tree: Tree, paces: &[(&str, f64)]) -> Node {
        let paces = paces.iter().map(|(name, pace)| ((*name).into(), *pace)).collect();
        Node::new(me, tree, 10_000_000, LIMITS, RULE, paces).unwrap()
    }

    fn seeking<'a>(object: u64, lane: Lane, passed: &'a [&'a str], tried: &'a [&'a str]) -> Seeking<'a> {
        Seeking { object, lane, passed, tried }
    }

    #[test]
    fn a_source_on_the_way_is_avoided_and_where_all_are_it_is_a_loop() {
        let mut east = node("east", tree(1, &["south"], &[("east", &["south"])]), &[]);
        let lane = Lane::Of(east.present().stamp());
        assert_eq!(&*east.choose(1, &seeking(7, lane, &[], &[])).unwrap().name, "south");
        assert_eq!(east.choose(1, &seeking(7, lane, &["south"], &[])), Err(NoWay::Loop));
        assert_eq!(east.choose(1, &seeking(7, lane, &[], &["south"])), Err(NoWay::Tried));
        let mut east = node("east", tree(1, &["south"], &[("east", &["south", "archive"])]), &[]);
        let choice = east.choose(1, &seeking(7, lane, &["south"], &[])).unwrap();
        assert!(choice.archive && choice.avoided);
    }

    #[test]
    fn an_unwell_source_is_left_out_while_there_is_another() {
        let mut east = node("east", tree(1, &["south", "north"], &[("east", &["south", "north"])]), &[]);
        let lane = Lane::Of(east.present().stamp());
        let south: Arc<str> = "south".into();
        east.hear(1, 0, &south, Word::Unreached, None);
        assert_eq!(&*east.choose(2, &seeking(7, lane, &[], &[])).unwrap().name, "north");
        assert_eq!(&*east.choose(2, &seeking(7, lane, &[], &["north"])).unwrap().name, "south");
    }

    #[test]
    fn after_a_rewiring_the_former_shield_is_asked_for_what_it_holds_before_the_archive() {
        let (before, after) =
            (tree(1, &["a", "b", "c"], &[]), tree(2, &["a", "b"], &[("c", &["a", "archive"])]));
        let object = (0..).find(|o| &**before.name(before.shield(*o).unwrap()) == "c").unwrap();
        let shield = after.name(after.shield(object).unwrap()).clone();
        let mut node = node(&shield, before, &[]);
        node.rewire(5, after, HashMap::new()).unwrap();
        let lane = Lane::Of(node.present().stamp());
        let first = node.choose(6, &seeking(object, lane, &[], &[])).unwrap();
        assert_eq!((&*first.name, first.hold_only), ("c", true));
        // It lacks it, or is where the fill came from: then the archive.
        assert!(node.choose(6, &seeking(object, lane, &[], &["c"])).unwrap().archive);
        assert!(node.choose(6, &seeking(object, lane, &["c"], &[])).unwrap().archive);
        // Once the former tree's time is over, the archive at once.
        assert!(node.choose(10_000_006, &seeking(object, lane, &[], &[])).unwrap().archive);
    }

    #[test]
    fn a_fill_whose_tree_is_gone_goes_on_solo_by_the_present_one() {
        let mut east = node("east", tree(1, &["south", "north"], &[("east", &["south"])]), &[]);
        let (_, lane) = east.want(1, Key { class: 0, object: 7, part: 0 }, Arrival::BEGINS, 0, 50_000_000);
        east.rewire(2, tree(2, &["south", "north"], &[("east", &["north"])]), HashMap::new()).unwrap();
        let during = east.choose(3, &seeking(7, lane, &[], &[])).unwrap();
        assert_eq!((&*during.name, during.solo), ("south", false));
        let after = east.choose(10_000_002, &seeking(7, lane, &[], &[])).unwrap();
        assert_eq!((&*after.name, after.solo), ("north", true));
    }

    #[test]
    fn a_cold_source_is_passed_over_once_it_has_been_given_its_part() {
        let mut east =
            node("east", tree(1, &["south"], &[("east", &["south", "archive"])]), &[("south", 10.0)]);
        let lane = Lane::Of(east.present().stamp());
        let south: Arc<str> = "south".into();
        let given = |node: &mut Node, now| {
            (0..100).filter(|_| !node.choose(now, &seeking(7, lane, &[], &[])).unwrap().archive).count()
        };
        let first = given(&mut east, 1_000);
        assert!((1..10).contains(&first), "{first}");
        // It says that it started long ago.
        east.hear(2_000, 1_000_000, &south, Word::Served, Some(1_000));
        assert_eq!(given(&mut east, 3_000), 100);
        // It breaks off twice: it may be a new start.
        (0..2).for_each(|_| east.hear(4_000, 1_000_000, &south, Word::Failed, None));
        assert!((1..=12).contains(&given(&mut east, 5_000_000)));
    }
}
