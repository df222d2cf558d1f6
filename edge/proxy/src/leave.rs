//! The end: how long is served on after SIGTERM, and when it is over.

use foldmux::interface::Time;
use foldmux_core::clock::span;
use foldmux_core::Core;
use foldmux_fronts::places::Places;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Served on after SIGTERM: new connections arrive for 0.4 s, requests on them for 0.2 s more.
const SERVE_ON: Duration = Duration::from_millis(800);
/// Connections are taken for this long after SIGTERM; then those queued, and the listener closes.
const TAKE_ON: Duration = Duration::from_millis(400);
/// Of the platform's SIGKILL after SIGTERM: the longest deadline, at most 3 s, then 0.7 s; and what is kept back
/// from that for the last answers to be written and read.
const KILL_AFTER_MOST: Duration = Duration::from_secs(3);
const KILL_GRACE: Duration = Duration::from_millis(700);
const KILL_MARGIN: Duration = Duration::from_millis(250);
/// Between the last answer and the exit: it has left, and its client reads it.
const LINGER: Duration = Duration::from_millis(50);
/// Longest wait for what is open after that: SIGKILL follows.
pub const LONGEST: Duration = Duration::from_secs(6);

/// From SIGTERM until all must be answered. SIGKILL comes no earlier than the longest deadline, taken as 3 s where it is
/// longer, and 0.7 s after that.
pub fn until_killed(longest: Time) -> Duration {
    span(longest).min(KILL_AFTER_MOST) + KILL_GRACE - KILL_MARGIN
}

/// Serves on for a while, answers what was taken, and returns.
/// From when `leave_by` is set, the fronts say that the process is not well.
pub fn leave(core: &Core, closing: &AtomicBool, connections: &Places) {
    connections.leave();
    let told = Instant::now();
    tracing::info!("told to leave: what is taken is answered first");
    thread::sleep(TAKE_ON);
    closing.store(true, Ordering::SeqCst);
    thread::sleep(SERVE_ON - TAKE_ON);
    while core.open() > 0 && told.elapsed() < LONGEST {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(LINGER);
    tracing::info!("left {:?} after the signal, {} open", told.elapsed(), core.open());
}
