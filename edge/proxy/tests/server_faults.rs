//! System calls towards the caches that fail for the moment: the request is served in one attempt, and the cache is not blamed
//! for what this machine lacked.

use fault_injection::{start_under, PASSING};

mod common;
#[path = "common/fault_injection.rs"]
mod fault_injection;
#[path = "common/test_proxy.rs"]
mod test_proxy;

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
        let proxy = start_under(&format!("{call} error={error} every=2"));
        let mut client = proxy.client();
        (0..3).for_each(|n| proxy.answers_two(&mut client, ONE + 2 * n));
        assert!(proxy.injected() >= 3, "{call} {error}");
    }
}

#[test]
fn reads_and_writes_that_fail_once_leave_the_attempt_as_it_is() {
    for (call, error) in PASSING
        .iter()
        .flat_map(|error| [("recv", error), ("send", error)])
    {
        let proxy = start_under(&format!("{call} role=server error={error} every=2"));
        let mut client = proxy.client();
        (0..3).for_each(|n| proxy.answers_two(&mut client, ONE + 2 * n));
        assert!(proxy.injected() >= 3, "{call} {error}");
        assert_eq!(
            proxy.waiting_attempts(),
            0,
            "{call} {error}: a second attempt"
        );
    }
}

#[test]
fn dials_that_fail_for_ever_end_in_an_answer_and_are_few() {
    let proxy = start_under("connect error=EADDRNOTAVAIL");
    let mut client = proxy.client();
    client.ask(ONE);
    let answer = client.answer();
    assert!(
        answer.contains("Shed") || answer.contains("Fault"),
        "{answer}"
    );
    // Four attempts of 0.1 s, with pauses that grow to 10 ms, and what the journal client dials meanwhile.
    assert!(proxy.injected() <= 100, "{} dials", proxy.injected());
}
