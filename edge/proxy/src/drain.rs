//! The end: how long is served on after SIGTERM, and when it is over.

use foldmux::interface::Time;
use foldmux_core::clock::span;
use foldmux_core::Core;
use foldmux_fronts::places::Places;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Served on after SIGTERM: new connections arrive for 0.4 s, requests on them for 0.2 s more.
const SERVE_ON: Duration = Duration::from_millis(800);
/// Connections are taken for this long after SIGTERM: 0.4 s, and time for those on their way then. After it those queued,
/// and the listener closes.
const TAKE_ON: Duration = Duration::from_millis(500);
/// Of the platform's SIGKILL after SIGTERM: the longest deadline, at most 3 s, then 0.7 s; and what is kept back
/// from that for the last answers to be written and read.
const KILL_AFTER_MOST: Duration = Duration::from_secs(3);
const KILL_GRACE: Duration = Duration::from_millis(700);
const KILL_MARGIN: Duration = Duration::from_millis(250);
/// Between the last answers of requests that are given up and the end: they have left, and their clients read them.
pub const ANSWERS_READ: Duration = Duration::from_millis(50);
/// How often it is looked whether all is over.
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// Longest wait for what is open after that: SIGKILL follows.
pub const LONGEST: Duration = Duration::from_secs(6);

/// From SIGTERM until all must be answered. SIGKILL comes no earlier than the longest deadline, taken as 3 s where it is
/// longer, and 0.7 s after that.
pub fn until_killed(longest: Time) -> Duration {
    span(longest).min(KILL_AFTER_MOST) + KILL_GRACE - KILL_MARGIN
}

/// What must be over before the process may end.
pub struct Leaving {
    pub core: Arc<Core>,
    pub connections: Arc<Places>,
    /// Told to take no more connections; its thread then takes those queued and ends.
    pub closing: Arc<AtomicBool>,
    pub acceptor: JoinHandle<()>,
    /// When SIGKILL may come.
    pub by: Instant,
}

impl Leaving {
    /// Serves on for a while, answers what was taken, ends each connection once nothing is open on it, and returns when
    /// all have gone. A client that does not close is waited for until `by`, and no longer.
    /// From when the front's `leave_by` is set, it says that the process is not well.
    pub fn leave(self) {
        let told = Instant::now();
        self.connections.leave();
        let left = self
            .by
            .saturating_duration_since(told)
            .as_millis()
            .next_multiple_of(10);
        tracing::info!("told to leave: what is taken is answered first, within {left} ms");
        self.sleep_until(told + TAKE_ON);
        self.closing.store(true, Ordering::SeqCst);
        self.sleep_until(told + SERVE_ON);
        self.connections.close();
        while !self.is_over(told) {
            self.connections.sweep();
            thread::sleep(LOOK_EVERY);
        }
        let (open, connected) = (self.core.open(), self.connections.count());
        tracing::info!(
            "left {:?} after the signal, {open} open, {connected} connected",
            told.elapsed()
        );
    }

    /// Where SIGKILL may come soon, the serving time is cut short.
    fn sleep_until(&self, moment: Instant) {
        thread::sleep(
            moment
                .min(self.by)
                .saturating_duration_since(Instant::now()),
        );
    }

    fn is_over(&self, told: Instant) -> bool {
        if told.elapsed() >= LONGEST {
            return true;
        }
        let gone = self.acceptor.is_finished() && self.connections.count() == 0;
        self.core.open() == 0 && (gone || Instant::now() >= self.by)
    }
}
