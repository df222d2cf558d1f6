//! The files that an instance reads.

use super::WINDOW;
use std::net::SocketAddr;
use std::path::Path;

/// The configuration, with caches in two cells.
pub(super) fn settings(caches: &[SocketAddr]) -> String {
    let line = |n: usize, kind: &str, zone: &str, cell: usize, at: SocketAddr| {
        format!(
            r#"{{"name":"s-{n:08x}","address":"{at}","zone":"{zone}","type":"{kind}","group":{cell},"status":"ready","weight":1,"since_ms":0}}"#
        )
    };
    let mut lines: Vec<String> = caches
        .iter()
        .enumerate()
        .map(|(n, at)| line(n + 1, "box", "edge", n, *at))
        .collect();
    lines.push(line(90, "parent", "hub", 0, caches[0]));
    lines.push(line(91, "origin", "hub", 0, caches[0]));
    let window = WINDOW.as_micros();
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{{"memory_mb":192,"sockets":1024}},
"known":{{"pos":1,"entries":[{{"pos":1,"hosts":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}]}},
"settings":{{"index":0,"balancers":1,"locality":1,"dcs":["hub","edge"],"kinds":["box","parent","origin"],
"classes":[{{"name":"formula-card","slo":1000000,"hardLimit":2000000,"idempotency":"free"}},
{{"name":"mix-record","slo":300000,"hardLimit":1500000,"idempotency":"guarded","group":"cell","repeatWindow":{window}}}],
"limits":{{"maxAttempts":4,"dialTimeout":400000,"keepalive":15000000,"cancel":true,"retryAfter":true,"maxRetryAfter":100000}},
"rules":{{"answerSlack":8000,"stopSendingWithin":250000,"coldFrom":0.17,"rampTime":18000000,"fall":3000000,"fallMultiple":4.0}},
"domain":{{"originKind":2,"midKind":1,"siblings":"any","notesGiven":"none","clientKbPerS":5000.0,"direct":false,
"hubOf":[0,0],"passOn":[false,true],"instancesByZone":[0,1],"parentFloor":0.1,"parentCold":21000000,
"parentBreaksAt":2.0,"purgeSlack":1000000,"purgeDone":6000000}}}}}}"#,
        lines.join(",")
    )
}

/// The operator's file.
pub(super) fn script(ledger: &Path) -> String {
    format!(
        r#"
ext_proc(listen = "127.0.0.1:0", good_for_ms = 100)
ask("formula-card", path = "/v2/q/formula-card/{{object}}/{{part}}")
ask("mix-record", method = "POST", path = "/records/{{object}}", key = "idempotency-key", rewrite = True)
token_key(number = 1, secret = "a secret of the demonstration only, 32 bytes")
ledger("{}", entries = 50000, remember_ms = 30000)
"#,
        ledger.display()
    )
}
