//! The program with its admin interface.
#![allow(dead_code)]

use crate::common;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

pub const PATIENCE: Duration = Duration::from_secs(30);

pub struct AdminProcess {
    pub child: Child,
    pub log: Receiver<String>,
    pub serves: SocketAddr,
    pub operator: SocketAddr,
}

impl Drop for AdminProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl AdminProcess {
    /// What the log says of a reload of `file` with this text.
    pub fn reload(&self, file: &std::path::Path, text: &str) -> String {
        std::fs::write(file, text).unwrap();
        let id = self.child.id().to_string();
        assert!(std::process::Command::new("kill")
            .args(["-HUP", &id])
            .status()
            .unwrap()
            .success());
        let mut lines = std::iter::from_fn(|| self.log.recv_timeout(PATIENCE).ok());
        lines.find(|line| line.contains("reload: ")).unwrap()
    }
}

/// Starts the program on `config`, its client address overridden by `listen` where given.
pub fn start(config: &std::path::Path, listen: Option<SocketAddr>) -> Result<AdminProcess, String> {
    start_in(config, listen, None)
}

/// As `start`, with `$TMPDIR` where given: there the pop caches out by hand are kept.
pub fn start_in(
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
    spawned(command)
}

/// Starts the program by this command; once it serves and its operator line does.
pub fn spawned(mut command: Command) -> Result<AdminProcess, String> {
    let mut child = command.stderr(Stdio::piped()).spawn().expect("the program");
    let mut lines = BufReader::new(child.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let (mut serves, mut operator, mut said) = (None, None, String::new());
    while serves.is_none() || operator.is_none() {
        let Some(line) = lines.next() else {
            let _ = child.wait();
            return Err(said);
        };
        let after = |words: &str| {
            line.split_once(words)
                .and_then(|(_, at)| at.trim().parse().ok())
        };
        serves = serves.or(after(" is listening on "));
        operator = operator.or(after("admin interface on "));
        said += &line;
    }
    let (told, log) = channel();
    std::thread::spawn(move || lines.for_each(|line| drop(told.send(line))));
    Ok(AdminProcess {
        child,
        log,
        serves: serves.unwrap(),
        operator: operator.unwrap(),
    })
}

pub fn configured(name: &str) -> (std::path::PathBuf, TcpListener, TcpListener) {
    let listener = || TcpListener::bind("127.0.0.1:0").unwrap();
    let (caches, journal) = (listener(), listener());
    let config = common::config(caches.local_addr().unwrap(), journal.local_addr().unwrap());
    let file = std::env::temp_dir().join(format!("foldmux-days-{name}-{}", std::process::id()));
    std::fs::write(&file, config).unwrap();
    (file, caches, journal)
}

/// Sends `line` on a new connection and reads the answer: one line, or up to `end` after `stats`.
pub fn call(operator: SocketAddr, line: &[u8]) -> String {
    let stream = TcpStream::connect(operator).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    (&stream).write_all(line).unwrap();
    let mut reader = BufReader::new(stream);
    let mut answer = String::new();
    loop {
        let mut one = String::new();
        if reader.read_line(&mut one).unwrap() == 0 {
            break;
        }
        answer += &one;
        let whole = !answer.starts_with("done\n") || one == "end\n";
        if whole {
            break;
        }
    }
    answer
}
