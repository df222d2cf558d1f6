//! The day: routers, cache boxes, hubs and the archive in virtual time. Routers are `foldmux::Router`, hubs decide
//! by `foldmux_hierarchy::node::Node`; only what stands between them is a model. The same seed is the same day.

use crate::scenario::Scenario;
use foldmux::interface::*;
use foldmux::Router;
use foldmux_hierarchy::cold::Rule;
use foldmux_hierarchy::ledger::{Arrival, FetchId, Key, Lane, Limits, Next, Turn, WaitId};
use foldmux_hierarchy::node::{Node, Seeking};
use foldmux_hierarchy::tree::{Draft, Kind, Proposed, Tree};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

const SECOND: f64 = 1e6;
/// Beyond any day: the routers' clocks start here, so that purges lie behind.
const START: Time = 1_000_000_000;
const BOX: usize = 0;
const HUB: usize = 1;
const ARCHIVE: usize = 2;
const HUB_IDS: u32 = 1_000_000;
const ARCHIVE_ID: CacheId = CacheId(2_000_000);
const CLIENT_KB_PER_S: f64 = 5_000.0;
/// Mean size of a part (KB) and its spread.
const SIZE: (f64, f64) = (300.0, 0.8);
const FILL_PACE: f64 = 3.0;
const DEADLINE: Time = 3_000_000;

/// What came of a day.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Result {
    pub requests: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Worth served in its wanted time over the worth asked.
    pub worth: f64,
    pub archive_fetches: u64,
    /// Parts, told apart by the purges of their object, that were fetched at least once.
    pub parts_fetched: u64,
    pub archive_fetches_per_object: f64,
    /// Sources left out for being on a fill's way.
    pub loops_broken: u64,
    pub node_visited_twice: u64,
    /// Answers from a copy older than a purge that the router had been told of a second before it sent.
    pub older_than_purge: u64,
    pub fill_hops: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub most_open_fetches: usize,
}

type Part = (u64, u32);

/// Copies by their birth, the least lately used dropped first.
#[derive(Default)]
struct Store {
    copies: HashMap<Part, (Time, u64)>,
    order: BTreeMap<u64, Part>,
    clock: u64,
    most: usize,
}

impl Store {
    fn new(most: usize) -> Store {
        Store { most, ..Store::default() }
    }

    fn get(&mut self, part: Part, born_after: Time) -> Option<Time> {
        let (born, used) = self.copies.get_mut(&part).filter(|c| c.0 >= born_after)?;
        self.order.remove(used);
        self.clock += 1;
        *used = self.clock;
        self.order.insert(self.clock, part);
        Some(*born)
    }

    fn put(&mut self, part: Part, born: Time) {
        self.clock += 1;
        if let Some((_, used)) = self.copies.insert(part, (born, self.clock)) {
            self.order.remove(&used);
        }
        self.order.insert(self.clock, part);
        if self.copies.len() > self.most {
            if let Some((_, oldest)) = self.order.pop_first() {
                self.copies.remove(&oldest);
            }
        }
    }

    fn drop_object(&mut self, object: u64, parts: u32) {
        for part in 0..parts {
            if let Some((_, used)) = self.copies.remove(&(object, part)) {
                self.order.remove(&used);
            }
        }
    }
}

/// Who is told how a fill ended.
#[derive(Clone, Copy)]
enum Back {
    Box { cache: usize, request: RequestId, attempt: u8 },
    Hub { hub: usize, fetch: FetchId, attempt: u32 },
}

