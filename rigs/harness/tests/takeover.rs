//! Work in hand survives the loss of its proxy: a kill at each moment of a request's life.

mod common;

use common::{brought, covered, served, sound, successor, LONG, SHORT};
use foldmux_harness::customer::{key, Customer};
use foldmux_harness::gate::Point;
use foldmux_harness::line::{Line, Way};
use foldmux_harness::who::Who;
use std::thread;
use std::time::Duration;

/// Longer than a takeover takes on a busy machine.
const WINDOW: Option<Duration> = Some(Duration::from_secs(10));

#[test]
fn killed_before_the_record_stands_it_is_begun_by_whoever_is_asked_next() {
    let (fleet, name) = (covered(5, WINDOW), key(1, 1));
    // No seat hears of it.
    (1..5).for_each(|seat| fleet.cut(0, seat, Way::There));
    thread::scope(|scope| {
        let asks = scope.spawn(|| served(&mut fleet.customer(SHORT), 0, SHORT, &name));
        asks.join().unwrap();
        fleet.kill(0);
        (1..5).for_each(|seat| fleet.heal(0, seat));
    });
    assert_eq!(brought(&fleet, &name).1, 1);
    sound(&fleet);
}

#[test]
fn killed_between_record_and_attempt_it_runs_once_also_when_the_held_bytes_arrive_late() {
    let (fleet, name) = (covered(5, WINDOW), key(1, 2));
    fleet.cut_archive(0, Some(Way::There));
    thread::scope(|scope| {
        let asks = scope.spawn(|| served(&mut fleet.customer(LONG), 0, LONG, &name));
        // The line holds what the proxy sends: a connection to a cache shows that the attempt is out.
        while fleet.caches().iter().all(|line| line.connections() == 0) {
            thread::yield_now();
        }
        fleet.kill(0);
        asks.join().unwrap();
    });
    fleet.cut_archive(0, None);
    assert_eq!(brought(&fleet, &name).1, 1);
    sound(&fleet);
}

#[test]
fn torn_in_the_middle_of_the_write_it_runs_once() {
    let (fleet, name) = (covered(5, WINDOW), key(1, 3));
    fleet
        .caches()
        .iter()
        .for_each(|line| line.of(0).tear(Way::There, 40));
    thread::scope(|scope| {
        let asks = scope.spawn(|| served(&mut fleet.customer(LONG), 0, LONG, &name));
        asks.join().unwrap();
    });
    fleet.kill(0);
    assert_eq!(brought(&fleet, &name).1, 1);
    sound(&fleet);
}

#[test]
fn killed_after_the_archive_ran_it_and_before_the_answer_it_is_not_run_again() {
    let (fleet, name) = (covered(5, WINDOW), key(1, 4));
    let gate = fleet.archive().hold(Point::Ran, Some(&name));
    thread::scope(|scope| {
        let asks = scope.spawn(|| served(&mut fleet.customer(LONG), 0, LONG, &name));
        assert!(gate.reached(1));
        fleet.kill(0);
        gate.open();
        asks.join().unwrap();
    });
    assert_eq!(brought(&fleet, &name).1, 1);
    let verdict = sound(&fleet);
    assert_eq!(verdict.after_kill.len(), 1, "{verdict}");
}

#[test]
fn killed_after_the_answer_and_before_its_client_has_it_the_kept_answer_is_given() {
    let (fleet, name) = (covered(5, None), key(1, 5));
    // The client's way to the first process goes through a line of its own.
    let line = Line::to("client", fleet.address(0), &Who::default());
    let mut addresses: Vec<_> = (0..5).map(|n| fleet.address(n)).collect();
    addresses[0] = line.address;
    let mut customer = Customer::new(addresses, fleet.record(), LONG);
    line.all().cut(Way::Back);
    let gate = fleet.archive().hold(Point::Answer, Some(&name));
    thread::scope(|scope| {
        let asks = scope.spawn(|| served(&mut customer, 0, LONG, &name));
        assert!(gate.reached(1));
        gate.open();
        // Another client under this key is served what is kept: then it stands at the seats.
        served(&mut fleet.customer(LONG), 1, LONG, &name);
        fleet.kill(0);
        line.all().reset();
        asks.join().unwrap();
    });
    assert_eq!(
        brought(&fleet, &name),
        (1, 1),
        "nobody asked the archive again"
    );
    sound(&fleet);
}

#[test]
fn two_clients_with_one_key_at_two_instances_get_one_result_of_one_run() {
    let (fleet, name) = (covered(5, None), key(1, 6));
    let gate = fleet.archive().hold(Point::Ran, Some(&name));
    thread::scope(|scope| {
        let one = scope.spawn(|| served(&mut fleet.customer(LONG), 0, LONG, &name));
        assert!(gate.reached(1));
        let two = scope.spawn(|| served(&mut fleet.customer(LONG), 1, LONG, &name));
        gate.open();
        one.join().unwrap();
        two.join().unwrap();
    });
    assert_eq!(brought(&fleet, &name), (1, 1));
    sound(&fleet);
}

#[test]
fn the_successor_dies_and_its_successor_goes_on() {
    let (fleet, name) = (covered(6, WINDOW), key(1, 7));
    let gate = fleet.archive().hold(Point::Ran, Some(&name));
    thread::scope(|scope| {
        let asks = scope.spawn(|| served(&mut fleet.customer(SHORT), 0, SHORT, &name));
        assert!(gate.reached(1));
        let mut owners = vec![0];
        for _ in 0..2 {
            let last = owners[owners.len() - 1];
            fleet.kill(last);
            fleet.restart(last).unwrap();
            owners.push(successor(&fleet, &name, &owners));
        }
        gate.open();
        asks.join().unwrap();
    });
    assert_eq!(brought(&fleet, &name).1, 1);
    sound(&fleet);
}

#[test]
fn one_who_leaves_hands_its_work_over_and_its_client_is_answered() {
    let (fleet, name) = (covered(5, WINDOW), key(1, 8));
    let gate = fleet.archive().hold(Point::Read, Some(&name));
    thread::scope(|scope| {
        let asks = scope.spawn(|| served(&mut fleet.customer(LONG), 0, LONG, &name));
        assert!(gate.reached(1));
        let leaves = scope.spawn(|| fleet.leave(0).unwrap());
        gate.open();
        asks.join().unwrap();
        assert!(leaves.join().unwrap().success());
    });
    assert_eq!(brought(&fleet, &name).1, 1);
    sound(&fleet);
}
