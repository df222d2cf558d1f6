//! Difficult cases of a deployment without parents whose copies go stale within seconds. `tests/settings` covers
//! generated settings.
mod common;
use common::*;
use foldmux::interface::*;

#[test]
fn a_non_idempotent_request_whose_connection_breaks_is_retried_only_where_nothing_was_written() {
    let list = members_of(4, 0, 0);
    // Broken before anything was written, the request was certainly not processed; afterwards it may have been.
    for (outcome, is_retried) in [
        (Outcome::ConnectFailed, true),
        (Outcome::NeverSent, true),
        (Outcome::Reset, false),
    ] {
        let mut host = TestHost::new(settings_with_short_freshness(), list.clone());
        let first = only_fetch(&host.request(1, 7).1);
        let next = host.outcome(&first, 0, outcome, CacheStatus::Unknown);
        assert_eq!(
            fetches(&next).len(),
            is_retried as usize,
            "{outcome:?}: {next:?}"
        );
        assert_eq!(
            matches!(next[..], [Action::Fail { .. }]),
            !is_retried,
            "{outcome:?}: failed, not rejected"
        );
    }
}

#[test]
fn a_purge_of_most_groups_at_once_bounds_every_request_within_stale_while_revalidate() {
    let mut host = TestHost::new(settings_with_short_freshness(), members_of(4, 3, 0));
    for k in 0..60 {
        host.serve_request(k, CacheStatus::Unknown);
    }
    for group in 0..32 {
        host.event(Event::Purged {
            object: None,
            group,
            age: 100 * MS,
        });
    }
    for k in 0..60 {
        host.now += 20 * MS;
        for fetch in fetches(&host.request(0, k).1) {
            assert!(
                fetch.max_age >= 1 && fetch.max_age <= 100 * MS + 20 * MS * (k + 1),
                "{k}: {}",
                fetch.max_age
            );
            host.outcome(&fetch, 0, Outcome::Served, CacheStatus::Unknown);
        }
    }
}

#[test]
fn a_zone_of_one_cache_keeps_serving_while_it_is_replaced() {
    let mut host = TestHost::new(settings_with_short_freshness(), members_of(1, 3, 0));
    for k in 0..40 {
        assert_eq!(host.serve_request(k, CacheStatus::Unknown).cache.0, 10);
    }
    let gone = Member {
        state: MemberState::Gone,
        ..member(10, 2, 0)
    };
    host.event(Event::Members {
        full: false,
        members: vec![gone],
    });
    assert_eq!(
        final_results(&host.request(0, 1).1),
        1,
        "no cache may take it: rejected at once"
    );
    let started_at = host.now;
    host.event(Event::Members {
        full: false,
        members: vec![Member {
            started_at,
            ..member(11, 2, 0)
        }],
    });
    let mut sent = 0;
    for k in 100..400 {
        host.now += 40 * MS;
        for fetch in fetches(&host.request_of(0, k, 500.0).1) {
            assert_eq!(fetch.cache.0, 11);
            sent += 1;
            host.outcome(&fetch, 0, Outcome::Served, CacheStatus::Unknown);
        }
    }
    assert!(sent > 30, "the new cache is used: {sent}");
}

#[test]
fn replacing_all_caches_of_a_zone_within_twenty_seconds_leaves_no_attempt_at_a_removed_one() {
    let mut host = TestHost::new(settings_with_short_freshness(), members_of(5, 3, 0));
    let mut listed: Vec<u32> = (10..15).collect();
    let (mut served, mut requested) = (0, 0);
    for k in 0..500u64 {
        host.now += 40 * MS;
        if k % 100 == 50 {
            let (old, new, started_at) = (listed.remove(0), 50 + k as u32 / 100, host.now);
            let drained = Member {
                state: MemberState::Draining,
                ..member(old, 2, 0)
            };
            let started = Member {
                started_at,
                ..member(new, 2, 0)
            };
            host.event(Event::Members {
                full: false,
                members: vec![drained, started],
            });
            listed.push(new);
        }
        requested += 1;
        for fetch in fetches(&host.request(0, k % 80).1) {
            assert!(
                listed.contains(&fetch.cache.0),
                "{} was removed",
                fetch.cache.0
            );
            served += 1;
            host.outcome(&fetch, 0, Outcome::Served, CacheStatus::Unknown);
        }
    }
    assert!(served * 10 > requested * 8, "{served} of {requested}");
}

