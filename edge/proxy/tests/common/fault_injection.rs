//! The program with system calls that fail by a schedule.
#![allow(dead_code)]

use crate::common::command;
use crate::test_proxy::{Attempt, Client, TestProxy};
use std::io::Write;
use std::ops::{Deref, DerefMut};
use std::path::PathBuf;

/// Errors after which a connection may well be up. The last two are told by one that has ended, too, but then again and again.
pub const PASSING: [&str; 10] = [
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

/// A program under faults, and the trace of those that were injected.
pub struct Faulty {
    proxy: TestProxy,
    trace: tempfile::NamedTempFile,
}

impl Deref for Faulty {
    type Target = TestProxy;
    fn deref(&self) -> &TestProxy {
        &self.proxy
    }
}

impl DerefMut for Faulty {
    fn deref_mut(&mut self) -> &mut TestProxy {
        &mut self.proxy
    }
}

impl Faulty {
    /// How many faults have been injected.
    pub fn injected(&self) -> usize {
        std::fs::read_to_string(self.trace.path())
            .unwrap()
            .lines()
            .count()
    }

    /// The cache's side of the request that the client has just made. An answer or an end that comes before it fails the
    /// test.
    pub fn attempt_of(&self, client: &mut Client) -> Attempt {
        loop {
            if let Some(attempt) = self.attempt_now() {
                return attempt;
            }
            assert!(
                !client.has_answer(),
                "an answer or an end before the cache was asked"
            );
            std::thread::yield_now();
        }
    }

    /// Two requests on one connection, answered in turn: both answers come, and the connection serves on.
    pub fn answers_two(&self, client: &mut Client, from: u64) {
        client.ask(from);
        let mut first = self.attempt_of(client);
        client.ask(from + 1);
        let mut second = self.attempt_of(client);
        for attempt in [&mut first, &mut second] {
            attempt.give(b"ok");
            assert!(client.answer().contains("\\xc4\\x02ok"));
        }
    }
}

/// The library that makes calls fail, as cargo leaves it beside the tests.
fn shim() -> PathBuf {
    let tests = std::env::current_exe().unwrap();
    let library = tests.parent().unwrap().join("libfoldmux_fault_shim.so");
    assert!(library.exists(), "{} is not built", library.display());
    library
}

/// Starts the program under this schedule of faults; see `foldmux_fault_shim::schedule` for its form.
pub fn start_under(schedule: &str) -> Faulty {
    start_with(schedule, |config| config)
}

/// With another configuration, made from the usual one.
pub fn start_with(schedule: &str, change: impl FnOnce(String) -> String) -> Faulty {
    // Refused here where it is no schedule, and not by a program that says nothing more.
    foldmux_fault_shim::schedule::parse(schedule).unwrap();
    let trace = tempfile::NamedTempFile::new().unwrap();
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(schedule.as_bytes()).unwrap();
    let mut program = command(&["serve"]);
    program
        .env("LD_PRELOAD", shim())
        .env("FOLDMUX_FAULTS", file.path())
        .env("FOLDMUX_FAULT_TRACE", trace.path());
    // The program has read the file once it serves.
    Faulty {
        proxy: TestProxy::start_by(program, change),
        trace,
    }
}
