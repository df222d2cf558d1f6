//! All decisions of the router. The types it takes and gives are in src/interface.rs.
//!
//! A request's life, in the order of the sections below: members and purges are heard of; a request is
//! placed (summary, then home cache) and its miss given a source (listed holder, sibling, parent, origin);
//! its outcomes are learned from; it is tried again or given up; a tick looks for what is overdue.

use crate::books::{mix, Draws, Entry, Rate, Table};
use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// Time between looks at what is overdue (us); that timer's name.
const TICK: Time = 25_000;
const TICK_TOKEN: u32 = 1;
/// How long an entry of the summary lives (us), renewed by each use: about what a location keeps unused.
const LIFE: Time = 10_000_000;
/// Most entries of a summary table: far above what a location's caches turn over in a lifetime.
const TABLE_MAX: usize = 16_384;
/// Most purges remembered one by one; beyond it everything counts as purged.
const PURGES_MAX: usize = 4_096;
/// Most leases of one server that are counted: far over any cold budget.
const LEASES_MAX: usize = 4_096;
/// Taken off the age that a copy may have after a purge (us): a batch's rounding.
const PURGE_MARGIN: Time = 5_000;
/// Weight of a new sample in smoothed latencies and in the query's record.
const SMOOTH: f64 = 0.1;
/// Weight of a new outcome in the failure record of a server, and in that of its whole tier.
const FAIL_SMOOTH: (f64, f64) = (0.15, 0.03);
/// Failure record from which a server is shunned: far over stray errors, under a half-broken server.
const FAIL_LIMIT: f64 = 0.3;
/// Shunning (us): short enough to see a recovery; then one trial at a time.
const SHUN: Time = 1_000_000;
/// An attempt is called off after so many times the wait that is in time; what is left is worth little.
const OVERDUE: Time = 2;
/// A source that refuses counts as so slow (us); the slowest parent before a quicker origin; the slowest
/// origin that takes what the parents' way turns away.
const REFUSED_AS: f64 = 2_000_000.0;
const SLOW: (f64, f64) = (400_000.0, 150_000.0);
/// Only where parents lose more than this part it does: where they are late the links may be what is short.
const LOST: f64 = 0.05;
/// A latency that was not heard again for so long (us) says nothing any more.
const HEARD: Time = 2_000_000;
/// Latency of a fill while nothing has been heard (us).
const LATENCY_START: f64 = 60_000.0;
/// One try's gain or loss counts for no more than this (us): one hung sibling must not close the gate.
const QUERY_CLIP: f64 = 400_000.0;
/// Sending stretches by this much in the ordinary case.
const STRETCH: f64 = 1.25;
/// One in so many misses is queried though the gate is closed, so that it can open again.
const TRICKLE: u64 = 16;
/// Part of the cold budget that is used: capacity is inferred and peers may have more than their share.
const COLD_SAFETY: f64 = 0.6;
/// Time over which work is averaged (us): longer than a restarted location takes to warm.
const RATE_OVER: f64 = 20_000_000.0;
/// Steps of the fronts' turns from front to front and from window to window: both spread evenly.
const TURN: (f64, f64) = (0.618_034, 0.414_214);
/// Part of the work asked for that caches can bear at least, with every client asking three times.
const ASKED_BEARABLE: f64 = 0.33;
/// Further attempts earned by each request, and the most saved up: retries can't double a load.
const RETRY: (f64, f64) = (0.25, 30.0);
/// A request that so many caches answer with an error is at fault itself.
const ERRORS_MOST: usize = 2;
/// A cache is full from this multiple of the transfers that it carries at full pace.
const SPILL_AT: f64 = 1.3;
/// A route's open share: the cut on a failed or late use, the gain with each request that wants it (a seventh
/// may fail), the least: enough to see a recovery. Steps get smaller above so many requests a second, as the
/// outcomes of those that are out tell nothing new.
const ROUTE_CUT: f64 = 0.25;
const ROUTE_GAIN: f64 = 0.04;
const ROUTE_LEAST: f64 = 0.02;
const ROUTE_RATE: f64 = 3.0;
/// What a late answer takes off a limit and what one in time adds to it: a seventh may be late.
const LIMIT_STEPS: (f64, f64) = (0.6, 0.1);
/// Least limit; its roots that may be out beyond it: one front's few come in bunches, all fronts' don't.
const LIMIT_ROOM: (f64, f64) = (0.5, 2.0);
/// An answer is late from this part of the wait that is still in time: crowding shows before it hurts.
const LATE: f64 = 0.5;
/// Least wait advised with a refusal, and the most that chance adds (us).
const RETRY_AFTER: (Time, Time) = (200_000, 200_000);

/// What this router knows of a cache, a parent or the origin.
#[derive(Default)]
struct Server {
    member: Member,
    /// Attempts out, and those that name it as the source of a likely fill.
    out: u32,
    filling: u32,
    fail: f64,
    shun_until: Time,
    /// Smoothed fill latency beyond the sending time (us), and when it was last heard.
    latency: Option<f64>,
    heard: Time,
    /// Transfers that it carries at full pace, as far as this front can tell.
    capacity: Option<f64>,
    /// What was sent within the fall window (time, us of sending).
    window: VecDeque<(Time, f64)>,
}

impl Server {
    fn ready(&self) -> bool {
        self.member.state == State::Ready
    }

    fn heard_latency(&self, now: Time) -> Option<f64> {
        self.latency.filter(|_| now < self.heard + HEARD)
    }

    fn note_sent(&mut self, now: Time, weight: f64, window: Time) {
        self.window.push_back((now, weight));
        while self.window.front().is_some_and(|w| w.0 + window < now) {
            self.window.pop_front();
        }
    }

