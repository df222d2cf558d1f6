//! The operator's settings, as the simulator's first message and a proxy's configuration carry them: JSON,
//! decoded once into the few values that are used. Unknown keys are skipped.

use foldmux::interface::*;
use serde::Deserialize;
use tenants::Project;

mod tenants;

/// The settings object as it is written; [`Facts::decode`] makes it what the program uses.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Facts {
    #[serde(default)]
    dcs: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    index: u32,
    balancers: u32,
    locality: usize,
    classes: Vec<ClassFacts>,
    limits: Limits,
    rules: Rules,
    domain: Domain,
    #[serde(default)]
    weights: String,
    #[serde(default)]
    membership_mode: String,
    #[serde(default)]
    projects: Vec<Project>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClassFacts {
    #[serde(default)]
    name: String,
    slo: Time,
    hard_limit: Time,
    #[serde(default)]
    aim_stretch: f64,
    #[serde(default)]
    importance: f64,
    #[serde(default)]
    late_value: f64,
    idempotency: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    repeat_window: Time,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    max_attempts: u32,
    #[serde(default = "dial_time_out")]
    dial_timeout: Time,
    #[serde(default = "keep_alive")]
    keepalive: Time,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    may_duplicate: bool,
    #[serde(default)]
    peers: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after: Time,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    answer_slack: Time,
    stop_sending_within: Time,
    cold_from: f64,
    ramp_time: Time,
    fall: Time,
    fall_multiple: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Domain {
    origin_kind: usize,
    mid_kind: i64,
    #[serde(default)]
    hub_of: Vec<usize>,
    #[serde(default)]
    instances_by_zone: Vec<u32>,
    #[serde(default)]
    lifetime_by_class: Vec<Time>,
    #[serde(default)]
    grace_for: Vec<Time>,
    #[serde(default)]
    pass_on: Vec<bool>,
    #[serde(default)]
    siblings: String,
    #[serde(default)]
    notes_given: String,
    #[serde(default)]
    can_join: bool,
    #[serde(default)]
    direct: bool,
    #[serde(default)]
    client_kb_per_s: f64,
    #[serde(default)]
    parent_floor: f64,
    #[serde(default)]
    parent_cold: Time,
    #[serde(default)]
    parent_breaks_at: f64,
    #[serde(default)]
    purge_slack: Time,
    #[serde(default)]
    purge_done: Time,
    #[serde(default)]
    root_fall_multiple: f64,
}

/// What a host with sockets of its own needs beside the router's settings.
#[derive(Clone, Debug)]
pub struct Decoded {
    pub settings: Settings,
    pub classes: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Tenants, and each one's share of the service.
    pub tenants: Vec<(String, f64)>,
    pub dial_time_out: Time,
    pub keep_alive: Time,
}

fn dial_time_out() -> Time {
    400_000
}

fn keep_alive() -> Time {
    15_000_000
}

/// The settings, or what is wrong with the text (serde's message names the key).
pub fn parse(text: &str) -> Result<Decoded, String> {
    let mut bytes = text.as_bytes().to_vec();
    simd_json::serde::from_slice::<Facts>(&mut bytes).map_err(|e| format!("settings: {e}"))?.decode()
}

impl Facts {
    pub fn decode(self) -> Result<Decoded, String> {
        let Facts { limits, rules, domain, dcs, kinds, .. } = self;
        if limits.max_attempts == 0 {
            return Err("settings: limits.maxAttempts is not above 0".to_string());
        }
        if self.classes.is_empty() {
            return Err("settings: no class".to_string());
        }
        let mut classes = Vec::new();
        for (k, c) in self.classes.iter().enumerate() {
            if c.hard_limit == 0 {
                return Err(format!("settings: classes[{k}] has a deadline (hardLimit) not above 0"));
            }
            let group = match c.group.as_str() {
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                _ => Group::All,
            };
            let repeat = match c.idempotency.as_str() {
                "free" => Repeat::Safe,
                "guarded" => Repeat::Keyed(group),
                "single_shot" => Repeat::SingleShot,
                other => return Err(format!("settings: classes[{k}].idempotency is {other:?}")),
            };
            classes.push(Class {
                aim: c.slo,
                aim_stretch: c.aim_stretch,
                deadline: c.hard_limit,
                worth: c.importance,
                late_worth: c.late_value,
                repeat,
                repeat_window: c.repeat_window,
                fresh: domain.lifetime_by_class.get(k).copied().unwrap_or_default(),
                grace: domain.grace_for.get(k).copied().unwrap_or_default(),
                pass_on: domain.pass_on.get(k).copied().unwrap_or_default(),
            });
        }
        let settings = Settings {
            index: self.index,
            routers: self.balancers,
            zone: self.locality,
            classes,
            routers_by_zone: domain.instances_by_zone,
            hub_of: domain.hub_of,
            parent_kind: usize::try_from(domain.mid_kind).ok(),
            origin_kind: domain.origin_kind,
            siblings: match domain.siblings.as_str() {
                "any" => Siblings::Any,
                "location" => Siblings::OwnZone,
                _ => Siblings::None,
            },
            notes: match domain.notes_given.as_str() {
                "all" => Notes::All,
                "hit" => Notes::HitOnly,
                _ => Notes::None,
            },
            can_join: domain.can_join,
            direct: domain.direct,
            client_kb_per_s: domain.client_kb_per_s,
            weights_told: self.weights == "nominal",
            must_ask: self.membership_mode == "ask",
            may_cancel: limits.cancel,
            may_duplicate: limits.may_duplicate,
            max_attempts: limits.max_attempts,
            may_probe: limits.probes,
            may_tell_peers: limits.peers,
            retry_after: limits.retry_after.then_some(limits.max_retry_after),
            answer_slack: rules.answer_slack,
            drain_grace: rules.stop_sending_within,
            cache_cold_from: rules.cold_from,
            cache_cold_for: rules.ramp_time,
            cache_fall_multiple: rules.fall_multiple,
            fall_window: rules.fall,
            parent_cold_from: domain.parent_floor,
            parent_cold_for: domain.parent_cold,
            parent_fall_multiple: domain.parent_breaks_at,
            purge_slack: domain.purge_slack,
            purge_done: domain.purge_done,
            origin_fall_multiple: domain.root_fall_multiple,
        };
        Ok(Decoded {
            settings,
            classes: self.classes.into_iter().map(|c| c.name).collect(),
            zones: dcs,
            kinds,
            tenants: self.projects.into_iter().map(|p| (p.name, p.share)).collect(),
            dial_time_out: limits.dial_timeout,
            keep_alive: limits.keepalive,
        })
    }
}

#[cfg(test)]
mod tests;
