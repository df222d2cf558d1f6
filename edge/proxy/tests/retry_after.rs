//! The retry delay that the proxy advises with its own rejections: it follows the settings in service, also after a reload.

use std::io::BufRead;
use test_proxy::TestProxy;

mod common;
#[path = "common/test_proxy.rs"]
mod test_proxy;

const FIRST_OBJECT: u64 = 0x1111_0000_0000_0000;
/// The most open requests on one connection.
const MAX_OPEN_REQUESTS: u64 = 32;
/// The initial setting of the longest retry delay (us).
const MAX_RETRY_AFTER: &str = "\"maxRetryAfter\":100000";

/// The rejection of a request beyond the limit of its connection; no cache responds to the others.
fn rejection(proxy: &TestProxy, first_object: u64) -> String {
    let mut client = proxy.client();
    for n in 0..=MAX_OPEN_REQUESTS {
        client.send_request(first_object + n);
    }
    // Read raw, because `read_message` masks the delay. The proxy writes the message in one piece.
    common::escape(client.stream.fill_buf().unwrap())
}

#[test]
fn a_reload_changes_the_advised_retry_delay() {
    let proxy = TestProxy::start_with_config(|config| {
        config.replace("\"maxRetryAfter\":100", MAX_RETRY_AFTER)
    });
    let before = rejection(&proxy, FIRST_OBJECT);
    assert!(
        before.contains("Shed") && before.contains("\\xa1w\\xa3100"),
        "{before}"
    );
    let shorter_wait = proxy
        .config
        .replace(MAX_RETRY_AFTER, "\"maxRetryAfter\":40000");
    assert!(proxy.process.reload(&shorter_wait).contains("classes"));
    let after = rejection(&proxy, FIRST_OBJECT + 2 * MAX_OPEN_REQUESTS);
    assert!(
        after.contains("Shed") && after.contains("\\xa1w\\xa240"),
        "{after}"
    );
}

#[test]
fn the_advised_delay_leaves_the_client_time_to_retry() {
    let proxy = TestProxy::start_with_config(|config| {
        let config = config.replace("\"maxRetryAfter\":100", "\"maxRetryAfter\":900000");
        config
            .replace("\"hardLimit\":300000000", "\"hardLimit\":2000000")
            .replace("\"slo\":20000000", "\"slo\":1000000")
    });
    let response = rejection(&proxy, FIRST_OBJECT);
    assert!(
        response.contains("Shed") && response.contains("\\xa1w\\xa3200"),
        "{response}"
    );
}
