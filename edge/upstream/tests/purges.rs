//! Purges that are told after the router decided on an attempt, while the attempt waits.

mod common;

use common::*;
use foldmux::interface::{ObjectId, Outcome, Time};

/// Object and group of the requests made here.
const OBJECT: u64 = 5;
const GROUP: u32 = 17;
const OTHER: u64 = 6;
/// Age of a copy that left the origin right before the purge (µs).
const PURGED_AGE: Time = 400_000;
const RETENTION: Time = 60_000_000;
/// A bound on the age that the router set when it decided (µs).
const DECIDED_AGE: Time = 30_000;

/// The head of a request whose purge is told once it has its connection, and no sooner.
fn head_after_purge(object: Option<u64>, group: u32, decided_age: Time) -> String {
    let rig = Rig::new();
    let idle = rig.idle();
    let (purges, now) = (rig.upstream.purges.clone(), rig.upstream.clock.now());
    let mut asked = rig.asked().when_connected(move || {
        purges.record(now, object.map(ObjectId), group, PURGED_AGE, RETENTION)
    });
    (asked.request.object, asked.request.group) = (OBJECT, GROUP);
    (asked.fetch.max_age, asked.fetch.revalidate) = (decided_age, true);
    let (outcome, _, head) = rig.during(&asked, || {
        let head = read_head(&idle);
        say(&idle, &ok("own"));
        head
    });
    assert_eq!(outcome, Outcome::Served);
    head
}

/// The oldest copy that a request allows (ms).
fn max_age_ms(head: &str) -> Option<Time> {
    let value = head
        .lines()
        .find_map(|line| line.strip_prefix("X-Max-Age-Ms: "))?;
    Some(value.parse().unwrap())
}

/// Guards against an attempt that waited (for a backoff, a permit or a connection) accepting a copy from before a purge that
/// was told in its wait.
#[test]
fn a_purge_told_while_an_attempt_waits_bounds_the_age_of_its_copy() {
    for (object, group) in [(Some(OBJECT), u32::MAX), (None, GROUP), (None, u32::MAX)] {
        let head = head_after_purge(object, group, 0);
        let age = max_age_ms(&head).expect("a bound");
        // The time until the head was made is added to it, and some margin taken off.
        assert!(
            (PURGED_AGE - 5_000..RETENTION).contains(&(age * 1_000)),
            "{head}"
        );
        assert!(
            !head.contains("freshen"),
            "a copy from before it is served: {head}"
        );
    }
}

#[test]
fn the_stricter_of_both_bounds_applies() {
    let head = head_after_purge(Some(OBJECT), u32::MAX, DECIDED_AGE);
    assert_eq!(max_age_ms(&head), Some(DECIDED_AGE / 1_000), "{head}");
}

#[test]
fn a_purge_of_something_else_changes_nothing() {
    for (object, group) in [(Some(OTHER), GROUP), (None, GROUP + 1)] {
        let head = head_after_purge(object, group, 0);
        assert_eq!(max_age_ms(&head), None, "{head}");
        assert!(head.contains("freshen"), "{head}");
    }
}
