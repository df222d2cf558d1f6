//! The wait that the program advises by itself with a refusal: by the settings in service, also after a reload.

use std::io::BufRead;
use steps::Rig;

mod common;
#[path = "common/steps.rs"]
mod steps;

const FIRST: u64 = 0x1111_0000_0000_0000;
/// Calls that one connection may have open.
const OPEN: u64 = 32;
/// The longest wait that clients follow (us), as the rig starts with it.
const MOST: &str = "\"maxRetryAfter\":100000";

/// The answer to a call beyond those that may be open on its connection; nobody answers these.
fn refusal(rig: &Rig, first: u64) -> String {
    let mut client = rig.client();
    for n in 0..=OPEN {
        client.ask(first + n);
    }
    // Written in one piece; recorded exchanges leave the wait out.
    common::escape(client.stream.fill_buf().unwrap())
}

#[test]
fn a_reload_changes_the_wait_that_is_advised() {
    let rig = Rig::start_with(|config| config.replace("\"maxRetryAfter\":100", MOST));
    let before = refusal(&rig, FIRST);
    assert!(
        before.contains("Shed") && before.contains("\\xa1w\\xa3100"),
        "{before}"
    );
    let shorter = rig.config.replace(MOST, "\"maxRetryAfter\":40000");
    assert!(rig.program.reload(&shorter).contains("classes"));
    let after = refusal(&rig, FIRST + 2 * OPEN);
    assert!(
        after.contains("Shed") && after.contains("\\xa1w\\xa240"),
        "{after}"
    );
}

#[test]
fn it_leaves_the_client_the_time_to_come_again() {
    let rig = Rig::start_with(|config| {
        let config = config.replace("\"maxRetryAfter\":100", "\"maxRetryAfter\":900000");
        config
            .replace("\"hardLimit\":300000000", "\"hardLimit\":2000000")
            .replace("\"slo\":20000000", "\"slo\":1000000")
    });
    let answer = refusal(&rig, FIRST);
    assert!(
        answer.contains("Shed") && answer.contains("\\xa1w\\xa3200"),
        "{answer}"
    );
}
