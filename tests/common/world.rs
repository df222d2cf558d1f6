//! Many routers in virtual time: arrivals drawn by seed, each answer when it is due, all that is sent kept.

use super::*;
use foldmux_stats::SeededRng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

/// An attempt as it left.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Time,
    pub front: usize,
    pub fetch: Fetch,
    pub object: u64,
    pub attempt: u8,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Arrival,
    Timer(u32),
    Answer(RequestId, u8),
}

#[derive(Default)]
struct Open {
    at: Time,
    object: u64,
    attempts: u8,
    ends: u32,
}

pub struct World {
    pub routers: Vec<foldmux::Router>,
    pub now: Time,
    pub sent: Vec<Sent>,
    pub refused: Vec<(Time, Time)>,
    pub asked: usize,
    /// Requests a second at each, where they are not all alike.
    pub rates: Vec<f64>,
    /// Requests a second at each; objects that they are for (0: each for one of its own).
    pub rate: f64,
    pub objects: u64,
    queue: BinaryHeap<Reverse<(Time, u64, usize, Next)>>,
    out: HashMap<(usize, RequestId, u8), (Sent, Outcome, Time)>,
    open: HashMap<(usize, RequestId), Open>,
    draws: SeededRng,
    order: u64,
    ids: u64,
}

impl World {
    /// Routers with these settings, seeds of their own and the same list.
    pub fn new(settings: Vec<Settings>, list: &[Member], rate: f64) -> World {
        let seeded =
            |(k, s): (usize, Settings)| foldmux::Router::new(s, 0x51ed_2701 * (k as u64 + 1));
        let mut world = World {
            routers: settings.into_iter().enumerate().map(seeded).collect(),
            now: START,
            sent: Vec::new(),
            refused: Vec::new(),
            asked: 0,
            rates: Vec::new(),
            rate,
            objects: 0,
            queue: BinaryHeap::new(),
            out: HashMap::new(),
            open: HashMap::new(),
            draws: SeededRng::new(11),
            order: 0,
            ids: 0,
        };
        for front in 0..world.routers.len() {
            world.tell(
                front,
                Event::Members {
                    full: true,
                    members: list.to_vec(),
                },
                &mut |_| unreachable!(),
            );
            world.arrive(front);
        }
        world
    }

    fn arrive(&mut self, front: usize) {
        let part = (self.draws.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        let rate = self.rates.get(front).copied().unwrap_or(self.rate);
        let gap = (2.0 * part / rate * SECOND as f64) as Time;
        self.push(self.now + gap, front, Next::Arrival);
    }

    fn push(&mut self, at: Time, front: usize, next: Next) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, front, next)));
    }

    /// Hands one router an event now. `fate`: how an attempt ends, and after what time.
    pub fn tell(
        &mut self,
        front: usize,
        event: Event,
        fate: &mut dyn FnMut(&Sent) -> (Outcome, Time),
    ) {
        let mut actions = Vec::new();
        self.routers[front].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::StartTimer { after, token } => {
                    self.push(self.now + after, front, Next::Timer(token))
                }
                Action::Reject { id, retry_after } => {
                    self.refused.push((self.now, retry_after));
                    self.end(front, id);
                }
                Action::Fail { id } => self.end(front, id),
                Action::Fetch(fetch) => {
                    let open = self
                        .open
                        .get_mut(&(front, fetch.id))
                        .expect("a request that is open");
                    assert_eq!(
                        open.ends, 0,
                        "nothing is sent for a request that has its answer"
                    );
                    let sent = Sent {
                        at: self.now,
                        front,
                        fetch,
                        object: open.object,
                        attempt: open.attempts,
                    };
                    open.attempts += 1;
                    let (mut outcome, mut elapsed) = fate(&sent);
                    if sent.fetch.timeout > 0 && elapsed > sent.fetch.timeout {
                        (outcome, elapsed) = (Outcome::TimedOut, sent.fetch.timeout);
                    }
                    self.push(
                        self.now + elapsed,
                        front,
                        Next::Answer(sent.fetch.id, sent.attempt),
                    );
                    self.out.insert(
                        (front, sent.fetch.id, sent.attempt),
                        (sent.clone(), outcome, elapsed),
                    );
                    self.sent.push(sent);
                }
                _ => {}
            }
        }
    }

    fn end(&mut self, front: usize, id: RequestId) {
        let open = self
            .open
            .get_mut(&(front, id))
            .expect("a request that is open");
        open.ends += 1;
        assert_eq!(open.ends, 1, "one final answer");
    }

    /// Plays on for so long.
    pub fn run(&mut self, time: Time, fate: &mut dyn FnMut(&Sent) -> (Outcome, Time)) {
        let until = self.now + time;
        while let Some(Reverse((at, _, front, next))) = self.queue.peek().cloned() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            match next {
                Next::Timer(token) => self.tell(front, Event::Timer { token }, fate),
                Next::Arrival => {
                    self.arrive(front);
                    self.ids += 1;
                    self.asked += 1;
                    let id = RequestId(self.ids);
                    let object = match self.objects {
                        0 => 1 << 40 | self.ids,
                        n => 1 + self.draws.next_u64() % n,
                    };
                    self.open.insert(
                        (front, id),
                        Open {
                            at: self.now,
                            object,
                            ..Open::default()
                        },
                    );
                    let ask = IncomingRequest {
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
                    self.tell(front, Event::Request(ask), fate);
                }
                Next::Answer(id, attempt) => {
                    let (_, outcome, elapsed) =
                        self.out.remove(&(front, id, attempt)).expect("sent");
                    let last = outcome == Outcome::Served;
                    if last {
                        let open = self.open.get_mut(&(front, id)).expect("open");
                        open.ends += 1;
                    }
                    let report = AttemptReport {
                        id,
                        attempt,
                        outcome,
                        cache_status: CacheStatus::Unknown,
                        elapsed,
                        last,
                    };
                    self.tell(front, Event::Outcome(report), fate);
                }
            }
        }
        self.now = until;
    }

    /// Requests that came before `at` and have no answer.
    pub fn owed(&self, at: Time) -> usize {
        self.open
            .values()
            .filter(|open| open.at < at && open.ends == 0)
            .count()
    }

    /// What was sent since `from`, counted by `of`.
    pub fn count<K: Ord>(&self, from: Time, of: impl Fn(&Sent) -> Option<K>) -> BTreeMap<K, usize> {
        let mut counts = BTreeMap::new();
        for key in self.sent.iter().filter(|s| s.at >= from).filter_map(of) {
            *counts.entry(key).or_default() += 1;
        }
        counts
    }
}

/// So many routers, spread over the zones of caches (from 2 on) in turn.
pub fn fronts(base: &Settings, count: u32, zones: u32) -> Vec<Settings> {
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
