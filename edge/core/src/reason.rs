//! Why a request was not served: one reason for each rejection and failure, logged with the request's id and counted.

use std::fmt;

/// Why a request was rejected, failed, or could not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The router decided so.
    Router,
    /// The limits of its class and route allow no more.
    Limits,
    /// No permit of its concurrency pool came in time.
    NoPermit,
    /// As many requests are open as may be.
    RequestsFull,
    /// The machine gives no more threads.
    NoThread,
    /// All response buffers are in use.
    NoBuffer,
    /// All buffers for request bodies are in use.
    NoRequestBodyBuffer,
    /// Its connection has as many open requests as it may.
    ConnectionFull,
    /// The process shuts down before the request could have its response.
    ShuttingDown,
    /// Another request with the same id is open.
    IdInUse,
    /// The deadline passed without a decision of the router.
    NoDecision,
    /// The replicas of its record decided so, or store a failure for it.
    Replicas,
    /// It ended without a response.
    Unfinished,
    /// The external processor decided so.
    Processor,
    /// What the client sent can't be used.
    BadRequest,
}

/// All reasons, in the order of their counters.
pub const REASONS: [Reason; 15] = [
    Reason::Router,
    Reason::Limits,
    Reason::NoPermit,
    Reason::RequestsFull,
    Reason::NoThread,
    Reason::NoBuffer,
    Reason::NoRequestBodyBuffer,
    Reason::ConnectionFull,
    Reason::ShuttingDown,
    Reason::IdInUse,
    Reason::NoDecision,
    Reason::Replicas,
    Reason::Unfinished,
    Reason::Processor,
    Reason::BadRequest,
];

impl fmt::Display for Reason {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            Reason::Router => "decided by the module",
            Reason::Limits => "limits by class",
            Reason::NoPermit => "no turn at its pool",
            Reason::RequestsFull => "all places for requests taken",
            Reason::NoThread => "no thread",
            Reason::NoBuffer => "no buffer",
            Reason::NoRequestBodyBuffer => "no buffer for its body",
            Reason::ConnectionFull => "too many open on its connection",
            Reason::ShuttingDown => "the process leaves",
            Reason::IdInUse => "its id is in use",
            Reason::NoDecision => "no decision in time",
            Reason::Replicas => "replicas of its record",
            Reason::Unfinished => "ended without an answer",
            Reason::Processor => "external processor",
            Reason::BadRequest => "not usable",
        })
    }
}