#[test]
fn objects_of_twenty_one_times_the_size_do_not_close_the_gates_for_others() {
    let mut host = TestHost::new(settings_with_short_freshness(), members_of(4, 3, 0));
    let mut rejected = 0;
    for k in 0..600u64 {
        host.now += 30 * MS;
        let is_large = k % 40 == 0;
        let (_, actions) =
            host.request_of(0, 1_000 + k, if is_large { 500.0 * 21.0 } else { 500.0 });
        rejected += final_results(&actions);
        for fetch in fetches(&actions) {
            // The link transfers each at full rate: a large one takes 21 times as long and still meets its objective.
            let transfer_time = if is_large { 21 * 50 * MS } else { 50 * MS };
            host.outcome_after(
                &fetch,
                0,
                Outcome::Served,
                CacheStatus::Unknown,
                transfer_time + 60 * MS,
            );
        }
    }
    assert_eq!(rejected, 0, "requests rejected beside large transfers");
}

#[test]
fn a_copy_at_the_end_of_stale_while_revalidate_is_requested_and_its_miss_is_retried() {
    let mut host = TestHost::new(settings_with_short_freshness(), members_of(4, 3, 0));
    for k in 0..20 {
        host.serve_request(k, CacheStatus::Unknown);
    }
    // Late fills lower the limit of fills: stale copies are then accepted, up to the maximum age.
    for first in (100..160)
        .flat_map(|k| fetches(&host.request(0, k).1))
        .collect::<Vec<_>>()
    {
        let fills = match first.source.0 {
            40 => vec![(first, 0)],
            // The sibling that is queried first has no copy.
            _ => fetches(&host.outcome(&first, 0, Outcome::Miss, CacheStatus::Unknown))
                .into_iter()
                .map(|f| (f, 1))
                .collect(),
        };
        for (fill, attempt) in fills {
            host.outcome_after(
                &fill,
                attempt,
                Outcome::TimedOut,
                CacheStatus::Unknown,
                800 * MS,
            );
        }
    }
    host.now += 2 * SECOND;
    let (longest_age, mut requested) = (42 * SECOND, 0);
    for k in 0..20 {
        let (_, actions) = host.request(0, k);
        for fetch in fetches(&actions) {
            assert!(fetch.max_age <= longest_age, "{} us", fetch.max_age);
            requested += (fetch.max_age == longest_age) as u32;
            // The copy is too old by the cache's clock. A miss was not processed, so the request is retried or
            // rejected.
            let next = host.outcome(&fetch, 0, Outcome::Miss, CacheStatus::Unknown);
            let rejected = matches!(next[..], [Action::Reject { .. }]);
            assert!(rejected || fetches(&next).len() == 1, "{next:?}");
            assert!(fetches(&next).iter().all(|f| f.max_age <= longest_age));
        }
    }
    assert!(requested > 0, "stale copies are requested");
    // After a purge, the purge sets the maximum age.
    host.event(Event::Purged {
        object: None,
        group: 5,
        age: 100 * MS,
    });
    host.now += 10 * MS;
    for fetch in (0..20).flat_map(|k| fetches(&host.request(0, k).1)) {
        assert!(
            (1..=110 * MS).contains(&fetch.max_age),
            "{} us",
            fetch.max_age
        );
    }
}

/// A simulation of caches that store what was filled, and of an origin with a given latency.
struct Simulation {
    host: TestHost,
    stored: std::collections::HashSet<(u32, u64)>,
    in_flight: Vec<(Time, Fetch, u8, Outcome)>,
    objects: std::collections::HashMap<RequestId, u64>,
}

