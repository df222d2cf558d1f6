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

/// Builds a valid tree from random numbers: the parents of a hub are hubs before it in `order`, the archive, or both.
pub fn tree(epoch: u64, order: &[usize], picks: &[u8]) -> Tree {
    let node = |name: String, kind, parents: Vec<String>| ProposedNode {
        name,
        kind,
        parents,
    };
    let mut nodes = vec![node("archive".into(), NodeKind::Archive, vec![])];
    for (position, &h) in order.iter().enumerate() {
        let pick = picks[h] as usize;
        let mut parents: Vec<String> = (0..pick % 3)
            .filter(|_| position > 0)
            .map(|n| name(order[(pick / 3 + n) % position]))
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
    .expect("parents come before their hubs in the order")
}

/// The recipient of a response.
#[derive(Clone, Copy, Debug)]
pub enum ReplyTo {
    Client(usize),
    Hub {
        hub: usize,
        fetch: FetchId,
        attempt: u32,
    },
}

#[derive(Clone, Debug)]
pub enum Message {
    Request {
        hub: usize,
        key: FetchKey,
        context: FillContext,
        path: Vec<usize>,
        tried: Vec<usize>,
        only_if_cached: bool,
        reply_to: ReplyTo,
    },
    Response {
        reply_to: ReplyTo,
        success: bool,
    },
}

pub struct Hub {
    pub node: Node,
    pub cached: HashSet<FetchKey>,
    pub fetches: HashMap<FetchId, Fetch>,
    /// Number of restarts before this one.
    restarts: u64,
}

pub struct Fetch {
    pub key: FetchKey,
    pub scope: CollapseScope,
    pub path: Vec<usize>,
    pub tried: Vec<usize>,
    pub waiters: Vec<(WaiterId, ReplyTo)>,
}

pub struct Network {
    pub now: TimestampUs,
    pub hubs: Vec<Hub>,
    pub trees: Vec<Tree>,
    /// Index of the tree that each hub applied last, which it loads after a crash.
    pub last_tree: Vec<usize>,
    queue: BTreeMap<(TimestampUs, u64), Message>,
    /// Sequence number of the last message that was sent; it keeps the keys of the queue unique.
    last_sequence: u64,
    random: u64,
    pub clients: HashMap<usize, Option<bool>>,
    pub loss_percent: u64,
    pub violations: Vec<String>,
}

impl Network {
    pub fn new(trees: Vec<Tree>, seed: u64, loss_percent: u64) -> Network {
        let hubs = (0..HUBS).map(|h| Hub::new(h, &trees[0], 0)).collect();
        Network {
            now: 1,
            hubs,
            last_tree: vec![0; HUBS],
            trees,
            queue: BTreeMap::new(),
            last_sequence: 0,
            random: seed,
            clients: HashMap::new(),
            loss_percent,
            violations: vec![],
        }
    }

    pub fn random_below(&mut self, below: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % below
    }

    pub fn send(&mut self, message: Message) {
        let delay = 1 + self.random_below(300);
        self.last_sequence += 1;
        self.queue
            .insert((self.now + delay, self.last_sequence), message);
    }

    pub fn client_request(&mut self, hub: usize, object: u64) {
        let number = self.clients.len();
        self.clients.insert(number, None);
        let key = FetchKey {
            class: 0,
            object,
            part: 0,
        };
        let (context, reply_to) = (FillContext::LOCAL, ReplyTo::Client(number));
        self.send(Message::Request {
            hub,
            key,
            context,
            path: vec![],
            tried: vec![],
            only_if_cached: false,
            reply_to,
        });
    }

    pub fn step(&mut self) -> bool {
        let lease_end = self
            .hubs
            .iter()
            .filter_map(|h| h.node.fetches().next_lease_end())
            .min();
        let next_message = self.queue.keys().next().copied();
        match (next_message, lease_end) {
            (Some((at, _)), Some(lease_end)) if lease_end < at => self.expire_leases(lease_end),
            (Some(key), _) => {
                self.now = self.now.max(key.0);
                let message = self.queue.remove(&key).unwrap();
                self.deliver(message);
            }
            (None, Some(lease_end)) => self.expire_leases(lease_end),
            (None, None) => return false,
        }
        self.check_invariants();
        true
    }

    /// Checks that each scope has at most one fetch for a part, and that the tables match the fetches of the test.
    fn check_invariants(&mut self) {
        for hub in &self.hubs {
            let mut led_scopes = HashSet::new();
            if hub.fetches.values().any(|f| {
                !f.waiters.is_empty()
                    && f.scope != CollapseScope::Uncollapsed
                    && !led_scopes.insert((f.key, f.scope))
            }) {
                self.violations.push("two leaders in one scope".to_string());
            }
            let (fetches, waiters) = hub.node.fetches().sizes();
            if fetches != hub.fetches.len()
                || waiters != hub.fetches.values().map(|f| f.waiters.len()).sum::<usize>()
            {
                self.violations.push(format!(
                    "the table has {fetches} fetches and {waiters} waiters, which do not match"
                ));
            }
        }
    }

    fn expire_leases(&mut self, lease_end: TimestampUs) {
        self.now = self.now.max(lease_end);
        for hub in 0..HUBS {
            for (id, attempt) in self.hubs[hub].node.expired_leases(self.now) {
                self.attempt_failed(hub, id, attempt);
            }
        }
    }

    /// Crashes a hub and restarts it with an empty cache. Requests that it had not answered fail, as their connections close.
    pub fn crash(&mut self, hub: usize) {
        let restarts = self.hubs[hub].restarts + 1;
        let tree = &self.trees[self.last_tree[hub]];
        let crashed = std::mem::replace(&mut self.hubs[hub], Hub::new(hub, tree, restarts));
        // Responses to its own fetches are lost.
        self.queue.retain(
            |_, m| !matches!(m, Message::Response { reply_to: ReplyTo::Hub { hub: h, .. }, .. } if *h == hub),
        );
        for other in &mut self.hubs {
            for fetch in other.fetches.values_mut() {
                let from_crashed = |w: &(WaiterId, ReplyTo)| matches!(w.1, ReplyTo::Hub { hub: h, .. } if h == hub);
                for (waiter, _) in fetch.waiters.extract_if(.., |w| from_crashed(w)) {
                    other.node.leave(waiter);
                }
            }
            other.fetches.retain(|_, f| !f.waiters.is_empty());
        }
        self.queue.retain(
            |_, m| !matches!(m, Message::Request { reply_to: ReplyTo::Hub { hub: h, .. }, .. } if *h == hub),
        );
        for fetch in crashed.fetches.into_values() {
            fetch.waiters.into_iter().for_each(|(_, reply_to)| {
                self.send(Message::Response {
                    reply_to,
                    success: false,
                })
            });
        }
    }
}

impl Hub {
    fn new(h: usize, tree: &Tree, restarts: u64) -> Hub {
        let node = Node::new(&name(h), tree.clone(), 2_000, LIMITS, RULE, HashMap::new()).unwrap();
        Hub {
            node,
            cached: HashSet::new(),
            fetches: HashMap::new(),
            restarts,
        }
    }
}
