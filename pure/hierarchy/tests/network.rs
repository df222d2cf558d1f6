//! Many nodes, each with its own news, over an unreliable network in virtual time: whatever the order of epochs,
//! news, starts and deaths, no fill visits a node twice, no lane has two leaders, and every request ends. The
//! ledger is held against a plain model beside it.

use foldmux_hierarchy::cold::Rule;
use foldmux_hierarchy::ledger::{Arrival, FetchId, Key, Lane, Ledger, Limits, Next, Turn, WaitId, Want};
use foldmux_hierarchy::node::{Node, Seeking};
use foldmux_hierarchy::tree::{Draft, Kind, Proposed, Stamp, Tree};
use foldmux_hierarchy::Time;
use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap, HashSet};

const HUBS: usize = 5;
const LIMITS: Limits = Limits { fetches: 64, waits: 512, lease: 4_000, attempts: 6 };
const RULE: Rule = Rule { from: 0.1, over: 1, breaks_at: 2.0, window: 1, safety: 1.0 };

fn name(h: usize) -> String {
    format!("h{h}")
}

/// A tree from numbers: hub h goes by hubs that stand before it in an order, or by the archive alone.
fn tree(epoch: u64, order: &[usize], picks: &[u8]) -> Tree {
    let node = |name: String, kind, parents: Vec<String>| Proposed { name, kind, parents };
    let mut nodes = vec![node("archive".into(), Kind::Archive, vec![])];
    for (at, &h) in order.iter().enumerate() {
        let pick = picks[h] as usize;
        let mut parents: Vec<String> =
            (0..pick % 3).filter(|_| at > 0).map(|n| name(order[(pick / 3 + n) % at])).collect();
        parents.dedup();
        if parents.is_empty() || pick.is_multiple_of(2) {
            parents.push("archive".into());
        }
        nodes.push(node(name(h), Kind::Hub, parents));
    }
    Tree::check(&Draft { epoch, nodes, ..Draft::default() }).expect("sound by the order")
}

#[derive(Clone, Copy, Debug)]
enum Who {
    Client(usize),
    Hub { hub: usize, fetch: FetchId, attempt: u32 },
}

#[derive(Clone, Debug)]
enum Message {
    Ask {
        hub: usize,
        key: Key,
        arrival: Arrival,
        way: Vec<usize>,
        past: Vec<usize>,
        hold_only: bool,
        back: Who,
    },
    Answer {
        back: Who,
        got: bool,
    },
}

struct Hub {
    node: Node,
    held: HashSet<Key>,
    fetches: HashMap<FetchId, Fetch>,
    /// Which start this is: answers to a former one find nobody.
    start: u64,
}

struct Fetch {
    key: Key,
    lane: Lane,
    way: Vec<usize>,
    tried: Vec<usize>,
    waits: Vec<(WaitId, Who)>,
}

struct Net {
    now: Time,
    hubs: Vec<Hub>,
    trees: Vec<Tree>,
    /// Which tree each hub was told of last, so that one that starts anew has it.
    told: Vec<usize>,
    queue: BTreeMap<(Time, u64), Message>,
    next: u64,
    random: u64,
    clients: HashMap<usize, Option<bool>>,
    lost: u64,
    faults: Vec<String>,
}

impl Net {
    fn new(trees: Vec<Tree>, seed: u64, lost: u64) -> Net {
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

    fn draw(&mut self, below: u64) -> u64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % below
    }

    fn send(&mut self, message: Message) {
        let delay = 1 + self.draw(300);
        self.next += 1;
        self.queue.insert((self.now + delay, self.next), message);
    }

    fn client(&mut self, hub: usize, object: u64) {
        let number = self.clients.len();
        self.clients.insert(number, None);
        let key = Key { class: 0, object, part: 0 };
        let (arrival, back) = (Arrival::BEGINS, Who::Client(number));
        self.send(Message::Ask { hub, key, arrival, way: vec![], past: vec![], hold_only: false, back });
    }

