//! The configuration of the program under soak: three caches, a parent and an origin; a class that may simply be repeated and
//! one with idempotency keys.

use crate::plan::Plan;
use foldmux_fakes::journal::Host;
use std::net::SocketAddr;

/// The longest deadline of the classes (ms).
pub const DEADLINE_MS: u64 = 3_000;
/// The class that may simply be repeated, and the one with keys.
pub const SHEET: &str = "sheet";
pub const RECORD: &str = "record";

const SETTINGS: &str = r#"{"index":0,"balancers":1,"locality":1,"dcs":["hub","edge"],
"kinds":["box","parent","origin"],"classes":[{"name":"sheet","slo":600000,"hardLimit":3000000,
"idempotency":"free"},{"name":"record","slo":600000,"hardLimit":3000000,"idempotency":"guarded",
"group":"all","repeatWindow":1500000}],"limits":{"maxAttempts":4,"cancel":true,"retryAfter":true,
"maxRetryAfter":100000,"dialTimeout":400000,"keepalive":4000000},"rules":{"answerSlack":8000,"stopSendingWithin":250000,"coldFrom":0.17,
"rampTime":18000000,"fall":3000000,"fallMultiple":4.0},"domain":{"originKind":2,"midKind":1,"siblings":"any",
"notesGiven":"none","clientKbPerS":5000.0,"direct":true,"hubOf":[0,0],"passOn":[false,true],
"instancesByZone":[0,1],"parentFloor":0.1,"parentCold":21000000,"parentBreaksAt":2.0,"purgeSlack":1000000,
"purgeDone":6000000}}"#;

/// The hosts at these addresses, the caches first, the parent and the origin last.
pub fn hosts(addresses: &[SocketAddr]) -> Vec<Host> {
    let caches = addresses.len().saturating_sub(2);
    let kind = |n: usize| match n.checked_sub(caches) {
        None => ("box", "edge"),
        Some(0) => ("parent", "hub"),
        Some(_) => ("origin", "hub"),
    };
    let hosts = addresses.iter().enumerate().map(|(n, address)| Host {
        name: format!("s-{:08x}", n + 1),
        address: *address,
        zone: kind(n).1.to_string(),
        kind: kind(n).0.to_string(),
        status: "ready",
        since_ms: 0,
    });
    hosts.collect()
}

/// The configuration as the program reads it.
pub fn config(plan: &Plan, journal: SocketAddr, known: &str) -> String {
    let Plan {
        seed,
        sockets,
        memory_mb,
        ..
    } = plan;
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"{seed:x}","limits":{{"memory_mb":{memory_mb},"sockets":{sockets}}},
        "journal":"{journal}","known":{known},"settings":{SETTINGS}}}"#
    )
}