#[derive(Clone)]
struct Fill {
    part: Part,
    size_kb: f64,
    arrival: Arrival,
    way: Vec<usize>,
    past: Vec<usize>,
    born_after: Time,
    hold_only: bool,
    until: Time,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Got {
    Copy { born: Time, hops: u32 },
    Lacks,
    Refused,
}

enum Event {
    Arrive {
        edge: usize,
    },
    Timer {
        edge: usize,
        token: u32,
    },
    AtBox {
        edge: usize,
        fetch: Fetch,
        attempt: u8,
    },
    AtHub {
        hub: usize,
        fill: Fill,
        back: Back,
    },
    AtArchive {
        fill: Fill,
        back: Back,
    },
    Answer {
        back: Back,
        got: Got,
    },
    /// A cache box has what it was asked for, or not.
    Done {
        edge: usize,
        request: RequestId,
        attempt: u8,
        outcome: Outcome,
        note: Note,
        born: Time,
        sent: Time,
    },
    Served {
        edge: usize,
        request: RequestId,
    },
    Purge,
    Purged {
        edge: usize,
        object: u64,
        at: Time,
    },
    Drop {
        cache: usize,
        object: u64,
        at: Time,
    },
    Rewire {
        change: usize,
    },
    Told {
        node: Who,
        change: usize,
    },
}

#[derive(Clone, Copy)]
enum Who {
    Hub(usize),
    Edge(usize),
}

struct Open {
    part: Part,
    size_kb: f64,
    asked: Time,
    aim: Time,
    worth: f64,
    bound: Time,
    attempts: u8,
    hops: u32,
}

struct HubState {
    node: Node,
    store: Store,
    link_free: Time,
    fetches: HashMap<FetchId, Flight>,
}

struct Flight {
    fill: Fill,
    lane: Lane,
    tried: Vec<usize>,
    waits: Vec<(WaitId, Back)>,
}

struct EdgeState {
    router: Router,
    open: HashMap<RequestId, Open>,
    /// Purges that it was told of: when, and of when.
    told: HashMap<u64, (Time, Time)>,
}

pub struct Day<'a> {
    s: &'a Scenario,
    now: Time,
    end: Time,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    bodies: HashMap<u64, Event>,
    next: u64,
    rng: StdRng,
    zipf: Zipf<f64>,
    gap: Exp<f64>,
    size: LogNormal<f64>,
    edges: Vec<EdgeState>,
    boxes: Vec<Store>,
    hubs: Vec<HubState>,
    trees: Vec<Tree>,
    versions: HashMap<u64, u32>,
    fetched: HashSet<(Part, u32)>,
    archive_free: Time,
    result: Result,
    worth: (f64, f64),
    latency: Histogram<u64>,
    hops: (u64, u64),
    requests: u64,
}

fn us(ms: f64) -> Time {
    (ms * 1_000.0) as Time
}

/// Hub `h` by name, and back.
fn hub_name(h: usize) -> String {
    format!("hub-{h}")
}

fn hub_of(name: &str) -> Option<usize> {
    name.strip_prefix("hub-")?.parse().ok()
}

/// The tree of a scenario; `turned`: the hubs that go by another hub instead of the archive.
fn tree(s: &Scenario, epoch: u64, turned: &[usize]) -> Tree {
    let node = |name: String, kind, parents: Vec<String>| Proposed { name, kind, parents };
    let tops = s.hubs - s.low_hubs;
    let mut nodes = vec![node("archive".into(), Kind::Archive, vec![])];
    for h in 0..s.hubs {
        let stays = |h: &usize| *h < tops && !turned.contains(h);
        let above = (1..s.hubs).map(|n| (h + n) % s.hubs).find(stays);
        let parents = match above.filter(|_| h >= tops || turned.contains(&h)) {
            Some(above) => vec![hub_name(above), "archive".into()],
            None => vec!["archive".into()],
        };
        nodes.push(node(hub_name(h), Kind::Hub, parents));
    }
    for l in 0..s.edges {
        let parents: Vec<String> = (0..s.hubs.min(2)).map(|n| hub_name((l + n) % s.hubs)).collect();
        nodes.push(node(format!("office-{l}"), Kind::Location, parents));
    }
    Tree::check(&Draft { epoch, nodes, ..Draft::default() }).expect("the lab's trees are sound")
}

