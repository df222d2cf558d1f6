//! The graceful shutdown of the client listener: the waits after SIGTERM, and when the process may exit.

use foldmux_core::Core;
use foldmux_fronts::connection_table::ConnectionTable;
use foldmux_fronts::listen::{accept_until, named, READER_STACK};
use foldmux_fronts::msgpack::Front;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Connections are accepted for this long after SIGTERM: the platform opens new ones for 0.4 s, and the last of them
/// may arrive later. After this time those that the kernel has queued are accepted, then the listener is closed.
const ACCEPT_FOR: Duration = Duration::from_millis(500);
/// Requests are read from new connections for this long after SIGTERM: 0.2 s after the last connection, with a margin.
const SERVE_FOR: Duration = Duration::from_millis(800);
/// Longest request deadline that the platform waits for before it sends SIGKILL.
const MAX_AWAITED_DEADLINE: Duration = Duration::from_secs(3);
/// The platform sends SIGKILL this long after the longest request deadline.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Reserved before SIGKILL for writing the last responses and for clients to read them.
const KILL_MARGIN: Duration = Duration::from_millis(250);
/// Reserved between the last rejections and the deadline, for writing them and for clients to read them.
pub const RESPONSE_MARGIN: Duration = Duration::from_millis(50);
/// Longest drain, for a process that is not killed. The platform sends SIGKILL earlier, after at most 3.7 s.
pub const MAX_DRAIN: Duration = Duration::from_secs(6);
/// How often the drain checks whether it is over.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The log rounds the remaining time up to a multiple of this (ms).
const LOGGED_ROUNDING_MS: u128 = 10;

/// The time from SIGTERM until every request must have been answered. `longest_deadline`: of the classes in service.
pub fn drain_time(longest_deadline: Duration) -> Duration {
    longest_deadline.min(MAX_AWAITED_DEADLINE) + KILL_GRACE - KILL_MARGIN
}

/// The client listener, its thread and its connections.
pub struct ClientListener {
    connections: Arc<ConnectionTable>,
    stop_accepting: Arc<AtomicBool>,
    acceptor: JoinHandle<()>,
}

impl ClientListener {
    /// Starts to accept connections for `front`, at most `max_connections` at once.
    ///
    /// # Errors
    ///
    /// Returns an error if no thread can be created.
    pub fn start(
        listener: TcpListener,
        front: Arc<Front>,
        max_connections: usize,
    ) -> Result<ClientListener, String> {
        let connections = ConnectionTable::new(max_connections);
        let stop_accepting = Arc::new(AtomicBool::new(false));
        let (stop, table) = (stop_accepting.clone(), connections.clone());
        let serve = move |connection| front.serve(connection);
        let acceptor = named("accept", READER_STACK, move || {
            accept_until(&listener, &table, READER_STACK, Arc::new(serve), &stop);
            tracing::info!("no more connections are accepted");
        })?;
        Ok(ClientListener {
            connections,
            stop_accepting,
            acceptor,
        })
    }

    /// Whether the listener is closed and no connection is open.
    fn is_closed(&self) -> bool {
        self.acceptor.is_finished() && self.connections.count() == 0
    }
}

/// The graceful shutdown: what must end before the process may exit.
pub struct Drain {
    /// Counts the requests in flight.
    pub core: Arc<Core>,
    /// The client listener.
    pub listener: ClientListener,
    /// When every request must have been answered, because SIGKILL may follow.
    pub deadline: Instant,
}

impl Drain {
    /// Accepts and serves connections for a while, closes each once it is idle, and returns when no request is in flight
    /// and no client is connected. Waits for clients that don't close until the deadline at most.
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
        let remaining = self.deadline.saturating_duration_since(started);
        let remaining_ms = remaining.as_millis().next_multiple_of(LOGGED_ROUNDING_MS);
        tracing::info!("draining: requests in flight are answered first, within {remaining_ms} ms");
    }

    /// Sleeps until `moment` or the deadline, whichever is earlier.
    fn sleep_until(&self, moment: Instant) {
        let wake = moment.min(self.deadline);
        thread::sleep(wake.saturating_duration_since(Instant::now()));
    }

    fn is_over(&self, started: Instant) -> bool {
        if started.elapsed() >= MAX_DRAIN {
            return true;
        }
        let no_clients = self.listener.is_closed() || Instant::now() >= self.deadline;
        self.core.open_requests() == 0 && no_clients
    }
}
