//! The proxy with system calls that fail by a schedule, through a preloaded library.
#![allow(dead_code)]

use crate::common::command;
use crate::test_proxy::{Attempt, Client, TestProxy};
use std::io::Write;
use std::ops::{Deref, DerefMut};
use std::path::PathBuf;

/// Errors after which a connection may still be usable. A connection that has ended reports the last two as well, but on
/// every call.
pub const TRANSIENT_ERRORS: [&str; 10] = [
    "EINTR",
    "EAGAIN",
    "ENOMEM",
    "ENOBUFS",
    "ETIMEDOUT",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EPROTO",
    "ECONNRESET",
    "EPIPE",
];

/// A proxy with injected faults, and the trace of those faults.
pub struct FaultyProxy {
    proxy: TestProxy,
    trace: tempfile::NamedTempFile,
}

impl Deref for FaultyProxy {
    type Target = TestProxy;
    fn deref(&self) -> &TestProxy {
        &self.proxy
    }
}

impl DerefMut for FaultyProxy {
    fn deref_mut(&mut self) -> &mut TestProxy {
        &mut self.proxy
    }
}

impl FaultyProxy {
    /// The number of faults injected so far.
    pub fn injected_faults(&self) -> usize {
        std::fs::read_to_string(self.trace.path())
            .unwrap()
            .lines()
            .count()
    }

    /// The cache's side of the request that the client has just sent.
    ///
    /// # Panics
    ///
    /// If the client gets a response or its connection ends first.
    pub fn next_attempt_for(&self, client: &mut Client) -> Attempt {
        loop {
            if let Some(attempt) = self.try_next_attempt() {
                return attempt;
            }
            assert!(
                !client.has_response(),
                "a response or the end of the connection before an attempt"
            );
            std::thread::yield_now();
        }
    }

    /// Sends requests for the objects `first_object` and the next on one connection, and asserts that both are served.
    pub fn assert_serves_two_requests(&self, client: &mut Client, first_object: u64) {
        client.send_request(first_object);
        let mut first = self.next_attempt_for(client);
        client.send_request(first_object + 1);
        let mut second = self.next_attempt_for(client);
        for attempt in [&mut first, &mut second] {
            attempt.respond(b"ok");
            assert!(client.read_response().contains("\\xc4\\x02ok"));
        }
    }
}

/// The preloaded library, which cargo builds beside the test binaries.
fn shim_path() -> PathBuf {
    let tests = std::env::current_exe().unwrap();
    let library = tests.parent().unwrap().join("libfoldmux_fault_shim.so");
    assert!(library.exists(), "{} is not built", library.display());
    library
}

/// Starts the proxy with this schedule of faults; `foldmux_fault_shim::schedule` describes its format.
pub fn start_with_faults(schedule: &str) -> FaultyProxy {
    start_with_faults_and_config(schedule, |config| config)
}

/// As [`start_with_faults`], with the standard configuration as changed by `change`.
pub fn start_with_faults_and_config(
    schedule: &str,
    change: impl FnOnce(String) -> String,
) -> FaultyProxy {
    // An invalid schedule fails the test here, rather than the start of the proxy.
    foldmux_fault_shim::schedule::parse(schedule).unwrap();
    let trace = tempfile::NamedTempFile::new().unwrap();
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(schedule.as_bytes()).unwrap();
    let mut command = command(&["serve"]);
    command
        .env("LD_PRELOAD", shim_path())
        .env("FOLDMUX_FAULTS", file.path())
        .env("FOLDMUX_FAULT_TRACE", trace.path());
    // The proxy listens only after the library has read the schedule, so the temporary file may be deleted on return.
    FaultyProxy {
        proxy: TestProxy::start_command(command, change),
        trace,
    }
}