/// What all days have in common: the settings of our first installation, with nobody in them.
pub fn usual() -> Settings {
    Settings {
        index: 0,
        routers: 1,
        zone: 0,
        classes: Vec::new(),
        routers_by_zone: Vec::new(),
        hub_of: Vec::new(),
        parent_kind: Some(HUB),
        origin_kind: ARCHIVE,
        siblings: Siblings::Any,
        notes: Notes::None,
        can_join: false,
        direct: true,
        client_kb_per_s: CLIENT_KB_PER_S,
        weights_told: false,
        must_ask: false,
        may_cancel: true,
        may_duplicate: false,
        max_attempts: 8,
        may_probe: false,
        may_tell_peers: false,
        retry_after: None,
        answer_slack: 8_000,
        drain_grace: 250_000,
        cache_cold_from: 0.17,
        cache_cold_for: 18_000_000,
        cache_fall_multiple: 4.0,
        fall_window: 3_000_000,
        parent_cold_from: 0.067,
        parent_cold_for: 21_000_000,
        parent_fall_multiple: 2.0,
        purge_slack: 1_000_000,
        purge_done: 6_000_000,
        origin_fall_multiple: 0.0,
    }
}

fn settings(s: &Scenario, edge: usize) -> Settings {
    let kept = |worth, aim| Class {
        aim,
        aim_stretch: 2.0,
        deadline: DEADLINE,
        worth,
        late_worth: 0.1,
        repeat: Repeat::Safe,
        repeat_window: 0,
        fresh: 0,
        grace: 0,
        pass_on: false,
    };
    let zones = s.hubs + s.edges;
    Settings {
        index: edge as u32,
        routers: s.edges as u32,
        zone: s.hubs + edge,
        classes: vec![kept(2.0, 500_000), kept(1.0, 250_000)],
        routers_by_zone: (0..zones).map(|z| (z >= s.hubs) as u32).collect(),
        hub_of: (0..zones).map(|z| if z < s.hubs { z } else { (z - s.hubs) % s.hubs }).collect(),
        ..usual()
    }
}

impl<'a> Day<'a> {
    pub fn new(s: &'a Scenario) -> Day<'a> {
        let mut rng = StdRng::seed_from_u64(s.seed);
        let mut trees = vec![tree(s, 1, &[])];
        if s.rewire_at_s > 0.0 {
            let tops = s.hubs - s.low_hubs;
            let many = ((tops as f64 * s.rewired_part).round() as usize).min(tops.saturating_sub(1));
            let first = rng.random_range(0..tops);
            let turned: Vec<usize> = (0..many).map(|n| (first + n * tops / many.max(1)) % tops).collect();
            trees.push(tree(s, 2, &turned));
            if s.back_after_s > 0.0 {
                trees.push(tree(s, 3, &[]));
            }
        }
        let limits = Limits { fetches: 1 << 20, waits: 1 << 22, lease: 60_000_000, attempts: 8 };
        let cold = Rule { from: 0.067, over: 21_000_000, breaks_at: 2.0, window: 3_000_000, safety: 0.6 };
        let node = |name: &str| {
            Node::new(name, trees[0].clone(), us(s.overlap_ms), limits, cold, HashMap::new()).expect("a hub")
        };
        let hubs = (0..s.hubs)
            .map(|h| HubState {
                node: node(&hub_name(h)),
                store: Store::new(usize::MAX),
                link_free: 0,
                fetches: HashMap::new(),
            })
            .collect();
        let edges = (0..s.edges).map(|e| EdgeState {
            router: Router::new(settings(s, e), s.seed.wrapping_mul(977).wrapping_add(e as u64)),
            open: HashMap::new(),
            told: HashMap::new(),
        });
        let mut day = Day {
            now: START,
            end: START + (s.seconds * SECOND) as Time,
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            next: 0,
            zipf: Zipf::new(s.objects as f64, s.zipf).expect("checked"),
            gap: Exp::new(s.rate / s.edges as f64).expect("checked"),
            size: LogNormal::new(SIZE.0.ln() - SIZE.1 * SIZE.1 / 2.0, SIZE.1).expect("sound"),
            edges: edges.collect(),
            boxes: (0..s.caches).map(|_| Store::new(s.cache_holds)).collect(),
            hubs,
            trees,
            versions: HashMap::new(),
            fetched: HashSet::new(),
            archive_free: 0,
            result: Result::default(),
            worth: (0.0, 0.0),
            latency: Histogram::new(3).expect("sound"),
            hops: (0, 0),
            requests: 0,
            rng,
            s,
        };
        day.begin();
        day
    }

    fn begin(&mut self) {
        let member = |cache, zone, kind| Member {
            cache,
            zone,
            kind,
            cell: 0,
            state: State::Ready,
            weight: 1.0,
            boot: 0,
        };
        let s = self.s;
        let mut members: Vec<Member> =
            (0..s.caches).map(|c| member(CacheId(c as u32), s.hubs + c % s.edges, BOX)).collect();
        members.extend((0..s.hubs).map(|h| member(CacheId(HUB_IDS + h as u32), h, HUB)));
        members.push(member(ARCHIVE_ID, 0, ARCHIVE));
        for edge in 0..s.edges {
            self.tell(edge, foldmux::interface::Event::Members { full: true, members: members.clone() });
            if s.shield {
                self.wire(edge, 0);
            }
            let first = self.gap.sample(&mut self.rng);
            self.after(first * SECOND, Event::Arrive { edge });
        }
        if s.purges_per_s > 0.0 {
            self.after(SECOND / s.purges_per_s, Event::Purge);
        }
        if self.trees.len() > 1 {
            self.after(s.rewire_at_s * SECOND, Event::Rewire { change: 1 });
        }
        if self.trees.len() > 2 {
            self.after((s.rewire_at_s + s.back_after_s) * SECOND, Event::Rewire { change: 2 });
        }
    }

    fn after(&mut self, us: f64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((self.now + us.max(0.0) as Time, self.next)));
        self.bodies.insert(self.next, event);
    }

