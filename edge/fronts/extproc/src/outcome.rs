//! What a response, as the caller tells of it, proves of the attempt: pure, and by the rules that hold for our own
//! attempts. What is not known may have run.

use foldmux::interface::Outcome;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    pub outcome: Outcome,
    /// The attempt is surely over: it is not running any more somewhere.
    pub over: bool,
}

/// Of a response's status, whether it says that the request was left untouched (`Srv-Untouched`), and the caller's
/// `response.code_details`, which tell an answer that came from upstream from one that the caller made itself.
/// `holds`: the request named a copy that its client holds.
pub fn judge(status: u16, untouched: bool, details: Option<&str>, holds: bool) -> Ended {
    let ended = |outcome| Ended {
        outcome,
        over: true,
    };
    let lost = |outcome| Ended {
        outcome,
        over: false,
    };
    if let Some(made) = details
        .filter(|details| *details != "via_upstream")
        .and_then(made_by_caller)
    {
        return made;
    }
    match (status, untouched) {
        (200..=299, _) => ended(Outcome::Served),
        (304, _) if holds => ended(Outcome::Served),
        (404, _) => ended(Outcome::Miss),
        (503, true) => ended(Outcome::Overloaded),
        (504, true) => ended(Outcome::NeverSent),
        // Without details it may be the caller's own word on an attempt that is running still.
        _ if details.is_none() => lost(Outcome::Error),
        _ => ended(Outcome::Error),
    }
}

/// What the published details of a caller's own answer prove; none where they are of no kind that is known.
fn made_by_caller(details: &str) -> Option<Ended> {
    let (kind, why) = details.split_once('{').unwrap_or((details, ""));
    let outcome = match kind {
        // A connection that never was: nothing was sent.
        "upstream_reset_before_response_started"
            if why.starts_with("remote_connection_failure") =>
        {
            Outcome::ConnectFailed
        }
        "upstream_reset_before_response_started" if why.starts_with("local_connection_failure") => {
            Outcome::ConnectFailed
        }
        "upstream_reset_before_response_started" if why.starts_with("connection_timeout") => {
            Outcome::ConnectFailed
        }
        "upstream_reset_before_response_started" if why.starts_with("overflow") => {
            Outcome::NeverSent
        }
        "no_healthy_upstream" | "cluster_not_found" | "route_not_found" => Outcome::NeverSent,
        "upstream_reset_before_response_started" | "upstream_reset_after_response_started" => {
            Outcome::Reset
        }
        "upstream_response_timeout" | "upstream_per_try_timeout" | "response_timeout" => {
            Outcome::TimedOut
        }
        "stream_idle_timeout" | "request_overall_timeout" => Outcome::TimedOut,
        "downstream_remote_disconnect" => Outcome::Cancelled,
        _ => return None,
    };
    Some(Ended {
        outcome,
        over: outcome.not_processed(),
    })
}

#[cfg(test)]
mod tests;