    /// Guards against whatever makes a server fail more than its like: dead, hung, erring, or cut off. What
    /// all of a tier have in common (a failing origin, lost answers) is no reason to leave any of them.
    fn note(&mut self, now: Time, failed: bool, dead: bool, like: &mut f64) {
        let sample = failed as u8 as f64;
        self.fail += FAIL_SMOOTH.0 * (sample - self.fail);
        *like += FAIL_SMOOTH.1 * (sample - *like);
        if dead || (failed && self.fail > FAIL_LIMIT + *like && now >= self.shun_until) {
            self.shun_until = now + SHUN;
        }
    }
}

#[derive(Default)]
struct Request {
    class: usize,
    key: u64,
    group: u32,
    /// Sending time at full pace (us).
    work: f64,
    aim_at: Time,
    deadline: Time,
    attempts: u32,
    /// How long its client may use a placement; 0: attempts are made from here.
    lease: Time,
    /// The only group that may be asked, where an attempt may have run unseen from here.
    within: Option<u32>,
    /// The sibling query was made.
    queried: bool,
    started: bool,
    /// Caches and sources that failed this request.
    tried: Vec<CacheId>,
    /// Those that answered with an error.
    erred: Vec<CacheId>,
    /// The first attempt that may have run: when it was sent, and where to.
    may_have_run: Option<(Time, CacheId)>,
}

struct Attempt {
    plan: Plan,
    key: u64,
    group: u32,
    work: f64,
    /// Its source is a parent or the origin; that may fetch it for this.
    above: bool,
    deep: bool,
    /// What it counts in budgets: its class's mean (us).
    weight: f64,
    /// Attempts out at the cache when this one was sent.
    beside: u32,
    sent: Time,
    kept: bool,
    /// Longest wait beyond the sending time that is still in time (us).
    patience: f64,
}

#[derive(Clone, Copy, Default)]
struct Plan {
    cache: CacheId,
    source: CacheId,
    /// The source gives only what it holds; the sibling query, with its own time-out.
    hold_only: bool,
    query: bool,
    /// The summary said that the cache holds it.
    listed: bool,
    /// A copy past its fresh time will do, as no fill is to be had.
    ageing: bool,
    time_out: Time,
}

pub struct Router {
    settings: Settings,
    random: Draws,
    running: bool,
    servers: BTreeMap<CacheId, Server>,
    /// Listed servers by tier: own caches, siblings of the nearest locations, parents, the origin.
    tiers: [Vec<CacheId>; 4],
    /// Zones whose parents may be named as sources; all, where no wiring is told.
    wired: Option<Vec<usize>>,
    requests: BTreeMap<RequestId, Request>,
    attempts: BTreeMap<(RequestId, u8), Attempt>,
    local: Table,
    /// Placements that clients may still use by themselves: until when, and what each weighs. Kept over a
    /// server's restart, as their holders don't hear of it.
    leases: BTreeMap<CacheId, VecDeque<(Time, f64)>>,
    purges: BTreeMap<(u64, u32), (Time, Time)>,
    /// By class: mean sending time (us), the weight of an attempt.
    class_work: Vec<f64>,
    /// Work asked for, that the zone's caches served, that parents filled; how many of each are usual.
    asked: Rate,
    served: [Rate; 2],
    usual: [f64; 2],
    /// The query's record: time that a try saves over the parent, success and failure together (us).
    query_gain: f64,
    /// Attempts that reach no further than caches and what parents hold; likely fills that may.
    near: Limit,
    deep: Limit,
    /// Part of the attempts at a cache alone that are not answered; of the parents' fills that are lost.
    unanswered: f64,
    lost: f64,
    /// The fills of the zone; by way of parents; straight from the origin.
    routes: [Route; 3],
    /// Failure records of the own caches, the siblings, the parents, the origin.
    like: [f64; 4],
    retries: f64,
}

/// The part of a table's key that is the object; its part stands above.
const OBJECT_BITS: u64 = (1 << 52) - 1;

/// Rendezvous score of a cache for a key: each front finds the same home.
fn score(key: u64, cache: CacheId) -> u64 {
    mix(key ^ mix(cache.0 as u64 + 0x9e3779b97f4a7c15))
}

/// A way that requests take: fills of the zone, by way of parents, straight from the origin. It is open to a
/// part of them, which shrinks with late and failed uses and grows with requests that want it.
#[derive(Clone, Copy)]
struct Route {
    open: f64,
    /// Smoothed time between wants (s), and the last one.
    gap: f64,
    wanted: Time,
}

impl Route {
    /// Part of a full step that one request makes.
    fn step(&self) -> f64 {
        (self.gap * ROUTE_RATE).min(1.0)
    }

    /// Takes a request by its draw below 2^32.
    fn admit(&mut self, now: Time, draw: u64) -> bool {
        let gap = now.saturating_sub(self.wanted) as f64 / 1e6;
        self.gap += SMOOTH * (gap.min(1.0) - self.gap);
        self.wanted = now;
        let open = self.open;
        self.open = (open * (1.0 + ROUTE_GAIN * self.step())).min(1.0);
        (draw as f64) < open * (1u64 << 32) as f64
    }

    fn cut(&mut self) {
        self.open = (self.open * (1.0 - ROUTE_CUT * self.step())).max(ROUTE_LEAST);
    }
}

/// How many attempts of a sort may be out: less with each late one, a little more with each in time, so that
/// the same part of them is late whatever a front's share of the traffic is.
struct Limit {
    most: f64,
    out: f64,
}

impl Limit {
    /// Room for one more, where only a part of it may be used.
    fn free(&self, draw: u64, part: f64) -> bool {
        let room = self.most + LIMIT_ROOM.1 * self.most.sqrt();
        self.out < room * part + (draw % 1024) as f64 / 1024.0 - 0.5
    }

    fn ended(&mut self, late: Option<bool>) {
        match late {
            Some(true) => self.most = (self.most.min(2.0 * self.out) - LIMIT_STEPS.0).max(LIMIT_ROOM.0),
            Some(false) if self.out > self.most / 2.0 => self.most += LIMIT_STEPS.1,
            _ => {}
        }
        self.out -= 1.0;
    }
}

