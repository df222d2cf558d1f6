//! The graceful shutdown of the client listener: which waits follow SIGTERM, and when the process may exit.

use foldmux_core::Core;
use foldmux_fronts::listen::{accept_until, named, READER_STACK};
use foldmux_fronts::msgpack::Front;
use foldmux_fronts::places::Places;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Connections are accepted for this long after SIGTERM: the platform opens new ones for 0.4 s, and some are on their
/// way then. Those queued by the kernel are accepted after that, then the listener closes.
const ACCEPT_FOR: Duration = Duration::from_millis(500);
/// Requests are read from new connections for this long after SIGTERM: 0.2 s beyond the last connection, with a margin.
const SERVE_FOR: Duration = Duration::from_millis(800);
/// Longest request deadline that the platform waits for before SIGKILL.
const MAX_KILL_DELAY: Duration = Duration::from_secs(3);
/// The platform sends SIGKILL this long after the longest request deadline.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Reserved before SIGKILL for writing the last responses, and for clients to read them.
const KILL_MARGIN: Duration = Duration::from_millis(250);
/// From the last rejections to the deadline: they are written, and their clients read them.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(50);
/// Longest drain. The platform's SIGKILL comes sooner, after 3.7 s at most; this bounds the exit where nobody kills.
pub const MAX_DRAIN: Duration = Duration::from_secs(6);
/// How often the end of the drain is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The time that the log names is rounded up to a multiple of this (ms).
const LOGGED_STEP_MS: u128 = 10;

/// From SIGTERM until every request must have been answered. `longest_deadline`: of the classes in service.
pub fn time_until_kill(longest_deadline: Duration) -> Duration {
    longest_deadline.min(MAX_KILL_DELAY) + KILL_GRACE - KILL_MARGIN
}

/// The client listener, its thread and its connections.
pub struct ClientListener {
    connections: Arc<Places>,
    stop_accepting: Arc<AtomicBool>,
    acceptor: JoinHandle<()>,
}

impl ClientListener {
    /// Accepts connections for `front`, at most `max_connections` at once.
    ///
    /// # Errors
    ///
    /// Where no thread can be had.
    pub fn start(
        listener: TcpListener,
        front: Arc<Front>,
        max_connections: usize,
    ) -> Result<ClientListener, String> {
        let connections = Places::new(max_connections);
        let stop_accepting = Arc::new(AtomicBool::new(false));
        let (stop, places) = (stop_accepting.clone(), connections.clone());
        let serve = move |place| front.serve(place);
        let acceptor = named("accept", READER_STACK, move || {
            accept_until(&listener, &places, READER_STACK, Arc::new(serve), &stop);
            tracing::info!("no more connections are accepted");
        })?;
        Ok(ClientListener {
            connections,
            stop_accepting,
            acceptor,
        })
    }

    /// Whether no connection is open or queued any more.
    fn is_closed(&self) -> bool {
        self.acceptor.is_finished() && self.connections.count() == 0
    }
}

/// What must end before the process may exit.
pub struct Drain {
    /// Whose requests are in flight.
    pub core: Arc<Core>,
    /// Where clients connect.
    pub listener: ClientListener,
    /// When every request must have been answered: SIGKILL may follow.
    pub deadline: Instant,
}

impl Drain {
    /// Accepts and serves for a while, ends each connection once it is idle, and returns when nothing is in flight and
    /// no client is connected. A client that does not close is waited for until the deadline, and no longer.
    pub fn run(self) {
        let started = Instant::now();
        let connections = &self.listener.connections;
        connections.leave();
        self.log_start(started);
        self.sleep_until(started + ACCEPT_FOR);
        self.listener.stop_accepting.store(true, Ordering::SeqCst);
        self.sleep_until(started + SERVE_FOR);
        connections.close();
        while !self.is_over(started) {
            connections.sweep();
            thread::sleep(POLL_INTERVAL);
        }
        let (in_flight, connected) = (self.core.open_requests(), connections.count());
        tracing::info!(
            "shut down {:?} after the signal, {in_flight} in flight, {connected} connected",
            started.elapsed()
        );
    }

    fn log_start(&self, started: Instant) {
        let left = self.deadline.saturating_duration_since(started);
        let left = left.as_millis().next_multiple_of(LOGGED_STEP_MS);
        tracing::info!("draining: requests in flight are answered first, within {left} ms");
    }

    /// Sleeps until `moment`, or until the deadline where that is earlier.
    fn sleep_until(&self, moment: Instant) {
        let wake = moment.min(self.deadline);
        thread::sleep(wake.saturating_duration_since(Instant::now()));
    }

    fn is_over(&self, started: Instant) -> bool {
        if started.elapsed() >= MAX_DRAIN {
            return true;
        }
        let clients_gone = self.listener.is_closed() || Instant::now() >= self.deadline;
        self.core.open_requests() == 0 && clients_gone
    }
}
