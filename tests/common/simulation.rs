//! A simulation of many routers in virtual time. Arrivals come from a seeded generator, outcomes are delivered when
//! they are due, and all sent attempts are recorded.

use super::*;
use foldmux_stats::SeededRng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

/// An attempt that was sent.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub at: Time,
    pub router: usize,
    pub fetch: Fetch,
    pub object: u64,
    pub attempt: u8,
}

/// A scheduled event of a router.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    Arrival,
    Timer(u32),
    Response(RequestId, u8),
}

#[derive(Default)]
struct OpenRequest {
    at: Time,
    object: u64,
    attempts: u8,
    /// Number of final results.
    results: u32,
}

pub struct Simulation {
    pub routers: Vec<foldmux::Router>,
    pub now: Time,
    pub sent: Vec<SentAttempt>,
    /// Time and Retry-After of each rejection.
    pub rejections: Vec<(Time, Time)>,
    pub request_count: usize,
    /// Requests per second by router; `rate` applies to routers beyond its end.
    pub router_rates: Vec<f64>,
    /// Requests per second at each router.
    pub rate: f64,
    /// Number of requested objects; with 0, each request is for a new object.
    pub object_count: u64,
    queue: BinaryHeap<Reverse<(Time, u64, usize, Scheduled)>>,
    in_flight: HashMap<(usize, RequestId, u8), (SentAttempt, Outcome, Time)>,
    open: HashMap<(usize, RequestId), OpenRequest>,
    rng: SeededRng,
    sequence: u64,
    last_id: u64,
}

impl Simulation {
    /// Creates a router for each of `settings`, with different seeds and the same member list.
    pub fn new(settings: Vec<Settings>, list: &[Member], rate: f64) -> Simulation {
        let seeded =
            |(k, s): (usize, Settings)| foldmux::Router::new(s, 0x51ed_2701 * (k as u64 + 1));
        let mut simulation = Simulation {
            routers: settings.into_iter().enumerate().map(seeded).collect(),
            now: START,
            sent: Vec::new(),
            rejections: Vec::new(),
            request_count: 0,
            router_rates: Vec::new(),
            rate,
            object_count: 0,
            queue: BinaryHeap::new(),
            in_flight: HashMap::new(),
            open: HashMap::new(),
            rng: SeededRng::new(11),
            sequence: 0,
            last_id: 0,
        };
        for router in 0..simulation.routers.len() {
            simulation.deliver(
                router,
                Event::Members {
                    full: true,
                    members: list.to_vec(),
                },
                &mut |_| unreachable!(),
            );
            simulation.schedule_arrival(router);
        }
        simulation
    }

    fn schedule_arrival(&mut self, router: usize) {
        let fraction = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        let rate = self.router_rates.get(router).copied().unwrap_or(self.rate);
        let interval = (2.0 * fraction / rate * SECOND as f64) as Time;
        self.schedule(self.now + interval, router, Scheduled::Arrival);
    }

    fn schedule(&mut self, at: Time, router: usize, scheduled: Scheduled) {
        self.sequence += 1;
        self.queue
            .push(Reverse((at, self.sequence, router, scheduled)));
    }

