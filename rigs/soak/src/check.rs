//! The operators' rules, a function for each, over a whole record. A broken rule names the request.

use crate::record::{Answer, Attempt, Request};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// A request that crosses the end of a resting connection by no more than this is sent again by its client.
pub const CROSSING: Duration = Duration::from_millis(50);
/// Up to so long after its time an answer only earns nothing.
const LATE: Duration = Duration::from_millis(500);
/// Each time limit is so much longer on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// An attempt may begin so long after its client has gone.
const AFTER_GONE: Duration = Duration::from_millis(100);
/// The deadline passed on may exceed what the client has left by so much.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// The rules that are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// The connection ended, or the process was killed, without the answer.
    Lost,
    /// No answer within its time and half a second.
    Unanswered,
    /// A second answer.
    Twice,
    /// Bytes that no cache made for it.
    Spoilt,
    /// An attempt that began after its client had gone.
    AfterGone,
    /// More time passed on than the client has left.
    Deadline,
    /// Two attempts out at once.
    AtOnce,
}

/// A rule that a request broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    pub rule: Rule,
    pub id: u64,
    pub what: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(
            out,
            "{:?}: request {:016x}: {}",
            self.rule, self.id, self.what
        )
    }
}

/// All that is broken.
pub fn check(requests: &[Request], attempts: &[Attempt]) -> Vec<Broken> {
    let mut by_id: HashMap<u64, Vec<&Attempt>> = HashMap::new();
    attempts
        .iter()
        .for_each(|attempt| by_id.entry(attempt.id).or_default().push(attempt));
    let mut broken: Vec<Broken> = requests
        .iter()
        .flat_map(|r| [lost(r), unanswered(r), twice(r), spoilt(r)])
        .flatten()
        .collect();
    for request in requests {
        for attempt in by_id.get(&request.id).into_iter().flatten() {
            broken.extend(
                [after_gone(request, attempt), deadline(request, attempt)]
                    .into_iter()
                    .flatten(),
            );
        }
    }
    broken.extend(by_id.into_values().filter_map(at_once));
    broken
}

fn lost(request: &Request) -> Option<Broken> {
    let ended = request
        .ended
        .filter(|_| request.answers.is_empty() && request.gone.is_none())?;
    let open = ended.saturating_duration_since(request.written);
    let what = format!(
        "connection {} ended {} ms after it was written",
        request.connection,
        open.as_millis()
    );
    Some(Broken {
        rule: Rule::Lost,
        id: request.id,
        what,
    })
}

fn unanswered(request: &Request) -> Option<Broken> {
    if request.gone.is_some() || request.ended.is_some() {
        return None;
    }
    let most = request.wait + LATE + SLACK;
    let what = match request.answers.first() {
        None => format!("no answer in {} ms", most.as_millis()),
        Some((answer, at)) => {
            let after = at.saturating_duration_since(request.written);
            if after <= most {
                return None;
            }
            format!(
                "{answer:?} after {} ms of {}",
                after.as_millis(),
                request.wait.as_millis()
            )
        }
    };
    Some(Broken {
        rule: Rule::Unanswered,
        id: request.id,
        what,
    })
}

fn twice(request: &Request) -> Option<Broken> {
    let more = request.answers.len() > 1;
    more.then(|| Broken {
        rule: Rule::Twice,
        id: request.id,
        what: format!("{:?}", request.answers),
    })
}

fn spoilt(request: &Request) -> Option<Broken> {
    let spoilt = request
        .answers
        .iter()
        .any(|(answer, _)| *answer == Answer::Spoilt);
    spoilt.then(|| Broken {
        rule: Rule::Spoilt,
        id: request.id,
        what: "served with other bytes".to_string(),
    })
}

fn after_gone(request: &Request, attempt: &Attempt) -> Option<Broken> {
    let (gone, at) = request.gone?;
    let after = attempt.at.saturating_duration_since(at);
    let late = after > AFTER_GONE + SLACK;
    let what = format!(
        "an attempt arrived {} ms after its client had {gone:?}",
        after.as_millis()
    );
    late.then_some(Broken {
        rule: Rule::AfterGone,
        id: request.id,
        what,
    })
}

fn deadline(request: &Request, attempt: &Attempt) -> Option<Broken> {
    let left = (request.written + request.wait).saturating_duration_since(attempt.at);
    let over = attempt.wait > left + DEADLINE_SLACK;
    let what = format!(
        "told to wait {} ms with {} left",
        attempt.wait.as_millis(),
        left.as_millis()
    );
    over.then_some(Broken {
        rule: Rule::Deadline,
        id: request.id,
        what,
    })
}

fn at_once(mut attempts: Vec<&Attempt>) -> Option<Broken> {
    attempts.sort_by_key(|attempt| attempt.at);
    let pair = attempts
        .windows(2)
        .find(|pair| pair[1].at + SLACK < pair[0].until)?;
    let overlap = pair[0].until.saturating_duration_since(pair[1].at);
    let what = format!("two attempts out at once for {} ms", overlap.as_millis());
    Some(Broken {
        rule: Rule::AtOnce,
        id: pair[0].id,
        what,
    })
}