impl Router {
    /// Other settings, all at once. A class that open requests have keeps its place; a place under other
    /// rules is another class's, whose sizes are not known yet.
    pub fn retune(&mut self, settings: Settings) {
        let same = |k: usize| self.settings.classes.get(k) == settings.classes.get(k);
        let work = |k: usize| if same(k) { self.class_work[k] } else { 0.0 };
        self.class_work = (0..settings.classes.len()).map(work).collect();
        self.settings = settings;
    }

    pub fn new(settings: Settings, seed: u64) -> Router {
        let class_work = vec![0.0; settings.classes.len()];
        Router {
            settings,
            random: Draws::new(seed),
            running: false,
            servers: BTreeMap::new(),
            tiers: Default::default(),
            wired: None,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            local: Table::new(TABLE_MAX),
            leases: BTreeMap::new(),
            purges: BTreeMap::new(),
            class_work,
            asked: Rate::over(RATE_OVER),
            served: [Rate::over(RATE_OVER); 2],
            usual: [0.0; 2],
            unanswered: 0.0,
            lost: 0.0,
            query_gain: LATENCY_START / 4.0,
            near: Limit { most: f64::MAX, out: 0.0 },
            deep: Limit { most: f64::MAX, out: 0.0 },
            routes: [Route { open: 1.0, gap: 1.0, wanted: 0 }; 3],
            like: [0.0; 4],
            retries: RETRY.1,
        }
    }

