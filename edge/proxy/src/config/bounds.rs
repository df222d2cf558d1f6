//! The bounds of the process, computed from the limits on its descriptors and memory.

use std::ops::RangeInclusive;

/// Most connections of the admin interface at once, however many descriptors there are.
const MAX_ADMIN_CONNECTIONS: usize = 64;
/// Fewest buffers, however little memory there is.
const MIN_BUFFERS: usize = 8;
/// Fewest and most connections to the journal service. A prompt one needs one; the others are for polls beside overdue
/// ones, of a service whose answers take up to the time after which an event counts as delivered.
const JOURNAL_CONNECTIONS: RangeInclusive<usize> = 2..=10;
/// Shortest text of events that are applied at once, however little memory there is (bytes).
const MIN_EVENT_BYTES: usize = 1024 * 1024;
/// Descriptors reserved for other uses than connections of clients, pop caches, the admin interface and the journal
/// service: the standard streams, signals, the listeners, the log, files being read, a connection that was accepted
/// beyond a bound and is about to be closed.
const RESERVED_DESCRIPTORS: usize = 14;

/// The limits that the platform sets on the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory (MB).
    pub memory_mb: usize,
    /// Descriptors.
    pub sockets: usize,
}

/// The bounds of the process. `check-config` prints the debug form, so the names of the fields are part of its output.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Client connections of the MessagePack front: a third of the descriptors.
    pub clients: usize,
    /// Requests in flight: each has a thread, a buffer and at most one socket.
    pub open: usize,
    /// Connections to pop caches, both in use and idle.
    pub upstream: usize,
    /// Buffers for responses and request bodies.
    pub buffers: usize,
    /// TCP and TLS connections of the DNS front.
    pub dns: usize,
    /// Connections of the admin interface.
    pub operator: usize,
    /// Connections to the journal service.
    pub journal: usize,
    /// Text of the journal's events that are applied at once (bytes).
    pub event_bytes: usize,
}

impl Bounds {
    /// The bounds that keep the process within `limits`.
    pub fn new(limits: &Limits) -> Bounds {
        let sockets = limits.sockets;
        let clients = (sockets / 3).max(1);
        let operator = (sockets / 16).clamp(1, MAX_ADMIN_CONNECTIONS);
        let (fewest, most) = JOURNAL_CONNECTIONS.into_inner();
        let journal = (sockets / 32).clamp(fewest, most);
        // Connections of clients and to pop caches leave the reserved descriptors, those of the admin interface and
        // those to the journal service free.
        let unreserved =
            sockets.saturating_sub(clients + operator + journal + RESERVED_DESCRIPTORS);
        // Buffers may use 7/10 of the memory. Each request needs one, and a write needs another.
        let buffer_memory = limits.memory_mb * 1024 * 1024 * 7 / 10;
        let buffers = (buffer_memory / foldmux_core::buffers::BUFFER_SIZE).max(MIN_BUFFERS);
        Bounds {
            clients,
            open: (sockets / 2).min(buffers * 15 / 16).max(1),
            upstream: (sockets * 37 / 64).min(unreserved).max(1),
            buffers,
            dns: (sockets / 16).max(1),
            operator,
            journal,
            event_bytes: (limits.memory_mb * 1024 * 1024 / 64).max(MIN_EVENT_BYTES),
        }
    }
}
