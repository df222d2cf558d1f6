//! Every bound of the process, from the limits on its descriptors and memory.

/// Most connections of the admin interface at once; fewer where descriptors are few.
const MAX_ADMIN_CONNECTIONS: usize = 64;
/// Fewest buffers.
const MIN_BUFFERS: usize = 8;
/// Descriptors that are neither clients', caches' nor the admin interface's: the standard streams, signals, the listeners,
/// the log, the journal service's connection and the one that it moves to, files being read, a connection that was
/// accepted and is about to be closed.
const RESERVED_DESCRIPTORS: usize = 16;

/// The limits on the process, as the platform sets them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory (MB).
    pub memory_mb: usize,
    /// Descriptors.
    pub sockets: usize,
}

/// Every bound of the process. `check-config` prints it in its debug form.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Client connections of the platform's front: a third of the descriptors.
    pub clients: usize,
    /// Requests in flight: each has a thread, a buffer and at most one socket.
    pub open: usize,
    /// Connections to pop caches, in use and idle together.
    pub upstream: usize,
    /// Buffers of requests.
    pub buffers: usize,
    /// TCP and TLS connections of the DNS front.
    pub dns: usize,
    /// Connections of the admin interface.
    pub operator: usize,
}

impl Bounds {
    /// The bounds that keep the process within `limits`.
    pub fn new(limits: &Limits) -> Bounds {
        let sockets = limits.sockets;
        let clients = (sockets / 3).max(1);
        let operator = (sockets / 16).clamp(1, MAX_ADMIN_CONNECTIONS);
        // Clients and caches together leave the journal service and the admin interface their descriptors.
        let unreserved = sockets.saturating_sub(clients + operator + RESERVED_DESCRIPTORS);
        // Buffers may take 7/10 of the memory; each request needs one, and a write one more.
        let buffer_memory = limits.memory_mb * 1024 * 1024 * 7 / 10;
        let buffers = (buffer_memory / foldmux_core::buffers::BUFFER_SIZE).max(MIN_BUFFERS);
        Bounds {
            clients,
            open: (sockets / 2).min(buffers * 15 / 16).max(1),
            upstream: (sockets * 37 / 64).min(unreserved).max(1),
            buffers,
            dns: (sockets / 16).max(1),
            operator,
        }
    }
}
