//! Three real programs by one operator's file: they see each other, miss one that is killed, and see it again.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

mod common;

const PATIENCE: Duration = Duration::from_secs(25);

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
        // A loopback address of this process's own: no other takes its ports between draw and use.
        let process = std::process::id();
        let ip = [127, 192 + (process >> 8 & 31) as u8, process as u8, 1];
        let held: Vec<_> = (0..3)
            .map(|_| TcpListener::bind(SocketAddr::from((ip, 0))).unwrap())
            .collect();
        let addresses: Vec<SocketAddr> = held.iter().map(|l| l.local_addr().unwrap()).collect();
        let nowhere = "127.0.0.1:9".parse().unwrap();
        std::fs::write(folder.join("config.json"), common::config(nowhere, nowhere)).unwrap();
        std::fs::write(folder.join("fleet.key"), "0123456789abcdef".repeat(4)).unwrap();
        Fleet { folder, addresses }
    }

    fn file(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    fn operator(&self, n: usize) -> String {
        let key = self.file("fleet.key");
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

    fn command(&self, n: usize, operator: &str) -> Command {
        let file = self.file(&format!("n{n}.star"));
        std::fs::write(&file, operator).unwrap();
        let config = self.file("config.json");
        let mut command = common::command(&["serve", "--config", &config, "--operator", &file]);
        command
            .env("GW_NAME", format!("n{n}"))
            .stderr(Stdio::piped());
        command
    }

    fn start(&self, n: usize) -> Process {
        let mut child = self.command(n, &self.operator(n)).spawn().unwrap();
        let (told, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap())
            .lines()
            .map_while(Result::ok);
        std::thread::spawn(move || lines.for_each(|line| drop(told.send(line))));
        Process { child, log }
    }

    /// What a start that fails says.
    fn refused(&self, n: usize, operator: &str) -> String {
        let output = self.command(n, operator).output().unwrap();
        assert!(!output.status.success());
        String::from_utf8(output.stderr).unwrap()
    }
}

impl Process {
    /// Waits for lines with each of these words, in any order.
    fn lines(&self, words: &[&str]) {
        let (mut left, mut log) = (words.to_vec(), String::new());
        while !left.is_empty() {
            let line = self.log.recv_timeout(PATIENCE);
            let line = line.unwrap_or_else(|_| panic!("no line with {left:?} in\n{log}"));
            left.retain(|words| !line.contains(words));
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
fn three_processes_see_each_other_and_one_that_is_killed_started_again_and_told_to_leave() {
    let fleet = Fleet::new("fleet");
    let mut all: Vec<Process> = (0..3).map(|n| fleet.start(n)).collect();
    all[0].lines(&[
        "fleet: n1 is up",
        "fleet: n2 is up",
        "members: n1 at",
        "members: n2 at",
    ]);
    all[1].lines(&[
        "fleet: n0 is up",
        "fleet: n2 is up",
        "members: n0 at",
        "members: n2 at",
    ]);
    all[2].lines(&[
        "fleet: n0 is up",
        "fleet: n1 is up",
        "members: n0 at",
        "members: n1 at",
    ]);
    all[2].kill();
    (0..2).for_each(|n| all[n].lines(&["fleet: n2 is down"]));
    all[2] = fleet.start(2);
    (0..2).for_each(|n| all[n].lines(&["fleet: n2 is up"]));
    all[2].lines(&[
        "fleet: n0 is up",
        "fleet: n1 is up",
        "members: n0 at",
        "members: n1 at",
    ]);
    let id = all[1].child.id().to_string();
    assert!(Command::new("kill")
        .args(["-TERM", &id])
        .status()
        .unwrap()
        .success());
    [0, 2]
        .iter()
        .for_each(|&n| all[n].lines(&["members: n1 left", "fleet: n1 is down"]));
    assert!(all[1].child.wait().unwrap().success());
}

#[test]
fn a_fleet_that_cannot_be_is_one_line_at_the_start_and_one_without_this_process_is_off() {
    let fleet = Fleet::new("no-fleet");
    let whole = fleet.operator(0);
    let missing = fleet.refused(0, &whole.replace("fleet.key", "none.key"));
    assert!(
        missing.starts_with("foldmux: fleet: key_file ") && missing.contains("none.key: "),
        "{missing}"
    );
    std::fs::write(fleet.folder.join("short.key"), "abc").unwrap();
    let short = fleet.refused(0, &whole.replace("fleet.key", "short.key"));
    assert!(
        short.contains("short.key: expected 64 hexadecimal digits"),
        "{short}"
    );
    let strange = fleet.refused(0, &(whole.clone() + "cover(\"nothing\")\n"));
    assert!(
        strange.contains("n0.star:8: cover names the class nothing"),
        "{strange}"
    );
    let mut stranger = fleet
        .command(0, &whole)
        .env("GW_NAME", "n7")
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(stranger.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let off = lines.find(|line| line.contains("fleet: ") || line.contains(" is listening on "));
    let _ = stranger.kill();
    let _ = stranger.wait();
    assert!(
        off.as_ref()
            .is_some_and(|line| line.contains("\"n7\" is not one of its peers")),
        "{off:?}"
    );
}
