//! The day: routers, cache boxes, hubs and the archive in virtual time. Routers are `foldmux::Router`, hubs decide
//! by `foldmux_hierarchy::node::Node`; only what stands between them is a model. The same seed is the same day.

mod edge;
mod events;
mod hub;
mod setup;
mod state;
mod step;
mod store;

pub use setup::usual;

use crate::scenario::Scenario;
use events::Event;
use foldmux::interface::*;
use foldmux::Router;
use foldmux_hierarchy::tree::Tree;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use serde::Serialize;
use state::{EdgeState, HubState};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use store::{Part, Store};

/// Microseconds.
const SECOND: f64 = 1e6;
/// Beyond any day: the routers' clocks start here, so that purges lie behind.
const START: Time = 1_000_000_000;
const BOX: usize = 0;
const HUB: usize = 1;
const ARCHIVE: usize = 2;
const HUB_IDS: u32 = 1_000_000;
const ARCHIVE_ID: CacheId = CacheId(2_000_000);
const CLIENT_KB_PER_S: f64 = 5_000.0;
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

/// One day as it is played.
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

impl<'a> Day<'a> {
    fn after(&mut self, us: f64, event: Event) {
        self.next += 1;
        self.events
            .push(Reverse((self.now + us.max(0.0) as Time, self.next)));
        self.bodies.insert(self.next, event);
    }

    /// Plays the day to its end.
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
}

/// Plays a scenario once.
pub fn play(scenario: &Scenario) -> Result {
    Day::new(scenario).run()
}

#[cfg(test)]
mod tests;
