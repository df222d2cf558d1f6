//! What is left behind, what stays bounded, who is not held up.

pub mod world;

use foldmux_relay::{Ask, First, Slow};
use world::{stream, World, MS};

const SITE: [&str; 4] = ["a", "a", "a", "b"];

#[test]
pub fn ten_thousand_subscribe_and_cancel_in_turn_and_no_entry_is_left() {
    let mut world = World::new(1, stream(Slow::Skip, First::Whole, false), &SITE);
    world.pass(1_000 * MS);
    for n in 0..10_000 {
        let reader = world.subscribe(n % 4);
        if n % 7 == 0 {
            world.publish((n % 2 == 0).then_some("k"), false);
        }
        world.pass(MS / 4);
        world.cancel(reader);
    }
    world.pass(5_000 * MS);
    assert_eq!(
        (world.entries(), world.streams(), world.relays().len()),
        (0, 0, 0)
    );
}

#[test]
pub fn a_thousand_come_back_in_one_moment() {
    let mut world = World::new(2, stream(Slow::Skip, First::Whole, false), &SITE);
    for n in 0..1_000 {
        world.subscribe(n % 3);
    }
    world.pass(2_000 * MS);
    for _ in 0..30 {
        world.publish(None, false);
        world.pass(10 * MS);
    }
    let readers: Vec<u64> = world.readers.keys().copied().collect();
    readers.into_iter().for_each(|reader| world.cancel(reader));
    let answers = world.answers;
    for n in 0..1_000 {
        world.subscribe(n % 3);
    }
    world.publish(None, false);
    world.pass(20 * MS);
    assert!(
        world.answers - answers <= 3,
        "{} answers of the source",
        world.answers - answers
    );
    assert!(
        world.readers.values().all(|(_, model)| model.wholes == 1),
        "each has the whole"
    );
    world.settle();
}

#[test]
pub fn one_subscriber_is_one_stream_and_its_end_closes_it() {
    let mut world = World::new(3, stream(Slow::All, First::Live, true), &SITE);
    world.pass(1_000 * MS);
    let reader = world.subscribe(2);
    world.pass(1_000 * MS);
    world.publish(None, false);
    world.pass(20 * MS);
    assert_eq!(
        (world.streams(), world.readers[&reader].1.came.len()),
        (1, 1)
    );
    world.cancel(reader);
    world.pass(2_000 * MS);
    assert_eq!((world.streams(), world.entries()), (0, 0));
}

/// A ring of 64 goes past one that takes a batch in a second and one that takes nothing at all; of the others none waits.
pub fn overrun(slow: Slow, first: First) -> (World, u64, u64) {
    let mut world = World::new(4, stream(slow, first, true), &SITE);
    world.pass(1_000 * MS);
    world.publish(Some("k0"), false);
    let (slowly, never) = (world.subscribe(0), world.subscribe(0));
    world.slow.insert(slowly, Some(1_000 * MS));
    world.slow.insert(never, None);
    let quick: Vec<u64> = (0..4).map(|i| world.subscribe(i)).collect();
    world.pass(1_000 * MS);
    for n in 0..2_000 {
        let key = (n % 5 != 0).then(|| format!("k{}", n % 7));
        world.publish(key.as_deref(), false);
        world.pass(5 * MS);
    }
    world.pass(10_000 * MS);
    for reader in quick {
        let model = &world.readers[&reader].1;
        assert!(
            model.longest <= 30 * MS && model.losses == 0,
            "{} ms",
            model.longest / MS
        );
        model.has_all(&world.log, "a quick one");
    }
    (world, slowly, never)
}

#[test]
pub fn the_slow_are_ended_where_a_stream_leaves_nothing_out() {
    let (world, slowly, never) = overrun(Slow::All, First::Live);
    assert!(world.readers[&slowly].1.ended && world.readers[&never].1.ended);
}

#[test]
pub fn the_slow_are_told_what_they_lost_where_a_stream_skips() {
    let (world, slowly, never) = overrun(Slow::Skip, First::Live);
    let model = &world.readers[&slowly].1;
    assert!(!model.ended && model.losses > 3, "{} losses", model.losses);
    model.has_all(&world.log, "the slow one");
    assert!(!world.readers[&never].1.ended);
}

