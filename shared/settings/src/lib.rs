//! The operator's settings, as the simulator's first message and a proxy's configuration carry them: JSON, decoded once
//! into the few values that are used. Unknown keys are skipped; whatever can't be used is told, a line each.

use classes::ByClass;
use foldmux::interface::*;
use section::{Faults, Section};
use simd_json::OwnedValue;

pub mod bounds;
mod classes;
mod reports;
pub mod section;
pub mod value;

/// What a host with sockets of its own needs beside the router's settings.
#[derive(Clone, Debug)]
pub struct Decoded {
    pub settings: Settings,
    pub classes: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Tenants, and each one's share of the service.
    pub tenants: Vec<(String, f64)>,
    /// How long a connection may take to come up (us); where it is not told, the least aim.
    pub dial_time_out: Time,
    /// How long servers keep an idle connection (us); where it is not told, 0: none is used again, as nothing says that it
    /// is still open.
    pub keep_alive: Time,
    pub reports: foldmux_load_reports::Setup,
}

/// The settings, or all that is wrong with the text, on one line.
pub fn parse(text: &str) -> Result<Decoded, String> {
    let mut bytes = text.as_bytes().to_vec();
    let value: OwnedValue =
        simd_json::serde::from_slice(&mut bytes).map_err(|e| format!("settings: {e}"))?;
    read(&value)
}

/// The settings, or all that is wrong with the document, on one line.
pub fn read(document: &OwnedValue) -> Result<Decoded, String> {
    let faults = Faults::default();
    let decoded = decode(&Section::new("settings", document, &faults));
    match faults.into_lines() {
        lines if lines.is_empty() => Ok(decoded),
        lines => Err(lines.join("; ")),
    }
}

/// The settings in an object. Where faults are noted, what comes of it is not to be used.
pub fn decode(section: &Section) -> Decoded {
    let (limits, rules, domain) = (
        section.section("limits"),
        section.section("rules"),
        section.section("domain"),
    );
    let by_class = ByClass {
        fresh: domain.times("lifetimeByClass"),
        grace: domain.times("graceFor"),
        pass_on: domain.required("passOn"),
    };
    let classes = classes::read(section, &by_class);
    let dial_time_out = dial_time_out(&limits, &classes);
    let reports = reports::read(
        section,
        limits.optional("probes").unwrap_or_default(),
        &classes,
        dial_time_out,
    );
    let settings = settings(section, [&limits, &rules, &domain], &classes);
    Decoded {
        settings,
        reports,
        classes: classes.into_iter().map(|(name, _)| name).collect(),
        zones: section.optional("dcs").unwrap_or_default(),
        kinds: section.optional("kinds").unwrap_or_default(),
        tenants: tenants(section),
        dial_time_out,
        keep_alive: limits.optional_time("keepalive"),
    }
}

fn settings(
    section: &Section,
    [limits, rules, domain]: [&Section; 3],
    classes: &[(String, Class)],
) -> Settings {
    let (word, flag) = (optional::<String>, optional::<bool>);
    let parent_kind = usize::try_from(domain.required::<i64>("midKind")).ok();
    if parent_kind.is_some() {
        // What is missing would read as parents that need no slow start.
        let figures = ["parentFloor", "parentCold", "parentBreaksAt"];
        figures.iter().for_each(|key| domain.expect(key));
    }
    let max_retry_after = limits.optional_time("maxRetryAfter");
    Settings {
        index: section.required("index"),
        router_count: section.required("balancers"),
        zone: section.required("locality"),
        classes: classes.iter().map(|(_, class)| class.clone()).collect(),
        routers_by_zone: domain.optional("instancesByZone").unwrap_or_default(),
        hub_by_zone: domain.zones("hubOf"),
        parent_kind,
        origin_kind: domain.required("originKind"),
        sibling_fills: match word(domain, "siblings").as_str() {
            "any" => SiblingFills::Any,
            "location" => SiblingFills::OwnZone,
            _ => SiblingFills::None,
        },
        cache_status_detail: match word(domain, "notesGiven").as_str() {
            "all" => CacheStatusDetail::All,
            "hit" => CacheStatusDetail::HitOnly,
            _ => CacheStatusDetail::None,
        },
        request_collapsing: flag(domain, "canJoin"),
        direct_fetch: flag(domain, "direct"),
        client_kb_per_s: optional(domain, "clientKbPerS"),
        weights_known: word(section, "weights") == "nominal",
        subscribe_members: word(section, "membershipMode") == "ask",
        can_cancel: flag(limits, "cancel"),
        may_hedge: flag(limits, "mayDuplicate"),
        max_attempts: attempts(limits),
        may_health_check: flag(limits, "probes"),
        may_message_peers: flag(limits, "peers"),
        max_retry_after: flag(limits, "retryAfter").then_some(max_retry_after),
        response_slack: rules.time("answerSlack"),
        drain_timeout: rules.time("stopSendingWithin"),
        cache_slow_start_ratio: rules.factor("coldFrom"),
        cache_slow_start_time: rules.time("rampTime"),
        cache_overload_multiple: rules.factor("fallMultiple"),
        overload_window: rules.time("fall"),
        parent_slow_start_ratio: domain.optional_factor("parentFloor"),
        parent_slow_start_time: domain.optional_time("parentCold"),
        parent_overload_multiple: domain.optional_factor("parentBreaksAt"),
        purge_slack: domain.time("purgeSlack"),
        purge_complete: domain.time("purgeDone"),
        origin_overload_multiple: domain.optional_factor("rootFallMultiple"),
    }
}

/// A value that may be left out, and is 0, false or empty then.
fn optional<T: value::Read + Default>(section: &Section, key: &str) -> T {
    section.optional(key).unwrap_or_default()
}

/// A dial that takes longer than the least aim helps no class that is in a hurry; so much is known where nothing is told.
fn dial_time_out(limits: &Section, classes: &[(String, Class)]) -> Time {
    if limits.get_or_default("dialTimeout").is_some() {
        return limits.time_above_0("dialTimeout");
    }
    let least = classes
        .iter()
        .map(|(_, class)| class.latency_objective.min(class.deadline))
        .min();
    least.unwrap_or_default().max(1_000)
}

/// Attempts of one request: more than can be numbered are as many as can be.
fn attempts(limits: &Section) -> u32 {
    let most: u32 = limits.required("maxAttempts");
    limits.not_0("maxAttempts");
    most.min(bounds::ATTEMPTS_MOST)
}

/// Tenants. Where no share is told, all have the same.
fn tenants(section: &Section) -> Vec<(String, f64)> {
    let one = |tenant: Section| {
        let share = tenant.optional("share").unwrap_or(1.0);
        if share < 0.0 {
            tenant.fault("share", format_args!("{share} is under 0"));
        }
        (tenant.required("name"), share)
    };
    section.sections("projects").into_iter().map(one).collect()
}