    fn step(&mut self) -> bool {
        let due = self.hubs.iter().filter_map(|h| h.node.ledger().next_due()).min();
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

    /// No two fetches in one lane can be joined, and the ledger counts what is there.
    fn look(&mut self) {
        for hub in &self.hubs {
            let mut lanes = HashSet::new();
            if hub
                .fetches
                .values()
                .any(|f| !f.waits.is_empty() && f.lane != Lane::Solo && !lanes.insert((f.key, f.lane)))
            {
                self.faults.push("two leaders in one lane".to_string());
            }
            let (fetches, waits) = hub.node.ledger().size();
            if fetches != hub.fetches.len()
                || waits != hub.fetches.values().map(|f| f.waits.len()).sum::<usize>()
            {
                self.faults.push(format!("the ledger has {fetches} fetches and {waits} waits"));
            }
        }
    }

    fn lapse(&mut self, due: Time) {
        self.now = self.now.max(due);
        for hub in 0..HUBS {
            for (id, attempt) in self.hubs[hub].node.lapsed(self.now) {
                self.failed(hub, id, attempt);
            }
        }
    }

    fn failed(&mut self, hub: usize, id: FetchId, attempt: u32) {
        match self.hubs[hub].node.failed(self.now, id, attempt) {
            Next::Again(next) => self.seek(hub, id, next),
            Next::Over => self.end(hub, id, false),
            Next::Stale => {}
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Answer { back: Who::Client(number), got } => {
                if self.clients.insert(number, Some(got)).flatten().is_some() {
                    self.faults.push("a second answer".to_string());
                }
            }
            Message::Answer { back: Who::Hub { hub, fetch, attempt }, got } => match got {
                true if self.hubs[hub].node.done(fetch, attempt) => self.end(hub, fetch, true),
                true => {}
                false => self.failed(hub, fetch, attempt),
            },
            Message::Ask { hub, key, arrival, way, past, hold_only, back } => {
                if way.contains(&hub) {
                    self.faults.push(format!("{hub} twice on {way:?}"));
                }
                if self.hubs[hub].held.contains(&key) || hold_only {
                    let got = self.hubs[hub].held.contains(&key);
                    return self.send(Message::Answer { back, got });
                }
                let until = self.now + 40_000;
                let (turn, lane) = self.hubs[hub].node.want(self.now, key, arrival, 0, until);
                match turn {
                    Turn::Full => self.send(Message::Answer { back, got: false }),
                    Turn::Join(id, wait) => {
                        self.hubs[hub].fetches.get_mut(&id).unwrap().waits.push((wait, back));
                    }
                    Turn::Lead(id, wait) => {
                        let fetch = Fetch { key, lane, way, tried: past, waits: vec![(wait, back)] };
                        self.hubs[hub].fetches.insert(id, fetch);
                        self.seek(hub, id, 0);
                    }
                }
            }
        }
    }

    fn seek(&mut self, hub: usize, id: FetchId, attempt: u32) {
        let now = self.now;
        let state = &mut self.hubs[hub];
        let fetch = state.fetches.get_mut(&id).unwrap();
        let names = |hubs: &[usize]| hubs.iter().map(|h| name(*h)).collect::<Vec<_>>();
        let (passed, tried) = (names(&fetch.way), names(&fetch.tried));
        let passed: Vec<&str> = passed.iter().map(String::as_str).collect();
        let tried: Vec<&str> = tried.iter().map(String::as_str).collect();
        let seeking = Seeking { object: fetch.key.object, lane: fetch.lane, passed: &passed, tried: &tried };
        let Ok(choice) = state.node.choose(now, &seeking) else {
            assert!(state.node.done(id, attempt));
            return self.end(hub, id, false);
        };
        let back = Who::Hub { hub, fetch: id, attempt };
        let lost = self.lost > 0 && self.draw(100) < self.lost;
        let fetch = self.hubs[hub].fetches.get_mut(&id).unwrap();
        if choice.archive {
            // The archive may be slow or lose a word too; it is asked again.
            if !lost {
                self.send(Message::Answer { back, got: true });
            }
            return;
        }
        let to: usize = choice.name[1..].parse().unwrap();
        fetch.tried.push(to);
        let (key, past) = (fetch.key, fetch.tried.clone());
        let way = fetch.way.iter().copied().chain([hub]).collect();
        let arrival = Arrival { stamp: Some(choice.stamp), solo: choice.solo };
        if !lost {
            self.send(Message::Ask { hub: to, key, arrival, way, past, hold_only: choice.hold_only, back });
        }
    }

    fn end(&mut self, hub: usize, id: FetchId, got: bool) {
        let fetch = self.hubs[hub].fetches.remove(&id).unwrap();
        if got {
            self.hubs[hub].held.insert(fetch.key);
        }
        for (wait, back) in fetch.waits {
            self.hubs[hub].node.leave(wait);
            self.send(Message::Answer { back, got });
        }
    }

    /// A hub dies: whoever waited there hears nothing from it, but its connections' ends; it starts anew, empty.
    fn die(&mut self, hub: usize) {
        let start = self.hubs[hub].start + 1;
        let tree = &self.trees[self.told[hub]];
        let dead = std::mem::replace(&mut self.hubs[hub], Hub::new(hub, tree, start));
        // What its fetches had asked others for is answered to nobody.
        self.queue
            .retain(|_, m| !matches!(m, Message::Answer { back: Who::Hub { hub: h, .. }, .. } if *h == hub));
        for other in &mut self.hubs {
            for fetch in other.fetches.values_mut() {
                let gone = |w: &(WaitId, Who)| matches!(w.1, Who::Hub { hub: h, .. } if h == hub);
                for (wait, _) in fetch.waits.extract_if(.., |w| gone(w)) {
                    other.node.leave(wait);
                }
            }
            other.fetches.retain(|_, f| !f.waits.is_empty());
        }
        self.queue
            .retain(|_, m| !matches!(m, Message::Ask { back: Who::Hub { hub: h, .. }, .. } if *h == hub));
        for fetch in dead.fetches.into_values() {
            fetch.waits.into_iter().for_each(|(_, back)| self.send(Message::Answer { back, got: false }));
        }
    }
}

impl Hub {
    fn new(h: usize, tree: &Tree, start: u64) -> Hub {
        let node = Node::new(&name(h), tree.clone(), 2_000, LIMITS, RULE, HashMap::new()).unwrap();
        Hub { node, held: HashSet::new(), fetches: HashMap::new(), start }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Ask { hub: usize, object: u64 },
    Told { hub: usize, tree: usize },
    Die { hub: usize },
    Run { steps: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..HUBS, 0u64..4).prop_map(|(hub, object)| Step::Ask { hub, object }),
        3 => (0..HUBS, 0usize..4).prop_map(|(hub, tree)| Step::Told { hub, tree }),
        1 => (0..HUBS).prop_map(|hub| Step::Die { hub }),
        4 => (1usize..12).prop_map(|steps| Step::Run { steps }),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(std::env::var("PROPTEST_CASES").map_or(400, |n| n.parse().unwrap_or(400))))]

