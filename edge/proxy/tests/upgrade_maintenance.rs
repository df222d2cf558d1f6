//! Two processes of one place, as in an upgrade, and calls at both at one moment.

use admin_process::*;
use std::net::SocketAddr;
use std::sync::Barrier;

#[path = "common/admin_process.rs"]
mod admin_process;
mod common;

const CACHES: u32 = 40;

fn config(journal: SocketAddr) -> String {
    let line = |n: u32| {
        format!(
            r#"{{"name":"s-{n:08x}","address":"127.0.0.1:9","zone":"edge","type":"box","status":"ready","weight":1}}"#
        )
    };
    let lines: Vec<String> = (1..=CACHES).map(line).collect();
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{{"memory_mb":192,"sockets":1024}},"journal":"{journal}",
        "known":{{"pos":1,"entries":[{{"pos":1,"hosts":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}]}},"settings":{}}}"#,
        lines.join(","),
        common::SETTINGS
    )
}

#[test]
fn calls_at_both_processes_of_an_upgrade_at_one_moment_all_hold_at_both() {
    let journal = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let tmp = tempfile::tempdir().unwrap();
    let file = tmp.path().join("config.json");
    std::fs::write(&file, config(journal.local_addr().unwrap())).unwrap();
    let old = start_in(&file, None, Some(tmp.path())).unwrap();
    let new = start_in(&file, Some(old.serves), Some(tmp.path())).unwrap();
    let at = [old.operator, new.operator];
    // Each process takes half of them out, every call on a connection of its own, all at once.
    let together = |call_of: &(dyn Fn(u32) -> String + Sync)| {
        let ready = Barrier::new(CACHES as usize);
        std::thread::scope(|scope| {
            for n in 1..=CACHES {
                let ready = &ready;
                scope.spawn(move || {
                    ready.wait();
                    let said = call(at[n as usize % 2], call_of(n).as_bytes());
                    assert!(said.starts_with("done s-"), "{n}: {said}");
                });
            }
        });
    };
    let out = |many: u32| format!("proxy.cluster_unhealthy:{many}|g\n");
    together(&|n| format!("maint-on s-{n:08x}\n"));
    for (process, operator) in at.iter().enumerate() {
        let stats = call(*operator, b"stats\n");
        assert!(stats.contains(&out(CACHES)), "process {process}: {stats}");
    }
    // A third is brought back, while the others are called out once more.
    together(&|n| {
        format!(
            "maint-{} s-{n:08x}\n",
            if n % 3 == 0 { "off" } else { "on" }
        )
    });
    for (process, operator) in at.iter().enumerate() {
        let stats = call(*operator, b"stats\n");
        assert!(
            stats.contains(&out(CACHES - CACHES / 3)),
            "process {process}: {stats}"
        );
    }
}
