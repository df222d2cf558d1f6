//! Bounds and isolation: no entries are left behind, tables and moves stay bounded, and slow readers delay no
//! others.

pub mod world;

use foldmux_relay::{Command, SlowReaderPolicy, StartPosition};
use world::{stream, World, MS};

const SITE: [&str; 4] = ["a", "a", "a", "b"];

#[test]
pub fn ten_thousand_subscriptions_and_cancellations_leave_no_entry() {
    let mut world = World::new(
        1,
        stream(SlowReaderPolicy::Skip, StartPosition::Snapshot, false),
        &SITE,
    );
    world.advance(1_000 * MS);
    for n in 0..10_000 {
        let reader = world.subscribe(n % 4);
        if n % 7 == 0 {
            world.publish((n % 2 == 0).then_some("k"), false);
        }
        world.advance(MS / 4);
        world.cancel(reader);
    }
    world.advance(5_000 * MS);
    assert_eq!(
        (
            world.entries(),
            world.open_sources(),
            world.lease_holders().len()
        ),
        (0, 0, 0)
    );
}

#[test]
pub fn a_thousand_readers_resubscribe_at_once() {
    let mut world = World::new(
        2,
        stream(SlowReaderPolicy::Skip, StartPosition::Snapshot, false),
        &SITE,
    );
    for n in 0..1_000 {
        world.subscribe(n % 3);
    }
    world.advance(2_000 * MS);
    for _ in 0..30 {
        world.publish(None, false);
        world.advance(10 * MS);
    }
    let readers: Vec<u64> = world.readers.keys().copied().collect();
    readers.into_iter().for_each(|reader| world.cancel(reader));
    let answers = world.answers;
    for n in 0..1_000 {
        world.subscribe(n % 3);
    }
    world.publish(None, false);
    world.advance(20 * MS);
    assert!(
        world.answers - answers <= 3,
        "{} answers of the source",
        world.answers - answers
    );
    assert!(
        world
            .readers
            .values()
            .all(|(_, model)| model.snapshots == 1),
        "each received one snapshot"
    );
    world.heal_and_check();
}

#[test]
pub fn one_reader_opens_one_stream_and_its_cancellation_closes_it() {
    let mut world = World::new(
        3,
        stream(SlowReaderPolicy::Disconnect, StartPosition::Live, true),
        &SITE,
    );
    world.advance(1_000 * MS);
    let reader = world.subscribe(2);
    world.advance(1_000 * MS);
    world.publish(None, false);
    world.advance(20 * MS);
    assert_eq!(
        (
            world.open_sources(),
            world.readers[&reader].1.received.len()
        ),
        (1, 1)
    );
    world.cancel(reader);
    world.advance(2_000 * MS);
    assert_eq!((world.open_sources(), world.entries()), (0, 0));
}

/// Overruns a ring of 64 items for two readers: one that takes a second for each batch, and one that takes
/// nothing. The other readers must not be delayed.
pub fn overrun(slow: SlowReaderPolicy, start: StartPosition) -> (World, u64, u64) {
    let mut world = World::new(4, stream(slow, start, true), &SITE);
    world.advance(1_000 * MS);
    world.publish(Some("k0"), false);
    let (slowly, never) = (world.subscribe(0), world.subscribe(0));
    world.slow_readers.insert(slowly, Some(1_000 * MS));
    world.slow_readers.insert(never, None);
    let quick: Vec<u64> = (0..4).map(|i| world.subscribe(i)).collect();
    world.advance(1_000 * MS);
    for n in 0..2_000 {
        let key = (n % 5 != 0).then(|| format!("k{}", n % 7));
        world.publish(key.as_deref(), false);
        world.advance(5 * MS);
    }
    world.advance(10_000 * MS);
    for reader in quick {
        let model = &world.readers[&reader].1;
        assert!(
            model.max_delay <= 30 * MS && model.gaps == 0,
            "{} ms",
            model.max_delay / MS
        );
        model.assert_complete(&world.log, "a quick reader");
    }
    (world, slowly, never)
}

#[test]
pub fn slow_readers_are_ended_where_the_stream_may_not_skip() {
    let (world, slowly, never) = overrun(SlowReaderPolicy::Disconnect, StartPosition::Live);
    assert!(world.readers[&slowly].1.ended && world.readers[&never].1.ended);
}

#[test]
pub fn slow_readers_are_told_of_gaps_where_the_stream_skips() {
    let (world, slowly, never) = overrun(SlowReaderPolicy::Skip, StartPosition::Live);
    let model = &world.readers[&slowly].1;
    assert!(!model.ended && model.gaps > 3, "{} gaps", model.gaps);
    model.assert_complete(&world.log, "the slow reader");
    assert!(!world.readers[&never].1.ended);
}

