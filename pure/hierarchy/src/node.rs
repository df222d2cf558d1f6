//! One hub's decisions, all together: the trees that it goes by, its ledger, and what it knows of its sources. A
//! hub on sockets and one in a model decide by the same.

mod choose;

pub use choose::{Choice, NoWay, Seeking};

use crate::cold::{Gate, Rule, Start};
use crate::epochs::{Refused, Taken, Wiring};
use crate::health::{Health, Word};
use crate::ledger::{Arrival, FetchId, Lane, Ledger, Limits, Next, Turn, WaitId, Want};
use crate::tree::Tree;
use crate::Time;
use std::collections::HashMap;
use std::sync::Arc;

/// What is known of a source.
#[derive(Default)]
struct Source {
    health: Health,
    /// When it last started, as it says; 0 while it has not said.
    since_ms: u64,
    /// Guards against a hub that started lately, and has not said so yet, being pushed over by the first that is
    /// sent to it: one that is not known counts as started when it is first wanted.
    gate: Option<Gate>,
}

/// All that one hub decides by.
pub struct Node {
    wiring: Wiring,
    ledger: Ledger,
    sources: HashMap<Arc<str>, Source>,
    /// Fills a second of those whose full pace is told.
    paces: HashMap<Arc<str>, f64>,
    cold: Rule,
}

impl Node {
    /// A hub named `me`. `overlap`: how long a former tree may still be used; `paces`: fills a second of those hubs whose
    /// full pace is told. An error where the tree does not hold `me`.
    pub fn new(
        me: &str,
        tree: Tree,
        overlap: Time,
        limits: Limits,
        cold: Rule,
        paces: HashMap<Arc<str>, f64>,
    ) -> Result<Node, Refused> {
        let (wiring, ledger) = (Wiring::new(me, tree, overlap)?, Ledger::new(limits));
        Ok(Node {
            wiring,
            ledger,
            sources: HashMap::new(),
            paces,
            cold,
        })
    }

    /// The tree in service.
    pub fn present(&self) -> &Arc<Tree> {
        self.wiring.present()
    }

    /// Its fetches and who waits for them.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The trees that it goes by.
    pub fn wiring(&self) -> &Wiring {
        &self.wiring
    }

    /// Former trees held, and sources known.
    pub fn sizes(&self) -> (usize, usize) {
        (self.wiring.former(), self.sources.len())
    }

    /// A new tree, and the paces that come with it; nothing changes where it is refused.
    pub fn rewire(
        &mut self,
        now: Time,
        tree: Tree,
        paces: HashMap<Arc<str>, f64>,
    ) -> Result<Taken, Refused> {
        let taken = self.wiring.take(now, tree)?;
        if taken == Taken::New {
            self.paces = paces;
        }
        Ok(taken)
    }

    /// Somebody wants a part that is not held here: see [`Ledger::want`].
    pub fn want(
        &mut self,
        now: Time,
        key: crate::ledger::Key,
        arrival: Arrival,
        born_after: u64,
        until: Time,
    ) -> (Turn, Lane) {
        let present = self.wiring.present().stamp();
        let turn = self.ledger.want(
            now,
            Want {
                key,
                arrival,
                present,
                born_after,
                until,
            },
        );
        (turn, arrival.lane(present))
    }

    /// See [`Ledger::leave`].
    pub fn leave(&mut self, wait: WaitId) -> Option<FetchId> {
        self.ledger.leave(wait)
    }

    /// See [`Ledger::beat`].
    pub fn beat(&mut self, now: Time, id: FetchId, attempt: u32) {
        self.ledger.beat(now, id, attempt);
    }

    /// See [`Ledger::done`].
    pub fn done(&mut self, id: FetchId, attempt: u32) -> bool {
        self.ledger.done(id, attempt)
    }

    /// See [`Ledger::failed`].
    pub fn failed(&mut self, now: Time, id: FetchId, attempt: u32) -> Next {
        self.ledger.failed(now, id, attempt)
    }

    /// See [`Ledger::lapsed`].
    pub fn lapsed(&mut self, now: Time) -> Vec<(FetchId, u32)> {
        self.ledger.lapsed(now)
    }

    /// What a try says of its source. `since_ms`: when the source started, if it says so; `unix_ms`: now.
    pub fn hear(
        &mut self,
        now: Time,
        unix_ms: u64,
        name: &Arc<str>,
        word: Word,
        since_ms: Option<u64>,
    ) {
        let source = self.sources.entry(name.clone()).or_default();
        source.health.hear(now, word);
        let learn = |source: &mut Source, at: Time| {
            source
                .gate
                .iter_mut()
                .for_each(|gate| gate.learn(Start { at, ..gate.start() }));
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
            learn(
                source,
                if age >= self.cold.over {
                    0
                } else {
                    now.saturating_sub(age).max(1)
                },
            );
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
mod tests;
