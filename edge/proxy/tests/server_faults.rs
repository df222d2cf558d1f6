//! System calls towards the caches that fail for the moment: the request is served in one attempt, and the cache is not blamed
//! for what this machine lacked.

use faults::{start_under, PASSING};

mod common;
#[path = "common/faults.rs"]
mod faults;
#[path = "common/steps.rs"]
mod steps;

const ONE: u64 = 0x1111_0000_0000_0001;
/// Errors of a dial that say nothing of the cache.
const OWN: [&str; 8] = [
    "EINTR",
    "EAGAIN",
    "ENOMEM",
    "ENOBUFS",
    "EMFILE",
    "ENFILE",
    "EADDRNOTAVAIL",
    "ENETUNREACH",
];

#[test]
fn a_dial_that_this_machine_lacks_something_for_is_made_again() {
    for (call, error) in OWN
        .iter()
        .flat_map(|error| [("connect", error), ("socket", error)])
    {
        let rig = start_under(&format!("{call} error={error} every=2"));
        let mut client = rig.client();
        (0..3).for_each(|n| rig.answers_two(&mut client, ONE + 2 * n));
        assert!(rig.injected() >= 3, "{call} {error}");
    }
}

#[test]
fn reads_and_writes_that_fail_once_leave_the_attempt_as_it_is() {
    for (call, error) in PASSING
        .iter()
        .flat_map(|error| [("recv", error), ("send", error)])
    {
        let rig = start_under(&format!("{call} role=server error={error} every=2"));
        let mut client = rig.client();
        (0..3).for_each(|n| rig.answers_two(&mut client, ONE + 2 * n));
        assert!(rig.injected() >= 3, "{call} {error}");
        assert_eq!(
            rig.waiting_attempts(),
            0,
            "{call} {error}: a second attempt"
        );
    }
}

#[test]
fn dials_that_fail_for_ever_end_in_an_answer_and_are_few() {
    let rig = start_under("connect error=EADDRNOTAVAIL");
    let mut client = rig.client();
    client.ask(ONE);
    let answer = client.answer();
    assert!(
        answer.contains("Shed") || answer.contains("Fault"),
        "{answer}"
    );
    // Four attempts of 0.1 s, with pauses that grow to 10 ms, and what the journal service's watch dials meanwhile.
    assert!(rig.injected() <= 100, "{} dials", rig.injected());
}