    #[test]
    fn no_circle_no_second_leader_and_every_request_ends(
        picks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), HUBS), 4),
        orders in proptest::collection::vec(Just((0..HUBS).collect::<Vec<_>>()).prop_shuffle(), 4),
        steps in steps(),
        seed in any::<u64>(),
        lost in prop_oneof![Just(0u64), 1u64..30],
    ) {
        let trees = (0..4).map(|t| tree(t as u64 + 1, &orders[t], &picks[t])).collect();
        let mut net = Net::new(trees, seed, lost);
        for step in steps {
            match step {
                Step::Ask { hub, object } => net.client(hub, object),
                // News comes in any order; an older tree is refused and changes nothing.
                Step::Told { hub, tree } => {
                    let news = net.trees[tree].clone();
                    let now = net.now;
                    if net.hubs[hub].node.rewire(now, news, HashMap::new()).is_ok() {
                        net.told[hub] = tree;
                    }
                }
                Step::Die { hub } => net.die(hub),
                Step::Run { steps } => {
                    let _ = (0..steps).all(|_| net.step());
                }
            }
        }
        let mut left = 200_000;
        while net.step() {
            left -= 1;
            prop_assert!(left > 0, "it never comes to rest");
        }
        prop_assert!(net.faults.is_empty(), "{:?}", net.faults);
        prop_assert!(net.clients.values().all(Option::is_some), "a request without an end");
        if lost == 0 {
            // Nothing hangs: no fill ever waited for one that waited for it.
            prop_assert!(net.hubs.iter().all(|h| h.node.ledger().counts().lapsed == 0), "a wait that never ended by itself");
        }
    }

    /// The ledger against a plain list of fetches, searched from the front.
    #[test]
    fn the_ledger_does_as_a_plain_model(
        ops in proptest::collection::vec((0u8..6, 0u64..3, 0u8..4, 0u64..3), 1..200)
    ) {
        let stamp = |n: u8| Stamp { epoch: n as u64 + 1, digest: n as u32 };
        let mut ledger = Ledger::new(Limits { fetches: 6, waits: 12, ..LIMITS });
        // Fetch, key, lane, bound, waits, joinable.
        let mut plain: Vec<(FetchId, Key, Lane, u64, Vec<WaitId>, bool)> = Vec::new();
        for (op, object, how, bound) in ops {
            let key = Key { class: 0, object, part: 0 };
            match op {
                0..=3 => {
                    let arrival = match how {
                        0 => Arrival::BEGINS,
                        1 | 2 => Arrival { stamp: Some(stamp(how - 1)), solo: false },
                        _ => Arrival { stamp: Some(stamp(0)), solo: true },
                    };
                    let want = Want { key, arrival, present: stamp(0), born_after: bound, until: 1_000_000 };
                    let lane = if arrival.solo || how == 2 { Lane::Solo } else { Lane::Of(stamp(0)) };
                    let joins = |l: Lane| plain.iter().position(|p| p.5 && p.1 == key && p.2 == l && p.3 >= bound);
                    let expected = joins(lane).or_else(|| joins(Lane::Solo)).filter(|_| !arrival.solo);
                    let waits: usize = plain.iter().map(|p| p.4.len()).sum();
                    match ledger.want(0, want) {
                        Turn::Full => prop_assert!(waits >= 12 || (expected.is_none() && plain.len() >= 6)),
                        Turn::Join(id, wait) => {
                            let at = expected.expect("the model would have led");
                            prop_assert_eq!(plain[at].0, id);
                            plain[at].4.push(wait);
                        }
                        Turn::Lead(id, wait) => {
                            prop_assert!(expected.is_none() && plain.len() < 6);
                            plain.iter_mut().filter(|p| p.1 == key && p.2 == lane).for_each(|p| p.5 = false);
                            plain.push((id, key, lane, bound, vec![wait], true));
                        }
                    }
                }
                4 => {
                    if let Some(at) = plain.iter().position(|p| p.1 == key) {
                        let wait = plain[at].4.pop().expect("somebody waits");
                        let over = plain[at].4.is_empty();
                        prop_assert_eq!(ledger.leave(wait), over.then_some(plain[at].0));
                        if over {
                            plain.remove(at);
                        }
                    }
                }
                _ => {
                    if let Some(at) = plain.iter().position(|p| p.1 == key) {
                        let (id, _, _, _, waits, _) = plain.remove(at);
                        let attempt = ledger.attempt(id).expect("under way");
                        prop_assert!(ledger.done(id, attempt) && !ledger.done(id, attempt));
                        waits.into_iter().for_each(|wait| assert_eq!(ledger.leave(wait), None));
                    }
                }
            }
            prop_assert_eq!(ledger.size(), (plain.len(), plain.iter().map(|p| p.4.len()).sum()));
        }
    }
}
