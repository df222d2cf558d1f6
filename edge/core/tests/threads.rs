//! The threads of requests: as many as are open at once, given back once a burst is over, and none is lost to that.

mod common;

use common::*;
use foldmux::interface::Outcome;

const BURST: u64 = 12;

/// Threads of requests in this process.
fn threads() -> u64 {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    let names =
        tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("comm")).ok());
    names.filter(|name| name.trim() == "request").count() as u64
}

#[test]
fn the_threads_of_a_burst_are_given_back_and_the_next_burst_is_served() {
    let rig = Rig::new();
    for first in [1, 1_001] {
        let replies: Vec<_> = (first..first + BURST).map(|via| rig.ask(via).1).collect();
        // Each waits in its one attempt at this moment.
        for _ in 0..BURST {
            rig.begins();
        }
        assert_eq!(threads(), BURST, "one for each request that is open");
        (0..BURST).for_each(|_| rig.end(Outcome::Served));
        assert!(replies.iter().all(|reply| hears(reply) == Heard::Same));
        until("all threads are given back", || {
            threads() == 0 && rig.core.open_requests() == 0
        });
    }
}
