//! The operator's settings, as the simulator's first message and a proxy's configuration carry them: JSON,
//! decoded once into the few values that are used. Unknown keys are skipped.

use facts::{ClassFacts, Domain, Limits, Rules};
use foldmux::interface::*;
use reports::{Charges, Report};
use serde::Deserialize;
use tenants::Project;

mod facts;
mod reports;
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
    #[serde(default)]
    report: Report,
    #[serde(default)]
    charges: Charges,
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
    pub reports: foldmux_reports::Setup,
}

/// The settings, or what is wrong with the text (serde's message names the key).
pub fn parse(text: &str) -> Result<Decoded, String> {
    let mut bytes = text.as_bytes().to_vec();
    simd_json::serde::from_slice::<Facts>(&mut bytes).map_err(|e| format!("settings: {e}"))?.decode()
}

impl Facts {
    pub fn decode(self) -> Result<Decoded, String> {
        let Facts { limits, rules, domain, dcs, kinds, report, charges, .. } = self;
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
        let reports = report.setup(limits.probes, &charges, &classes, limits.dial_timeout);
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
            reports,
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
