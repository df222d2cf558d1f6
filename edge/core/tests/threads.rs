//! Worker threads: one per open request. They end after a burst, and the next burst is still served in full.

mod common;

use common::*;
use foldmux::interface::Outcome;

const BURST: u64 = 12;

/// Number of worker threads in this process.
fn worker_threads() -> u64 {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    let names =
        tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("comm")).ok());
    names.filter(|name| name.trim() == "request").count() as u64
}

#[test]
fn the_threads_of_a_burst_end_and_the_next_burst_is_served() {
    let harness = Harness::new();
    for first in [1, 1_001] {
        let replies: Vec<_> = (first..first + BURST)
            .map(|via| harness.send_request(via).1)
            .collect();
        // Each request waits in its only attempt now.
        for _ in 0..BURST {
            harness.next_attempt();
        }
        assert_eq!(worker_threads(), BURST, "one per open request");
        (0..BURST).for_each(|_| harness.end_attempt(Outcome::Served));
        assert!(replies
            .iter()
            .all(|reply| await_reply(reply) == Reply::Served));
        wait_until("all threads have ended", || {
            worker_threads() == 0 && harness.core.open_requests() == 0
        });
    }
}