    /// Passes an event to a router at the present time. `outcome_of` gives the outcome of a sent attempt and the time
    /// after which it is reported.
    pub fn deliver(
        &mut self,
        router: usize,
        event: Event,
        outcome_of: &mut dyn FnMut(&SentAttempt) -> (Outcome, Time),
    ) {
        let mut actions = Vec::new();
        self.routers[router].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::StartTimer { after, token } => {
                    self.schedule(self.now + after, router, Scheduled::Timer(token))
                }
                Action::Reject { id, retry_after } => {
                    self.rejections.push((self.now, retry_after));
                    self.record_result(router, id);
                }
                Action::Fail { id } => self.record_result(router, id),
                Action::Fetch(fetch) => {
                    let open = self
                        .open
                        .get_mut(&(router, fetch.id))
                        .expect("the request is open");
                    assert_eq!(
                        open.results, 0,
                        "an attempt was sent after the final result"
                    );
                    let sent = SentAttempt {
                        at: self.now,
                        router,
                        fetch,
                        object: open.object,
                        attempt: open.attempts,
                    };
                    open.attempts += 1;
                    let (mut outcome, mut elapsed) = outcome_of(&sent);
                    if sent.fetch.timeout > 0 && elapsed > sent.fetch.timeout {
                        (outcome, elapsed) = (Outcome::TimedOut, sent.fetch.timeout);
                    }
                    self.schedule(
                        self.now + elapsed,
                        router,
                        Scheduled::Response(sent.fetch.id, sent.attempt),
                    );
                    self.in_flight.insert(
                        (router, sent.fetch.id, sent.attempt),
                        (sent.clone(), outcome, elapsed),
                    );
                    self.sent.push(sent);
                }
                _ => {}
            }
        }
    }

    fn record_result(&mut self, router: usize, id: RequestId) {
        let open = self
            .open
            .get_mut(&(router, id))
            .expect("the request is open");
        open.results += 1;
        assert_eq!(open.results, 1, "number of final results");
    }

    /// Runs the simulation for `time`.
    pub fn run(&mut self, time: Time, outcome_of: &mut dyn FnMut(&SentAttempt) -> (Outcome, Time)) {
        let until = self.now + time;
        while let Some(Reverse((at, _, router, scheduled))) = self.queue.peek().cloned() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            match scheduled {
                Scheduled::Timer(token) => self.deliver(router, Event::Timer { token }, outcome_of),
                Scheduled::Arrival => {
                    self.schedule_arrival(router);
                    self.last_id += 1;
                    self.request_count += 1;
                    let id = RequestId(self.last_id);
                    let object = match self.object_count {
                        0 => 1 << 40 | self.last_id,
                        n => 1 + self.rng.next_u64() % n,
                    };
                    self.open.insert(
                        (router, id),
                        OpenRequest {
                            at: self.now,
                            object,
                            ..OpenRequest::default()
                        },
                    );
                    let request = IncomingRequest {
                        id,
                        class: 0,
                        object: ObjectId(object),
                        part: 0,
                        group: 5,
                        size_kb: 500.0,
                        time_budget: 3 * SECOND,
                        placement_ttl: 0,
                        required_group: None,
                    };
                    self.deliver(router, Event::Request(request), outcome_of);
                }
                Scheduled::Response(id, attempt) => {
                    let (_, outcome, elapsed) = self
                        .in_flight
                        .remove(&(router, id, attempt))
                        .expect("the attempt is in flight");
                    let last = outcome == Outcome::Served;
                    if last {
                        let open = self
                            .open
                            .get_mut(&(router, id))
                            .expect("the request is open");
                        open.results += 1;
                    }
                    let report = AttemptReport {
                        id,
                        attempt,
                        outcome,
                        cache_status: CacheStatus::Unknown,
                        elapsed,
                        last,
                    };
                    self.deliver(router, Event::Outcome(report), outcome_of);
                }
            }
        }
        self.now = until;
    }

    /// Number of requests that arrived before `at` and have no final result.
    pub fn unanswered_before(&self, at: Time) -> usize {
        self.open
            .values()
            .filter(|open| open.at < at && open.results == 0)
            .count()
    }

    /// Number of attempts sent since `from`, by the key that `key_of` gives; attempts without a key are not counted.
    pub fn count_sent<K: Ord>(
        &self,
        from: Time,
        key_of: impl Fn(&SentAttempt) -> Option<K>,
    ) -> BTreeMap<K, usize> {
        let mut counts = BTreeMap::new();
        for key in self.sent.iter().filter(|s| s.at >= from).filter_map(key_of) {
            *counts.entry(key).or_default() += 1;
        }
        counts
    }
}

/// Settings of `count` routers, assigned in turn to the zones that hold caches (from zone 2 on).
pub fn router_settings(base: &Settings, count: u32, zones: u32) -> Vec<Settings> {
    let of_zone = |z: u32| count / zones + (z < count % zones) as u32;
    let by_zone: Vec<u32> = [0, 0].into_iter().chain((0..zones).map(of_zone)).collect();
    let base = Settings {
        router_count: count,
        routers_by_zone: by_zone,
        cache_status_detail: CacheStatusDetail::None,
        max_attempts: 4,
        ..base.clone()
    };
    (0..count)
        .map(|index| Settings {
            index,
            zone: 2 + (index % zones) as usize,
            ..base.clone()
        })
        .collect()
}
