//! The earliest moment of an arrival, by the calls that read.

use foldmux_sockets::watch::{Call, Watch};
use std::time::{Duration, Instant};

/// A run of calls; times are milliseconds from its start.
struct Run {
    start: Instant,
    watch: Watch,
}

impl Run {
    fn new() -> Run {
        let start = Instant::now();
        Run {
            start,
            watch: Watch::new(start),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn call(&mut self, began: u64, over: u64) -> u64 {
        self.made(began, None, over, true)
    }

    /// Makes a call; the earliest arrival of what it brought.
    fn made(&mut self, began: u64, failing_since: Option<u64>, over: u64, drained: bool) -> u64 {
        let failing_since = failing_since.map(|ms| self.at(ms));
        let call = Call {
            began: self.at(began),
            failing_since,
            drained,
            over: self.at(over),
        };
        self.watch.over(call);
        (self.watch.earliest() - self.start).as_millis() as u64
    }
}

#[test]
fn what_a_waiting_call_brings_has_just_come() {
    let mut run = Run::new();
    assert_eq!(run.call(1, 900), 900);
    assert_eq!(run.call(901, 5_000), 5_000);
}

#[test]
fn what_is_there_after_a_stall_may_be_as_old_as_the_last_look_at_nothing() {
    let mut run = Run::new();
    assert_eq!(run.call(1, 100), 100);
    assert_eq!(run.call(500, 500), 100);
    // What comes behind it came after that read had left nothing.
    assert_eq!(run.call(510, 510), 500);
    assert_eq!(run.call(511, 511), 510);
}

#[test]
fn a_read_that_leaves_something_tells_nothing_of_the_next() {
    let mut run = Run::new();
    assert_eq!(run.call(1, 100), 100);
    assert_eq!(run.made(400, None, 400, false), 100);
    assert_eq!(run.made(401, None, 401, true), 100);
    assert_eq!(run.call(402, 402), 401);
    // Nor is it ever older than a second.
    assert_eq!(run.made(5_000, None, 5_000, false), 4_000);
}

#[test]
fn calls_that_fail_for_a_while_see_nothing_come() {
    let mut run = Run::new();
    assert_eq!(run.made(1, Some(20), 420, true), 20);
    assert_eq!(run.made(421, Some(421), 700, true), 420);
}
