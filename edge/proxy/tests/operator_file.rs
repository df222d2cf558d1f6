//! The operator's file from the command line: what is printed, and what SIGHUP takes or refuses, by the program.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

mod common;

const PATIENCE: Duration = Duration::from_secs(30);
const TREE: &str = "hierarchy(epoch = 2, domain = \"f.example\")\narchive(\"archive\")\n\
    hub(\"hub\", parents = [\"archive\"])\nlocation(\"edge\", parents = [\"hub\"])\n";

fn told(arguments: &[&str]) -> (bool, String) {
    let output = common::command(arguments)
        .env_remove("GW_CONFIG")
        .output()
        .expect("the program");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8(text).unwrap())
}

fn root(file: &str) -> String {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(file)
        .display()
        .to_string()
}

/// A folder that goes with the test.
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
fn the_files_that_are_shipped_are_sound_and_their_plan_is_told() {
    let (well, text) = told(&["check-config", "--operator", &root("deploy/foldmux.star")]);
    assert!(
        well && text.contains("10 locations, 3 hubs, 3 of them shields"),
        "{text}"
    );
    let (old, new) = (
        root("deploy/foldmux.star"),
        root("rigs/simulator/scenarios/rewired.star"),
    );
    let (taken, text) = told(&["plan", &old, &new]);
    assert!(taken, "{text}");
    insta::assert_snapshot!("plan", text);
    let (taken, text) = told(&["plan", &new, &old]);
    assert!(
        !taken && text.contains("it would be refused: epoch 4 is older than epoch 5 in service"),
        "{text}"
    );
}

#[test]
fn a_faulty_file_is_one_line_for_each_fault_and_nothing_else() {
    let folder = Folder::new("faulty");
    let faulty =
        TREE.replace("[\"hub\"]", "[\"hub\", \"west\", \"archive\"]") + "relay(lease_ms = 1)\n";
    let file = folder.file("a.star", &faulty);
    let (well, text) = told(&["check-config", "--operator", &file]);
    assert_eq!(
        (well, text),
        (
            false,
            format!("foldmux: {file}:5: lease_ms: lower than 10\n")
        )
    );
    let file = folder.file("b.star", &faulty.replace("relay(lease_ms = 1)\n", ""));
    let (well, text) = told(&["check-config", "--operator", &file]);
    let lines: Vec<&str> = text.lines().collect();
    assert!(!well && lines.len() == 2, "{text}");
    assert_eq!(
        lines[0],
        format!("foldmux: {file}:4: edge names the parent west, which is not in the tree")
    );
    assert!(
        lines[1].contains(":4: location edge names the archive as a parent"),
        "{text}"
    );
    // A tree without this proxy's zone can't be used by it; by itself it is sound.
    let other = folder.file("c.star", &TREE.replace("\"edge\"", "\"porvoo\""));
    let config = folder.file(
        "config.json",
        &common::config(
            "127.0.0.1:9".parse().unwrap(),
            "127.0.0.1:9".parse().unwrap(),
        ),
    );
    let (well, text) = told(&["check-config", "--config", &config, "--operator", &other]);
    assert!(
        !well && text.contains("edge, this proxy's zone, is no location of the tree"),
        "{text}"
    );
    assert!(told(&["check-config", "--operator", &other]).0);
}

struct Serving {
    child: Child,
    log: Receiver<String>,
}

impl Serving {
    fn line(&self, holds: &str) -> String {
        std::iter::from_fn(|| self.log.recv_timeout(PATIENCE).ok())
            .find(|line| line.contains(holds))
            .unwrap_or_else(|| panic!("no line with {holds}"))
    }

    fn hup(&self) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill")
            .args(["-HUP", &id])
            .status()
            .unwrap()
            .success());
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn a_new_epoch_is_taken_in_service_and_a_bad_one_changes_nothing() {
    let folder = Folder::new("rewire");
    let operator = folder.file("foldmux.star", TREE);
    let nowhere = "127.0.0.1:9".parse().unwrap();
    let config = folder.file("config.json", &common::config(nowhere, nowhere));
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
        .expect("the program");
    let (told, log) = channel();
    let lines = BufReader::new(child.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    std::thread::spawn(move || lines.for_each(|line| drop(told.send(line))));
    let serving = Serving { child, log };
    let first = serving.line(" is listening on ");
    assert!(
        first.starts_with('{') && first.contains("\"level\":\"INFO\""),
        "{first}"
    );
    for (text, line) in [
        (TREE.replace("epoch = 2", "epoch = 3"), "rewire: tree 3-"),
        (
            TREE.replace("epoch = 2", "epoch = 1"),
            "epoch 1 is older than epoch 3 in service",
        ),
        (
            TREE.replace("epoch = 2", "epoch = 9")
                .replace("\"edge\"", "\"other\""),
            "is no location of the tree; all stays",
        ),
        ("hub(".to_string(), "foldmux.star:1: "),
        (
            TREE.replace("epoch = 2", "epoch = 1, instead_of = 3"),
            "rewire: tree 1-",
        ),
    ] {
        std::fs::write(&operator, text).unwrap();
        serving.hup();
        let told = serving.line("rewire: ");
        assert!(told.contains(line), "{told} has no {line}");
    }
}
