//! The nodes of a network, the messages between them, and virtual time.

use foldmux_hierarchy::in_flight::{
    CollapseScope, FetchId, FetchKey, FetchLimits, FillContext, WaiterId,
};
use foldmux_hierarchy::node::Node;
use foldmux_hierarchy::slow_start::SlowStart;
use foldmux_hierarchy::tree::{NodeKind, ProposedNode, Tree, TreeDraft};
use foldmux_hierarchy::TimestampUs;
use std::collections::{BTreeMap, HashMap, HashSet};

pub const HUBS: usize = 5;
pub const LIMITS: FetchLimits = FetchLimits {
    fetches: 64,
    waiters: 512,
    lease_us: 4_000,
    attempts: 6,
};
const RULE: SlowStart = SlowStart {
    initial_ratio: 0.1,
    ramp_us: 1,
    overload_multiple: 2.0,
    overload_window_us: 1,
    budget_ratio: 1.0,
};

pub fn name(h: usize) -> String {
    format!("h{h}")
}

/// A tree from numbers: hub h goes by hubs that stand before it in an order, or by the archive alone.
pub fn tree(epoch: u64, order: &[usize], picks: &[u8]) -> Tree {
    let node = |name: String, kind, parents: Vec<String>| ProposedNode {
        name,
        kind,
        parents,
    };
    let mut nodes = vec![node("archive".into(), NodeKind::Archive, vec![])];
    for (at, &h) in order.iter().enumerate() {
        let pick = picks[h] as usize;
        let mut parents: Vec<String> = (0..pick % 3)
            .filter(|_| at > 0)
            .map(|n| name(order[(pick / 3 + n) % at]))
            .collect();
        parents.dedup();
        if parents.is_empty() || pick.is_multiple_of(2) {
            parents.push("archive".into());
        }
        nodes.push(node(name(h), NodeKind::Hub, parents));
    }
    Tree::validate(&TreeDraft {
        epoch,
        nodes,
        ..TreeDraft::default()
    })
    .expect("sound by the order")
}

#[derive(Clone, Copy, Debug)]
pub enum Who {
    Client(usize),
    Hub {
        hub: usize,
        fetch: FetchId,
        attempt: u32,
    },
}

#[derive(Clone, Debug)]
pub enum Message {
    Ask {
        hub: usize,
        key: FetchKey,
        origin: FillContext,
        way: Vec<usize>,
        past: Vec<usize>,
        only_if_cached: bool,
        back: Who,
    },
    Answer {
        back: Who,
        got: bool,
    },
}

pub struct Hub {
    pub node: Node,
    pub held: HashSet<FetchKey>,
    pub fetches: HashMap<FetchId, Fetch>,
    /// Which start this is: answers to a former one find nobody.
    start: u64,
}

pub struct Fetch {
    pub key: FetchKey,
    pub scope: CollapseScope,
    pub way: Vec<usize>,
    pub tried: Vec<usize>,
    pub waits: Vec<(WaiterId, Who)>,
}

pub struct Net {
    pub now: TimestampUs,
    pub hubs: Vec<Hub>,
    pub trees: Vec<Tree>,
    /// Which tree each hub was told of last, so that one that starts anew has it.
    pub told: Vec<usize>,
    queue: BTreeMap<(TimestampUs, u64), Message>,
    next: u64,
    random: u64,
    pub clients: HashMap<usize, Option<bool>>,
    pub lost: u64,
    pub faults: Vec<String>,
}

impl Net {
    pub fn new(trees: Vec<Tree>, seed: u64, lost: u64) -> Net {
        let hubs = (0..HUBS).map(|h| Hub::new(h, &trees[0], 0)).collect();
        Net {
            now: 1,
            hubs,
            told: vec![0; HUBS],
            trees,
            queue: BTreeMap::new(),
            next: 0,
            random: seed,
            clients: HashMap::new(),
            lost,
            faults: vec![],
        }
    }

    pub fn draw(&mut self, below: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % below
    }

