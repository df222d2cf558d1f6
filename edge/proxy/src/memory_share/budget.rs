//! How much memory the buffers of each process of an address may take. Pure.
//!
//! The limit holds for all memory of all processes. Beside its buffers a process needs some for itself, for each connection
//! and for each request in flight, and it keeps what it once needed: the clients of an old process may be with the new one
//! while the memory of their connections is still the old one's. Its buffers get what that leaves.

use crate::config::Bounds;

/// Of the limit, the part that is planned with. The rest is for what is not foreseen between two looks.
const PLANNED_RATIO: f64 = 0.95;
/// Of the memory for buffers, the part that a process may use while it is alone: the rest is for another one's start.
pub(super) const ALONE_RATIO: f64 = 0.9;
/// Of the memory for buffers, the part that several processes may use together.
pub(super) const SHARED_RATIO: f64 = 0.7;
/// A process may use one part in this many at once, while the others still have what was theirs.
pub(super) const MIN_SHARE_DIVISOR: usize = 16;
/// Of the clients that there may be, the part that each of several processes is prepared for.
const CLIENTS_SHARE_RATIO: f64 = 0.75;
/// Memory of a process without connections (bytes).
const BASE_BYTES: usize = 2 * 1024 * 1024;
/// Memory of a client's connection: the stack of its thread, as far as it is used, and its read buffer (bytes).
const CONNECTION_BYTES: usize = 24 * 1024;
/// Memory of a request in flight beside its buffer, with that of its connection to a cache (bytes).
const REQUEST_BYTES: usize = 28 * 1024;

/// The memory of the processes that serve one address (bytes).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// What all of them may use together.
    limit: usize,
    /// What the buffers of one of them may take at most.
    buffers: usize,
    /// What one of them needs beside its buffers without connections and requests.
    base: usize,
    /// What the connections need of as many clients as there may be.
    connections: usize,
    /// What as many requests in flight as there may be need beside their buffers.
    requests: usize,
}

/// A process's part of the memory (bytes).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Share {
    /// What its buffers may take.
    pub(super) buffers: usize,
    /// Memory beside its buffers beyond its even part: the others' buffers get as much less.
    pub(super) excess: usize,
}

impl MemoryBudget {
    /// The budget of processes with these bounds, where the buffers of one may take `buffers` bytes.
    pub fn new(memory_mb: usize, bounds: &Bounds, buffers: usize) -> MemoryBudget {
        MemoryBudget {
            limit: memory_mb * 1024 * 1024,
            buffers,
            base: BASE_BYTES,
            connections: bounds.clients * CONNECTION_BYTES,
            requests: bounds.open * REQUEST_BYTES,
        }
    }

    /// The part of a process that uses `overhead` bytes beside its buffers now, next to `others`, which published what they
    /// take.
    pub(super) fn share(&self, overhead: usize, others: &[usize]) -> Share {
        match others {
            [] => self.share_alone(overhead),
            _ => self.share_among(overhead, others),
        }
    }

    /// Leaves room for a process that starts beside this one, and for all clients and their requests, here or there.
    fn share_alone(&self, overhead: usize) -> Share {
        let smallest = self.buffers / MIN_SHARE_DIVISOR;
        let newcomer = self.base + smallest + self.connections + self.requests;
        let own = overhead.max(self.base);
        let left = self.planned().saturating_sub(own + newcomer);
        let largest = part(self.buffers, ALONE_RATIO);
        Share {
            buffers: left.clamp(smallest, largest),
            // For the one that starts.
            excess: self.excess(overhead, 2),
        }
    }

    fn share_among(&self, overhead: usize, others: &[usize]) -> Share {
        let processes = others.len() + 1;
        let shared = part(self.buffers, SHARED_RATIO);
        let excess = self.excess(overhead, processes);
        let equal = shared / processes;
        let smallest = (self.buffers / MIN_SHARE_DIVISOR).min(equal);
        let left = shared.saturating_sub(others.iter().sum::<usize>() + excess);
        let largest = equal.saturating_sub(excess).max(smallest);
        Share {
            buffers: left.clamp(smallest, largest),
            excess,
        }
    }

    /// What one of several processes needs beside its buffers beyond its even part of what these leave. It counts with what
    /// it uses now, and at least with what it may need soon.
    fn excess(&self, overhead: usize, processes: usize) -> usize {
        let shared = part(self.buffers, SHARED_RATIO);
        let even_part = self.planned().saturating_sub(shared) / processes;
        let connections = part(self.connections, CLIENTS_SHARE_RATIO);
        let expected = self.base + connections + self.requests / processes;
        overhead.max(expected).saturating_sub(even_part)
    }

    fn planned(&self) -> usize {
        part(self.limit, PLANNED_RATIO)
    }
}

fn part(bytes: usize, ratio: f64) -> usize {
    (bytes as f64 * ratio) as usize
}

#[cfg(test)]
mod tests;
