//! The messages of the event loop: commands to it, and directives from it to one request.

use crate::cancellation::CancelHandle;
use crate::retry_after::Rejected;
use crate::servers::{Incarnation, Server};
use crossbeam_channel::Sender;
use foldmux::interface::*;
use foldmux_load_reports::Load;
use std::sync::Arc;
use std::time::Instant;

/// Capacity of a request's directive channel: the router has at most one attempt and one final decision pending for it.
pub const DIRECTIVE_CAPACITY: usize = 8;

/// A command or notification for the event loop.
pub enum Command {
    /// A new request for the router to decide on.
    Request {
        /// The request.
        request: IncomingRequest,
        /// Cancels its attempts.
        cancel: Arc<CancelHandle>,
        /// Receives the router's directives.
        directives: Box<dyn DirectiveSink>,
    },
    /// An attempt has ended.
    Outcome(AttemptReport),
    /// The client closed its connection or withdrew the request.
    ClientGone(RequestId),
    /// The request has ended and takes no more directives.
    RequestEnded(RequestId),
    /// The process is shutting down.
    Shutdown {
        /// When every open request must have its final response (router time, µs).
        deadline: Time,
    },
    /// The list of servers changed.
    Servers {
        /// Whether `servers` is the whole list; otherwise it has only the entries that changed.
        full: bool,
        /// The entries.
        servers: Vec<Server>,
    },
    /// Cached objects were purged.
    Invalidate {
        /// The object; `None` for the whole group.
        object: Option<ObjectId>,
        /// The group.
        group: u32,
        /// Age of the newest purged copy (µs).
        age: Time,
    },
    /// Reloaded settings; the classes keep their indices.
    Settings(Box<Settings>),
    /// A response carried a load report.
    LoadReport {
        /// The server that sent it.
        cache: CacheId,
        /// The server's incarnation.
        incarnation: Incarnation,
        /// The reported load.
        load: Load,
    },
    /// A health check ended.
    ProbeResult {
        /// The server that was checked.
        cache: CacheId,
        /// The server's incarnation.
        incarnation: Incarnation,
        /// Whether the server is healthy.
        healthy: bool,
        /// The reported load; empty if none was reported.
        load: Load,
    },
    /// The part of the cache hierarchy's upper tiers that this proxy uses.
    Topology {
        /// Zones of the hubs that this proxy's zone fills from, most preferred first.
        parent_zones: Vec<usize>,
        /// The hub of each zone.
        hub_by_zone: Vec<usize>,
    },
}

/// The router's decision for one request.
#[derive(Debug)]
pub enum Directive {
    /// Make this attempt.
    Attempt(Fetch, AttemptTarget),
    /// Reject the request, with a Retry-After.
    Reject(Rejected),
    /// Fail the request.
    Fail,
    /// The client is gone: no response is owed.
    ClientGone,
}

/// The incarnations of an attempt's servers when the router chose them.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget {
    /// Incarnation of the cache that the attempt goes to; `None` if it was not listed.
    pub cache: Option<Incarnation>,
    /// Incarnation of the server that a miss is filled from; `None` if it was not listed.
    pub source: Option<Incarnation>,
    /// Number of the attempt within its request, from 0.
    pub attempt: u8,
    /// When the router decided on the attempt.
    pub decided_at: Instant,
}

/// Receives the directives of a request. Must buffer [`DIRECTIVE_CAPACITY`] directives, as the event loop never blocks on it.
pub trait DirectiveSink: Send {
    /// Passes a directive on without blocking.
    fn send(&self, directive: Directive);
}

impl DirectiveSink for Sender<Directive> {
    fn send(&self, directive: Directive) {
        let _ = self.try_send(directive);
    }
}

/// Sends health checks, if the settings have them.
pub trait ProbeSender: Send {
    /// Starts a health check of this incarnation of a server, unless too many are in progress; never blocks. The result
    /// reaches the event loop as [`Command::ProbeResult`].
    fn probe(&self, cache: CacheId, incarnation: Incarnation);
}
