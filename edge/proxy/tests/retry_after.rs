//! The wait that the program advises by itself with a refusal: by the settings in service, also after a reload.

use std::io::BufRead;
use test_proxy::TestProxy;

mod common;
#[path = "common/test_proxy.rs"]
mod test_proxy;

const FIRST: u64 = 0x1111_0000_0000_0000;
/// Calls that one connection may have open.
const OPEN: u64 = 32;
/// The longest wait that clients follow (us), as the proxy starts with it.
const MOST: &str = "\"maxRetryAfter\":100000";

/// The answer to a call beyond those that may be open on its connection; nobody answers these.
fn refusal(proxy: &TestProxy, first: u64) -> String {
    let mut client = proxy.client();
    for n in 0..=OPEN {
        client.ask(first + n);
    }
    // Written in one piece; recorded exchanges leave the wait out.
    common::escape(client.stream.fill_buf().unwrap())
}

#[test]
fn a_reload_changes_the_wait_that_is_advised() {
    let proxy = TestProxy::start_with(|config| config.replace("\"maxRetryAfter\":100", MOST));
    let before = refusal(&proxy, FIRST);
    assert!(
        before.contains("Shed") && before.contains("\\xa1w\\xa3100"),
        "{before}"
    );
    let shorter = proxy.config.replace(MOST, "\"maxRetryAfter\":40000");
    assert!(proxy.program.reload(&shorter).contains("classes"));
    let after = refusal(&proxy, FIRST + 2 * OPEN);
    assert!(
        after.contains("Shed") && after.contains("\\xa1w\\xa240"),
        "{after}"
    );
}

#[test]
fn it_leaves_the_client_the_time_to_come_again() {
    let proxy = TestProxy::start_with(|config| {
        let config = config.replace("\"maxRetryAfter\":100", "\"maxRetryAfter\":900000");
        config
            .replace("\"hardLimit\":300000000", "\"hardLimit\":2000000")
            .replace("\"slo\":20000000", "\"slo\":1000000")
    });
    let answer = refusal(&proxy, FIRST);
    assert!(
        answer.contains("Shed") && answer.contains("\\xa1w\\xa3200"),
        "{answer}"
    );
}
