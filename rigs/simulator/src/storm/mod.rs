//! A storm: part of the boxes fail for a while, under clients that come back. The real module and the real limits decide;
//! the day is played once as today's build would, and once with the limits of a file.
mod boxes;
mod figures;
mod play;
mod requests;
#[cfg(test)]
mod tests;

use crate::model::usual;
use foldmux::interface::*;
use foldmux_limits::resolve::{LimitSet, LimitsFile};
use foldmux_limits::Account;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

const SECOND: f64 = 1e6;
const START: Time = 1_000_000_000;
/// A client that is refused comes back so often at the most, unless a scenario says otherwise.
const TRIES: u32 = 4;
/// A box that would make one wait for longer turns it away untouched (ms), unless a scenario says otherwise.
const FULL_AFTER: f64 = 400.0;

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum How {
    /// No connection comes up.
    Refuse,
    /// Each is answered with an error, at once.
    Errors,
    /// Nothing is answered.
    Silence,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Storm {
    #[serde(default)]
    pub seed: u64,
    pub seconds: f64,
    pub boxes: usize,
    /// Requests a second, and the parts of video, cards and records in them.
    pub rate: f64,
    pub shares: [f64; 3],
    /// Requests that a box serves at once, and how long each takes (ms).
    pub slots: usize,
    pub service_ms: f64,
    pub fail_at_s: f64,
    pub fail_for_s: f64,
    pub fail_part: f64,
    pub how: How,
    /// A flood of cards beside the rest, in the same time (requests a second).
    #[serde(default)]
    pub flood: f64,
    /// Clients that wait no longer than this (ms) leave, and ask again at once: plain repeats. The box goes on with what
    /// nobody awaits any more. 0: they wait until their deadline.
    #[serde(default)]
    pub patience_ms: f64,
    /// Tries of a client, the first among them.
    #[serde(default = "tries")]
    pub tries: u32,
    /// How long a box lets a request wait before it turns one away (ms).
    #[serde(default = "full_after")]
    pub full_after_ms: f64,
    /// The operator's file with the limits; beside the scenario.
    pub limits: Option<String>,
}

fn tries() -> u32 {
    TRIES
}

fn full_after() -> f64 {
    FULL_AFTER
}

/// What a day came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Day {
    pub requests: u64,
    /// Attempts at the boxes that live on, in the worst five seconds of the storm, over the mean before it.
    pub load_factor: f64,
    /// From the boxes' return until three seconds in a row are worth what they were before (0.98 of it).
    pub recovery_s: f64,
    /// The part of the worth asked for that was had before the storm.
    pub worth_before: f64,
    /// Worth in the storm, over that before it.
    pub worth_kept: f64,
    /// Worth from three seconds after the boxes' return to the end of the arrivals, over that before the storm: well
    /// under 1 where the storm outlives its cause.
    pub worth_after: f64,
    /// The part of records that was served, over the whole day.
    pub records_served: f64,
    pub attempts_per_request: f64,
    /// By second, the part of the worth asked for that was had.
    #[serde(skip)]
    pub series: Vec<f64>,
    /// Rules of the account that were broken; none may be.
    pub broken: BTreeMap<&'static str, u64>,
}

#[derive(Debug, Serialize)]
pub struct Report {
    pub load_factor: f64,
    pub recovery_s: f64,
    pub worth_kept: f64,
    /// With the limits of the file, and as today's build would.
    pub limited: Day,
    pub today: Day,
}

impl Storm {
    pub fn parse(name: &str, text: &str) -> Result<Storm, String> {
        let storm: Storm = toml::from_str(text).map_err(|e| format!("{name}: {e}"))?;
        let sound = storm.boxes > 0 && storm.boxes <= 200 && storm.slots > 0 && storm.rate > 0.0;
        let sound =
            sound && storm.seconds > 0.0 && storm.seconds * (storm.rate + storm.flood) <= 5e6;
        match sound && (0.0..=1.0).contains(&storm.fail_part) {
            true => Ok(storm),
            false => Err(format!(
                "{name}: boxes (1 to 200), slots, rate and seconds are above 0; 5 million requests at most"
            )),
        }
    }
}

fn settings() -> Settings {
    let account = Account::default();
    let class = |n: usize, worth: f64, repeat| Class {
        latency_objective: account.classes[n].objective_ms * 1_000,
        latency_objective_stretch: 0.0,
        deadline: account.classes[n].deadline_ms * 1_000,
        priority_weight: worth,
        late_value_ratio: 0.15,
        retry_safety: repeat,
        idempotency_window: account.classes[n].idempotency_window_ms * 1_000,
        freshness_lifetime: 0,
        stale_while_revalidate: 0,
        bypass_cache: n == 2,
    };
    Settings {
        index: 0,
        router_count: 1,
        zone: 1,
        classes: vec![
            class(0, 2.0, RetrySafety::Idempotent),
            class(1, 1.0, RetrySafety::Idempotent),
            class(2, 3.0, RetrySafety::Keyed(KeyScope::All)),
        ],
        routers_by_zone: vec![0, 1],
        hub_by_zone: vec![0, 0],
        parent_kind: Some(1),
        origin_kind: 2,
        direct_fetch: false,
        client_kb_per_s: 4_200.0,
        max_attempts: account.max_attempts as u32,
        max_retry_after: account.max_retry_after_ms.map(|ms| ms * 1_000),
        response_slack: account.answer_slack_ms * 1_000,
        purge_slack: account.purge_slack_ms * 1_000,
        ..usual()
    }
}

/// A day with the limits of a draft, or without any.
pub fn play(storm: &Storm, draft: Option<&LimitsFile>) -> Day {
    let table = draft.map(|draft| LimitSet::new(&Account::default(), draft));
    play::World::new(storm, table).run()
}

/// The limits that a scenario names, checked as the program checks them.
pub fn limits(storm: &Storm, beside: &Path) -> Result<LimitsFile, String> {
    let Some(file) = &storm.limits else {
        return Ok(LimitsFile::default());
    };
    let file = beside.parent().unwrap_or(Path::new(".")).join(file);
    let operator = foldmux_operator::load(&file).map_err(|faults| faults.join("; "))?;
    let draft = operator.limits.unwrap_or_default();
    match foldmux_limits::validation::validate(&Account::default(), &draft).first() {
        Some(violation) => Err(violation.to_string()),
        None => Ok(draft),
    }
}

pub fn report(storm: &Storm, draft: &LimitsFile) -> Report {
    let (limited, today) = (play(storm, Some(draft)), play(storm, None));
    let Day {
        load_factor,
        recovery_s,
        worth_kept,
        ..
    } = limited;
    Report {
        load_factor,
        recovery_s,
        worth_kept,
        limited,
        today,
    }
}
