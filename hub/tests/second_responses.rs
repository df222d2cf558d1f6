//! A source that sends a response twice, the second one some milliseconds later.

use common::{Rig, THREE, WIDE};
use foldmux_fakes::body;
use foldmux_fakes::source::{Act, Source};
use std::time::Duration;

mod common;

const LENGTH: usize = 2_000;
/// How long the source takes for a response: longer than the second copy of the last one is late.
const WORK: Duration = Duration::from_millis(20);
const LATENESS: Duration = Duration::from_millis(5);
const OBJECTS: u64 = 20;

/// Guards against a late second copy of a response being served, and kept, as the copy of the object that is fetched next.
#[test]
fn a_late_second_response_of_a_source_is_neither_served_nor_kept_for_another_object() {
    let archive = Source::start(|_| Act::Twice(Box::new(Act::give(LENGTH, WORK)), LATENESS));
    let rig = Rig::new(archive, &THREE[..1], WIDE);
    for round in ["fetched", "kept"] {
        for object in 1..=OBJECTS {
            let got = rig.get("east", object, "");
            let is_own = got.body == body(object, 0, 1, LENGTH);
            assert!(is_own, "object {object}, {round}: status {}", got.status);
        }
    }
}

/// Guards against a late second refusal being taken for that of the next fetch, which the source would have served.
#[test]
fn a_late_second_refusal_is_not_taken_for_that_of_the_next_fetch() {
    let archive = Source::start(|ask| match ask.object % 2 {
        0 => Act::Twice(
            Box::new(Act::Say {
                status: 404,
                fields: String::new(),
            }),
            LATENESS,
        ),
        _ => Act::give(LENGTH, WORK),
    });
    let rig = Rig::new(archive, &THREE[..1], WIDE);
    for object in (2..2 * OBJECTS).step_by(2) {
        assert_eq!(rig.get("east", object, "").status, 404, "object {object}");
        assert_eq!(rig.get("east", object + 1, "").status, 200);
    }
}
