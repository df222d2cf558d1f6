//! An operator's tree stays in service over a reload of the settings, whatever those say of hubs.

use admin_process::{spawned, AdminProcess};
use foldmux_fakes::rpc::Said;
use held_attempts::{ask, Attempt, BODY};
use std::net::{SocketAddr, TcpListener};

#[path = "common/admin_process.rs"]
mod admin_process;
mod common;
#[path = "common/held_attempts.rs"]
mod held_attempts;

/// The tree has this proxy's zone and `south` at one hub; the settings, this proxy's zone and `north`.
const TREE: &str = r#"
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

/// Of which neighbour a miss is filled.
fn is_filled_from(running: &AdminProcess, caches: &TcpListener, object: u64, sibling: &str) {
    let asked = ask(running.serves, "sheet", object);
    let attempt = Attempt::next(caches);
    assert!(attempt.head.contains(sibling), "{}", attempt.head);
    attempt.serve();
    assert_eq!(asked.said(), Some(Said::Served(BODY.to_vec())));
}

#[test]
fn a_reload_leaves_the_tree_in_service_also_where_the_operators_file_is_broken_by_then() {
    let [caches, journal] = [0; 2].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let folder = tempfile::tempdir().unwrap();
    let [file, operator] = ["config.json", "foldmux.star"].map(|name| folder.path().join(name));
    let text = config(caches.local_addr().unwrap(), journal.local_addr().unwrap());
    std::fs::write(&file, &text).unwrap();
    std::fs::write(&operator, TREE).unwrap();
    let mut command = common::command(&["serve"]);
    command
        .env("GW_CONFIG", &file)
        .env("GW_OPERATOR", "127.0.0.1:0")
        .env_remove("TMPDIR");
    let running = spawned_with(command, &operator);
    is_filled_from(&running, &caches, 1, SOUTH);
    for (object, tree) in [(2, TREE), (3, "hub(")] {
        std::fs::write(&operator, tree).unwrap();
        assert!(running.reload(&file, &text).contains("reload: classes"));
        // The file of the operator is read after the settings: its line says that both are over.
        let mut lines =
            std::iter::from_fn(|| running.log.recv_timeout(admin_process::PATIENCE).ok());
        assert!(lines.any(|line| line.contains("rewire: ")));
        is_filled_from(&running, &caches, object, SOUTH);
    }
    drop(running);
    // Without the tree the settings hold: the test tells the two apart.
    let running = admin_process::start(&file, None).unwrap();
    is_filled_from(&running, &caches, 4, NORTH);
}

fn spawned_with(mut command: std::process::Command, operator: &std::path::Path) -> AdminProcess {
    command.env("FOLDMUX_OPERATOR", operator);
    spawned(command).expect("it serves")
}
