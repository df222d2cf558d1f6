//! Two processes that share an address and a maintenance file, as during an upgrade, with concurrent maintenance commands
//! to both.

use admin_process::*;
use std::net::SocketAddr;
use std::sync::Barrier;

#[path = "common/admin_process.rs"]
mod admin_process;
mod common;

const CACHES: u32 = 40;

fn config(journal: SocketAddr) -> String {
    let endpoint = |n: u32| {
        format!(
            r#"{{"name":"s-{n:08x}","address":"127.0.0.1:9","zone":"edge","type":"box","status":"ready","weight":1}}"#
        )
    };
    let endpoints: Vec<String> = (1..=CACHES).map(endpoint).collect();
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{{"memory_mb":192,"sockets":1024}},"journal":"{journal}",
        "known":{{"pos":1,"entries":[{{"pos":1,"hosts":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}]}},"settings":{}}}"#,
        endpoints.join(","),
        common::SETTINGS
    )
}

#[test]
fn concurrent_maintenance_commands_take_effect_in_both_processes_of_an_upgrade() {
    let journal = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let tmp = tempfile::tempdir().unwrap();
    let file = tmp.path().join("config.json");
    std::fs::write(&file, config(journal.local_addr().unwrap())).unwrap();
    let old = start_with_tmpdir(&file, None, Some(tmp.path())).unwrap();
    let new = start_with_tmpdir(&file, Some(old.client_address), Some(tmp.path())).unwrap();
    let admin_addresses = [old.admin_address, new.admin_address];
    // Each process gets half of the commands, all at once, each on its own connection.
    let send_concurrently = |command_for: &(dyn Fn(u32) -> String + Sync)| {
        let ready = Barrier::new(CACHES as usize);
        std::thread::scope(|scope| {
            for n in 1..=CACHES {
                let ready = &ready;
                scope.spawn(move || {
                    ready.wait();
                    let response =
                        send_command(admin_addresses[n as usize % 2], command_for(n).as_bytes());
                    assert!(response.starts_with("done s-"), "{n}: {response}");
                });
            }
        });
    };
    let out_of_service = |count: u32| format!("proxy.cluster_unhealthy:{count}|g\n");
    send_concurrently(&|n| format!("maint-on s-{n:08x}\n"));
    for (process, admin_address) in admin_addresses.iter().enumerate() {
        let stats = send_command(*admin_address, b"stats\n");
        assert!(
            stats.contains(&out_of_service(CACHES)),
            "process {process}: {stats}"
        );
    }
    // A third of the caches is brought back, while the others are taken out again.
    send_concurrently(&|n| {
        format!(
            "maint-{} s-{n:08x}\n",
            if n % 3 == 0 { "off" } else { "on" }
        )
    });
    for (process, admin_address) in admin_addresses.iter().enumerate() {
        let stats = send_command(*admin_address, b"stats\n");
        assert!(
            stats.contains(&out_of_service(CACHES - CACHES / 3)),
            "process {process}: {stats}"
        );
    }
}
