//! The hierarchy of the operator's file stays in service across a reload of the settings, whatever hubs those name.

use admin_process::{spawn, AdminProcess};
use foldmux_fakes::rpc::Said;
use held_attempts::{send_request, Attempt, BODY};
use std::net::{SocketAddr, TcpListener};

#[path = "common/admin_process.rs"]
mod admin_process;
mod common;
#[path = "common/held_attempts.rs"]
mod held_attempts;

/// Here this proxy's zone shares its hub with `south`; in the settings it shares its hub with `north`.
const HIERARCHY: &str = r#"
hierarchy(epoch = 2, domain = "f.example")
archive("archive")
hub("hub", parents = ["archive"])
hub("west", parents = ["archive"])
location("edge", parents = ["west"])
location("north", parents = ["hub"])
location("south", parents = ["west"])
"#;
const NORTH: &str = "X-Fill-From: s-00000004";
const SOUTH: &str = "X-Fill-From: s-00000005";

fn config(caches: SocketAddr, journal: SocketAddr) -> String {
    let sibling = |id: u32, zone: &str| {
        format!(
            r#"{{"name":"s-{id:08x}","address":"{caches}","zone":"{zone}","type":"box","status":"ready","weight":1}},"#
        )
    };
    let siblings = sibling(4, "north") + &sibling(5, "south");
    common::config(caches, journal)
        .replace("\"endpoints\":[", &format!("\"endpoints\":[{siblings}"))
        .replace(
            r#""dcs":["hub","edge"]"#,
            r#""dcs":["hub","edge","west","north","south"]"#,
        )
        .replace("\"hubOf\":[0,0]", "\"hubOf\":[0,0,2,0,2]")
        .replace(
            "\"instancesByZone\":[0,1]",
            "\"instancesByZone\":[0,1,0,0,0]",
        )
}

/// Asserts that the attempt names this sibling as the source of a fill.
fn assert_filled_from(proxy: &AdminProcess, caches: &TcpListener, object: u64, sibling: &str) {
    let request = send_request(proxy.client_address, "sheet", object);
    let attempt = Attempt::accept(caches);
    assert!(attempt.head.contains(sibling), "{}", attempt.head);
    attempt.serve();
    assert_eq!(request.wait(), Some(Said::Served(BODY.to_vec())));
}

#[test]
fn a_reload_keeps_the_hierarchy_also_if_the_operators_file_is_invalid_by_then() {
    let [caches, journal] = [0; 2].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let folder = tempfile::tempdir().unwrap();
    let [config_file, operator_file] =
        ["config.json", "foldmux.star"].map(|name| folder.path().join(name));
    let text = config(caches.local_addr().unwrap(), journal.local_addr().unwrap());
    std::fs::write(&config_file, &text).unwrap();
    std::fs::write(&operator_file, HIERARCHY).unwrap();
    let mut command = common::command(&["serve"]);
    command
        .env("GW_CONFIG", &config_file)
        .env("GW_OPERATOR", "127.0.0.1:0")
        .env_remove("TMPDIR");
    let proxy = spawn_with_operator_file(command, &operator_file);
    assert_filled_from(&proxy, &caches, 1, SOUTH);
    for (object, hierarchy) in [(2, HIERARCHY), (3, "hub(")] {
        std::fs::write(&operator_file, hierarchy).unwrap();
        assert!(proxy
            .reload(&config_file, &text)
            .contains("reload: classes"));
        // The operator's file is read after the settings: its log line shows that both reloads are done.
        let mut lines =
            std::iter::from_fn(|| proxy.log.recv_timeout(admin_process::TEST_TIMEOUT).ok());
        assert!(lines.any(|line| line.contains("rewire: ")));
        assert_filled_from(&proxy, &caches, object, SOUTH);
    }
    drop(proxy);
    // Without the operator's file the hubs of the settings apply: the two cases differ as intended.
    let proxy = admin_process::start(&config_file, None).unwrap();
    assert_filled_from(&proxy, &caches, 4, NORTH);
}

fn spawn_with_operator_file(
    mut command: std::process::Command,
    operator_file: &std::path::Path,
) -> AdminProcess {
    command.env("FOLDMUX_OPERATOR", operator_file);
    spawn(command).expect("a running proxy")
}
