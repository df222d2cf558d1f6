//! Three proxy processes of one fleet: they find each other, notice that one is killed, and find it again after its restart.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

mod common;

const TEST_TIMEOUT: Duration = Duration::from_secs(25);

/// The files and addresses of a fleet of three.
struct Fleet {
    folder: PathBuf,
    addresses: Vec<SocketAddr>,
}

struct Process {
    child: Child,
    log: Receiver<String>,
}

impl Fleet {
    fn new(name: &str) -> Fleet {
        let folder = std::env::temp_dir().join(format!("foldmux-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        // A loopback address derived from the process id: no other process takes its ports between choice and use.
        let process = std::process::id();
        let ip = [127, 192 + (process >> 8 & 31) as u8, process as u8, 1];
        let listeners: Vec<_> = (0..3)
            .map(|_| TcpListener::bind(SocketAddr::from((ip, 0))).unwrap())
            .collect();
        let addresses: Vec<SocketAddr> =
            listeners.iter().map(|l| l.local_addr().unwrap()).collect();
        let unused_address = "127.0.0.1:9".parse().unwrap();
        std::fs::write(
            folder.join("config.json"),
            common::config(unused_address, unused_address),
        )
        .unwrap();
        std::fs::write(folder.join("fleet.key"), "0123456789abcdef".repeat(4)).unwrap();
        Fleet { folder, addresses }
    }

    fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    fn operator_file(&self, n: usize) -> String {
        let key = self.path("fleet.key");
        let mut text = format!(
            "fleet(listen = \"{}\", key_file = \"{key}\")\n",
            self.addresses[n]
        );
        for (n, address) in self.addresses.iter().enumerate() {
            text += &format!(
                "peer(\"n{n}\", address = \"{address}\", site = \"edge\")\nseat(\"n{n}\")\n"
            );
        }
        text
    }

    fn command(&self, n: usize, operator_file: &str) -> Command {
        let file = self.path(&format!("n{n}.star"));
        std::fs::write(&file, operator_file).unwrap();
        let config = self.path("config.json");
        let mut command = common::command(&["serve", "--config", &config, "--operator", &file]);
        command
            .env("GW_NAME", format!("n{n}"))
            .stderr(Stdio::piped());
        command
    }

    fn start(&self, n: usize) -> Process {
        let mut child = self.command(n, &self.operator_file(n)).spawn().unwrap();
        let (sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap())
            .lines()
            .map_while(Result::ok);
        std::thread::spawn(move || lines.for_each(|line| drop(sender.send(line))));
        Process { child, log }
    }

    /// The error output of a start that must fail.
    fn failed_start(&self, n: usize, operator_file: &str) -> String {
        let output = self.command(n, operator_file).output().unwrap();
        assert!(!output.status.success());
        String::from_utf8(output.stderr).unwrap()
    }
}

impl Process {
    /// Waits for log lines that contain each of these patterns, in any order.
    fn wait_for_log(&self, patterns: &[&str]) {
        let (mut missing, mut log) = (patterns.to_vec(), String::new());
        while !missing.is_empty() {
            let line = self.log.recv_timeout(TEST_TIMEOUT);
            let line = line.unwrap_or_else(|_| panic!("no line with {missing:?} in\n{log}"));
            missing.retain(|pattern| !line.contains(pattern));
            log += &format!("{line}\n");
        }
    }

    fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn three_processes_see_a_peer_that_is_killed_restarted_and_shut_down() {
    let fleet = Fleet::new("fleet");
    let mut processes: Vec<Process> = (0..3).map(|n| fleet.start(n)).collect();
    processes[0].wait_for_log(&[
        "fleet: n1 is up",
        "fleet: n2 is up",
        "members: n1 at",
        "members: n2 at",
    ]);
    processes[1].wait_for_log(&[
        "fleet: n0 is up",
        "fleet: n2 is up",
        "members: n0 at",
        "members: n2 at",
    ]);
    processes[2].wait_for_log(&[
        "fleet: n0 is up",
        "fleet: n1 is up",
        "members: n0 at",
        "members: n1 at",
    ]);
    processes[2].kill();
    (0..2).for_each(|n| processes[n].wait_for_log(&["fleet: n2 is down"]));
    processes[2] = fleet.start(2);
    (0..2).for_each(|n| processes[n].wait_for_log(&["fleet: n2 is up"]));
    processes[2].wait_for_log(&[
        "fleet: n0 is up",
        "fleet: n1 is up",
        "members: n0 at",
        "members: n1 at",
    ]);
    let id = processes[1].child.id().to_string();
    assert!(Command::new("kill")
        .args(["-TERM", &id])
        .status()
        .unwrap()
        .success());
    [0, 2]
        .iter()
        .for_each(|&n| processes[n].wait_for_log(&["members: n1 left", "fleet: n1 is down"]));
    assert!(processes[1].child.wait().unwrap().success());
}

#[test]
fn an_invalid_fleet_fails_the_start_with_one_line_and_one_without_this_process_is_disabled() {
    let fleet = Fleet::new("no-fleet");
    let valid = fleet.operator_file(0);
    let missing = fleet.failed_start(0, &valid.replace("fleet.key", "none.key"));
    assert!(
        missing.starts_with("foldmux: fleet: key_file ") && missing.contains("none.key: "),
        "{missing}"
    );
    std::fs::write(fleet.folder.join("short.key"), "abc").unwrap();
    let short = fleet.failed_start(0, &valid.replace("fleet.key", "short.key"));
    assert!(
        short.contains("short.key: expected 64 hexadecimal digits"),
        "{short}"
    );
    let unknown_class = fleet.failed_start(0, &(valid.clone() + "cover(\"nothing\")\n"));
    assert!(
        unknown_class.contains("n0.star:8: cover names the class nothing"),
        "{unknown_class}"
    );
    let mut outsider = fleet
        .command(0, &valid)
        .env("GW_NAME", "n7")
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(outsider.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let first_line =
        lines.find(|line| line.contains("fleet: ") || line.contains(" is listening on "));
    let _ = outsider.kill();
    let _ = outsider.wait();
    assert!(
        first_line
            .as_ref()
            .is_some_and(|line| line.contains("\"n7\" is not one of its peers")),
        "{first_line:?}"
    );
}
