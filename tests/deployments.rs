//! The hard cases of a deployment without parents, whose classes go stale in seconds. Drawn settings: tests/settings.rs.
mod common;
use common::*;
use foldmux::interface::*;

#[test]
fn a_non_idempotent_request_whose_connection_breaks_is_retried_only_where_nothing_was_written() {
    let list = members_of(4, 0, 0);
    // Before the write: proof that nothing ran. During or after it: it may have run.
    for (end, again) in [
        (Outcome::ConnectFailed, true),
        (Outcome::NeverSent, true),
        (Outcome::Reset, false),
    ] {
        let mut front = Front::new(stale_pages(), list.clone());
        let first = only_fetch(&front.request(1, 7).1);
        let next = front.outcome(&first, 0, end, CacheStatus::Unknown);
        assert_eq!(fetches(&next).len(), again as usize, "{end:?}: {next:?}");
        assert_eq!(
            matches!(next[..], [Action::Fail { .. }]),
            !again,
            "{end:?}: failed, not refused"
        );
    }
}

#[test]
fn a_purge_of_most_groups_at_once_bounds_every_request_within_stale_while_revalidate() {
    let mut front = Front::new(stale_pages(), members_of(4, 3, 0));
    for k in 0..60 {
        front.serve(k, CacheStatus::Unknown);
    }
    for group in 0..32 {
        front.event(Event::Purged {
            object: None,
            group,
            age: 100 * MS,
        });
    }
    for k in 0..60 {
        front.now += 20 * MS;
        for fetch in fetches(&front.request(0, k).1) {
            assert!(
                fetch.max_age >= 1 && fetch.max_age <= 100 * MS + 20 * MS * (k + 1),
                "{k}: {}",
                fetch.max_age
            );
            front.outcome(&fetch, 0, Outcome::Served, CacheStatus::Unknown);
        }
    }
}

#[test]
fn a_zone_of_one_cache_keeps_serving_while_it_is_replaced() {
    let mut front = Front::new(stale_pages(), members_of(1, 3, 0));
    for k in 0..40 {
        assert_eq!(front.serve(k, CacheStatus::Unknown).cache.0, 10);
    }
    let gone = Member {
        state: MemberState::Gone,
        ..member(10, 2, 0)
    };
    front.event(Event::Members {
        full: false,
        members: vec![gone],
    });
    assert_eq!(
        finals(&front.request(0, 1).1),
        1,
        "nobody may take it: answered at once"
    );
    let boot = front.now;
    front.event(Event::Members {
        full: false,
        members: vec![Member {
            started_at: boot,
            ..member(11, 2, 0)
        }],
    });
    let mut sent = 0;
    for k in 100..400 {
        front.now += 40 * MS;
        for fetch in fetches(&front.request_of(0, k, 500.0).1) {
            assert_eq!(fetch.cache.0, 11);
            sent += 1;
            front.outcome(&fetch, 0, Outcome::Served, CacheStatus::Unknown);
        }
    }
    assert!(sent > 30, "the cold cache has its share: {sent}");
}

#[test]
fn replacing_all_caches_of_a_zone_within_twenty_seconds_leaves_no_attempt_at_a_removed_one() {
    let mut front = Front::new(stale_pages(), members_of(5, 3, 0));
    let mut listed: Vec<u32> = (10..15).collect();
    let (mut served, mut asked) = (0, 0);
    for k in 0..500u64 {
        front.now += 40 * MS;
        if k % 100 == 50 {
            let (old, new, boot) = (listed.remove(0), 50 + k as u32 / 100, front.now);
            let drained = Member {
                state: MemberState::Draining,
                ..member(old, 2, 0)
            };
            let started = Member {
                started_at: boot,
                ..member(new, 2, 0)
            };
            front.event(Event::Members {
                full: false,
                members: vec![drained, started],
            });
            listed.push(new);
        }
        asked += 1;
        for fetch in fetches(&front.request(0, k % 80).1) {
            assert!(listed.contains(&fetch.cache.0), "{} went", fetch.cache.0);
            served += 1;
            front.outcome(&fetch, 0, Outcome::Served, CacheStatus::Unknown);
        }
    }
    assert!(served * 10 > asked * 8, "{served} of {asked}");
}

#[test]
fn objects_of_twenty_one_times_the_size_do_not_close_the_gates_for_others() {
    let mut front = Front::new(stale_pages(), members_of(4, 3, 0));
    let mut refused = 0;
    for k in 0..600u64 {
        front.now += 30 * MS;
        let huge = k % 40 == 0;
        let (_, actions) = front.request_of(0, 1_000 + k, if huge { 500.0 * 21.0 } else { 500.0 });
        refused += finals(&actions);
        for fetch in fetches(&actions) {
            // The link carries each at its pace: a huge one takes 21 times as long, and is in time.
            let work = if huge { 21 * 50 * MS } else { 50 * MS };
            front.outcome_after(
                &fetch,
                0,
                Outcome::Served,
                CacheStatus::Unknown,
                work + 60 * MS,
            );
        }
    }
    assert_eq!(
        refused, 0,
        "nothing is turned away for being beside a large one"
    );
}

