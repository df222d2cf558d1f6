//! What the end of an attempt proves: whether it ran, may have run, or never did.

use foldmux::interface::Outcome;
use foldmux_core::attempt::Payload;
use foldmux_http1::{Broken, Response};
use foldmux_sockets::verdict::{on_dial, OnDial};

/// How an attempt ended, and what it brought.
#[derive(Debug, PartialEq)]
pub(crate) struct Ended {
    pub(crate) outcome: Outcome,
    pub(crate) got: Option<Payload>,
}

impl Ended {
    /// It brought nothing.
    pub(crate) fn without(outcome: Outcome) -> Ended {
        Ended { outcome, got: None }
    }

    fn served(got: Payload) -> Ended {
        Ended {
            outcome: Outcome::Served,
            got: Some(got),
        }
    }
}

/// What a dial that failed proves: nothing came up at the other side. Where it was this program that had no
/// descriptor or port left, that says nothing of the cache.
pub(crate) fn dial_outcome(error: std::io::Error) -> Outcome {
    match on_dial(&error) {
        OnDial::Ours => Outcome::NeverSent,
        OnDial::Peer => Outcome::ConnectFailed,
    }
}

pub(crate) fn outcome_of(broken: Broken) -> Outcome {
    match broken {
        Broken::TimedOut => Outcome::TimedOut,
        // A break after writing may have run, also on a connection that was idle before: never sent again
        // behind the module's back.
        // An answer that can't be read is one that was lost on its way: the work ran, and its like, spoilt at
        // all caches, says nothing of one cache's health or of the origin's.
        Broken::Reset | Broken::Unreadable => Outcome::Reset,
    }
}

/// What an answer proves. Only a miss, and a refusal that says that it left the request untouched, never ran. `bytes`: the
/// buffer that the answer was read into. `got`: the tag of the client's copy.
pub(crate) fn judge(response: Response, bytes: &[u8], got: Option<&str>) -> Ended {
    let tag = response.tag.clone().map(|at| &bytes[at]);
    match (response.status, response.untouched) {
        (200, _) => Ended::served(Payload::Body(response.body)),
        (304, _) if names(tag, got) => Ended::served(Payload::NotModified),
        (404, _) => Ended::without(Outcome::Miss),
        (503, true) => Ended::without(Outcome::Overloaded),
        (504, true) => Ended::without(Outcome::NeverSent),
        _ => Ended::without(Outcome::Error),
    }
}

/// Whether an answer names the client's copy by its tag, which may stand in quotes. Guards against calling a copy current
/// by a 304 without a tag, or with the tag of another copy: that names no copy which this client holds.
fn names(tag: Option<&[u8]>, got: Option<&str>) -> bool {
    let (Some(tag), Some(got)) = (tag, got) else {
        return false;
    };
    let quoted = tag
        .strip_prefix(b"\"")
        .and_then(|tag| tag.strip_suffix(b"\""));
    quoted.unwrap_or(tag) == got.as_bytes()
}

#[cfg(test)]
mod tests;