    /// Tells an edge's router of its hubs under a tree.
    fn wire(&mut self, edge: usize, change: usize) {
        let tree = &self.trees[change];
        let office = tree.find(&format!("office-{edge}")).expect("there");
        let hubs = tree.node(office).parents.iter().filter_map(|p| hub_of(tree.name(*p))).collect();
        let hub_of = settings(self.s, edge).hub_of;
        self.tell(edge, foldmux::interface::Event::Wired { hubs, hub_of });
    }

    fn tell(&mut self, edge: usize, event: foldmux::interface::Event) {
        let mut actions = Vec::new();
        self.edges[edge].router.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Fetch(fetch) => {
                    let Some(open) = self.edges[edge].open.get_mut(&fetch.id) else { continue };
                    let attempt = open.attempts;
                    open.attempts += 1;
                    self.after(self.s.near_ms * 1e3, Event::AtBox { edge, fetch, attempt });
                }
                Action::Refuse { id, .. } => {
                    self.result.refused += self.edges[edge].open.remove(&id).is_some() as u64;
                }
                Action::Fail { id } => {
                    self.result.failed += self.edges[edge].open.remove(&id).is_some() as u64;
                }
                Action::Timer { after, token } => self.after(after as f64, Event::Timer { edge, token }),
                _ => {}
            }
        }
    }

    pub fn run(mut self) -> Result {
        while let Some(Reverse((at, number))) = self.events.pop() {
            // After the last arrival the day runs on until all is answered.
            if at > self.end + 2 * DEADLINE {
                break;
            }
            self.now = at;
            let event = self.bodies.remove(&number).expect("each event has a body");
            self.step(event);
        }
        let mut result = self.result;
        result.requests = self.requests;
        result.worth = self.worth.0 / self.worth.1.max(f64::MIN_POSITIVE);
        result.parts_fetched = self.fetched.len() as u64;
        result.archive_fetches_per_object =
            result.archive_fetches as f64 / result.parts_fetched.max(1) as f64;
        result.fill_hops = self.hops.0 as f64 / self.hops.1.max(1) as f64;
        result.p50_ms = self.latency.value_at_quantile(0.5) as f64 / 1e3;
        result.p99_ms = self.latency.value_at_quantile(0.99) as f64 / 1e3;
        result
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive { edge } => self.arrive(edge),
            Event::Timer { edge, token } => {
                if self.now <= self.end + DEADLINE {
                    self.tell(edge, foldmux::interface::Event::Timer { token });
                }
            }
            Event::AtBox { edge, fetch, attempt } => self.at_box(edge, fetch, attempt),
            Event::AtHub { hub, fill, back } => self.at_hub(hub, fill, back),
            Event::AtArchive { fill, back } => self.at_archive(fill, back),
            Event::Answer { back, got } => self.answered(back, got),
            Event::Done { edge, request, attempt, outcome, note, born, sent } => {
                self.done(edge, request, attempt, outcome, note, born, sent);
            }
            Event::Served { edge, request } => {
                let Some(open) = self.edges[edge].open.remove(&request) else { return };
                self.result.served += 1;
                let took = self.now - open.asked;
                self.worth.0 += if took <= open.aim { open.worth } else { open.worth * 0.1 };
                let _ = self.latency.record(took.max(1));
            }
            Event::Purge => {
                let object = self.zipf.sample(&mut self.rng) as u64;
                *self.versions.entry(object).or_default() += 1;
                for edge in 0..self.s.edges {
                    let lag = self.rng.random_range(30_000.0..400_000.0);
                    self.after(lag, Event::Purged { edge, object, at: self.now });
                }
                // Boxes and hubs drop their older copies by themselves, each in its own time.
                for cache in 0..self.s.caches + self.s.hubs {
                    let lag = self.rng.random_range(30_000.0..6_000_000.0);
                    self.after(lag, Event::Drop { cache, object, at: self.now });
                }
                if self.now < self.end {
                    self.after(SECOND / self.s.purges_per_s, Event::Purge);
                }
            }
            Event::Purged { edge, object, at } => {
                self.edges[edge].told.insert(object, (self.now, at));
                let (object, ago) = (Some(ObjectId(object)), self.now - at);
                self.tell(edge, foldmux::interface::Event::Purged { object, group: 0, ago });
            }
            Event::Drop { cache, object, at } => {
                let store = match cache.checked_sub(self.s.caches) {
                    Some(hub) => &mut self.hubs[hub].store,
                    None => &mut self.boxes[cache],
                };
                // What was fetched since the purge is as good as any.
                if store.copies.get(&(object, 0)).is_some_and(|c| c.0 < at) {
                    store.drop_object(object, 1);
                }
            }
            Event::Rewire { change } => {
                for node in (0..self.s.hubs).map(Who::Hub).chain((0..self.s.edges).map(Who::Edge)) {
                    let lag = self.rng.random_range(0.0..self.s.news_lag_ms.max(0.001)) * 1e3;
                    self.after(lag, Event::Told { node, change });
                }
            }
            Event::Told { node: Who::Hub(hub), change } => {
                let tree = self.trees[change].clone();
                let _ = self.hubs[hub].node.rewire(self.now, tree, HashMap::new());
            }
            Event::Told { node: Who::Edge(edge), change } => {
                if self.s.shield {
                    self.wire(edge, change);
                }
            }
        }
    }

    fn arrive(&mut self, edge: usize) {
        if self.now >= self.end {
            return;
        }
        let gap = self.gap.sample(&mut self.rng);
        self.after(gap * SECOND, Event::Arrive { edge });
        self.requests += 1;
        let id = RequestId(self.requests);
        let object = self.zipf.sample(&mut self.rng) as u64;
        let class = (object % 16 > 8) as usize;
        // An object has one size: its own draw.
        let mut own = StdRng::seed_from_u64(object);
        let size_kb = self.size.sample(&mut own).clamp(10.0, 2_000.0);
        let work = size_kb / CLIENT_KB_PER_S * SECOND;
        let (worth, aim) = if class == 0 { (2.0, 500_000.0) } else { (1.0, 250_000.0) };
        self.worth.1 += worth;
        let told = self.edges[edge].told.get(&object);
        let bound = told.filter(|t| t.0 + 1_000_000 <= self.now).map_or(0, |t| t.1);
        let aim = (aim + 2.0 * work) as Time;
        let open =
            Open { part: (object, 0), size_kb, asked: self.now, aim, worth, bound, attempts: 0, hops: 0 };
        self.edges[edge].open.insert(id, open);
        let ask = Ask {
            id,
            class,
            object: ObjectId(object),
            part: 0,
            group: 0,
            size_kb,
            budget: DEADLINE,
            lease: 0,
            within: None,
        };
        self.tell(edge, foldmux::interface::Event::Request(ask));
    }

    /// A cache box, a hub or the archive is asked by an edge proxy.
    fn at_box(&mut self, edge: usize, fetch: Fetch, attempt: u8) {
        let Some(open) = self.edges[edge].open.get(&fetch.id) else { return };
        let (part, size_kb, until) = (open.part, open.size_kb, open.asked + DEADLINE);
        let request = fetch.id;
        let cache = fetch.cache.0 as usize;
        let born_after = if fetch.max_age > 0 { self.now.saturating_sub(fetch.max_age) } else { 0 };
        if cache >= self.s.caches {
            // Straight to a hub or the archive: none of the classes here wants it.
            return self.finish(edge, request, attempt, Got::Refused);
        }
        if let Some(born) = self.boxes[cache].get(part, born_after) {
            return self.finish(edge, request, attempt, Got::Copy { born, hops: 0 });
        }
        let back = Back::Box { cache, request, attempt };
        let (arrival, way, past) = (Arrival::BEGINS, vec![], vec![]);
        let fill = Fill { part, size_kb, arrival, way, past, born_after, hold_only: fetch.hold_only, until };
        let source = fetch.source;
        if source == fetch.cache {
            self.finish(edge, request, attempt, Got::Lacks);
        } else if source == ARCHIVE_ID {
            self.after(self.s.far_ms * 1e3, Event::AtArchive { fill, back });
        } else if source.0 >= HUB_IDS {
            let hub = (source.0 - HUB_IDS) as usize;
            self.after(self.s.hub_ms * 1e3, Event::AtHub { hub, fill, back });
        } else {
            let got = match self.boxes[source.0 as usize].get(part, born_after) {
                Some(born) => Got::Copy { born, hops: 0 },
                None => Got::Lacks,
            };
            self.after(2.0 * self.s.hub_ms * 1e3, Event::Answer { back, got });
        }
    }

    fn at_hub(&mut self, hub: usize, fill: Fill, back: Back) {
        if fill.way.contains(&hub) {
            self.result.node_visited_twice += 1;
        }
        let now = self.now;
        let state = &mut self.hubs[hub];
        if let Some(born) = state.store.get(fill.part, fill.born_after) {
            return self.give(hub, &fill, back, Got::Copy { born, hops: 1 });
        }
        if fill.hold_only {
            return self.give(hub, &fill, back, Got::Lacks);
        }
        let key = Key { class: 0, object: fill.part.0, part: fill.part.1 };
        let (turn, lane) = state.node.want(now, key, fill.arrival, fill.born_after, fill.until);
        match turn {
            Turn::Full => self.give(hub, &fill, back, Got::Refused),
            Turn::Join(id, wait) => {
                state.fetches.get_mut(&id).expect("under way").waits.push((wait, back));
            }
            Turn::Lead(id, wait) => {
                let tried = fill.past.clone();
                state.fetches.insert(id, Flight { fill, lane, tried, waits: vec![(wait, back)] });
                let open = self.hubs.iter().map(|h| h.fetches.len()).sum();
                self.result.most_open_fetches = self.result.most_open_fetches.max(open);
                self.seek(hub, id, 0);
            }
        }
    }

    /// Sends a fetch's next try.
    fn seek(&mut self, hub: usize, id: FetchId, attempt: u32) {
        let now = self.now;
        let state = &mut self.hubs[hub];
        let Some(flight) = state.fetches.get_mut(&id) else { return };
        let back = Back::Hub { hub, fetch: id, attempt };
        let mut fill = flight.fill.clone();
        fill.way.push(hub);
        if !self.s.shield {
            return self.after(self.s.far_ms * 1e3, Event::AtArchive { fill, back });
        }
        let names = |hubs: &[usize]| hubs.iter().map(|h| hub_name(*h)).collect::<Vec<_>>();
        let (passed, tried) = (names(&flight.fill.way), names(&flight.tried));
        let passed: Vec<&str> = passed.iter().map(String::as_str).collect();
        let tried: Vec<&str> = tried.iter().map(String::as_str).collect();
        let seeking = Seeking { object: fill.part.0, lane: flight.lane, passed: &passed, tried: &tried };
        let choice = match state.node.choose(now, &seeking) {
            Ok(choice) => choice,
            Err(_) => return self.end(hub, id, attempt, Got::Refused),
        };
        self.result.loops_broken += choice.avoided as u64;
        fill.arrival = Arrival { stamp: Some(choice.stamp), solo: choice.solo };
        fill.past = flight.tried.clone();
        fill.hold_only = choice.hold_only;
        match hub_of(&choice.name) {
            Some(next) => {
                flight.tried.push(next);
                self.after(self.s.far_ms * 1e3, Event::AtHub { hub: next, fill, back });
            }
            None => self.after(self.s.far_ms * 1e3, Event::AtArchive { fill, back }),
        }
    }

    fn at_archive(&mut self, fill: Fill, back: Back) {
        let version = self.versions.get(&fill.part.0).copied().unwrap_or(0);
        self.result.archive_fetches += 1;
        self.fetched.insert((fill.part, version));
        let each = SECOND / self.s.archive_fills_per_s;
        self.archive_free = self.archive_free.max(self.now) + each as Time;
        let waits = (self.archive_free - self.now) as f64;
        let sends = fill.size_kb / (CLIENT_KB_PER_S * FILL_PACE) * SECOND;
        let took = waits + self.s.archive_ms * 1e3 + sends + self.s.far_ms * 1e3;
        // It is born when it leaves.
        let born = self.now + (waits + self.s.archive_ms * 1e3) as Time;
        self.after(took, Event::Answer { back, got: Got::Copy { born, hops: 0 } });
    }

    /// A hub's answer goes out over its link.
    fn give(&mut self, hub: usize, fill: &Fill, back: Back, got: Got) {
        let way = match back {
            Back::Box { .. } => self.s.hub_ms,
            Back::Hub { .. } => self.s.far_ms,
        };
        let mut took = way * 1e3;
        if matches!(got, Got::Copy { .. }) {
            let state = &mut self.hubs[hub];
            let link = fill.size_kb / self.s.hub_kb_per_s * SECOND;
            state.link_free = state.link_free.max(self.now) + link as Time;
            let pace = fill.size_kb / (CLIENT_KB_PER_S * FILL_PACE) * SECOND;
            took += ((state.link_free - self.now) as f64).max(pace);
        }
        self.after(took, Event::Answer { back, got });
    }

    fn answered(&mut self, back: Back, got: Got) {
        match back {
            Back::Box { cache, request, attempt } => {
                let edge = cache % self.s.edges;
                if let Got::Copy { born, hops } = got {
                    if let Some(open) = self.edges[edge].open.get_mut(&request) {
                        open.hops = hops;
                        let part = open.part;
                        self.boxes[cache].put(part, born);
                        self.hops = (self.hops.0 + hops as u64, self.hops.1 + 1);
                    }
                }
                self.finish(edge, request, attempt, got);
            }
            Back::Hub { hub, fetch, attempt } => {
                let Some(flight) = self.hubs[hub].fetches.get(&fetch) else { return };
                match got {
                    Got::Copy { born, .. } if born >= flight.fill.born_after => {
                        self.end(hub, fetch, attempt, got)
                    }
                    _ => match self.hubs[hub].node.failed(self.now, fetch, attempt) {
                        Next::Again(next) => self.seek(hub, fetch, next),
                        Next::Over => self.end_all(hub, fetch, Got::Refused),
                        Next::Stale => {}
                    },
                }
            }
        }
    }

    fn end(&mut self, hub: usize, id: FetchId, attempt: u32, got: Got) {
        if self.hubs[hub].node.done(id, attempt) {
            self.end_all(hub, id, got);
        }
    }

    fn end_all(&mut self, hub: usize, id: FetchId, got: Got) {
        let state = &mut self.hubs[hub];
        let Some(flight) = state.fetches.remove(&id) else { return };
        let mut told = got;
        if let Got::Copy { born, hops } = got {
            state.store.put(flight.fill.part, born);
            told = Got::Copy { born, hops: hops + 1 };
        }
        for (wait, back) in flight.waits {
            self.hubs[hub].node.leave(wait);
            self.give(hub, &flight.fill, back, told);
        }
    }

    /// A cache box's answer begins to go to the client.
    fn finish(&mut self, edge: usize, request: RequestId, attempt: u8, got: Got) {
        let Some(open) = self.edges[edge].open.get(&request) else { return };
        let (outcome, born, sends) = match got {
            Got::Copy { born, .. } => {
                (Outcome::Served, born, open.size_kb / CLIENT_KB_PER_S * SECOND + self.s.near_ms * 1e3)
            }
            Got::Lacks => (Outcome::Miss, 0, self.s.near_ms * 1e3),
            Got::Refused => (Outcome::Full, 0, self.s.near_ms * 1e3),
        };
        let (note, sent) = (Note::Untold, open.asked);
        self.after(sends, Event::Done { edge, request, attempt, outcome, note, born, sent });
    }

    #[allow(clippy::too_many_arguments)]
    fn done(
        &mut self,
        edge: usize,
        request: RequestId,
        attempt: u8,
        outcome: Outcome,
        note: Note,
        born: Time,
        sent: Time,
    ) {
        let Some(open) = self.edges[edge].open.get(&request) else { return };
        if outcome == Outcome::Served && born < open.bound {
            self.result.older_than_purge += 1;
        }
        let elapsed = self.now - sent;
        let last = outcome == Outcome::Served;
        if last {
            self.after(0.0, Event::Served { edge, request });
        }
        let report = Report { id: request, attempt, outcome, note, elapsed, last };
        self.tell(edge, foldmux::interface::Event::Outcome(report));
    }
}

