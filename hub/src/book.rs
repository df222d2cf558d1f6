//! The book: all that is decided at a hub, under one lock, by the hierarchy's rules: who fetches and who waits, the
//! trees, the sources' health, and what a cold source may be given.

use crate::flight::{Flight, Verdict};
use crate::tally::{add, Tally};
use foldmux_hierarchy::cold::{Gate, Start};
use foldmux_hierarchy::epochs::{Refused, Taken, Wiring};
use foldmux_hierarchy::health::{Health, Word};
use foldmux_hierarchy::ledger::{Arrival, FetchId, Key, Lane, Ledger, Limits, Next, Turn, WaitId, Want};
use foldmux_hierarchy::tree::{Ix, Kind, Stamp, Tree};
use foldmux_hierarchy::way::Way;
use foldmux_hierarchy::Time;
use foldmux_operator::Hierarchy;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// One fetch, as its thread carries it from try to try.
#[derive(Clone)]
pub struct Fill {
    pub id: FetchId,
    pub key: Key,
    pub path: String,
    pub via: String,
    pub way: Way,
    pub lane: Lane,
    pub born_after: u64,
    /// Nodes that somebody tried for this fill in vain.
    pub past: Vec<String>,
    pub flight: Arc<Flight>,
}

/// Where the next try goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub name: Arc<str>,
    pub address: SocketAddr,
    pub archive: bool,
    /// Steps from there to the archive: it may take so many leases to answer.
    pub height: u8,
    pub stamp: Stamp,
    pub solo: bool,
}

pub struct Book {
    state: Mutex<State>,
    hierarchy_me: String,
}

struct State {
    wiring: Wiring,
    hierarchy: Hierarchy,
    ledger: Ledger,
    flights: HashMap<FetchId, Arc<Flight>>,
    sources: HashMap<Arc<str>, Source>,
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

/// A place in the ledger, and the bytes to wait for.
pub struct Waiting<'a> {
    book: &'a Book,
    wait: WaitId,
    pub flight: Arc<Flight>,
}

impl Drop for Waiting<'_> {
    /// Guards against a fetch that goes on for nobody, and a place that is never given back.
    fn drop(&mut self) {
        self.book.leave(self.wait);
    }
}

