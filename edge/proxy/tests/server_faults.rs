//! System calls on connections to caches that fail temporarily: the request is served in one attempt, and a local fault does
//! not count against the cache.

use fault_injection::{start_with_faults, TRANSIENT_ERRORS};

mod common;
#[path = "common/fault_injection.rs"]
mod fault_injection;
#[path = "common/test_proxy.rs"]
mod test_proxy;

const OBJECT: u64 = 0x1111_0000_0000_0001;
/// Errors of a dial that come from this host and say nothing about the cache.
const LOCAL_ERRORS: [&str; 8] = [
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
fn a_dial_that_fails_with_a_local_error_is_retried() {
    for (call, error) in LOCAL_ERRORS
        .iter()
        .flat_map(|error| [("connect", error), ("socket", error)])
    {
        let proxy = start_with_faults(&format!("{call} error={error} every=2"));
        let mut client = proxy.client();
        (0..3).for_each(|n| proxy.assert_serves_two_requests(&mut client, OBJECT + 2 * n));
        assert!(proxy.injected_faults() >= 3, "{call} {error}");
    }
}

#[test]
fn reads_and_writes_that_fail_once_do_not_end_the_attempt() {
    for (call, error) in TRANSIENT_ERRORS
        .iter()
        .flat_map(|error| [("recv", error), ("send", error)])
    {
        let proxy = start_with_faults(&format!("{call} role=server error={error} every=2"));
        let mut client = proxy.client();
        (0..3).for_each(|n| proxy.assert_serves_two_requests(&mut client, OBJECT + 2 * n));
        assert!(proxy.injected_faults() >= 3, "{call} {error}");
        assert_eq!(
            proxy.pending_attempts(),
            0,
            "{call} {error}: a second attempt"
        );
    }
}

#[test]
fn dials_that_always_fail_are_few_and_the_client_gets_a_response() {
    let proxy = start_with_faults("connect error=EADDRNOTAVAIL");
    let mut client = proxy.client();
    client.send_request(OBJECT);
    let response = client.read_response();
    assert!(
        response.contains("Shed") || response.contains("Fault"),
        "{response}"
    );
    // Four attempts of 0.1 s each, with pauses that grow to 10 ms, and the dials of the journal client meanwhile.
    assert!(
        proxy.injected_faults() <= 100,
        "{} dials",
        proxy.injected_faults()
    );
}