/// Plays a scenario once.
pub fn play(scenario: &Scenario) -> Result {
    Day::new(scenario).run()
}

#[cfg(test)]
mod tests {
    use super::*;

    const SMALL: &str = "seconds = 6.0\nedges = 6\ncaches = 24\nhubs = 10\nobjects = 3000\nrate = 400.0\n\
        purges_per_s = 1.0\ncache_holds = 200\narchive_fills_per_s = 2000.0\nhub_kb_per_s = 200000.0\n\
        rewire_at_s = 2.0\nrewired_part = 0.2\nback_after_s = 2.0\nnews_lag_ms = 1500.0\n";

    #[test]
    fn the_same_seed_is_the_same_day_and_another_is_another() {
        let small = Scenario::parse("small", SMALL).unwrap();
        let text = |s: &Scenario| serde_json::to_string(&play(s)).unwrap();
        assert_eq!(text(&small), text(&small));
        assert_ne!(text(&small), text(&small.with("seed", "2").unwrap()));
    }

    #[test]
    fn a_small_rewired_day_keeps_what_the_hierarchy_promises() {
        let small = Scenario::parse("small", SMALL).unwrap();
        let shielded = play(&small);
        assert_eq!((shielded.node_visited_twice, shielded.older_than_purge), (0, 0));
        assert!(shielded.archive_fetches_per_object < 1.1, "{shielded:?}");
        assert_eq!(shielded.requests, shielded.served + shielded.refused + shielded.failed, "{shielded:?}");
        let plain = play(&small.with("shield", "false").unwrap());
        assert!(plain.archive_fetches_per_object > shielded.archive_fetches_per_object, "{plain:?}");
    }

    #[test]
    fn a_scenario_that_cannot_be_played_is_refused_with_a_reason() {
        for (text, why) in [
            ("edges = 0", "edges = 0 is not within"),
            ("hubs = 61", "hubs = 61"),
            ("what = 1", "unknown field"),
            ("rate = 0.0", "above 0"),
        ] {
            let field = text.split(' ').next().unwrap();
            let lines: Vec<&str> = SMALL.lines().filter(|l| !l.starts_with(field)).chain([text]).collect();
            let error = Scenario::parse("s.toml", &lines.join("\n")).unwrap_err();
            assert!(error.starts_with("s.toml: ") && error.contains(why), "{error}");
        }
    }
}