#[test]
pub fn the_slow_get_the_last_of_each_key_where_a_stream_is_conflated() {
    let (world, slowly, _) = overrun(Slow::Latest, First::Whole);
    let model = &world.readers[&slowly].1;
    assert!(!model.ended && model.wholes > 1);
    model.has_all(&world.log, "the slow one");
}

#[test]
pub fn who_relays_is_stable_under_joins_and_moves_once_for_each_end() {
    for seed in 0..10 {
        let mut world = World::new(seed, stream(Slow::Skip, First::Whole, false), &["a"; 8]);
        for i in 3..8 {
            world.kill(i);
        }
        for i in 0..3 {
            world.subscribe(i);
        }
        world.pass(2_000 * MS);
        world.publish(None, false);
        let first = world.relays();
        for i in 3..8 {
            world.restart(i);
            world.subscribe(i);
            world.pass(700 * MS);
            assert_eq!(world.relays(), first, "a join moves nothing");
        }
        let mut now = first;
        for _ in 0..3 {
            world.kill(now[0]);
            world.members_say(now[0], false);
            world.pass(3_000 * MS);
            let next = world.relays();
            assert!(
                next.len() == 1 && next != now,
                "one, and another: {next:?} after {now:?}"
            );
            world.pass(20_000 * MS);
            assert_eq!(world.relays(), next, "and then it stays");
            now = next;
        }
    }
}

/// A relay that stalls for 200 ms twice a second, for two minutes: it holds for ten seconds and then sits out fifty.
#[test]
pub fn a_relay_that_is_slow_again_and_again_moves_no_oftener_than_the_bound() {
    let mut world = World::new(6, stream(Slow::Skip, First::Whole, false), &["a"; 4]);
    for i in 0..4 {
        world.subscribe(i);
    }
    world.pass(2_000 * MS);
    let (mut now, mut moves) = (world.relays(), 0);
    let start = world.now;
    while world.now - start < 120_000 * MS {
        let at = now[0];
        world.pause(at);
        world.pass(200 * MS);
        world.wake(at);
        world.publish(None, false);
        world.pass(300 * MS);
        let next = world.relays();
        if !next.is_empty() && next != now {
            (now, moves) = (next, moves + 1);
        }
    }
    assert!(
        (1..=13).contains(&moves),
        "{moves} moves in 120 s, by the bound 12 and one"
    );
    world.settle();
}

/// The relay and the next in line die together with 30 readers' processes left: all read the source, and go back apart.
#[test]
pub fn a_site_that_turned_to_the_source_does_not_come_back_in_step() {
    let mut world = World::new(7, stream(Slow::Skip, First::Whole, false), &["a"; 36]);
    for i in 0..36 {
        world.subscribe(i);
    }
    world.pass(12_000 * MS);
    world.publish(None, false);
    // The seats among them: none is left to grant, and for a lease no one holds.
    let at = world.relays()[0];
    world.kill(at);
    for i in (0..36).filter(|i| *i != at) {
        world.cut.extend((0..36).map(|to| (i, to)));
    }
    world.pass(1_000 * MS);
    assert!(world.streams() >= 30, "{} read the source", world.streams());
    world.cut.clear();
    let mut left = world.streams();
    let mut most = 0;
    for _ in 0..2_000 {
        world.pass(10 * MS);
        most = most.max(left.saturating_sub(world.streams()));
        left = world.streams();
    }
    assert!(left <= 2, "{left} still read the source");
    assert!(most <= 15, "{most} went back within 10 ms");
    world.settle();
}

#[test]
pub fn an_answer_of_the_epoch_before_that_comes_late_is_none() {
    let mut world = World::new(8, stream(Slow::Skip, First::Live, true), &SITE);
    world.subscribe(0);
    world.pass(1_000 * MS);
    (0..5).for_each(|_| world.publish(None, false));
    world.pass(20 * MS);
    let late = world.log.items(0);
    world.log.restart();
    world.publish(None, false);
    world.pass(2_000 * MS);
    for i in 0..4 {
        world.ask(
            i,
            Ask::Fed {
                stream: "s".into(),
                epoch: 0,
                items: late.clone(),
            },
        );
    }
    world.settle();
}