    pub fn send(&mut self, message: Message) {
        let delay = 1 + self.draw(300);
        self.next += 1;
        self.queue.insert((self.now + delay, self.next), message);
    }

    pub fn client(&mut self, hub: usize, object: u64) {
        let number = self.clients.len();
        self.clients.insert(number, None);
        let key = FetchKey {
            class: 0,
            object,
            part: 0,
        };
        let (origin, back) = (FillContext::LOCAL, Who::Client(number));
        self.send(Message::Ask {
            hub,
            key,
            origin,
            way: vec![],
            past: vec![],
            only_if_cached: false,
            back,
        });
    }

    pub fn step(&mut self) -> bool {
        let due = self
            .hubs
            .iter()
            .filter_map(|h| h.node.fetches().next_lease_end())
            .min();
        let first = self.queue.keys().next().copied();
        match (first, due) {
            (Some((at, _)), Some(due)) if due < at => self.lapse(due),
            (Some(key), _) => {
                self.now = self.now.max(key.0);
                let message = self.queue.remove(&key).unwrap();
                self.take(message);
            }
            (None, Some(due)) => self.lapse(due),
            (None, None) => return false,
        }
        self.look();
        true
    }

    /// No two fetches in one scope can be joined, and the ledger counts what is there.
    fn look(&mut self) {
        for hub in &self.hubs {
            let mut lanes = HashSet::new();
            if hub.fetches.values().any(|f| {
                !f.waits.is_empty()
                    && f.scope != CollapseScope::Uncollapsed
                    && !lanes.insert((f.key, f.scope))
            }) {
                self.faults.push("two leaders in one scope".to_string());
            }
            let (fetches, waits) = hub.node.fetches().sizes();
            if fetches != hub.fetches.len()
                || waits != hub.fetches.values().map(|f| f.waits.len()).sum::<usize>()
            {
                self.faults.push(format!(
                    "the ledger has {fetches} fetches and {waits} waits"
                ));
            }
        }
    }

    fn lapse(&mut self, due: TimestampUs) {
        self.now = self.now.max(due);
        for hub in 0..HUBS {
            for (id, attempt) in self.hubs[hub].node.expired_leases(self.now) {
                self.failed(hub, id, attempt);
            }
        }
    }

    /// A hub dies: whoever waited there hears nothing from it, but its connections' ends; it starts anew, empty.
    pub fn die(&mut self, hub: usize) {
        let start = self.hubs[hub].start + 1;
        let tree = &self.trees[self.told[hub]];
        let dead = std::mem::replace(&mut self.hubs[hub], Hub::new(hub, tree, start));
        // What its fetches had asked others for is answered to nobody.
        self.queue.retain(
            |_, m| !matches!(m, Message::Answer { back: Who::Hub { hub: h, .. }, .. } if *h == hub),
        );
        for other in &mut self.hubs {
            for fetch in other.fetches.values_mut() {
                let gone = |w: &(WaiterId, Who)| matches!(w.1, Who::Hub { hub: h, .. } if h == hub);
                for (wait, _) in fetch.waits.extract_if(.., |w| gone(w)) {
                    other.node.leave(wait);
                }
            }
            other.fetches.retain(|_, f| !f.waits.is_empty());
        }
        self.queue.retain(
            |_, m| !matches!(m, Message::Ask { back: Who::Hub { hub: h, .. }, .. } if *h == hub),
        );
        for fetch in dead.fetches.into_values() {
            fetch
                .waits
                .into_iter()
                .for_each(|(_, back)| self.send(Message::Answer { back, got: false }));
        }
    }
}

impl Hub {
    fn new(h: usize, tree: &Tree, start: u64) -> Hub {
        let node = Node::new(&name(h), tree.clone(), 2_000, LIMITS, RULE, HashMap::new()).unwrap();
        Hub {
            node,
            held: HashSet::new(),
            fetches: HashMap::new(),
            start,
        }
    }
}
