//! The router: what it keeps, and which part decides on an event. Its words are in src/interface.rs.
//!
//! A request's life: members and purges are heard of (members); it is placed (place), its miss given a source
//! (source), among what is fit (health, cold); it goes out if there is room (send, routes); each outcome
//! is learned from (learn, summary); it is tried again or given up (retry).

mod cold;
mod health;
mod learn;
mod members;
mod place;
mod retry;
mod routes;
mod send;
mod source;
mod summary;

use crate::interface::*;
use foldmux_stats::{
    mean, mix, rendezvous_rank, DecayingRate, SeededRng, SlidingWindow, SmoothedSample,
};
use routes::{Limit, Route, LIMIT_STEPS};
use std::collections::BTreeMap;
use summary::{Entry, Table};

/// Time between looks at what is overdue (us); that timer's name.
const TICK: Time = 25_000;
const TICK_TOKEN: u32 = 1;
/// Weight of a new sample in smoothed latencies and in the query's record.
const SMOOTH: f64 = 0.1;
/// A latency that was not heard again for so long (us) says nothing any more.
const HEARD: Time = 2_000_000;
/// Part of the least aim that a fill takes while nothing has been heard, and that shows a cache's pace.
const START: f64 = 0.2;
/// Sending stretches by this much in the ordinary case.
const STRETCH: f64 = 1.25;
/// Least time over which work is averaged (us); else as long as what restarts takes to warm.
const OVER_LEAST: Time = 1_000_000;
/// Further attempts earned by each request, and the most saved up: retries can't double a load.
const RETRY: (f64, f64) = (0.25, 30.0);
/// The part of a table's key that is the object; its part stands above.
const OBJECT_BITS: u64 = (1 << 52) - 1;

/// What this router knows of a cache, a parent or the origin.
#[derive(Default)]
struct Server {
    member: Member,
    /// Attempts out, and those that name it as the source of a likely fill.
    out: u32,
    filling: u32,
    fail: f64,
    shun_until: Time,
    /// When the first of what was sent to it since its last word should have been answered.
    due: Option<Time>,
    /// Smoothed fill latency beyond the sending time (us).
    latency: SmoothedSample,
    /// Transfers that it carries at full pace, as far as this front can tell.
    capacity: Option<f64>,
    /// What was sent within the fall window (us of sending).
    window: SlidingWindow,
}

impl Server {
    fn ready(&self) -> bool {
        self.member.state == MemberState::Ready
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
    random: SeededRng,
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
    leases: BTreeMap<CacheId, SlidingWindow>,
    purges: BTreeMap<(u64, u32), (Time, Time)>,
    /// By class: mean sending time (us), the weight of an attempt.
    class_work: Vec<f64>,
    /// Work asked for, that the zone's caches served, that parents filled; how many of each are usual.
    asked: DecayingRate,
    served: [DecayingRate; 2],
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

impl Router {
    pub fn new(settings: Settings, seed: u64) -> Router {
        let over = settings.longest_slow_start().max(OVER_LEAST) as f64;
        Router {
            query_gain: START / 4.0 * settings.latency_objectives()[0],
            class_work: vec![0.0; settings.classes.len()],
            settings,
            random: SeededRng::new(seed),
            running: false,
            servers: BTreeMap::new(),
            tiers: Default::default(),
            wired: None,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            local: Table::default(),
            leases: BTreeMap::new(),
            purges: BTreeMap::new(),
            asked: DecayingRate::new(over),
            served: [DecayingRate::new(over); 2],
            usual: [0.0; 2],
            near: Limit {
                most: f64::MAX,
                out: 0.0,
            },
            deep: Limit {
                most: f64::MAX,
                out: 0.0,
            },
            unanswered: 0.0,
            lost: 0.0,
            routes: [Route {
                open: 1.0,
                gap: 1.0,
                wanted: 0,
            }; 3],
            like: [0.0; 4],
            retries: RETRY.1,
        }
    }

    /// Other settings, all at once. A class that open requests have keeps its place; a place under other
    /// rules is another class's, whose sizes are not known yet.
    pub fn retune(&mut self, settings: Settings) {
        let same = |k: usize| self.settings.classes.get(k) == settings.classes.get(k);
        let work = |k: usize| if same(k) { self.class_work[k] } else { 0.0 };
        self.class_work = (0..settings.classes.len()).map(work).collect();
        self.settings = settings;
    }

    /// Takes one event and adds what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if !self.running {
            self.running = true;
            out.push(Action::StartTimer {
                after: TICK,
                token: TICK_TOKEN,
            });
            if self.settings.subscribe_members {
                out.push(Action::SubscribeMembers);
            }
        }
        match event {
            Event::Members { full, members } => self.on_members(full, members),
            Event::TopologyChanged {
                parent_zones: hubs,
                hub_by_zone: hub_of,
            } => {
                (self.wired, self.settings.hub_by_zone) = (Some(hubs), hub_of);
                self.on_members(false, Vec::new());
            }
            Event::MembersUnavailable if self.settings.subscribe_members => {
                out.push(Action::SubscribeMembers)
            }
            Event::Request(ask) => self.on_request(now, ask, out),
            Event::Outcome(report) => self.on_outcome(now, report, out),
            Event::ResponseStarted { id } => self
                .requests
                .get_mut(&id)
                .into_iter()
                .for_each(|r| r.started = true),
            Event::Timer { token: TICK_TOKEN } => self.on_tick(now, out),
            Event::Timer { .. }
            | Event::HealthChecked { .. }
            | Event::PeerMessage { .. }
            | Event::MembersUnavailable => {}
            Event::ClientDisconnected { id } => self.close(id, out),
            Event::Shutdown { deadline: by } => self
                .requests
                .values_mut()
                .for_each(|r| r.deadline = r.deadline.min(by)),
            Event::Purged {
                object,
                group,
                age: ago,
            } => self.on_purge(now, object, group, ago),
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below.max(1)
    }
}
