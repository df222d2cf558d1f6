//! Why a request was not served. Each rejection and failure has one reason, which is logged with the request's id and counted.

use std::fmt;

/// Why a request was rejected or failed, or could not be processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The router rejected or failed it.
    Router,
    /// The limits of its class and route were reached.
    Limits,
    /// Its concurrency pool granted no permit in time.
    NoPermit,
    /// The maximum number of requests is open.
    RequestsFull,
    /// No more threads could be started.
    NoThread,
    /// All response buffers are in use.
    NoBuffer,
    /// All buffers for request bodies are in use.
    NoRequestBodyBuffer,
    /// Its connection has the maximum number of open requests.
    ConnectionFull,
    /// The process is shutting down and could not respond in time.
    ShuttingDown,
    /// Another request with the same id is open.
    IdInUse,
    /// The deadline passed without a decision by the router.
    NoDecision,
    /// The replicas of its record rejected or failed it, or store a failure for it.
    Replicas,
    /// It ended without a response.
    Unfinished,
    /// The external processor rejected or failed it.
    Processor,
    /// The front could not process what the client sent.
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
            Reason::Router => "decided by the router",
            Reason::Limits => "limits by class",
            Reason::NoPermit => "no permit from its pool",
            Reason::RequestsFull => "too many open requests",
            Reason::NoThread => "no thread",
            Reason::NoBuffer => "no response buffer",
            Reason::NoRequestBodyBuffer => "no buffer for its body",
            Reason::ConnectionFull => "too many open requests on its connection",
            Reason::ShuttingDown => "the process is shutting down",
            Reason::IdInUse => "its id is in use",
            Reason::NoDecision => "no decision in time",
            Reason::Replicas => "replicas of its record",
            Reason::Unfinished => "ended without a response",
            Reason::Processor => "external processor",
            Reason::BadRequest => "invalid request",
        })
    }
}
