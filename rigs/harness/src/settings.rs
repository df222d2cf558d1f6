//! What the rig's processes are told: the platform's settings of a small deployment, and the operator's file.

use crate::plan::Plan;
use foldmux_fakes::journal::Host;
use std::net::SocketAddr;

/// Cache boxes of each site.
pub const BOXES: usize = 2;
/// The class of keyed requests, and the others'.
pub const KEYED: &str = "mix-record";
pub const READS: [&str; 2] = ["mix-video", "formula-card"];

/// Classes of reads that stand for tenants, as the front's wire names none; in the settings where the plan has so many.
pub const TENANTS: [&str; 4] = ["tenant-0", "tenant-1", "tenant-2", "tenant-3"];

/// What a pool of the operator's file calls the kind of a host of the list.
pub fn kind(host: usize, sites: usize) -> &'static str {
    match (sites * BOXES + 2).saturating_sub(host) {
        1 => "archive",
        2 => "hub",
        _ => "cache",
    }
}

/// The pools of the operator's lines, and their slots.
pub fn pools(operator: &str) -> Vec<(String, u64)> {
    let pool = |line: &str| {
        let (name, rest) = line.trim().strip_prefix("pool(\"")?.split_once('"')?;
        let slots = rest
            .split_once("slots = ")?
            .1
            .split(|c: char| !c.is_ascii_digit())
            .next()?;
        Some((name.to_string(), slots.parse().ok()?))
    };
    operator.lines().filter_map(pool).collect()
}

pub fn name(process: usize) -> String {
    format!("n{process}")
}

pub fn site(process: usize, plan: &Plan) -> String {
    format!("site{}", process % plan.sites)
}

/// The list's lines, without addresses: boxes by site, then the parent and the origin.
pub fn hosts(plan: &Plan, address: impl Fn(usize) -> SocketAddr) -> Vec<Host> {
    let count = plan.sites * BOXES + 2;
    let host = |n: usize| {
        let (zone, kind) = match count - n {
            1 => ("hub".to_string(), "origin"),
            2 => ("hub".to_string(), "parent"),
            _ => (format!("site{}", n % plan.sites), "box"),
        };
        let (name, kind) = (format!("s-{:08x}", n + 1), kind.to_string());
        Host {
            name,
            address: address(n),
            zone,
            kind,
            status: "ready",
            since_ms: 0,
        }
    };
    (0..count).map(host).collect()
}

/// The configuration of one process. `known`: what the journal service has told so far.
pub fn config(
    plan: &Plan,
    process: usize,
    listen: SocketAddr,
    journal: SocketAddr,
    known: &str,
) -> String {
    let sites: Vec<String> = (0..plan.sites).map(|n| format!("\"site{n}\"")).collect();
    // As long as the archive drops repeats; a real one does so for 2 s.
    let window = plan
        .archive
        .window
        .map_or(2_000_000, |window| window.as_micros());
    let class = |name: &str, slo: u64, worth: f64, idempotency: &str| {
        format!(
            r#"{{"name":"{name}","slo":{slo},"hardLimit":3000000,"aimStretch":2.0,"importance":{worth},"lateValue":0.1,"idempotency":"{idempotency}","group":"all","repeatWindow":{window}}}"#
        )
    };
    let mut classes = vec![
        class(READS[0], 500_000, 2.0, "free"),
        class(READS[1], 250_000, 1.0, "free"),
        class(KEYED, 600_000, 3.0, "guarded"),
    ];
    classes.extend(
        TENANTS
            .iter()
            .take(plan.tenants)
            .enumerate()
            .map(|(n, name)| class(name, if n == 0 { 1_500_000 } else { 250_000 }, 1.0, "free")),
    );
    let zeros = vec!["0"; plan.sites + 1].join(",");
    let mut counts = vec![0; plan.sites + 1];
    (0..plan.processes).for_each(|n| counts[1 + n % plan.sites] += 1);
    let counts: Vec<String> = counts.iter().map(usize::to_string).collect();
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"{seed:x}","limits":{{"memory_mb":128,"sockets":1024}},"journal":"{journal}","known":{known},
"settings":{{"index":{process},"balancers":{all},"locality":{own},"dcs":["hub",{sites}],"kinds":["box","parent","origin"],
"classes":[{classes}],"limits":{{"maxAttempts":8,"cancel":true,"retryAfter":true,"maxRetryAfter":300000,"dialTimeout":400000,"keepalive":15000000}},
"rules":{{"answerSlack":8000,"stopSendingWithin":250000,"coldFrom":0.17,"rampTime":18000000,"fall":3000000,"fallMultiple":4.0}},
"domain":{{"originKind":2,"midKind":1,"siblings":"any","notesGiven":"none","clientKbPerS":5000.0,"direct":true,
"hubOf":[{zeros}],"passOn":[false,false,true],"instancesByZone":[{counts}],"parentFloor":0.067,"parentCold":21000000,
"parentBreaksAt":2.0,"purgeSlack":1000000,"purgeDone":6000000}}}}}}"#,
        name = name(process),
        seed = plan.seed.wrapping_add(process as u64),
        all = plan.processes,
        own = 1 + process % plan.sites,
        sites = sites.join(","),
        classes = classes.join(","),
        counts = counts.join(","),
    )
}

/// The operator's file of one process: the fleet as it sees it, each peer by the line to it; then the plan's own lines,
/// where `{serve}` stands for where this process serves its site.
pub fn operator(
    plan: &Plan,
    [own, serve]: [SocketAddr; 2],
    peers: &[SocketAddr],
    key_file: &str,
) -> String {
    let mut text = format!(
        "fleet(listen = \"{own}\", key_file = \"{key_file}\", lease_ms = {}, drift_percent = 1.0)\n",
        plan.lease.as_millis()
    );
    for (n, address) in peers.iter().enumerate() {
        let (name, site) = (name(n), site(n, plan));
        text += &format!("peer(\"{name}\", address = \"{address}\", site = \"{site}\")\n");
    }
    (0..plan.seats).for_each(|n| text += &format!("seat(\"{}\")\n", name(n)));
    text + &plan.operator.replace("{serve}", &serve.to_string())
}
