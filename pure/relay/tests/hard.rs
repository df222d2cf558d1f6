//! Fault scenarios in virtual time: relays that are killed, paused or drained, cut links, and a source that
//! restarts.

pub mod world;

use foldmux_relay::{SlowReaderPolicy, StartPosition};
use world::{stream, World, MS, SOURCE};

const TWO_SITES: [&str; 6] = ["a", "a", "a", "b", "b", "b"];

/// Six processes at two sites, each with two readers, in steady operation.
fn running_fleet(seed: u64, slow: SlowReaderPolicy, start: StartPosition, shared: bool) -> World {
    let mut world = World::new(seed, stream(slow, start, shared), &TWO_SITES);
    world.publish(Some("x"), false);
    for i in 0..6 {
        world.subscribe(i);
        world.subscribe(i);
    }
    world.advance(2_000 * MS);
    publish_items(&mut world, 20);
    world
}

fn publish_items(world: &mut World, times: usize) {
    for n in 0..times {
        let key = (n % 3 == 0).then(|| ["x", "y", "z"][n / 3 % 3]);
        world.publish(key, n % 9 == 6);
        world.advance(20 * MS);
    }
}

/// The process that relays for site `a`.
fn relay_of_site_a(world: &World) -> usize {
    *world
        .lease_holders()
        .iter()
        .find(|i| **i < 3)
        .expect("a process relays")
}

const STREAM_KINDS: [(SlowReaderPolicy, StartPosition, bool); 4] = [
    (SlowReaderPolicy::Skip, StartPosition::Snapshot, false),
    (SlowReaderPolicy::Skip, StartPosition::Live, true),
    (SlowReaderPolicy::Conflate, StartPosition::Snapshot, true),
    (SlowReaderPolicy::Disconnect, StartPosition::Buffered, true),
];

#[test]
pub fn one_source_stream_per_site_with_readers_and_none_without() {
    for (slow, start, shared) in STREAM_KINDS {
        let mut world = World::new(1, stream(slow, start, shared), &TWO_SITES);
        world.advance(2_000 * MS);
        assert_eq!(world.open_sources(), 0);
        for i in 0..3 {
            world.subscribe(i);
        }
        world.advance(2_000 * MS);
        publish_items(&mut world, 10);
        assert_eq!((world.open_sources(), world.lease_holders().len()), (1, 1));
        world.heal_and_check();
    }
}

#[test]
pub fn a_relay_that_is_killed_mid_message_leaves_no_gap() {
    for (slow, start, shared) in STREAM_KINDS {
        for seed in 0..4 {
            let mut world = running_fleet(seed, slow, start, shared);
            let at = relay_of_site_a(&world);
            world.publish(None, false);
            world.advance(seed * MS);
            world.kill(at);
            publish_items(&mut world, 30);
            assert!(
                world.open_sources() <= 4,
                "{} streams",
                world.open_sources()
            );
            let max_delay = world
                .readers
                .values()
                .map(|(_, model)| model.max_delay)
                .max()
                .unwrap();
            assert!(max_delay <= 250 * MS, "{} ms", max_delay / MS);
            world.heal_and_check();
        }
    }
}

#[test]
pub fn a_relay_that_resumes_after_a_pause_leaves_one_relay() {
    for (slow, start, shared) in STREAM_KINDS {
        for seed in 0..4 {
            let mut world = running_fleet(seed, slow, start, shared);
            let at = relay_of_site_a(&world);
            world.pause(at);
            publish_items(&mut world, 100);
            let other = relay_of_site_a(&world);
            assert_ne!(other, at, "another took over");
            world.resume(at);
            publish_items(&mut world, 30);
            assert_eq!(relay_of_site_a(&world), other, "and stays the relay");
            world.heal_and_check();
        }
    }
}

