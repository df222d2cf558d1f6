//! The parts of the settings object, as they are written.

use foldmux::interface::Time;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ClassFacts {
    #[serde(default)]
    pub name: String,
    pub slo: Time,
    pub hard_limit: Time,
    #[serde(default)]
    pub aim_stretch: f64,
    #[serde(default)]
    pub importance: f64,
    #[serde(default)]
    pub late_value: f64,
    pub idempotency: String,
    #[serde(default)]
    pub group: String,
    #[serde(default)]
    pub repeat_window: Time,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Limits {
    pub max_attempts: u32,
    #[serde(default = "dial_time_out")]
    pub dial_timeout: Time,
    #[serde(default = "keep_alive")]
    pub keepalive: Time,
    #[serde(default)]
    pub cancel: bool,
    #[serde(default)]
    pub may_duplicate: bool,
    #[serde(default)]
    pub peers: bool,
    #[serde(default)]
    pub probes: bool,
    #[serde(default)]
    pub retry_after: bool,
    #[serde(default)]
    pub max_retry_after: Time,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Rules {
    pub answer_slack: Time,
    pub stop_sending_within: Time,
    pub cold_from: f64,
    pub ramp_time: Time,
    pub fall: Time,
    pub fall_multiple: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Domain {
    pub origin_kind: usize,
    pub mid_kind: i64,
    #[serde(default)]
    pub hub_of: Vec<usize>,
    #[serde(default)]
    pub instances_by_zone: Vec<u32>,
    #[serde(default)]
    pub lifetime_by_class: Vec<Time>,
    #[serde(default)]
    pub grace_for: Vec<Time>,
    #[serde(default)]
    pub pass_on: Vec<bool>,
    #[serde(default)]
    pub siblings: String,
    #[serde(default)]
    pub notes_given: String,
    #[serde(default)]
    pub can_join: bool,
    #[serde(default)]
    pub direct: bool,
    #[serde(default)]
    pub client_kb_per_s: f64,
    #[serde(default)]
    pub parent_floor: f64,
    #[serde(default)]
    pub parent_cold: Time,
    #[serde(default)]
    pub parent_breaks_at: f64,
    #[serde(default)]
    pub purge_slack: Time,
    #[serde(default)]
    pub purge_done: Time,
    #[serde(default)]
    pub root_fall_multiple: f64,
}

fn dial_time_out() -> Time {
    400_000
}

fn keep_alive() -> Time {
    15_000_000
}
