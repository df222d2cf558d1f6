//! The operator's file: the output of `check-config` and `plan`, and which files a reload accepts or rejects.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

mod common;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const HIERARCHY: &str = "hierarchy(epoch = 2, domain = \"f.example\")\narchive(\"archive\")\n\
    hub(\"hub\", parents = [\"archive\"])\nlocation(\"edge\", parents = [\"hub\"])\n";

/// Runs a command to its end; whether it succeeded, and its output and error output.
fn run(arguments: &[&str]) -> (bool, String) {
    let output = common::command(arguments)
        .env_remove("GW_CONFIG")
        .output()
        .expect("the output of the program");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8(text).unwrap())
}

/// The path of a file of the repository.
fn repository_file(file: &str) -> String {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(file)
        .display()
        .to_string()
}

/// A temporary folder that is removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("foldmux-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }

    fn file(&self, name: &str, text: &str) -> String {
        let file = self.0.join(name);
        std::fs::write(&file, text).unwrap();
        file.display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn the_shipped_files_are_valid_and_their_plan_is_printed() {
    let (ok, text) = run(&[
        "check-config",
        "--operator",
        &repository_file("deploy/foldmux.star"),
    ]);
    assert!(
        ok && text.contains("10 locations, 3 hubs, 3 of them shields"),
        "{text}"
    );
    let (old, new) = (
        repository_file("deploy/foldmux.star"),
        repository_file("rigs/simulator/scenarios/rewired.star"),
    );
    let (ok, text) = run(&["plan", &old, &new]);
    assert!(ok, "{text}");
    insta::assert_snapshot!("plan", text);
    let (ok, text) = run(&["plan", &new, &old]);
    assert!(
        !ok && text
            .contains("the new tree would be rejected: epoch 4 is older than epoch 5 in service"),
        "{text}"
    );
}

#[test]
fn an_invalid_file_prints_one_line_per_error_and_nothing_else() {
    let folder = Folder::new("faulty");
    let invalid = HIERARCHY.replace("[\"hub\"]", "[\"hub\", \"west\", \"archive\"]")
        + "relay(lease_ms = 1)\n";
    let file = folder.file("a.star", &invalid);
    let (ok, text) = run(&["check-config", "--operator", &file]);
    assert_eq!(
        (ok, text),
        (
            false,
            format!("foldmux: {file}:5: lease_ms: lower than 10\n")
        )
    );
    let file = folder.file("b.star", &invalid.replace("relay(lease_ms = 1)\n", ""));
    let (ok, text) = run(&["check-config", "--operator", &file]);
    let lines: Vec<&str> = text.lines().collect();
    assert!(!ok && lines.len() == 2, "{text}");
    assert_eq!(
        lines[0],
        format!("foldmux: {file}:4: edge names the parent west, which is not in the tree")
    );
    assert!(
        lines[1].contains(":4: location edge names the archive as a parent"),
        "{text}"
    );
    // A hierarchy without this proxy's zone is valid by itself, but not together with this configuration.
    let other = folder.file("c.star", &HIERARCHY.replace("\"edge\"", "\"porvoo\""));
    let config = folder.file(
        "config.json",
        &common::config(
            "127.0.0.1:9".parse().unwrap(),
            "127.0.0.1:9".parse().unwrap(),
        ),
    );
    let (ok, text) = run(&["check-config", "--config", &config, "--operator", &other]);
    assert!(
        !ok && text.contains("this proxy's zone edge is not a location of the tree"),
        "{text}"
    );
    assert!(run(&["check-config", "--operator", &other]).0);
}

struct RunningProxy {
    child: Child,
    log: Receiver<String>,
}

impl RunningProxy {
    fn wait_for_log(&self, pattern: &str) -> String {
        std::iter::from_fn(|| self.log.recv_timeout(TEST_TIMEOUT).ok())
            .find(|line| line.contains(pattern))
            .unwrap_or_else(|| panic!("no log line with {pattern}"))
    }

    fn send_sighup(&self) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill")
            .args(["-HUP", &id])
            .status()
            .unwrap()
            .success());
    }
}

impl Drop for RunningProxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn a_reload_accepts_a_newer_epoch_and_rejects_an_invalid_hierarchy() {
    let folder = Folder::new("rewire");
    let operator = folder.file("foldmux.star", HIERARCHY);
    let unused_address = "127.0.0.1:9".parse().unwrap();
    let config = folder.file(
        "config.json",
        &common::config(unused_address, unused_address),
    );
    let arguments = [
        "serve",
        "--config",
        &config,
        "--operator",
        &operator,
        "--log",
        "json",
    ];
    let mut child = common::command(&arguments)
        .stderr(Stdio::piped())
        .spawn()
        .expect("a running proxy");
    let (sender, log) = channel();
    let lines = BufReader::new(child.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    std::thread::spawn(move || lines.for_each(|line| drop(sender.send(line))));
    let proxy = RunningProxy { child, log };
    let first = proxy.wait_for_log(" is listening on ");
    assert!(
        first.starts_with('{') && first.contains("\"level\":\"INFO\""),
        "{first}"
    );
    for (text, line) in [
        (
            HIERARCHY.replace("epoch = 2", "epoch = 3"),
            "rewire: tree 3-",
        ),
        (
            HIERARCHY.replace("epoch = 2", "epoch = 1"),
            "epoch 1 is older than epoch 3 in service",
        ),
        (
            HIERARCHY
                .replace("epoch = 2", "epoch = 9")
                .replace("\"edge\"", "\"other\""),
            "is not a location of the tree; all stays",
        ),
        ("hub(".to_string(), "foldmux.star:1: "),
        (
            HIERARCHY.replace("epoch = 2", "epoch = 1, instead_of = 3"),
            "rewire: tree 1-",
        ),
    ] {
        std::fs::write(&operator, text).unwrap();
        proxy.send_sighup();
        let log_line = proxy.wait_for_log("rewire: ");
        assert!(log_line.contains(line), "{log_line} doesn't contain {line}");
    }
}
