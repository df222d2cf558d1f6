//! Failures of sources: parents that reject or lose fills, topology changes, retuned classes.
mod common;
use common::*;
use foldmux::interface::*;

#[test]
fn a_parent_that_rejects_gives_way_to_the_other_then_to_the_origin_and_is_used_again_later() {
    let lone = Settings {
        sibling_fills: SiblingFills::None,
        cache_status_detail: CacheStatusDetail::None,
        ..settings()
    };
    let mut front = Front::new(lone, members());
    // Asks for so many new objects; which sources refuse, however quickly. How often each is asked first.
    let mut ask = |objects: std::ops::Range<u64>, refusing: &[u32], wait: Time| {
        let mut asked = std::collections::BTreeMap::new();
        for object in objects {
            front.now += wait;
            let mut actions = front.request(0, object).1;
            *asked.entry(only_fetch(&actions).source.0).or_insert(0) += 1;
            for attempt in 0..8 {
                let Some(fetch) = fetches(&actions).first().cloned() else {
                    break;
                };
                let refused = refusing.contains(&fetch.source.0);
                let outcome = if refused {
                    Outcome::Overloaded
                } else {
                    Outcome::Served
                };
                let elapsed = if refused { 5 * MS } else { 110 * MS };
                actions =
                    front.outcome_after(&fetch, attempt, outcome, CacheStatus::Unknown, elapsed);
            }
        }
        asked
    };
    ask(1_000..1_060, &[], 20 * MS);
    ask(2_000..2_060, &[30], 20 * MS);
    let one = ask(3_000..3_060, &[30], 20 * MS);
    assert!(
        one.get(&30).is_none_or(|n| *n <= 6) && one[&31] >= 45,
        "{one:?}"
    );
    ask(4_000..4_300, &[], 20 * MS);
    ask(5_000..5_015, &[30, 31], 20 * MS);
    let both = ask(6_000..6_015, &[30, 31], 20 * MS);
    assert!(both.get(&40).is_some_and(|n| *n >= 8), "{both:?}");
    // A spell ago says nothing: with no word for a while both are average, and each has its objects again.
    let later = ask(7_000..7_060, &[], 3 * SECOND);
    assert!(later[&30] >= 10 && later[&31] >= 10, "{later:?}");
}

#[test]
fn fills_that_the_parents_lose_go_to_a_healthy_origin_and_are_not_rejected() {
    let lone = Settings {
        sibling_fills: SiblingFills::None,
        cache_status_detail: CacheStatusDetail::None,
        ..settings()
    };
    let mut front = Front::new(lone, members());
    let (mut served, mut refused) = (0, 0);
    for object in 1_000..1_600 {
        front.now += 100 * MS;
        let mut actions = front.request(0, object).1;
        for attempt in 0..8 {
            let Some(fetch) = fetches(&actions).first().cloned() else {
                break;
            };
            let origin = fetch.source.0 == 40;
            let outcome = if origin {
                Outcome::Served
            } else {
                Outcome::TimedOut
            };
            served += (origin && object >= 1_200) as u32;
            actions = front.outcome_after(&fetch, attempt, outcome, CacheStatus::Unknown, 90 * MS);
        }
        refused += (finals(&actions) == 1 && object >= 1_200) as u32;
    }
    assert!(
        served > 300 && refused < 100,
        "{served} served, {refused} refused of 400"
    );
}

#[test]
fn a_fill_that_fails_after_its_parent_was_removed_does_no_harm() {
    for (parent, note) in [
        (30, CacheStatus::Unknown),
        (31, CacheStatus::OriginFailed),
        (30, CacheStatus::NoFillSlot),
    ] {
        let mut front = Front::new(
            Settings {
                sibling_fills: SiblingFills::None,
                ..settings()
            },
            members(),
        );
        let fetch = (1..50).find_map(|k| {
            let fetch = only_fetch(&front.request(0, k).1);
            (fetch.source.0 == parent).then_some(fetch)
        });
        front.change(parent, |m| m.state = MemberState::Gone);
        let next = front.outcome(&fetch.expect("both are drawn"), 0, Outcome::TimedOut, note);
        assert_eq!(
            finals(&next) + fetches(&next).len(),
            1,
            "answered, or tried elsewhere: {next:?}"
        );
    }
}

#[test]
fn fills_follow_the_topology_and_go_to_the_origin_where_it_names_no_parent() {
    let mut front = Front::new(
        Settings {
            sibling_fills: SiblingFills::None,
            ..settings()
        },
        members(),
    );
    let sources = |front: &mut Front, objects: std::ops::Range<u64>| {
        let mut named = std::collections::BTreeSet::new();
        for object in objects {
            let actions = front.request(0, object).1;
            let fetch = only_fetch(&actions);
            named.insert(fetch.source.0);
            front.outcome(&fetch, 0, Outcome::Served, CacheStatus::Unknown);
        }
        named.into_iter().collect::<Vec<_>>()
    };
    let hubs: Vec<usize> = members()
        .iter()
        .filter(|m| [30, 31].contains(&m.cache.0))
        .map(|m| m.zone)
        .collect();
    assert_eq!(sources(&mut front, 0..60), [30, 31]);
    let hub_of = settings().hub_by_zone;
    front.event(Event::TopologyChanged {
        parent_zones: vec![],
        hub_by_zone: hub_of.clone(),
    });
    assert_eq!(sources(&mut front, 100..160), [40], "no parent is wired");
    front.event(Event::TopologyChanged {
        parent_zones: hubs,
        hub_by_zone: hub_of,
    });
    assert_eq!(sources(&mut front, 200..260), [30, 31]);
}

#[test]
fn an_index_that_a_retune_gives_to_another_class_starts_without_known_sizes() {
    let sent_to_cold = |retune: bool| {
        let mut front = Front::new(settings(), members());
        for k in 0..400 {
            front.serve(k, CacheStatus::Hit);
        }
        // The class that had the place: requests a hundred times the size.
        for k in 0..300 {
            let (id, _) = front.request_of(1, k, 50_000.0);
            front.event(Event::ClientDisconnected { id });
        }
        if retune {
            let mut other = settings();
            other.classes[1] = Class {
                latency_objective: 300 * MS,
                ..other.classes[0].clone()
            };
            front.router.retune(other);
        }
        let boot = front.now;
        front.change(10, |m| m.started_at = boot);
        let of = |f: &Fetch| f.cache.0 == 10;
        (1000..1100)
            .map(|k| {
                fetches(&front.request(1, k).1)
                    .into_iter()
                    .filter(of)
                    .count()
            })
            .sum::<usize>()
    };
    let (kept, given) = (sent_to_cold(false), sent_to_cold(true));
    assert!(
        given > kept,
        "as light as it is, it has room at a cold cache: {given}, and {kept} with old sizes"
    );
}

#[test]
fn late_fills_from_parents_that_lose_none_are_not_moved_to_the_origin() {
    let lone = Settings {
        sibling_fills: SiblingFills::None,
        cache_status_detail: CacheStatusDetail::None,
        ..settings()
    };
    let mut front = Front::new(lone, members());
    let mut straight = 0;
    for object in 1_000..1_400 {
        front.now += 30 * MS;
        for fetch in fetches(&front.request(0, object).1) {
            straight += (fetch.source.0 == 40) as u32;
            // Served, each of them late: the links are what is short.
            front.outcome_after(&fetch, 0, Outcome::Served, CacheStatus::Unknown, 390 * MS);
        }
    }
    assert_eq!(
        straight, 0,
        "no misses of 400 went round crowded links, straight to the origin"
    );
}