impl Simulation {
    /// Requests an object and delivers the outcomes due within the next 20 ms. Returns the object of each request that
    /// ended meanwhile, and whether it was served.
    fn step(&mut self, object: u64, origin: Time) -> Vec<(u64, bool)> {
        let mut ended = Vec::new();
        let (id, actions) = self.host.request(0, object);
        self.objects.insert(id, object);
        self.carry_out(&actions, 0, origin, &mut ended);
        let until = self.host.now + 20 * MS;
        while let Some(at) = (0..self.in_flight.len())
            .min_by_key(|&k| self.in_flight[k].0)
            .filter(|&k| self.in_flight[k].0 <= until)
        {
            let (due, fetch, attempt, outcome) = self.in_flight.swap_remove(at);
            self.host.now = self.host.now.max(due);
            let object = self.objects[&fetch.id];
            let elapsed = if fetch.source.0 == 40 && outcome == Outcome::Served {
                origin
            } else {
                60 * MS
            };
            let next =
                self.host
                    .outcome_after(&fetch, attempt, outcome, CacheStatus::Unknown, elapsed);
            match outcome {
                Outcome::Served => {
                    self.stored.insert((fetch.cache.0, object));
                    ended.push((object, true));
                }
                _ => self.carry_out(&next, attempt + 1, origin, &mut ended),
            }
        }
        self.host.now = until;
        self.host.event(Event::Timer { token: 1 });
        ended
    }

    fn carry_out(
        &mut self,
        actions: &[Action],
        attempt: u8,
        origin: Time,
        ended: &mut Vec<(u64, bool)>,
    ) {
        for action in actions {
            match action {
                Action::Fetch(fetch) => {
                    let stored = self
                        .stored
                        .contains(&(fetch.cache.0, self.objects[&fetch.id]));
                    let (elapsed, outcome) = match (stored, fetch.source.0) {
                        (true, _) => (60 * MS, Outcome::Served),
                        (_, 40) => (origin, Outcome::Served),
                        _ => (10 * MS, Outcome::Miss),
                    };
                    let out_of_time = fetch.timeout > 0 && elapsed > fetch.timeout;
                    let outcome = if out_of_time {
                        Outcome::TimedOut
                    } else {
                        outcome
                    };
                    let elapsed = if out_of_time { fetch.timeout } else { elapsed };
                    self.in_flight
                        .push((self.host.now + elapsed, fetch.clone(), attempt, outcome));
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    ended.push((self.objects[id], false))
                }
                _ => {}
            }
        }
    }
}

#[test]
fn with_an_origin_five_times_slower_and_no_parent_stored_copies_are_served_and_fills_do_not_pile_up(
) {
    let host = TestHost::new(settings_with_short_freshness(), members_of(4, 3, 0));
    let mut simulation = Simulation {
        host,
        stored: Default::default(),
        in_flight: Vec::new(),
        objects: Default::default(),
    };
    let mut new = 1_000_000;
    // Two of three requests are for one of 60 objects, the third is for a new one.
    let mut run_steps = |simulation: &mut Simulation, steps: u64, origin: Time| {
        let (mut known, mut unknown, mut most_fills) = ([0; 2], [0; 2], 0);
        for k in 0..steps {
            new += (k % 3 == 0) as u64;
            let object = if k % 3 == 0 { new } else { k * 7 % 60 };
            for (object, served) in simulation.step(object, origin) {
                let count = if object < 60 {
                    &mut known
                } else {
                    &mut unknown
                };
                count[served as usize] += 1;
            }
            most_fills = most_fills.max(
                simulation
                    .in_flight
                    .iter()
                    .filter(|o| o.1.source.0 == 40 && o.3 != Outcome::Miss)
                    .count(),
            );
        }
        let served_ratio = |[not, served]: [u64; 2]| served as f64 / (not + served).max(1) as f64;
        (served_ratio(known), served_ratio(unknown), most_fills)
    };
    let before = run_steps(&mut simulation, 1_000, 150 * MS);
    let slow = run_steps(&mut simulation, 900, 5 * 150 * MS);
    let after = run_steps(&mut simulation, 1_000, 150 * MS);
    println!(
        "served of known objects, of new objects, most fills in flight: {before:?}, slow {slow:?}, after {after:?}"
    );
    assert!(before.0 > 0.95 && before.1 > 0.9, "{before:?}");
    assert!(slow.0 > 0.9, "stored copies are still served: {slow:?}");
    assert!(
        after.1 > 0.5,
        "fills resume once the origin recovers: {after:?}"
    );
}
