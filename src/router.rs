//! The router: its state, and the dispatch of events to the rules.
//!
//! The path of a request, with one module for each rule:
//!
//! 1. `requests` accepts it; `cache_selection` and `source_selection` plan an attempt: the cache it
//!    goes to and the server that a miss is filled from. `members`, `outliers`, `slow_start` and
//!    `retry_safety` decide which servers are eligible; a sibling is queried first if
//!    `sibling_query` expects that to save time.
//! 2. `dispatch` checks the plan against the admission gates (`admission`) and the concurrency
//!    limits (`concurrency`); `fetch` sends the attempt, with bounds on the age of a copy
//!    (`purges`) and on the time.
//! 3. `outcomes` handles the attempt's outcome: `feedback` updates every estimate; then the request
//!    ends, is retried within the retry budget (`retry_budget`), or is given up (`rejection`).
//!
//! `docs/decision-rules.md` lists the rules with their inputs and settings.

mod admission;
mod cache_selection;
mod capacity;
mod concurrency;
mod dispatch;
mod feedback;
mod fetch;
mod housekeeping;
mod load;
mod members;
mod object_table;
mod outcomes;
mod outliers;
mod purges;
mod rejection;
mod requests;
mod retry_budget;
mod retry_safety;
mod server;
mod sibling_query;
mod slow_start;
mod source_selection;
mod tiers;

use crate::interface::{Action, CacheId, Event, RequestId, Settings, Time};
use admission::FillGates;
use concurrency::ConcurrencyLimits;
use foldmux_stats::{SeededRng, SlidingWindow};
use housekeeping::HOUSEKEEPING_TOKEN;
use load::Load;
use object_table::ObjectTable;
pub use purges::PurgeLog;
use requests::{Attempt, Request};
use retry_budget::RetryBudget;
use server::Server;
use sibling_query::SiblingQueryGain;
use std::collections::BTreeMap;
use tiers::ByTier;

/// Weight of a new sample in the moving averages of latencies and loss rates.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Decides from the events of its host where each request goes and what fills a miss.
///
/// A router is deterministic: the same settings, seed and events give the same actions.
pub struct Router {
    settings: Settings,
    rng: SeededRng,
    /// Whether the first event was handled; the periodic timer runs from then on.
    running: bool,
    servers: BTreeMap<CacheId, Server>,
    /// Listed servers that may be selected. Of the siblings, only those of the nearest hubs.
    tiers: ByTier<Vec<CacheId>>,
    /// Zones whose parents may be the source of a fill; `None` allows all, until a topology is announced.
    parent_zones: Option<Vec<usize>>,
    requests: BTreeMap<RequestId, Request>,
    /// Attempts in flight, by request and number.
    attempts: BTreeMap<(RequestId, u8), Attempt>,
    /// Which of the zone's caches holds an object, as far as this router knows.
    object_table: ObjectTable,
    /// Placements that clients may still use without the router: by cache, their expiry times and the load of each
    /// (us). They are kept when a server restarts, as their holders are not told of it.
    placements: BTreeMap<CacheId, SlidingWindow>,
    purges: PurgeLog,
    /// Mean transfer time by class (us), which is the load that an attempt counts as; 0 until one is known.
    mean_transfer_time: Vec<f64>,
    load: Load,
    sibling_query_gain: SiblingQueryGain,
    limits: ConcurrencyLimits,
    gates: FillGates,
    /// Ratio of the attempts without a fill that got no response.
    no_response_rate: f64,
    /// Ratio of the parents' fills that were lost.
    parent_loss_rate: f64,
    /// Failure rate of all servers of a tier together.
    tier_failure_rate: ByTier<f64>,
    retry_budget: RetryBudget,
}

impl Router {
    /// Creates a router that knows no servers yet. `seed` seeds all its random draws.
    pub fn new(settings: Settings, seed: u64) -> Router {
        Router {
            sibling_query_gain: SiblingQueryGain::new(&settings),
            mean_transfer_time: vec![0.0; settings.classes.len()],
            load: Load::new(&settings),
            settings,
            rng: SeededRng::new(seed),
            running: false,
            servers: BTreeMap::new(),
            tiers: ByTier::default(),
            parent_zones: None,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            object_table: ObjectTable::default(),
            placements: BTreeMap::new(),
            purges: PurgeLog::default(),
            limits: ConcurrencyLimits::default(),
            gates: FillGates::default(),
            no_response_rate: 0.0,
            parent_loss_rate: 0.0,
            tier_failure_rate: ByTier::default(),
            retry_budget: RetryBudget::default(),
        }
    }

    /// Replaces all settings at once.
    ///
    /// A class with open requests must keep its index. If the rules at an index change, it counts as a new class, whose
    /// transfer times are not known yet.
    pub fn retune(&mut self, settings: Settings) {
        let unchanged =
            |class: usize| self.settings.classes.get(class) == settings.classes.get(class);
        self.mean_transfer_time = (0..settings.classes.len())
            .map(|class| {
                if unchanged(class) {
                    self.mean_transfer_time[class]
                } else {
                    0.0
                }
            })
            .collect();
        self.settings = settings;
    }

    /// Handles one event at `now` and appends the resulting actions to `out`, in the order to carry them out in.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if !self.running {
            self.start(out);
        }
        match event {
            Event::Members { full, members } => self.on_members(full, members),
            Event::TopologyChanged {
                parent_zones,
                hub_by_zone,
            } => self.on_topology(parent_zones, hub_by_zone),
            Event::MembersUnavailable => self.subscribe_members(out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::Outcome(report) => self.on_outcome(now, report, out),
            Event::ResponseStarted { id } => self.on_response_started(id),
            Event::Timer {
                token: HOUSEKEEPING_TOKEN,
            } => self.on_housekeeping(now, out),
            // No rule uses health checks or messages from peers.
            Event::Timer { .. } | Event::HealthChecked { .. } | Event::PeerMessage { .. } => {}
            Event::ClientDisconnected { id } => self.finish_request(id, out),
            Event::Shutdown { deadline } => self.on_shutdown(deadline),
            Event::Purged { object, group, age } => self.on_purge(now, object, group, age),
        }
    }

    fn start(&mut self, out: &mut Vec<Action>) {
        self.running = true;
        self.start_housekeeping_timer(out);
        self.subscribe_members(out);
    }

    fn subscribe_members(&self, out: &mut Vec<Action>) {
        if self.settings.subscribe_members {
            out.push(Action::SubscribeMembers);
        }
    }

    /// A random number below `bound`, or 0 if `bound` is 0.
    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }
}
