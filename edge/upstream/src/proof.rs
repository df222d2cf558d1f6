//! What the end of an attempt proves: whether the request was processed, may have been, or was not.

use foldmux::interface::Outcome;
use foldmux_core::attempt::Payload;
use foldmux_http1::{Broken, Response};
use foldmux_sockets::verdict::{on_dial, OnDial};

/// How an attempt ended, and the response for the client, if any.
#[derive(Debug, PartialEq)]
pub(crate) struct AttemptResult {
    pub(crate) outcome: Outcome,
    pub(crate) payload: Option<Payload>,
}

impl AttemptResult {
    /// Without a response for the client.
    pub(crate) fn without(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            payload: None,
        }
    }

    fn served(payload: Payload) -> AttemptResult {
        AttemptResult {
            outcome: Outcome::Served,
            payload: Some(payload),
        }
    }
}

/// What a failed dial proves. Where this process had no descriptor or port left, it says nothing of the server.
pub(crate) fn dial_outcome(error: std::io::Error) -> Outcome {
    match on_dial(&error) {
        OnDial::Ours => Outcome::NeverSent,
        OnDial::Peer => Outcome::ConnectFailed,
    }
}

pub(crate) fn outcome_of(broken: Broken) -> Outcome {
    match broken {
        Broken::TimedOut => Outcome::TimedOut,
        // It says nothing of the server: this process had no memory for the response.
        Broken::NoMemory => Outcome::Cancelled,
        // After a break the request may have been processed, also on a connection that was idle before: whether it is
        // retried is the router's decision. A response that can't be read counts as lost.
        Broken::Reset | Broken::Unreadable => Outcome::Reset,
    }
}

/// What a response proves. Only a miss, and a rejection that says that the request is untouched, prove that it was not
/// processed. `bytes`: the buffer that holds the response; `etag`: the tag of the client's copy.
pub(crate) fn judge(response: Response, bytes: &[u8], etag: Option<&str>) -> AttemptResult {
    let tag = response.tag.clone().map(|at| &bytes[at]);
    match (response.status, response.untouched) {
        (200, _) => AttemptResult::served(Payload::Body(response.body)),
        (304, _) if names(tag, etag) => AttemptResult::served(Payload::NotModified),
        (404, _) => AttemptResult::without(Outcome::Miss),
        (503, true) => AttemptResult::without(Outcome::Overloaded),
        (504, true) => AttemptResult::without(Outcome::NeverSent),
        _ => AttemptResult::without(Outcome::Error),
    }
}

/// Whether a response names the client's copy by its tag, quoted or not. A 304 without a tag, or with that of another copy,
/// does not make the client's copy current.
fn names(tag: Option<&[u8]>, etag: Option<&str>) -> bool {
    let (Some(tag), Some(etag)) = (tag, etag) else {
        return false;
    };
    let quoted = tag
        .strip_prefix(b"\"")
        .and_then(|tag| tag.strip_suffix(b"\""));
    quoted.unwrap_or(tag) == etag.as_bytes()
}

#[cfg(test)]
mod tests;