#[test]
pub fn slow_readers_get_the_last_item_of_each_key_where_the_stream_is_conflated() {
    let (world, slowly, _) = overrun(SlowReaderPolicy::Conflate, StartPosition::Snapshot);
    let model = &world.readers[&slowly].1;
    assert!(!model.ended && model.snapshots > 1);
    model.assert_complete(&world.log, "the slow reader");
}

#[test]
pub fn the_relay_is_stable_under_joins_and_moves_once_per_failure() {
    for seed in 0..10 {
        let mut world = World::new(
            seed,
            stream(SlowReaderPolicy::Skip, StartPosition::Snapshot, false),
            &["a"; 8],
        );
        for i in 3..8 {
            world.kill(i);
        }
        for i in 0..3 {
            world.subscribe(i);
        }
        world.advance(2_000 * MS);
        world.publish(None, false);
        let first = world.lease_holders();
        for i in 3..8 {
            world.restart(i);
            world.subscribe(i);
            world.advance(700 * MS);
            assert_eq!(
                world.lease_holders(),
                first,
                "a join does not move the lease"
            );
        }
        let mut now = first;
        for _ in 0..3 {
            world.kill(now[0]);
            world.report_peer_status(now[0], false);
            world.advance(3_000 * MS);
            let next = world.lease_holders();
            assert!(
                next.len() == 1 && next != now,
                "one other holder: {next:?} after {now:?}"
            );
            world.advance(20_000 * MS);
            assert_eq!(world.lease_holders(), next, "the holder stays");
            now = next;
        }
    }
}

/// The relay stalls for 200 ms twice a second, for two minutes. It keeps the role for ten seconds at a time
/// and then declines it for fifty.
#[test]
pub fn a_relay_that_is_slow_repeatedly_moves_no_more_often_than_the_bound() {
    let mut world = World::new(
        6,
        stream(SlowReaderPolicy::Skip, StartPosition::Snapshot, false),
        &["a"; 4],
    );
    for i in 0..4 {
        world.subscribe(i);
    }
    world.advance(2_000 * MS);
    let (mut now, mut moves) = (world.lease_holders(), 0);
    let start = world.now;
    while world.now - start < 120_000 * MS {
        let at = now[0];
        world.pause(at);
        world.advance(200 * MS);
        world.resume(at);
        world.publish(None, false);
        world.advance(300 * MS);
        let next = world.lease_holders();
        if !next.is_empty() && next != now {
            (now, moves) = (next, moves + 1);
        }
    }
    assert!(
        (1..=13).contains(&moves),
        "{moves} moves in 120 s, the bound is 12 and one"
    );
    world.heal_and_check();
}

/// The relay is killed and the other 35 processes are cut off from each other, so that all read the source.
/// Once the links are back, they must return to a relay at different times.
#[test]
pub fn processes_that_read_the_source_do_not_return_to_a_relay_in_step() {
    let mut world = World::new(
        7,
        stream(SlowReaderPolicy::Skip, StartPosition::Snapshot, false),
        &["a"; 36],
    );
    for i in 0..36 {
        world.subscribe(i);
    }
    world.advance(12_000 * MS);
    world.publish(None, false);
    // The replicas are among them: no lease can be granted until the links are back.
    let at = world.lease_holders()[0];
    world.kill(at);
    for i in (0..36).filter(|i| *i != at) {
        world.cut_links.extend((0..36).map(|to| (i, to)));
    }
    world.advance(1_000 * MS);
    assert!(
        world.open_sources() >= 30,
        "{} read the source",
        world.open_sources()
    );
    world.cut_links.clear();
    let mut left = world.open_sources();
    let mut most = 0;
    for _ in 0..2_000 {
        world.advance(10 * MS);
        most = most.max(left.saturating_sub(world.open_sources()));
        left = world.open_sources();
    }
    assert!(left <= 2, "{left} still read the source");
    assert!(most <= 15, "{most} returned to a relay within 10 ms");
    world.heal_and_check();
}

#[test]
pub fn a_late_answer_of_an_earlier_epoch_is_ignored() {
    let mut world = World::new(
        8,
        stream(SlowReaderPolicy::Skip, StartPosition::Live, true),
        &SITE,
    );
    world.subscribe(0);
    world.advance(1_000 * MS);
    (0..5).for_each(|_| world.publish(None, false));
    world.advance(20 * MS);
    let late = world.log.items(0);
    world.log.restart();
    world.publish(None, false);
    world.advance(2_000 * MS);
    for i in 0..4 {
        world.command(
            i,
            Command::SourceItems {
                stream: "s".into(),
                epoch: 0,
                items: late.clone(),
            },
        );
    }
    world.heal_and_check();
}
