//! The hard cases, one by one, in virtual time.

pub mod world;

use foldmux_relay::{First, Slow};
use world::{stream, World, MS, SOURCE};

const TWO_SITES: [&str; 6] = ["a", "a", "a", "b", "b", "b"];

/// Six processes on two sites, each with two readers, running.
fn running(seed: u64, slow: Slow, first: First, shared: bool) -> World {
    let mut world = World::new(seed, stream(slow, first, shared), &TWO_SITES);
    world.publish(Some("x"), false);
    for i in 0..6 {
        world.subscribe(i);
        world.subscribe(i);
    }
    world.pass(2_000 * MS);
    told(&mut world, 20);
    world
}

fn told(world: &mut World, times: usize) {
    for n in 0..times {
        let key = (n % 3 == 0).then(|| ["x", "y", "z"][n / 3 % 3]);
        world.publish(key, n % 9 == 6);
        world.pass(20 * MS);
    }
}

/// Whoever relays for the first site.
fn relay(world: &World) -> usize {
    *world.relays().iter().find(|i| **i < 3).expect("one relays")
}

const KINDS: [(Slow, First, bool); 4] = [
    (Slow::Skip, First::Whole, false),
    (Slow::Skip, First::Live, true),
    (Slow::Latest, First::Whole, true),
    (Slow::All, First::Ring, true),
];

#[test]
pub fn one_stream_for_each_site_that_reads_and_none_for_one_that_does_not() {
    for (slow, first, shared) in KINDS {
        let mut world = World::new(1, stream(slow, first, shared), &TWO_SITES);
        world.pass(2_000 * MS);
        assert_eq!(world.streams(), 0);
        for i in 0..3 {
            world.subscribe(i);
        }
        world.pass(2_000 * MS);
        told(&mut world, 10);
        assert_eq!((world.streams(), world.relays().len()), (1, 1));
        world.settle();
    }
}

#[test]
pub fn a_relay_that_is_killed_mid_message_leaves_no_gap() {
    for (slow, first, shared) in KINDS {
        for seed in 0..4 {
            let mut world = running(seed, slow, first, shared);
            let at = relay(&world);
            world.publish(None, false);
            world.pass(seed * MS);
            world.kill(at);
            told(&mut world, 30);
            assert!(world.streams() <= 4, "{} streams", world.streams());
            let longest = world
                .readers
                .values()
                .map(|(_, model)| model.longest)
                .max()
                .unwrap();
            assert!(longest <= 250 * MS, "{} ms", longest / MS);
            world.settle();
        }
    }
}

#[test]
pub fn a_relay_paused_and_woken_leaves_one() {
    for (slow, first, shared) in KINDS {
        for seed in 0..4 {
            let mut world = running(seed, slow, first, shared);
            let at = relay(&world);
            world.pause(at);
            told(&mut world, 100);
            let other = relay(&world);
            assert_ne!(other, at, "another took over");
            world.wake(at);
            told(&mut world, 30);
            assert_eq!(relay(&world), other, "and stays it");
            world.settle();
        }
    }
}

#[test]
pub fn a_relay_that_leaves_hands_over_with_no_silence() {
    for (slow, first, shared) in KINDS {
        for seed in 0..4 {
            let mut world = running(seed, slow, first, shared);
            let before = world
                .readers
                .values()
                .map(|(_, model)| model.longest)
                .max()
                .unwrap();
            let at = relay(&world);
            world.most_open = 0;
            world.leave(at);
            told(&mut world, 50);
            assert!(!world.relays().contains(&at), "it relays no more");
            let longest = world
                .readers
                .values()
                .map(|(_, model)| model.longest)
                .max()
                .unwrap();
            assert!(longest <= before + 50 * MS, "{} ms", longest / MS);
            assert!(
                world.most_open <= 3,
                "{} streams: one more than sites, at most",
                world.most_open
            );
            world.settle();
        }
    }
}

#[test]
pub fn all_relays_leave_at_once() {
    let mut world = running(3, Slow::Skip, First::Whole, false);
    for i in world.relays() {
        world.leave(i);
    }
    told(&mut world, 50);
    let longest = world
        .readers
        .values()
        .map(|(_, model)| model.longest)
        .max()
        .unwrap();
    assert!(longest <= 250 * MS, "{} ms", longest / MS);
    world.settle();
}

#[test]
pub fn a_site_cut_from_the_source_and_one_way_cuts() {
    for (slow, first, shared) in KINDS {
        let mut world = running(5, slow, first, shared);
        world.cut_source("a");
        told(&mut world, 200);
        world.cut.clear();
        told(&mut world, 100);
        let at = relay(&world);
        // The relay hears its own and is not heard; then the other way.
        for pair in [true, false] {
            for i in (0..3).filter(|i| *i != at) {
                world.cut.insert(if pair { (at, i) } else { (i, at) });
            }
            told(&mut world, 100);
            world.cut.clear();
            told(&mut world, 30);
        }
        world.cut.insert((SOURCE, at));
        told(&mut world, 200);
        world.settle();
    }
}

#[test]
pub fn a_source_that_starts_again_at_1_is_a_new_epoch() {
    for (slow, first, shared) in KINDS {
        for seed in 0..4 {
            let mut world = running(seed, slow, first, shared);
            world.log.restart();
            told(&mut world, 30);
            let at = relay(&world);
            world.pause(at);
            world.log.restart();
            told(&mut world, 30);
            world.wake(at);
            world.settle();
        }
    }
}

#[test]
pub fn a_purge_that_races_a_handover_comes_to_all() {
    for seed in 0..24 {
        let mut world = running(seed, Slow::Skip, First::Whole, false);
        let at = relay(&world);
        for step in 0..12 {
            if step == seed % 12 {
                world.leave(at);
            }
            world.publish(None, false);
            world.pass(MS);
        }
        world.kill(at);
        world.settle();
    }
}

#[test]
pub fn a_second_level_feeds_offices_from_the_hub_and_the_hub_from_the_site() {
    let places = [
        "a/h1/o1", "a/h1/o1", "a/h1/o2", "a/h1/o2", "a/h2/o1", "a/h2/o1", "b/h1/o1",
    ];
    let mut world = World::new(9, stream(Slow::Skip, First::Live, true), &places);
    for i in 0..7 {
        world.subscribe(i);
    }
    world.pass(3_000 * MS);
    told(&mut world, 20);
    assert_eq!(world.streams(), 2);
    let at = world.relays()[0];
    world.kill(at);
    told(&mut world, 100);
    world.settle();
}