#[test]
pub fn a_draining_relay_hands_over_without_a_pause() {
    for (slow, start, shared) in STREAM_KINDS {
        for seed in 0..4 {
            let mut world = running_fleet(seed, slow, start, shared);
            let before = world
                .readers
                .values()
                .map(|(_, model)| model.max_delay)
                .max()
                .unwrap();
            let at = relay_of_site_a(&world);
            world.max_open_sources = 0;
            world.drain(at);
            publish_items(&mut world, 50);
            assert!(
                !world.lease_holders().contains(&at),
                "it holds no lease any more"
            );
            let max_delay = world
                .readers
                .values()
                .map(|(_, model)| model.max_delay)
                .max()
                .unwrap();
            assert!(max_delay <= before + 50 * MS, "{} ms", max_delay / MS);
            assert!(
                world.max_open_sources <= 3,
                "{} streams: one more than sites, at most",
                world.max_open_sources
            );
            world.heal_and_check();
        }
    }
}

#[test]
pub fn all_relays_drain_at_once() {
    let mut world = running_fleet(3, SlowReaderPolicy::Skip, StartPosition::Snapshot, false);
    for i in world.lease_holders() {
        world.drain(i);
    }
    publish_items(&mut world, 50);
    let max_delay = world
        .readers
        .values()
        .map(|(_, model)| model.max_delay)
        .max()
        .unwrap();
    assert!(max_delay <= 250 * MS, "{} ms", max_delay / MS);
    world.heal_and_check();
}

#[test]
pub fn a_site_cut_from_the_source_and_one_way_cuts() {
    for (slow, start, shared) in STREAM_KINDS {
        let mut world = running_fleet(5, slow, start, shared);
        world.cut_source("a");
        publish_items(&mut world, 200);
        world.cut_links.clear();
        publish_items(&mut world, 100);
        let at = relay_of_site_a(&world);
        // First the relay's messages to its followers are lost, then theirs to the relay.
        for pair in [true, false] {
            for i in (0..3).filter(|i| *i != at) {
                world.cut_links.insert(if pair { (at, i) } else { (i, at) });
            }
            publish_items(&mut world, 100);
            world.cut_links.clear();
            publish_items(&mut world, 30);
        }
        world.cut_links.insert((SOURCE, at));
        publish_items(&mut world, 200);
        world.heal_and_check();
    }
}

#[test]
pub fn a_source_that_starts_again_at_1_is_a_new_epoch() {
    for (slow, start, shared) in STREAM_KINDS {
        for seed in 0..4 {
            let mut world = running_fleet(seed, slow, start, shared);
            world.log.restart();
            publish_items(&mut world, 30);
            let at = relay_of_site_a(&world);
            world.pause(at);
            world.log.restart();
            publish_items(&mut world, 30);
            world.resume(at);
            world.heal_and_check();
        }
    }
}

#[test]
pub fn a_purge_during_a_handover_reaches_all_readers() {
    for seed in 0..24 {
        let mut world = running_fleet(seed, SlowReaderPolicy::Skip, StartPosition::Snapshot, false);
        let at = relay_of_site_a(&world);
        for step in 0..12 {
            if step == seed % 12 {
                world.drain(at);
            }
            world.publish(None, false);
            world.advance(MS);
        }
        world.kill(at);
        world.heal_and_check();
    }
}

#[test]
pub fn offices_receive_from_their_hub_and_hubs_from_the_site() {
    let locations = [
        "a/h1/o1", "a/h1/o1", "a/h1/o2", "a/h1/o2", "a/h2/o1", "a/h2/o1", "b/h1/o1",
    ];
    let mut world = World::new(
        9,
        stream(SlowReaderPolicy::Skip, StartPosition::Live, true),
        &locations,
    );
    for i in 0..7 {
        world.subscribe(i);
    }
    world.advance(3_000 * MS);
    publish_items(&mut world, 20);
    assert_eq!(world.open_sources(), 2);
    let at = world.lease_holders()[0];
    world.kill(at);
    publish_items(&mut world, 100);
    world.heal_and_check();
}