#[test]
fn a_copy_at_the_end_of_stale_while_revalidate_is_requested_and_its_miss_is_retried() {
    let mut front = Front::new(stale_pages(), members_of(4, 3, 0));
    for k in 0..20 {
        front.serve(k, CacheStatus::Unknown);
    }
    // Fills are late, so that few may be out: older copies will do, to the very edge and not beyond.
    for first in (100..160)
        .flat_map(|k| fetches(&front.request(0, k).1))
        .collect::<Vec<_>>()
    {
        let fills = match first.source.0 {
            40 => vec![(first, 0)],
            // The sibling that was asked first has none.
            _ => fetches(&front.outcome(&first, 0, Outcome::Miss, CacheStatus::Unknown))
                .into_iter()
                .map(|f| (f, 1))
                .collect(),
        };
        for (fill, attempt) in fills {
            front.outcome_after(
                &fill,
                attempt,
                Outcome::TimedOut,
                CacheStatus::Unknown,
                800 * MS,
            );
        }
    }
    front.now += 2 * SECOND;
    let (edge, mut asked) = (42 * SECOND, 0);
    for k in 0..20 {
        let (_, actions) = front.request(0, k);
        for fetch in fetches(&actions) {
            assert!(fetch.max_age <= edge, "{} us", fetch.max_age);
            asked += (fetch.max_age == edge) as u32;
            // By the cache's clock it is 1 ms too old: a miss never ran, and the request goes on or is refused.
            let next = front.outcome(&fetch, 0, Outcome::Miss, CacheStatus::Unknown);
            let refused = matches!(next[..], [Action::Reject { .. }]);
            assert!(refused || fetches(&next).len() == 1, "{next:?}");
            assert!(fetches(&next).iter().all(|f| f.max_age <= edge));
        }
    }
    assert!(asked > 0, "copies past their fresh time are asked for");
    // With a purge since, the edge is the purge's.
    front.event(Event::Purged {
        object: None,
        group: 5,
        age: 100 * MS,
    });
    front.now += 10 * MS;
    for fetch in (0..20).flat_map(|k| fetches(&front.request(0, k).1)) {
        assert!(
            (1..=110 * MS).contains(&fetch.max_age),
            "{} us",
            fetch.max_age
        );
    }
}

/// What is out at a small world of caches that hold what was filled, and an origin of some latency.
struct World {
    front: Front,
    held: std::collections::HashSet<(u32, u64)>,
    out: Vec<(Time, Fetch, u8, Outcome)>,
    objects: std::collections::HashMap<RequestId, u64>,
}

impl World {
    /// Asks for an object, and plays what is due until the next 20 ms; how the requests that ended meanwhile went.
    fn step(&mut self, object: u64, origin: Time) -> Vec<(u64, bool)> {
        let mut ended = Vec::new();
        let (id, actions) = self.front.request(0, object);
        self.objects.insert(id, object);
        self.carry_out(&actions, 0, origin, &mut ended);
        let until = self.front.now + 20 * MS;
        while let Some(at) = (0..self.out.len())
            .min_by_key(|&k| self.out[k].0)
            .filter(|&k| self.out[k].0 <= until)
        {
            let (due, fetch, attempt, outcome) = self.out.swap_remove(at);
            self.front.now = self.front.now.max(due);
            let object = self.objects[&fetch.id];
            let took = if fetch.source.0 == 40 && outcome == Outcome::Served {
                origin
            } else {
                60 * MS
            };
            let next =
                self.front
                    .outcome_after(&fetch, attempt, outcome, CacheStatus::Unknown, took);
            match outcome {
                Outcome::Served => {
                    self.held.insert((fetch.cache.0, object));
                    ended.push((object, true));
                }
                _ => self.carry_out(&next, attempt + 1, origin, &mut ended),
            }
        }
        self.front.now = until;
        self.front.event(Event::Timer { token: 1 });
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
                    let held = self
                        .held
                        .contains(&(fetch.cache.0, self.objects[&fetch.id]));
                    let (took, how) = match (held, fetch.source.0) {
                        (true, _) => (60 * MS, Outcome::Served),
                        (_, 40) => (origin, Outcome::Served),
                        _ => (10 * MS, Outcome::Miss),
                    };
                    let out_of_time = fetch.timeout > 0 && took > fetch.timeout;
                    let how = if out_of_time { Outcome::TimedOut } else { how };
                    let took = if out_of_time { fetch.timeout } else { took };
                    self.out
                        .push((self.front.now + took, fetch.clone(), attempt, how));
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
    let front = Front::new(stale_pages(), members_of(4, 3, 0));
    let mut world = World {
        front,
        held: Default::default(),
        out: Vec::new(),
        objects: Default::default(),
    };
    let mut new = 1_000_000;
    // Two of three ask for one of 60 objects, the third for a new one.
    let mut spell = |world: &mut World, steps: u64, origin: Time| {
        let (mut hot, mut cold, mut most) = ([0; 2], [0; 2], 0);
        for k in 0..steps {
            new += (k % 3 == 0) as u64;
            let object = if k % 3 == 0 { new } else { k * 7 % 60 };
            for (object, served) in world.step(object, origin) {
                let count = if object < 60 { &mut hot } else { &mut cold };
                count[served as usize] += 1;
            }
            most = most.max(
                world
                    .out
                    .iter()
                    .filter(|o| o.1.source.0 == 40 && o.3 != Outcome::Miss)
                    .count(),
            );
        }
        let part = |[not, served]: [u64; 2]| served as f64 / (not + served).max(1) as f64;
        (part(hot), part(cold), most)
    };
    let before = spell(&mut world, 1_000, 150 * MS);
    let slow = spell(&mut world, 900, 5 * 150 * MS);
    let after = spell(&mut world, 1_000, 150 * MS);
    println!(
        "served of what is held, of what is new, most fills out: {before:?}, slow {slow:?}, after {after:?}"
    );
    assert!(before.0 > 0.95 && before.1 > 0.9, "{before:?}");
    assert!(slow.0 > 0.9, "what is held is served on: {slow:?}");
    assert!(
        after.1 > 0.5,
        "and fills come back with the origin: {after:?}"
    );
}