pub enum Entry<'a> {
    /// A fetch is to be started, and waited for.
    Lead(FetchId, Waiting<'a>),
    Join(Waiting<'a>),
    Full,
}

impl Book {
    pub fn new(me: &str, hierarchy: Hierarchy, limits: Limits) -> Result<Book, Refused> {
        let wiring = Wiring::new(me, hierarchy.tree.clone(), hierarchy.overlap_ms * 1_000)?;
        let ledger = Ledger::new(limits);
        let state = State { wiring, hierarchy, ledger, flights: HashMap::new(), sources: HashMap::new() };
        Ok(Book { state: Mutex::new(state), hierarchy_me: me.to_string() })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn stamp(&self) -> Stamp {
        self.state().wiring.present().stamp()
    }

    /// Former trees held, fetches under way, those who wait, sources known.
    pub fn sizes(&self) -> [usize; 4] {
        let state = self.state();
        let (fetches, waits) = state.ledger.size();
        [state.wiring.former(), fetches, waits, state.sources.len()]
    }

    /// A new tree; nothing changes where it is refused.
    pub fn rewire(&self, now: Time, hierarchy: Hierarchy) -> Result<Taken, Refused> {
        let mut state = self.state();
        let taken = state.wiring.take(now, hierarchy.tree.clone())?;
        if taken == Taken::New {
            // Addresses of nodes that only a former tree names stay until its fills are over.
            let mut nodes = std::mem::take(&mut state.hierarchy.nodes);
            nodes.extend(hierarchy.nodes.iter().map(|(name, place)| (name.clone(), *place)));
            let known = |name: &Arc<str>| hierarchy.tree.find(name).is_some();
            if state.wiring.former() <= 1 {
                let before = state.hierarchy.tree.clone();
                nodes.retain(|name, _| known(name) || before.find(name).is_some());
            }
            state.hierarchy = Hierarchy { nodes, ..hierarchy };
        }
        Ok(taken)
    }

    pub fn want(
        &self,
        now: Time,
        key: Key,
        arrival: Arrival,
        born_after: u64,
        until: Time,
    ) -> (Entry<'_>, Lane) {
        let mut state = self.state();
        let present = state.wiring.present().stamp();
        let lane = arrival.lane(present);
        let want = Want { key, arrival, present, born_after, until };
        let entry = match state.ledger.want(now, want) {
            Turn::Lead(id, wait) => {
                let flight = Arc::new(Flight::default());
                state.flights.insert(id, flight.clone());
                Entry::Lead(id, Waiting { book: self, wait, flight })
            }
            Turn::Join(id, wait) => {
                let flight = state.flights[&id].clone();
                Entry::Join(Waiting { book: self, wait, flight })
            }
            Turn::Full => Entry::Full,
        };
        (entry, lane)
    }

    fn leave(&self, wait: WaitId) {
        let mut state = self.state();
        let left = state.ledger.leave(wait).and_then(|id| state.flights.remove(&id));
        drop(state);
        left.iter().for_each(|flight| flight.call_off());
    }

    /// Where a try of a fill goes; `tried` names the sources that this fetch has tried.
    pub fn choose(
        &self,
        now: Time,
        fill: &Fill,
        tried: &[Arc<str>],
        tally: &Tally,
    ) -> Result<Target, Verdict> {
        let mut state = self.state();
        let State { wiring, hierarchy, sources, .. } = &mut *state;
        // A fill ends under the tree that it began under, while that may be used; after that it is solo, as those
        // who wait for it count on its tree.
        let began = match fill.lane {
            Lane::Of(stamp) => wiring.under(now, stamp).cloned(),
            Lane::Solo => None,
        };
        let solo = began.is_none();
        let tree = began.unwrap_or_else(|| wiring.present().clone());
        let me = wiring.me(&tree);
        let domain = &hierarchy.domain;
        let passed: Vec<Ix> = fill.way.passed(domain).filter_map(|name| tree.find(name)).collect();
        let past: Vec<Ix> = fill.past.iter().filter_map(|name| tree.find(name)).collect();
        let used = |ix: Ix| past.contains(&ix) || tried.contains(tree.name(ix));
        let well = |ix: Ix| {
            let health = sources.get(tree.name(ix)).map(|s| s.health);
            tree.node(ix).kind == Kind::Archive || health.is_none_or(|h| h.well(now))
        };
        let all = tree.next(me, fill.key.object, |ix| !used(ix));
        let open = |ix: &Ix| !passed.contains(ix);
        if all.first().is_some_and(|ix| !open(ix)) {
            add(&tally.loops_avoided);
        }
        let mut next = tree.next(me, fill.key.object, |ix| !used(ix) && open(&ix) && well(ix));
        if next.is_empty() {
            // All that are left are unwell: better one of those than none.
            next = tree.next(me, fill.key.object, |ix| !used(ix) && open(&ix));
        }
        if next.is_empty() {
            return Err(if all.is_empty() { Verdict::Failed } else { Verdict::Loop });
        }
        for ix in next {
            let name = tree.name(ix).clone();
            let Some(place) = hierarchy.nodes.get(&name) else { continue };
            let Some(address) = place.address else { continue };
            let source = sources.entry(name.clone()).or_default();
            if source.gate.is_none() && place.fills_per_s > 0.0 {
                source.gate = Some(gate(hierarchy, &tree, me, ix, now));
            }
            if source.gate.as_mut().is_some_and(|gate| !gate.take(now, 1.0)) {
                // Guards against a hub that started lately being pushed over by what is rewired to it.
                add(&tally.cold_held_back);
                continue;
            }
            let archive = tree.node(ix).kind == Kind::Archive;
            let (height, stamp) = (tree.height(ix), tree.stamp());
            return Ok(Target { name, address, archive, height, stamp, solo });
        }
        Err(Verdict::Full)
    }

    /// What a try says of its source. `since_ms`: when the source started, if it says so.
    pub fn hear(&self, now: Time, unix_ms: u64, name: &Arc<str>, word: Word, since_ms: Option<u64>) {
        let mut state = self.state();
        let State { wiring, hierarchy, sources, .. } = &mut *state;
        let source = sources.entry(name.clone()).or_default();
        source.health.hear(now, word);
        if matches!(word, Word::Unreached | Word::Failed) {
            // It may come back as a new start: until it says which, it counts as one.
            source.since_ms = 0;
            source.gate.iter_mut().for_each(|gate| gate.learn(Start { at: now, ..gate.start() }));
        }
        let Some(since) = since_ms.filter(|since| *since != source.since_ms) else { return };
        source.since_ms = since;
        let tree = wiring.present();
        let paced = hierarchy.nodes.get(name).is_some_and(|place| place.fills_per_s > 0.0);
        let Some(ix) = tree.find(name).filter(|_| paced) else { return };
        let age = unix_ms.saturating_sub(since).saturating_mul(1_000);
        let told = gate(hierarchy, tree, wiring.me(tree), ix, now.saturating_sub(age).max(1));
        match &mut source.gate {
            Some(held) => held.learn(told.start()),
            none => *none = Some(told),
        }
    }

    /// A try failed: what is next for all who wait.
    pub fn failed(&self, now: Time, fill: &Fill, attempt: u32, verdict: Verdict) -> Next {
        let mut state = self.state();
        let next = state.ledger.failed(now, fill.id, attempt);
        match next {
            Next::Again(attempt) => fill.flight.next(attempt),
            Next::Over => {
                state.flights.remove(&fill.id);
                fill.flight.end(verdict);
            }
            Next::Stale => {}
        }
        next
    }

    /// How long somebody still waits for a fetch (us); none where nobody does.
    pub fn left(&self, now: Time, fill: &Fill) -> Option<Time> {
        self.state().ledger.until(fill.id)?.checked_sub(now).filter(|left| *left > 0)
    }

    /// Where a write goes: by its object's way, past the nodes that it has passed. One, and no other.
    pub fn first(&self, object: u64, way: &Way) -> Option<Target> {
        let state = self.state();
        let tree = state.wiring.present().clone();
        let domain = &state.hierarchy.domain;
        let passed: Vec<Ix> = way.passed(domain).filter_map(|name| tree.find(name)).collect();
        let ix = *tree.next(state.wiring.me(&tree), object, |ix| !passed.contains(&ix)).first()?;
        let (name, archive) = (tree.name(ix).clone(), tree.node(ix).kind == Kind::Archive);
        let address = state.hierarchy.nodes.get(&name)?.address?;
        Some(Target { name, address, archive, height: tree.height(ix), stamp: tree.stamp(), solo: true })
    }

    pub fn beat(&self, now: Time, fill: &Fill, attempt: u32) {
        self.state().ledger.beat(now, fill.id, attempt);
    }

    /// The fetch is over for all: its part is whole, or there is none.
    pub fn done(&self, fill: &Fill, attempt: u32, verdict: Option<Verdict>) -> bool {
        let mut state = self.state();
        let current = state.ledger.done(fill.id, attempt);
        if current {
            state.flights.remove(&fill.id);
            verdict.iter().for_each(|verdict| fill.flight.end(*verdict));
        }
        current
    }

    /// Fetches whose thread died or hangs.
    pub fn lapsed(&self, now: Time) -> Vec<(FetchId, u32)> {
        self.state().ledger.lapsed(now)
    }

    /// Former trees whose time is over are let go of; addresses that nothing here uses any more.
    pub fn look(&self, now: Time) -> Vec<SocketAddr> {
        let mut state = self.state();
        let drained = state.wiring.look(now);
        let addresses = drained.iter().filter_map(|name| state.hierarchy.nodes.get(name)?.address).collect();
        if state.wiring.former() == 0 {
            let State { hierarchy, sources, .. } = &mut *state;
            // Guards against what is known of nodes piling up as they come and go.
            hierarchy.nodes.retain(|name, _| hierarchy.tree.find(name).is_some());
            sources.retain(|name, _| hierarchy.tree.find(name).is_some());
        }
        addresses
    }

    pub fn me(&self) -> &str {
        &self.hierarchy_me
    }
}

/// The gate to a source that started at a moment. Its callers are known to all from the tree, and so is each one's
/// turn.
fn gate(hierarchy: &Hierarchy, tree: &Tree, me: Ix, ix: Ix, at: Time) -> Gate {
    let full = hierarchy.nodes.get(tree.name(ix)).map_or(0.0, |place| place.fills_per_s);
    Gate::new(hierarchy.cold, Start { at, full }, me.0 as usize, tree.callers(ix))
}
