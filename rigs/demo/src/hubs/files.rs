//! The files that the demo's processes read.

use foldmux_fakes::journal::Journal;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The hubs.
pub const HUBS: [&str; 3] = ["south", "east", "north"];
/// The places of the proxies.
pub const OFFICES: [&str; 2] = ["porvoo", "kotka"];

/// A hub's name, and its parents as the operator's file writes them.
pub type Wiring = [(&'static str, &'static str); 3];

/// The operator's file: a tree under a number.
pub fn operator(epoch: u64, wiring: &Wiring, at: &BTreeMap<&str, SocketAddr>) -> String {
    let mut text =
        format!("hierarchy(epoch = {epoch}, domain = \"fill.demo.example\", overlap_ms = 4000)\n");
    text += &format!("archive(\"archive\", address = \"{}\")\n", at["archive"]);
    for (name, parents) in wiring {
        text += &format!(
            "hub(\"{name}\", parents = {parents}, address = \"{}\")\n",
            at[name]
        );
    }
    for (office, parents) in OFFICES
        .iter()
        .zip([r#"["east", "north"]"#, r#"["south", "north"]"#])
    {
        text += &format!("location(\"{office}\", parents = {parents})\n");
    }
    text
        + "relay(memory_mb = 64, connections = 256, fetches = 128, waits = 1024, writes = [\"mix-record\"])\n"
}

/// A proxy's configuration.
pub fn configuration(office: usize, listen: SocketAddr, journal: &Journal) -> String {
    let zones: Vec<String> = HUBS
        .iter()
        .chain(&OFFICES)
        .map(|z| format!("\"{z}\""))
        .collect();
    let class = |name: &str, slo: u64, worth: f64, idempotency: &str| {
        format!(
            r#"{{"name":"{name}","slo":{slo},"hardLimit":3000000,"aimStretch":2.0,"importance":{worth},"lateValue":0.1,"idempotency":"{idempotency}","group":"all","repeatWindow":2000000}}"#
        )
    };
    let classes = [
        class("mix-video", 500_000, 2.0, "free"),
        class("formula-card", 250_000, 1.0, "free"),
        class("mix-record", 600_000, 3.0, "guarded"),
    ];
    let own = HUBS.len() + office;
    format!(
        r#"{{"name":"n{office}","listen":"{listen}","seed":"{office}7","limits":{{"memory_mb":128,"sockets":512}},"journal":"{}","known":{},
        "settings":{{"index":{office},"balancers":2,"locality":{own},"dcs":[{}],"kinds":["box","parent","origin"],
        "classes":[{}],"limits":{{"maxAttempts":8,"dialTimeout":400000,"keepalive":15000000,"cancel":true,"retryAfter":true,"maxRetryAfter":2000000}},
        "rules":{{"answerSlack":8000,"stopSendingWithin":250000,"coldFrom":0.17,"rampTime":18000000,"fall":3000000,"fallMultiple":4.0}},
        "domain":{{"originKind":2,"midKind":1,"siblings":"any","notesGiven":"none","clientKbPerS":5000.0,"direct":true,
        "hubOf":[0,1,2,1,0],"passOn":[false,false,true],"instancesByZone":[0,0,0,1,1],"parentFloor":0.067,"parentCold":21000000,
        "parentBreaksAt":2.0,"purgeSlack":1000000,"purgeDone":6000000}}}}}}"#,
        journal.address(),
        journal.known(),
        zones.join(","),
        classes.join(",")
    )
}
