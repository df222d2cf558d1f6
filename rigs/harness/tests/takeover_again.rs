//! Clients that come again around a takeover, processes that come back under their names, seats that are late, and many at once.

mod common;

use common::{brought, covered, served, sound, LONG, SHORT};
use foldmux_harness::customer::key;
use foldmux_harness::gate::Point;
use foldmux_harness::line::Way;
use foldmux_harness::Fleet;
use std::thread;
use std::time::Duration;

/// Longer than a takeover takes on a busy machine.
const WINDOW: Option<Duration> = Some(Duration::from_secs(10));
const MS: fn(u64) -> Duration = Duration::from_millis;

/// The keys of one test, asked for at one process each, all at once; whatever happens meanwhile is `then`'s.
fn asked(
    fleet: &Fleet,
    names: &[String],
    patience: Duration,
    at: impl Fn(usize) -> usize,
    then: impl FnOnce(),
) {
    let served_all = thread::scope(|scope| {
        let asked = names.iter().enumerate().map(|(n, name)| {
            let process = at(n);
            scope.spawn(move || served(&mut fleet.customer(patience), process, patience, name))
        });
        let asked: Vec<_> = asked.collect();
        then();
        // Each is waited for, also behind one that was not served.
        let joined: Vec<bool> = asked.into_iter().map(|one| one.join().is_ok()).collect();
        joined.into_iter().all(|served| served)
    });
    if !served_all {
        (0..fleet.size()).for_each(|n| println!("n{n}:\n{}", fleet.log(n).join("\n")));
    }
    assert!(
        served_all,
        "not all were served; the processes' logs stand above"
    );
}

fn names(of: u64, count: u64) -> Vec<String> {
    (0..count).map(|n| key(of, n)).collect()
}

#[test]
fn a_repeat_before_during_and_after_the_takeover_gets_the_one_answer() {
    let (fleet, name) = (covered(5, WINDOW), key(3, 1));
    let gate = fleet.archive().hold(Point::Ran, Some(&name));
    thread::scope(|scope| {
        let ask = |process| {
            let (fleet, name) = (&fleet, &name);
            scope.spawn(move || served(&mut fleet.customer(LONG), process, LONG, name))
        };
        let first = ask(0);
        assert!(gate.reached(1));
        let before = ask(1);
        fleet.kill(0);
        let during = ask(2);
        gate.open();
        [first, before, during]
            .into_iter()
            .for_each(|one| one.join().unwrap());
    });
    served(&mut fleet.customer(LONG), 3, LONG, &name);
    assert_eq!(brought(&fleet, &name).1, 1);
    assert_eq!(sound(&fleet).served, common::FIRST + 4);
}

#[test]
fn all_seats_are_killed_after_the_answer_and_read_it_back() {
    // The archive would run a repeat at once.
    let (fleet, name) = (covered(4, None), key(3, 2));
    served(&mut fleet.customer(LONG), 0, LONG, &name);
    (0..4).for_each(|seat| fleet.kill(seat));
    (0..4).for_each(|seat| fleet.restart(seat).unwrap());
    served(&mut fleet.customer(SHORT), 1, SHORT, &name);
    assert_eq!(
        brought(&fleet, &name),
        (1, 1),
        "nobody asked the archive again"
    );
    sound(&fleet);
}

#[test]
fn one_killed_with_work_in_hand_and_back_at_once_under_its_name_is_another_owner() {
    let (fleet, name) = (covered(4, WINDOW), key(3, 3));
    let gate = fleet.archive().hold(Point::Ran, Some(&name));
    asked(
        &fleet,
        std::slice::from_ref(&name),
        LONG,
        |_| 0,
        || {
            assert!(gate.reached(1));
            fleet.kill(0);
            fleet.restart(0).unwrap();
            thread::scope(|scope| {
                scope.spawn(|| served(&mut fleet.customer(LONG), 0, LONG, &name));
                gate.open();
            });
        },
    );
    assert_eq!(brought(&fleet, &name).1, 1);
    sound(&fleet);
}

#[test]
fn an_upgrade_beside_a_process_with_work_in_hand_loses_and_repeats_nothing() {
    let (fleet, names) = (covered(4, WINDOW), names(4, 8));
    let gate = fleet.archive().hold(Point::Ran, None);
    asked(
        &fleet,
        &names,
        LONG,
        |_| 0,
        || {
            assert!(gate.reached(8));
            thread::scope(|scope| {
                let old = scope.spawn(|| fleet.upgrade(0).unwrap());
                gate.open();
                assert!(old.join().unwrap().success());
            });
        },
    );
    names
        .iter()
        .for_each(|name| assert_eq!(brought(&fleet, name).1, 1, "{name}"));
    sound(&fleet);
}

#[test]
fn one_stopped_and_woken_again_and_again_under_load_sends_nothing_that_is_not_its_own() {
    let (fleet, names) = (covered(5, WINDOW), names(5, 60));
    asked(
        &fleet,
        &names,
        SHORT,
        |n| n % 2,
        || {
            for _ in 0..3 {
                fleet.pause(0).unwrap();
                // What comes meanwhile is taken over; waking finds it in the middle of whatever it did.
                served(&mut fleet.customer(LONG), 1, LONG, &key(5, 1_000));
                thread::sleep(MS(600));
                fleet.wake(0).unwrap();
            }
        },
    );
    sound(&fleet);
}

#[test]
fn a_seat_that_is_late_by_what_its_lease_allows_costs_no_answer() {
    let (fleet, names) = (covered(4, WINDOW), names(6, 12));
    for other in [0, 1, 2] {
        for line in [fleet.line(other, 3), fleet.line(3, other)]
            .into_iter()
            .flatten()
        {
            line.delay(Way::Both, MS(60));
        }
    }
    asked(&fleet, &names, LONG, |n| n % 3, || {});
    fleet.kill(0);
    names
        .iter()
        .for_each(|name| served(&mut fleet.customer(LONG), 1, LONG, name));
    sound(&fleet);
}

#[test]
fn a_flood_of_one_key_and_of_many_is_answered_once_each() {
    let fleet = covered(4, WINDOW);
    let mut all = names(7, 150);
    all.extend(std::iter::repeat_n(key(7, 1_000), 50));
    asked(&fleet, &all, LONG, |n| n % 4, || {});
    assert_eq!(brought(&fleet, &key(7, 1_000)).1, 1);
    assert_eq!(sound(&fleet).served, common::FIRST + 200);
}
