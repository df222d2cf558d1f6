//! The proxy as a process with an admin interface.
#![allow(dead_code)]

use crate::common;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// The time limit of every wait: longer than any step takes, so that only a failing test reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A running proxy; it is killed on drop.
pub struct AdminProcess {
    pub child: Child,
    pub log: Receiver<String>,
    pub client_address: SocketAddr,
    pub admin_address: SocketAddr,
}

impl Drop for AdminProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl AdminProcess {
    /// Writes `text` to the configuration file, sends SIGHUP and returns the log line of the reload.
    pub fn reload(&self, file: &std::path::Path, text: &str) -> String {
        std::fs::write(file, text).unwrap();
        let id = self.child.id().to_string();
        assert!(std::process::Command::new("kill")
            .args(["-HUP", &id])
            .status()
            .unwrap()
            .success());
        let mut lines = std::iter::from_fn(|| self.log.recv_timeout(TEST_TIMEOUT).ok());
        lines.find(|line| line.contains("reload: ")).unwrap()
    }
}

/// Starts the proxy with the configuration file `config`; `listen` overrides its client address.
pub fn start(config: &std::path::Path, listen: Option<SocketAddr>) -> Result<AdminProcess, String> {
    start_with_tmpdir(config, listen, None)
}

/// As [`start`], with `tmp` as TMPDIR: the proxy stores there which pop caches are in maintenance.
pub fn start_with_tmpdir(
    config: &std::path::Path,
    listen: Option<SocketAddr>,
    tmp: Option<&std::path::Path>,
) -> Result<AdminProcess, String> {
    let mut command = common::command(&["serve"]);
    command
        .env("GW_CONFIG", config)
        .env("GW_OPERATOR", "127.0.0.1:0")
        .env_remove("TMPDIR");
    if let Some(tmp) = tmp {
        command.env("TMPDIR", tmp);
    }
    if let Some(listen) = listen {
        command.env("GW_LISTEN", listen.to_string());
    }
    spawn(command)
}

/// Starts the proxy with `command` and returns once it listens for clients and for admin commands.
///
/// # Errors
///
/// The log, if the process ends first.
pub fn spawn(mut command: Command) -> Result<AdminProcess, String> {
    let mut child = command
        .stderr(Stdio::piped())
        .spawn()
        .expect("a running proxy");
    let mut lines = BufReader::new(child.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let (mut client_address, mut admin_address, mut log_so_far) = (None, None, String::new());
    while client_address.is_none() || admin_address.is_none() {
        let Some(line) = lines.next() else {
            let _ = child.wait();
            return Err(log_so_far);
        };
        let address_after = |words: &str| {
            line.split_once(words)
                .and_then(|(_, address)| address.trim().parse().ok())
        };
        client_address = client_address.or(address_after(" is listening on "));
        admin_address = admin_address.or(address_after("admin interface on "));
        log_so_far += &line;
    }
    let (sender, log) = channel();
    std::thread::spawn(move || lines.for_each(|line| drop(sender.send(line))));
    Ok(AdminProcess {
        child,
        log,
        client_address: client_address.unwrap(),
        admin_address: admin_address.unwrap(),
    })
}

/// Writes the standard configuration to a file named after `name`, and returns the file with the listeners of its caches
/// and its journal service.
pub fn write_config(name: &str) -> (std::path::PathBuf, TcpListener, TcpListener) {
    let listener = || TcpListener::bind("127.0.0.1:0").unwrap();
    let (caches, journal) = (listener(), listener());
    let config = common::config(caches.local_addr().unwrap(), journal.local_addr().unwrap());
    let file = std::env::temp_dir().join(format!("foldmux-admin-{name}-{}", std::process::id()));
    std::fs::write(&file, config).unwrap();
    (file, caches, journal)
}

/// Sends `line` to the admin interface on a new connection and reads the response: one line, or up to `end` after `stats`.
pub fn send_command(admin_address: SocketAddr, line: &[u8]) -> String {
    let stream = TcpStream::connect(admin_address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    (&stream).write_all(line).unwrap();
    let mut reader = BufReader::new(stream);
    let mut response = String::new();
    loop {
        let mut next_line = String::new();
        if reader.read_line(&mut next_line).unwrap() == 0 {
            break;
        }
        response += &next_line;
        let complete = !response.starts_with("done\n") || next_line == "end\n";
        if complete {
            break;
        }
    }
    response
}
