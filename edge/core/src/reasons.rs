//! Why a request got no answer from a cache: one reason for each refusal and failure, told in the log with the request's
//! id and counted.

use std::fmt;

/// Why a request was refused, failed, or could not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The decision module said so.
    Module,
    /// The limits by class and route allow no more.
    Limits,
    /// Its turn at a pool did not come in time.
    Turn,
    /// All places for open requests are taken.
    RequestsFull,
    /// The machine gives no more threads.
    NoThread,
    /// All buffers for answers are out.
    NoBuffer,
    /// All buffers for the bodies of requests are out.
    NoBodyBuffer,
    /// Its connection has as many open requests as it may.
    ConnectionFull,
    /// The process is leaving and must go before the request could be answered.
    Leaving,
    /// A request under the same id is open.
    IdInUse,
    /// The deadline passed without a decision of the module.
    NoDecision,
    /// The replicas of a covered request said so, or hold a failure for it.
    Replicas,
    /// Its function ended without an answer.
    Unfinished,
    /// The external processor said so.
    Processor,
    /// What the client sent can't be used.
    BadRequest,
}

/// All reasons, in the order of their counts.
pub const REASONS: [Reason; 15] = [
    Reason::Module,
    Reason::Limits,
    Reason::Turn,
    Reason::RequestsFull,
    Reason::NoThread,
    Reason::NoBuffer,
    Reason::NoBodyBuffer,
    Reason::ConnectionFull,
    Reason::Leaving,
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
            Reason::Module => "decided by the module",
            Reason::Limits => "limits by class",
            Reason::Turn => "no turn at its pool",
            Reason::RequestsFull => "all places for requests taken",
            Reason::NoThread => "no thread",
            Reason::NoBuffer => "no buffer",
            Reason::NoBodyBuffer => "no buffer for its body",
            Reason::ConnectionFull => "too many open on its connection",
            Reason::Leaving => "the process leaves",
            Reason::IdInUse => "its id is in use",
            Reason::NoDecision => "no decision in time",
            Reason::Replicas => "replicas of its record",
            Reason::Unfinished => "ended without an answer",
            Reason::Processor => "external processor",
            Reason::BadRequest => "not usable",
        })
    }
}