    /// Takes one event and adds what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if !self.running {
            self.running = true;
            out.push(Action::Timer { after: TICK, token: TICK_TOKEN });
            if self.settings.must_ask {
                out.push(Action::Watch);
            }
        }
        match event {
            Event::Members { full, members } => self.on_members(full, members),
            Event::Wired { hubs, hub_of } => {
                (self.wired, self.settings.hub_of) = (Some(hubs), hub_of);
                self.on_members(false, Vec::new());
            }
            Event::MembersFailed if self.settings.must_ask => out.push(Action::Watch),
            Event::Request(ask) => self.on_request(now, ask, out),
            Event::Outcome(report) => self.on_outcome(now, report, out),
            Event::Started { id } => self.requests.get_mut(&id).into_iter().for_each(|r| r.started = true),
            Event::Timer { token: TICK_TOKEN } => self.on_tick(now, out),
            Event::Timer { .. } | Event::Probed { .. } | Event::Peer { .. } | Event::MembersFailed => {}
            Event::ClientGone { id } => self.close(id, out),
            Event::Purged { object, group, ago } => self.on_purge(now, object, group, ago),
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random.draw() % below.max(1)
    }

    // ---- members, purges ----

    fn on_members(&mut self, full: bool, members: Vec<Member>) {
        if full {
            let named: Vec<CacheId> = members.iter().map(|m| m.cache).collect();
            let missing = |c: &&CacheId| !named.contains(c);
            let gone: Vec<CacheId> = self.servers.keys().filter(missing).copied().collect();
            gone.into_iter().for_each(|cache| self.forget(cache));
        }
        for member in members {
            let cache = member.cache;
            let same = self.servers.get(&cache).is_some_and(|s| s.member.boot == member.boot);
            if member.state == State::Gone || !same {
                // What was known of the former process is void, and the new one came back empty.
                self.forget(cache);
            }
            if member.state != State::Gone {
                self.servers.entry(cache).or_default().member = member;
            }
        }
        // Kept by tier on list changes, so that a request's work does not grow with the fleet.
        let apart = |s: &Server| self.hubs_apart(s.member.zone);
        let siblings = || self.servers.values().filter(|s| self.tier(&s.member) == 1);
        let nearest = siblings().map(apart).min();
        let wired = |s: &Server| self.wired.as_ref().is_none_or(|hubs| hubs.contains(&s.member.zone));
        let near = |t: usize, s: &Server| (t != 1 || Some(apart(s)) == nearest) && (t != 2 || wired(s));
        self.tiers = std::array::from_fn(|tier| {
            let all = self.servers.iter().filter(|(_, s)| self.tier(&s.member) == tier && near(tier, s));
            all.map(|(&c, _)| c).collect()
        });
        let ready = self.ready();
        self.usual = std::array::from_fn(|n| self.usual[n].max(ready[n]));
    }

    /// Own caches and parents that serve; one that drains is no one's usual share.
    fn ready(&self) -> [f64; 2] {
        [0, 2].map(|tier| self.tiers[tier].iter().filter(|c| self.servers[c].ready()).count() as f64)
    }

    /// Steps on the ring of hubs between this zone's hub and another's.
    fn hubs_apart(&self, zone: usize) -> usize {
        let hubs = &self.settings.hub_of;
        let hub = |zone: usize| hubs.get(zone).copied().unwrap_or(0);
        let apart = hub(zone).abs_diff(hub(self.settings.zone));
        apart.min(hubs.iter().copied().max().unwrap_or(0) + 1 - apart)
    }

    fn forget(&mut self, cache: CacheId) {
        self.servers.remove(&cache);
        self.local.retain(|_, e| e.cache != cache);
    }

    fn on_purge(&mut self, now: Time, object: Option<ObjectId>, group: u32, ago: Time) {
        // Held for twice the time in which older copies vanish, for a front's own delays.
        let (at, until) = (now.saturating_sub(ago), now + 2 * self.settings.purge_done);
        let key = object.map_or(u64::MAX, |o| o.0 & OBJECT_BITS);
        self.purges.retain(|_, p| p.1 > now);
        if self.purges.len() >= PURGES_MAX {
            // Bounded memory: beyond the limit all groups count as purged.
            self.purges.clear();
            self.purges.insert((u64::MAX, u32::MAX), (now, until));
        }
        let held = self.purges.entry((key, if object.is_some() { 0 } else { group })).or_insert((at, until));
        *held = (held.0.max(at), held.1.max(until));
        let hit =
            |k: u64, e: &Entry| if object.is_some() { k & OBJECT_BITS == key } else { e.group == group };
        self.local.retain(|k, e| !hit(k, e));
    }

    /// When a copy of this must have left the origin at the earliest, if a purge binds.
    fn purged_at(&self, now: Time, key: u64, group: u32) -> Option<Time> {
        [(key & OBJECT_BITS, 0), (u64::MAX, group), (u64::MAX, u32::MAX)]
            .iter()
            .filter_map(|k| self.purges.get(k).filter(|p| p.1 > now).map(|p| p.0))
            .max()
    }

    // ---- placing a request ----

    fn on_request(&mut self, now: Time, ask: Ask, out: &mut Vec<Action>) {
        let Ask { id, class, object, part, group, size_kb, budget, lease, within } = ask;
        if class >= self.settings.classes.len() || self.requests.contains_key(&id) {
            return;
        }
        let key = (object.0 & OBJECT_BITS) | (part as u64) << 52;
        let told = self.settings.client_kb_per_s > 0.0 && size_kb > 0.0 && size_kb.is_finite();
        let mean = self.class_work[class];
        let rules = &self.settings.classes[class];
        let work = if told { size_kb / self.settings.client_kb_per_s * 1e6 } else { mean };
        let work = work.min(rules.deadline as f64);
        self.class_work[class] = if mean == 0.0 { work } else { mean + 0.01 * (work - mean) };
        let request = Request {
            class,
            key,
            group,
            work,
            aim_at: now + (rules.aim + (rules.aim_stretch * work) as Time).min(rules.deadline),
            deadline: now + budget,
            lease,
            within,
            ..Request::default()
        };
        self.retries = (self.retries + RETRY.0).min(RETRY.1);
        self.asked.add(now, self.class_work[class]);
        self.requests.insert(id, request);
        self.try_next(now, id, out);
    }

    /// Own caches, siblings, parents, the origin.
    fn tier(&self, member: &Member) -> usize {
        match member.kind {
            kind if kind == self.settings.origin_kind => 3,
            kind if Some(kind) == self.settings.parent_kind => 2,
            _ => (member.zone != self.settings.zone) as usize,
        }
    }

    /// Mean sending time over the classes that are kept and were seen (us).
    fn mean_work(&self) -> f64 {
        let both = self.class_work.iter().zip(&self.settings.classes);
        let kept = both.filter(|(&work, class)| !class.pass_on && work > 0.0);
        let (sum, n) = kept.fold((0.0, 0.0), |(sum, n), (work, _)| (sum + work, n + 1.0));
        sum / f64::max(n, 1.0)
    }

    fn tier_of(&self, cache: CacheId) -> usize {
        self.servers.get(&cache).map_or(0, |s| self.tier(&s.member))
    }

    /// Fit for ordinary traffic: not shunned, or shunned long enough for one trial.
    fn healthy(&self, now: Time, server: &Server) -> bool {
        let limit = FAIL_LIMIT + self.like[self.tier(&server.member)];
        let trial = server.fail <= limit || server.out + server.filling == 0;
        now >= server.shun_until && trial
    }

    /// The part of the cold budget that is this front's own, by what servers are seen to bear: served work,
    /// as refused work is no capacity, over their usual number, as those that are left carry more.
    /// Guards against pushing over a cache or parent that started lately, whoever else sends to it.
    fn cold_room(&self, now: Time, server: &Server, weight: f64) -> bool {
        let s = &self.settings;
        let parent = Some(server.member.kind) == s.parent_kind;
        let (from, cold_for, multiple) = match parent {
            true => (s.parent_cold_from, s.parent_cold_for, s.parent_fall_multiple),
            false => (s.cache_cold_from, s.cache_cold_for, s.cache_fall_multiple),
        };
        let age = now.saturating_sub(server.member.boot);
        if server.member.boot == 0 || age >= cold_for || server.member.kind == s.origin_kind {
            return true;
        }
        // A front that is new, or whose zone restarted whole, goes by what it is asked for.
        let borne = self.served[parent as usize].get(now);
        let least = if parent { 0.0 } else { ASKED_BEARABLE * self.asked.get(now) };
        let capacity = borne.max(least) / self.usual[parent as usize].max(1.0);
        let ramp = from + (1.0 - from) * age as f64 / cold_for.max(1) as f64;
        let budget = multiple * ramp * capacity * s.fall_window as f64 * COLD_SAFETY;
        let spent: f64 = server.window.iter().filter(|w| w.0 + s.fall_window >= now).map(|w| w.1).sum();
        // An answer that is still in a client's hands may be used at any time of its lease.
        let leases = self.leases.get(&server.member.cache).into_iter().flatten();
        let spent = spent + leases.filter(|l| l.0 > now).map(|l| l.1).sum::<f64>();
        // Shares of a few requests or none: fronts take turns, so that in all nothing is lost to rounding.
        let turn = s.index as f64 * TURN.0 + (now / s.fall_window.max(1)) as f64 * TURN.1;
        spent + weight * turn.fract() < budget
    }

    fn cold(&self, now: Time, server: &Server) -> bool {
        let age = now.saturating_sub(server.member.boot);
        server.member.boot != 0 && age < self.settings.cache_cold_for.max(self.settings.parent_cold_for)
    }

    /// The cache for a request: its listed holder, else the home cache; the next in the home's order where
    /// those are full, cold beyond their budget, unwell, or have failed this request.
    fn place(&self, now: Time, request: &Request) -> Option<CacheId> {
        let listed = self.local.get(request.key, now).map(|e| e.cache);
        let weight = self.class_work[request.class];
        let takes = |c: &&CacheId| {
            let server = &self.servers[c];
            // How many use a lease is not known here: a cold cache is left out of them.
            let leasable = request.lease == 0 || !self.cold(now, server);
            let room = leasable && self.cold_room(now, server, weight);
            server.ready() && room && self.may_repeat_at(now, request, **c)
        };
        let mut order: Vec<CacheId> = self.tiers[0].iter().filter(takes).copied().collect();
        order.sort_by_key(|&c| (Some(c) != listed, !score(request.key, c), c));
        let well = |c: &CacheId| self.healthy(now, &self.servers[c]);
        let fresh = |c: &CacheId| !request.tried.contains(c);
        if self.settings.classes[request.class].pass_on {
            // What is never kept has no home: the calmest healthy cache passes it on.
            let calm = |c: &CacheId| (!well(c), !fresh(c), self.servers[c].out, *c);
            return order.into_iter().min_by_key(calm);
        }
        // Spilling: guards against whatever crowds one cache, such as one much wanted object or a small link.
        let load = |c: &CacheId| {
            let server = &self.servers[c];
            server.out as f64 / server.capacity.unwrap_or(f64::INFINITY).max(0.1)
        };
        let able: Vec<CacheId> = order.iter().copied().filter(|c| well(c) && fresh(c)).collect();
        let calm = able.iter().find(|c| load(c) < SPILL_AT).or(able.first());
        calm.or_else(|| order.iter().find(|c| well(c) || fresh(c))).or(order.first()).copied()
    }

    /// Effects: an attempt that may have run binds where the next may go.
    fn may_repeat_at(&self, now: Time, request: &Request, cache: CacheId) -> bool {
        let rules = &self.settings.classes[request.class];
        let elsewhere = |g| self.servers.get(&cache).is_none_or(|s| rules.repeat.group_of(&s.member) != g);
        if request.within.is_some_and(elsewhere) {
            return false;
        }
        let Some((sent, first)) = request.may_have_run else { return true };
        let (Some(a), Some(b)) = (self.servers.get(&first), self.servers.get(&cache)) else {
            return rules.repeat == Repeat::Safe;
        };
        match rules.repeat {
            Repeat::Safe => true,
            Repeat::SingleShot => false,
            keyed => {
                keyed.group_of(&a.member) == keyed.group_of(&b.member) && now < sent + rules.repeat_window
            }
        }
    }

    // ---- the source of a fill ----

    /// Of two parents drawn at random the one with the lower smoothed latency; then the origin. The draw is
    /// seeded by the object, so that its fills meet at few parents: each further one asks the origin again.
    fn parent(&self, now: Time, request: &Request, listed: bool) -> Option<CacheId> {
        let weight = self.class_work[request.class];
        let room = |c: &&CacheId| {
            let server = &self.servers[c];
            let cold_for_none = (listed || request.lease > 0) && self.cold(now, server);
            server.ready() && self.cold_room(now, server, weight) && !cold_for_none
        };
        let fit = |c: &&CacheId| self.healthy(now, &self.servers[c]) && !request.tried.contains(c);
        let mut parents: Vec<CacheId> = self.tiers[2].iter().filter(room).filter(fit).copied().collect();
        parents.sort_by_key(|&c| (score(request.key, c), c));
        // Guards against one slow spell leaving a parent out for good: one not heard of lately is average.
        let average = self.parent_latency(now);
        let latency = |c: &CacheId| self.servers[c].heard_latency(now).unwrap_or(average);
        let drawn = parents.iter().take(2).min_by(|a, b| latency(a).total_cmp(&latency(b)));
        // Guards against a parent that refuses, or is crowded, being asked for all as it is the one left.
        let quick = |c: &&CacheId| self.servers[c].heard_latency(now).is_none_or(|l| l < SLOW.0);
        let origin = || self.tiers[3].iter().filter(room).find(quick);
        let above = drawn.filter(quick).or_else(origin).or(drawn);
        above.or_else(|| self.tiers[3].iter().chain(&self.tiers[2]).find(room)).copied()
    }

    fn parent_latency(&self, now: Time) -> f64 {
        let above = self.tiers[2].iter().chain(&self.tiers[3]);
        let latencies = above.filter_map(|c| self.servers[c].heard_latency(now));
        let (sum, heard) = latencies.fold((0.0, 0.0), |(a, n), l| (a + l, n + 1.0));
        if heard == 0.0 {
            LATENCY_START
        } else {
            sum / heard
        }
    }

    /// The origin, for what the parents' way turns away: where they lose fills and it is not known to lag.
    fn round_parents(&self, now: Time, request: &Request) -> Option<CacheId> {
        let quick = |s: &Server| s.heard_latency(now).is_none_or(|l| l < SLOW.1);
        let well = |c: &&CacheId| self.servers[c].ready() && quick(&self.servers[c]);
        let fit = |c: &&CacheId| !request.tried.contains(c) && well(c);
        self.tiers[3].iter().find(fit).filter(|_| self.lost > LOST).copied()
    }

    /// The sibling asked: the object's home cache in a neighbouring zone, same hub first. Cold siblings are
    /// left alone: a look counts as load too.
    fn sibling(&self, now: Time, request: &Request) -> Option<CacheId> {
        if self.settings.siblings != Siblings::Any {
            return None;
        }
        let key = request.key;
        let fit = |c: &&CacheId| self.gives(now, &self.servers[c]);
        let order = |c: &&CacheId| (mix(key ^ self.servers[c].member.zone as u64), score(key, **c), **c);
        let home = self.tiers[1].iter().filter(fit).max_by_key(order);
        home.filter(|c| !request.tried.contains(c)).copied()
    }

    /// A cache that may be named as the source of what it holds.
    fn gives(&self, now: Time, server: &Server) -> bool {
        server.ready() && self.healthy(now, server) && !self.cold(now, server)
    }

    /// The query's time-out, if its four conditions hold: time left, attempts, budget, recent payoff.
    fn query_time(&self, now: Time, request: &Request, draw: u64) -> Option<Time> {
        let s = &self.settings;
        if request.queried || request.attempts + 2 > s.max_attempts {
            return None;
        }
        let left = request.aim_at.min(request.deadline).saturating_sub(now) as f64;
        let above = self.parent_latency(now);
        let time = left - above - STRETCH * request.work;
        if time < STRETCH * request.work + above || self.retries < 1.0 {
            return None;
        }
        (self.query_gain > 0.0 || draw.is_multiple_of(TRICKLE)).then_some(time as Time)
    }

    fn plan(&mut self, now: Time, id: RequestId) -> Option<Plan> {
        let draw = self.draw(u64::MAX);
        let request = &self.requests[&id];
        let pass_on = self.settings.classes[request.class].pass_on;
        let Some(cache) = self.place(now, request) else {
            // No cache of the own zone may take it: straight to a parent or the origin where that is allowed.
            let source = self.parent(now, request, false).filter(|_| self.settings.direct)?;
            let direct = Plan { cache: source, source, ..Plan::default() };
            return self.may_repeat_at(now, request, source).then_some(direct);
        };
        let mut plan = Plan { cache, source: cache, ..Plan::default() };
        if let Some(entry) = self.local.get(request.key, now) {
            if entry.cache == cache {
                plan.listed = true;
            } else if self.settings.siblings != Siblings::None
                && !request.tried.contains(&entry.cache)
                && self.servers.get(&entry.cache).is_some_and(|s| self.gives(now, s))
            {
                // Placed elsewhere: the listed holder fills it, from what it holds.
                return Some(Plan { source: entry.cache, hold_only: true, ..plan });
            }
        }
        if !plan.listed && !pass_on {
            if let Some(source) = self.sibling(now, request) {
                if let Some(time_out) = self.query_time(now, request, draw) {
                    return Some(Plan { source, hold_only: true, query: true, time_out, ..plan });
                }
            }
        }
        plan.source = self.parent(now, request, plan.listed)?;
        Some(plan)
    }

    /// Sends the next attempt, or gives the request up.
    fn try_next(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let kept = !self.settings.classes[request.class].pass_on;
        let first = request.attempts == 0;
        let spent = request.attempts >= self.settings.max_attempts || now >= request.deadline;
        let plan = if spent { None } else { self.plan(now, id) };
        let Some(mut plan) = plan else { return self.give_up(id, out) };
        let tier = self.tier_of(plan.source);
        let draws: [u64; 3] = std::array::from_fn(|_| self.draw(1 << 32));
        if kept && plan.source != plan.cache && !self.routes[0].admit(now, draws[0]) {
            // Guards against a jam of fills, whatever slows them: look at what is held, else refuse at once.
            (plan.source, plan.query, plan.hold_only, plan.time_out) = (plan.cache, false, false, 0);
            plan.ageing = true;
        } else if kept && tier >= 2 {
            // With little room the small come first: more are answered for what origin and links carry.
            let (mean, work) = (self.mean_work(), self.requests[&id].work);
            let part = if work > mean { mean / work } else { 1.0 };
            let room = plan.listed || self.deep.free(draws[2], part);
            if !(self.routes[tier - 1].admit(now, draws[1]) && room) {
                // Guards against refusing for the parents' failures what the origin would bear, and against
                // keeping a slow or stopped origin down: parents give what they hold.
                let request = &self.requests[&id];
                let (instead, held) = match tier {
                    3 if plan.listed => (None, plan.cache),
                    3 => (None, self.sibling(now, request).unwrap_or(plan.cache)),
                    _ => (self.round_parents(now, request).filter(|_| !plan.listed), plan.source),
                };
                let instead = instead.filter(|_| self.routes[2].admit(now, draws[1]) && room);
                (plan.hold_only, plan.ageing) = (instead.is_none(), instead.is_none());
                plan.source = instead.unwrap_or(held);
            }
        }
        // Guards against late answers for all where the caches' links are asked for more than they carry.
        let crowded = first && !self.near.free(draws[2], 1.0);
        if kept && (crowded || (plan.source == plan.cache && !first)) {
            return self.give_up(id, out);
        }
        self.send(now, id, plan, out);
    }

    fn send(&mut self, now: Time, id: RequestId, plan: Plan, out: &mut Vec<Action>) {
        let request = &self.requests[&id];
        let class = &self.settings.classes[request.class];
        let purged = self.purged_at(now, request.key, request.group);
        // A copy older than the purge must not serve; 0 would mean the class's own limit.
        let max_age = purged.map_or(0, |at| now.saturating_sub(at + PURGE_MARGIN).max(1));
        // With a quarter of the fills out that may be, or few allowed at all, an older copy beats a fill.
        let ageing = plan.ageing || self.deep.out * 4.0 + 2.0 > self.deep.most;
        let oldest = class.fresh + class.grace * (ageing && class.fresh > 0) as Time;
        let max_age = [max_age, oldest].into_iter().filter(|&age| age > 0).min().unwrap_or(0);
        // Guards against servers that take work and answer nothing: seen when the answer is far from in time.
        let overdue = OVERDUE * request.aim_at.saturating_sub(now);
        let time_out = if plan.query || class.repeat != Repeat::Safe { plan.time_out } else { overdue };
        let keep = if class.pass_on { 0 } else { 1 + self.local.get(request.key, now).is_some() as u8 };
        let weight = self.class_work[request.class];
        let above = self.tier_of(plan.source) >= 2;
        let attempt = Attempt {
            plan,
            key: request.key,
            group: request.group,
            beside: self.servers.get(&plan.cache).map_or(0, |s| s.out),
            above,
            deep: above && !plan.listed && !plan.hold_only && keep > 0,
            work: request.work,
            weight,
            sent: now,
            kept: keep > 0,
            patience: request.aim_at.saturating_sub(now) as f64 - request.work,
        };
        out.push(Action::Fetch(Fetch {
            id,
            cache: plan.cache,
            time_out,
            source: plan.source,
            keep,
            max_age,
            join: self.settings.can_join && !class.pass_on,
            hold_only: plan.hold_only,
            renew: class.fresh > 0 && purged.is_none(),
        }));
        let window = self.settings.fall_window;
        let filled = !plan.listed && plan.source != plan.cache;
        if let Some(server) = self.servers.get_mut(&plan.cache) {
            server.note_sent(now, weight, window);
            server.out += 1;
        }
        if let Some(server) = self.servers.get_mut(&plan.source).filter(|_| filled) {
            server.note_sent(now, weight, window);
            server.filling += 1;
        }
        let lease = request.lease;
        for server in [Some(plan.cache), filled.then_some(plan.source)].into_iter().flatten() {
            if lease > 0 {
                let held = self.leases.entry(server).or_default();
                held.push_back((now + lease, weight));
                while held.len() > LEASES_MAX || held.front().is_some_and(|l| l.0 <= now) {
                    held.pop_front();
                }
            }
        }
        let request = self.requests.get_mut(&id).expect("open");
        let number = request.attempts as u8;
        request.attempts += 1;
        request.queried |= plan.query;
        if keep > 0 {
            let limit = if attempt.deep { &mut self.deep } else { &mut self.near };
            limit.out += 1.0;
        }
        self.attempts.insert((id, number), attempt);
    }

    // ---- outcomes ----

    fn on_outcome(&mut self, now: Time, report: Report, out: &mut Vec<Action>) {
        let Report { id, attempt: number, outcome, note, elapsed, last } = report;
        let Some(attempt) = self.attempts.remove(&(id, number)) else { return };
        self.learn(now, &attempt, outcome, note, elapsed);
        if outcome == Outcome::Served {
            // Guards against blaming caches for what none can serve, such as a bad client's objects: an error
            // counts once the same request was served.
            let erred = self.requests.get_mut(&id).map(|r| std::mem::take(&mut r.erred)).unwrap_or_default();
            erred.into_iter().for_each(|cache| self.blame(now, cache));
        }
        if last || outcome == Outcome::Served {
            return self.close(id, out);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        if outcome == Outcome::Error && !note.source_fault() {
            request.erred.push(attempt.plan.cache);
        }
        let hopeless = request.erred.len() >= ERRORS_MOST;
        if !outcome.never_ran() && request.may_have_run.is_none() {
            request.may_have_run = Some((attempt.sent, attempt.plan.cache));
        }
        let source_slow = attempt.plan.query && outcome == Outcome::TimedOut;
        // After a reset the object may well be where it was asked for: the work ran, its answer was lost.
        if !matches!(outcome, Outcome::Miss | Outcome::Reset) && !note.source_fault() && !source_slow {
            request.tried.push(attempt.plan.cache);
        }
        request.tried.extend((attempt.plan.source != attempt.plan.cache).then_some(attempt.plan.source));
        let safe = self.settings.classes[request.class].repeat == Repeat::Safe;
        let above_lacks = attempt.plan.hold_only && attempt.above && outcome == Outcome::Miss;
        if self.attempts.range((id, 0)..=(id, u8::MAX)).next().is_some() {
            return;
        }
        if above_lacks || hopeless || (note == Note::OriginFailed && safe) {
            return self.give_up(id, out);
        }
        if outcome != Outcome::Miss {
            // Guards against retries that keep an overload or an outage going; full is an overload's sign.
            // Where notes are not given, full may be the source's word: another source is tried once.
            let told = self.settings.notes == Notes::All || request.attempts > 1;
            if self.retries < 1.0 || (outcome == Outcome::Full && safe && told) {
                return self.give_up(id, out);
            }
            self.retries -= 1.0;
        }
        self.try_next(now, id, out);
    }

    fn blame(&mut self, now: Time, cache: CacheId) {
        let tier = self.tier_of(cache);
        if let Some(server) = self.servers.get_mut(&cache) {
            server.note(now, true, false, &mut self.like[tier]);
        }
    }

    /// Health, latency, capacity, the query's record and the summary, all from one outcome.
    fn learn(&mut self, now: Time, attempt: &Attempt, outcome: Outcome, note: Note, elapsed: Time) {
        let extra = (elapsed as f64 - attempt.work).max(0.0);
        let untold = note == Note::Untold;
        let served = outcome == Outcome::Served;
        let from_source = served
            && (matches!(note, Note::Filled | Note::FilledByOrigin) || (untold && !attempt.plan.listed));
        let hit = note == Note::Hit || (untold && attempt.plan.listed);
        let (own, above) = (self.tier_of(attempt.plan.cache), self.tier_of(attempt.plan.source));
        if let Some(server) = self.servers.get_mut(&attempt.plan.cache) {
            let like = &mut self.like[own];
            server.out = server.out.saturating_sub(1);
            match outcome {
                Outcome::Served => {
                    server.note(now, false, false, like);
                    self.served[0].add(now, attempt.weight);
                    let beside = (attempt.beside + server.out) as f64 / 2.0 + 1.0;
                    let stretch = elapsed as f64 / attempt.work.max(1.0);
                    let slow = stretch > STRETCH && attempt.work > LATENCY_START;
                    let capacity = server.capacity.unwrap_or(beside);
                    let sample = if slow { beside / stretch } else { beside.max(capacity) };
                    if hit && (slow || sample > capacity) {
                        server.capacity = Some(capacity + SMOOTH * (sample - capacity));
                    }
                }
                Outcome::ConnectFailed => server.note(now, true, true, like),
                Outcome::TimedOut if attempt.plan.query => {}
                Outcome::Reset | Outcome::TimedOut => server.note(now, true, false, like),
                // Full is load and no illness: shunned, its objects would be filled again elsewhere.
                _ => {}
            }
        }
        let asked = !attempt.plan.listed;
        let filling = attempt.plan.source != attempt.plan.cache;
        let late = served && extra > LATE * attempt.patience;
        let timed_out = outcome == Outcome::TimedOut;
        if attempt.deep {
            // Past the wanted time, no sooner: guards against taking a far parent, whose fills need most of
            // it in the calmest hour, for a crowded one: what is refused is never kept, and the limit stays.
            let over = timed_out || extra > attempt.patience;
            self.deep.ended((timed_out || (served && !hit)).then_some(over));
            // Answers that are lost where nothing is filled are lost here too, and say nothing of the origin.
            self.deep.most += LIMIT_STEPS.0 * self.unanswered;
        } else if attempt.kept {
            if (!asked || !filling) && outcome != Outcome::Cancelled {
                self.unanswered += SMOOTH * (timed_out as u8 as f64 - self.unanswered);
            }
            self.near.ended((served && hit).then_some(late));
        }
        if late && hit {
            // What is held comes late too: the links are crowded, and fills would crowd them more.
            self.routes[0].cut();
        }
        let lost = matches!(outcome, Outcome::Full | Outcome::TimedOut) || note == Note::OriginFailed;
        if above == 2 && asked && !attempt.plan.hold_only {
            self.lost += SMOOTH * ((lost || outcome == Outcome::Error) as u8 as f64 - self.lost);
        }
        if ((late && from_source) || lost) && filling && !attempt.plan.query {
            // A parent's own copy that comes late, or no fill place, speaks of the link; else of the source.
            let filled = note == Note::Filled && self.settings.notes == Notes::All;
            let link = !attempt.above || attempt.plan.hold_only || filled || note == Note::NoFillPlace;
            self.routes[if link { 0 } else { above.max(2) - 1 }].cut();
            if note == Note::OriginFailed {
                self.routes[2].cut();
            }
        }
        let failed = matches!(outcome, Outcome::Error | Outcome::TimedOut);
        let blamed = if untold { asked && failed } else { note.source_fault() };
        let blamed = blamed && !matches!(note, Note::SourceLacks | Note::OriginFailed);
        let source = self.servers.get_mut(&attempt.plan.source).filter(|_| filling);
        if let Some(server) = source {
            server.filling = server.filling.saturating_sub(asked as u32);
            // Where nothing is told, a refusal may be the cache's own: then it falls to all sources alike.
            let refused = asked && untold && outcome == Outcome::Full;
            if from_source || refused {
                let latency = server.heard_latency(now).unwrap_or(extra);
                let sample = if refused { REFUSED_AS } else { extra };
                server.latency = Some(latency + SMOOTH * (sample - latency));
                server.heard = now;
            }
            if from_source {
                if above == 2 {
                    self.served[1].add(now, attempt.weight);
                }
                server.note(now, false, false, &mut self.like[above]);
            } else if blamed {
                server.note(now, true, false, &mut self.like[above]);
            }
        }
        if attempt.plan.query && (from_source || failed || matches!(outcome, Outcome::Full | Outcome::Miss)) {
            let gain = if from_source { self.parent_latency(now) - extra } else { -(elapsed as f64) };
            self.query_gain += SMOOTH * (gain.clamp(-QUERY_CLIP, QUERY_CLIP) - self.query_gain);
        }
        let cache = attempt.plan.cache;
        if outcome == Outcome::Miss && self.local.get(attempt.key, now).is_some_and(|e| e.cache == cache) {
            self.local.remove(attempt.key);
        }
        let mine = self.servers.get(&cache).is_some_and(|s| s.ready() && self.tier(&s.member) == 0);
        // A fill that began before a purge says nothing of what is held after it.
        let void = self.purged_at(now, attempt.key, attempt.group).is_some_and(|at| at > attempt.sent);
        if outcome != Outcome::Served || !attempt.kept || !mine || void {
            return;
        }
        let entry = Entry { cache, group: attempt.group, until: now + LIFE };
        self.local.put(attempt.key, entry, now);
    }

    /// Ends a request that has its answer: what is still out for it is called off.
    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.requests.remove(&id);
        let left = self.attempts.range((id, 0)..=(id, u8::MAX)).filter(|_| self.settings.may_cancel);
        out.extend(left.map(|(&(id, attempt), _)| Action::Cancel { id, attempt }));
    }

    /// The final answer at once. Refused where trying again is harmless, else failed.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let mut left = self.attempts.range((id, 0)..=(id, u8::MAX));
        let ran = request.may_have_run.is_some() || request.within.is_some() || left.next().is_some();
        let refuse = match self.settings.classes[request.class].repeat {
            Repeat::Safe | Repeat::Keyed(Group::All) => true,
            _ => !ran,
        };
        let wait = RETRY_AFTER.0 + self.draw(RETRY_AFTER.1);
        let retry_after = self.settings.retry_after.map_or(0, |longest| wait.min(longest));
        out.push(if refuse { Action::Refuse { id, retry_after } } else { Action::Fail { id } });
        self.close(id, out);
    }

    // ---- the tick ----

    fn on_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        out.push(Action::Timer { after: TICK, token: TICK_TOKEN });
        // A time-out at the deadline that never came: the answer is still owed in time.
        let slack = self.settings.answer_slack / 2;
        let overdue = |r: &Request| !r.started && now >= r.deadline + slack;
        let late: Vec<_> = self.requests.iter().filter(|(_, r)| overdue(r)).map(|(&id, _)| id).collect();
        for id in late {
            self.give_up(id, out);
        }
        let ready = self.ready();
        for (usual, ready) in self.usual.iter_mut().zip(ready) {
            *usual = ready.max(*usual + (ready - *usual) * TICK as f64 / RATE_OVER);
        }
    }
}
