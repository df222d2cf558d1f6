//! Owners that are stopped, cut off or many, and come back: none of them sends what is another's by then.

mod common;

use common::{brought, covered, served, sound, LONG, SHORT};
use foldmux_harness::customer::key;
use foldmux_harness::gate::Point;
use foldmux_harness::line::Way;
use std::thread;
use std::time::Duration;

/// Longer than a takeover takes on a busy machine.
const WINDOW: Option<Duration> = Some(Duration::from_secs(10));

#[test]
fn an_owner_that_is_stopped_past_its_lease_and_woken_sends_nothing_more() {
    let (fleet, name) = (covered(5, WINDOW), key(2, 1));
    // What it sends is held by the line, and let through after it was woken and its work was taken over.
    fleet.cut_archive(0, Some(Way::There));
    thread::scope(|scope| {
        let asks = scope.spawn(|| served(&mut fleet.customer(SHORT), 0, SHORT, &name));
        while fleet.caches().iter().all(|line| line.connections() == 0) {
            thread::yield_now();
        }
        fleet.pause(0).unwrap();
        asks.join().unwrap();
    });
    fleet.cut_archive(0, None);
    fleet.wake(0).unwrap();
    served(&mut fleet.customer(LONG), 0, LONG, &name);
    assert_eq!(brought(&fleet, &name).1, 1);
    sound(&fleet);
}

#[test]
fn an_owner_cut_off_from_its_seats_but_not_from_archive_and_client_gives_one_answer() {
    let (fleet, name) = (covered(5, WINDOW), key(2, 2));
    let gate = fleet.archive().hold(Point::Ran, Some(&name));
    thread::scope(|scope| {
        let asks = scope.spawn(|| served(&mut fleet.customer(LONG), 0, LONG, &name));
        assert!(gate.reached(1));
        (1..5).for_each(|seat| fleet.cut(0, seat, Way::Both));
        let other = scope.spawn(|| served(&mut fleet.customer(LONG), 1, LONG, &name));
        gate.open();
        other.join().unwrap();
        (1..5).for_each(|seat| fleet.heal(0, seat));
        asks.join().unwrap();
    });
    assert_eq!(brought(&fleet, &name).1, 1);
    sound(&fleet);
}

#[test]
fn a_cut_of_one_direction_costs_time_and_no_second_run() {
    for way in [Way::There, Way::Back] {
        let (fleet, name) = (covered(5, WINDOW), key(2, 3));
        (1..5).for_each(|seat| fleet.cut(0, seat, way));
        thread::scope(|scope| {
            let asks = scope.spawn(|| served(&mut fleet.customer(SHORT), 0, SHORT, &name));
            asks.join().unwrap();
        });
        (1..5).for_each(|seat| fleet.heal(0, seat));
        served(&mut fleet.customer(LONG), 0, LONG, &name);
        assert_eq!(brought(&fleet, &name).1, 1);
        sound(&fleet);
    }
}

#[test]
fn all_seats_restart_at_once_and_nothing_runs_twice() {
    // The archive drops repeats for longer than the seats have no memory.
    let (fleet, name) = (covered(4, Some(LONG * 4)), key(2, 4));
    let gate = fleet.archive().hold(Point::Ran, Some(&name));
    thread::scope(|scope| {
        let asks = scope.spawn(|| served(&mut fleet.customer(SHORT), 0, SHORT, &name));
        assert!(gate.reached(1));
        (0..4).for_each(|seat| fleet.kill(seat));
        (0..4).for_each(|seat| fleet.restart(seat).unwrap());
        gate.open();
        asks.join().unwrap();
    });
    assert_eq!(brought(&fleet, &name).1, 1);
    sound(&fleet);
}

#[test]
fn half_of_the_fleet_dies_at_once_and_all_its_work_goes_on_once() {
    let fleet = covered(6, WINDOW);
    let names: Vec<String> = (0..12).map(|n| key(2, 100 + n)).collect();
    let gate = fleet.archive().hold(Point::Ran, None);
    thread::scope(|scope| {
        let asks: Vec<_> = (0..names.len())
            .map(|n| {
                let (fleet, name) = (&fleet, &names[n]);
                scope.spawn(move || served(&mut fleet.customer(LONG), n % 3, LONG, name))
            })
            .collect();
        assert!(gate.reached(12));
        (0..3).for_each(|process| fleet.kill(process));
        gate.open();
        (0..3).for_each(|process| fleet.restart(process).unwrap());
        asks.into_iter().for_each(|ask| ask.join().unwrap());
    });
    names
        .iter()
        .for_each(|name| assert_eq!(brought(&fleet, name).1, 1, "{name}"));
    sound(&fleet);
}
