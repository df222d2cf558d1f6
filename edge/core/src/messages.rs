//! The messages between the event loop and everybody else: commands to it, directives from it to one request.

use crate::cancellation::CancelHandle;
use crate::retry_after::Rejected;
use crate::servers::{Incarnation, Server};
use crossbeam_channel::Sender;
use foldmux::interface::*;
use foldmux_load_reports::Load;
use std::sync::Arc;
use std::time::Instant;

/// Directives that may wait for one request: the router has at most one attempt and one final decision pending for it.
pub const DIRECTIVE_CAPACITY: usize = 8;

/// What the event loop is asked to do, or informed of.
pub enum Command {
    /// A new request: the router decides, and `directives` receives what it decides.
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
    /// The request is finished and takes no more directives.
    RequestEnded(RequestId),
    /// The process shuts down.
    Shutdown {
        /// When every open request must have its final response (router time, µs).
        deadline: Time,
    },
    /// The list of servers changed.
    Servers {
        /// Whether `servers` is the whole list; else it has the entries that changed.
        full: bool,
        /// The entries.
        servers: Vec<Server>,
    },
    /// Cached objects were invalidated.
    Invalidate {
        /// The object; `None` for the whole group.
        object: Option<ObjectId>,
        /// The group.
        group: u32,
        /// Age of the newest copy that is invalid (µs).
        age: Time,
    },
    /// Other settings, by a reload; their classes keep the indices of the old ones.
    Settings(Box<Settings>),
    /// A response carried a load report.
    LoadReport {
        /// The server that it came from.
        cache: CacheId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// What it reported.
        load: Load,
    },
    /// A health check ended.
    ProbeResult {
        /// The server that was checked.
        cache: CacheId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Whether it is healthy.
        healthy: bool,
        /// What it reported; empty where it reported nothing.
        load: Load,
    },
    /// The upper tiers of the cache hierarchy, as far as they concern this proxy.
    Topology {
        /// Zones of the hubs that this proxy's zone fills from, by preference.
        parent_zones: Vec<usize>,
        /// The hub of each zone.
        hub_by_zone: Vec<usize>,
    },
}

/// What the router decided for one request.
#[derive(Debug)]
pub enum Directive {
    /// Make this attempt.
    Attempt(Fetch, AttemptTarget),
    /// Reject the request.
    Reject(Rejected),
    /// Fail the request.
    Fail,
    /// The client is gone: no response is owed.
    ClientGone,
}

/// The servers of an attempt as they were when the router chose them.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget {
    /// Incarnation of the cache that the attempt goes to; `None` if it was not listed.
    pub cache: Option<Incarnation>,
    /// Incarnation of the server that a miss is filled from; `None` if it was not listed.
    pub source: Option<Incarnation>,
    /// Number of the attempt within its request, from 0.
    pub attempt: u8,
    /// When the router decided.
    pub decided_at: Instant,
}

/// Where a request receives its directives. The event loop never waits for it, so it buffers [`DIRECTIVE_CAPACITY`].
pub trait DirectiveSink: Send {
    /// Hands over a directive without waiting.
    fn send(&self, directive: Directive);
}

impl DirectiveSink for Sender<Directive> {
    fn send(&self, directive: Directive) {
        let _ = self.try_send(directive);
    }
}

/// Sends health checks, where the settings have them.
pub trait ProbeSender: Send {
    /// Starts a health check of this incarnation of a server, or none where too many are under way; never waits. The
    /// result reaches the event loop as [`Command::ProbeResult`].
    fn probe(&self, cache: CacheId, incarnation: Incarnation);
}
