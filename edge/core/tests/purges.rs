//! A route that its caller keeps, and a purge that is told meanwhile.

mod common;

use common::{Harness, TIMEOUT};
use crossbeam_channel::bounded;
use foldmux::interface::{ObjectId, Time};
use foldmux_core::delegated::{DelegatedRequest, Instruction};
use foldmux_core::messages::{Command, DIRECTIVE_CAPACITY};
use std::time::Instant;

const OBJECT: u64 = 5;
/// Age of a copy that left the origin right before the purge (µs).
const PURGED_AGE: Time = 400_000;

/// Guards against a kept route being given out with a bound on the copy's age from before the purge.
#[test]
fn a_kept_route_is_bounded_by_purges_that_were_told_since() {
    let harness = Harness::new();
    let (sender, directives) = bounded(DIRECTIVE_CAPACITY);
    let request = harness.client_request(OBJECT);
    let mut delegated =
        DelegatedRequest::start(&harness.core, &request, 0, Box::new(sender), 1).unwrap();
    let Instruction::Attempt(mut route) = delegated.take(directives.recv_timeout(TIMEOUT).unwrap())
    else {
        panic!("no route")
    };
    assert!(delegated.refresh(&mut route) && route.fetch.max_age == 0);
    harness.core.event_loop.send(Command::Invalidate {
        object: Some(ObjectId(OBJECT)),
        group: u32::MAX,
        age: PURGED_AGE,
    });
    let end = Instant::now() + TIMEOUT;
    while route.fetch.max_age == 0 {
        assert!(Instant::now() < end, "no bound");
        assert!(delegated.refresh(&mut route), "still current");
    }
    assert!(route.fetch.max_age >= PURGED_AGE - 5_000 && !route.fetch.revalidate);
}
