//! The helper of all exchange tests: it starts the program, plays a text file against it and returns what the
//! program sent. Lines: `client NAME > BYTES`, `client NAME <` (one message), `client NAME end` (it closes),
//! `client NAME closed` (the program closed it), `cache > BYTES`, `cache <` (one request), `cache closed`,
//! `journal > EVENTS` (in answer to the next call), `journal moves` (SIGHUP, and the call that comes at the new
//! address), `reload TEXT` (SIGHUP with this for a configuration, and the log's line), `term`, `ended`. The one cache is s-00000001, the
//! parent s-00000002, the origin s-00000003. Bytes are text with \r, \n, \\ and \xNN.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

pub use transcript::*;

mod transcript;

/// Longer than anything takes; it ends a test that waits for what never comes.
const PATIENCE: Duration = Duration::from_secs(30);

pub const SETTINGS: &str = r#"{"index":0,"balancers":1,"locality":1,"dcs":["hub","edge"],
"kinds":["box","parent","origin"],"classes":[{"name":"sheet","slo":20000000,"hardLimit":30000000,
"idempotency":"free"},{"name":"record","slo":20000000,"hardLimit":30000000,"idempotency":"guarded",
"group":"all","repeatWindow":20000000}],"limits":{"maxAttempts":4,"cancel":true,"retryAfter":true,
"maxRetryAfter":100,"dialTimeout":400000,"keepalive":15000000},"rules":{"answerSlack":8000,"stopSendingWithin":250000,"coldFrom":0.17,
"rampTime":18000000,"fall":3000000,"fallMultiple":4.0},"domain":{"originKind":2,"midKind":1,"siblings":"any",
"notesGiven":"none","clientKbPerS":5000.0,"direct":true,"hubOf":[0,0],"passOn":[false,true],
"instancesByZone":[0,1],"parentFloor":0.1,"parentCold":21000000,"parentBreaksAt":2.0,"purgeSlack":1000000,
"purgeDone":6000000}}"#;

pub fn config(cache: SocketAddr, journal: SocketAddr) -> String {
    let line = |n: u32, kind: &str, zone: &str| {
        format!(
            r#"{{"name":"s-{n:08x}","address":"{cache}","zone":"{zone}","type":"{kind}","group":0,
            "status":"ready","weight":1,"since_ms":0}}"#
        )
    };
    let lines = [
        line(1, "box", "edge"),
        line(2, "parent", "hub"),
        line(3, "origin", "hub"),
    ]
    .join(",");
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{{"memory_mb":192,"sockets":1024}},
        "journal":"{journal}","known":{{"pos":1,"entries":[{{"pos":1,"hosts":{{"index":1,"snapshot":true,
        "endpoints":[{lines}]}}}}]}},"settings":{SETTINGS}}}"#
    )
}

pub struct Program {
    child: Child,
    file: PathBuf,
    log: Receiver<String>,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

impl Program {
    /// The next line of the log that has these words.
    pub fn line(&self, words: &str) -> String {
        let mut lines = std::iter::from_fn(|| self.log.recv_timeout(PATIENCE).ok());
        lines
            .find(|line| line.contains(words))
            .expect("a line in the log")
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn ended(&mut self) -> std::process::ExitStatus {
        self.child.wait().unwrap()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([name, &id])
            .status()
            .unwrap()
            .success());
    }

    /// Puts another configuration in place of the first; what the log says of it.
    pub fn reload(&self, config: &str) -> String {
        std::fs::write(&self.file, config).unwrap();
        self.signal("-HUP");
        std::iter::from_fn(|| self.log.recv_timeout(PATIENCE).ok())
            .find_map(|line| line.find("reload: ").map(|at| line[at..].to_string()))
            .expect("a line in the log")
    }
}

pub fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_foldmux"));
    command
        .args(arguments)
        .env_remove("GW_LISTEN")
        .env_remove("GW_NAME")
        .env_remove("FOLDMUX_OPERATOR")
        .env_remove("FOLDMUX_LOG");
    command
}

/// Starts the program on this configuration; where it says that it serves.
pub fn start(config: &str) -> (Program, SocketAddr) {
    let (program, [serves, _]) = start_with(config, &[]);
    (program, serves.expect("an address"))
}

/// With more arguments; where it serves, and where its external processor is.
pub fn start_with(config: &str, arguments: &[&str]) -> (Program, [Option<SocketAddr>; 2]) {
    start_by(command(&[&["serve"], arguments].concat()), config)
}

/// Starts the program by this command.
pub fn start_by(mut command: Command, config: &str) -> (Program, [Option<SocketAddr>; 2]) {
    let file = std::env::temp_dir().join(format!(
        "foldmux-{}-{:?}",
        std::process::id(),
        config.as_ptr()
    ));
    std::fs::write(&file, config).unwrap();
    let mut child = command
        .env("GW_CONFIG", &file)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program");
    let mut lines = BufReader::new(child.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let (mut at, mut said) = ([None; 2], String::new());
    while at[0].is_none() {
        let line = lines
            .next()
            .unwrap_or_else(|| panic!("the program said: {said}"));
        let after = |words: &str| {
            line.split_once(words)
                .and_then(|(_, at)| at.trim().parse().ok())
        };
        at = [
            after(" is listening on "),
            at[1].or(after("external processor on ")),
        ];
        said += &line;
    }
    let (told, log) = channel();
    std::thread::spawn(move || lines.for_each(|line| drop(told.send(line))));
    (Program { child, file, log }, at)
}

/// A listener at an address of its own.
pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Plays the lines and returns them, with what the program sent in its places.
pub fn play(script: &str) -> String {
    let (caches, mut journal) = (listener(), listener());
    let (mut program, address) = start(&config(
        caches.local_addr().unwrap(),
        journal.local_addr().unwrap(),
    ));
    let mut clients: HashMap<String, BufReader<TcpStream>> = HashMap::new();
    let mut cache: Option<BufReader<TcpStream>> = None;
    let mut poll = None;
    let mut out = String::new();
    for line in script.lines().filter(|l| !l.is_empty()) {
        let words: Vec<&str> = line.splitn(4, ' ').collect();
        let told = match words[..] {
            ["client", name, ">", ref rest @ ..] => {
                let open = || BufReader::new(connected(TcpStream::connect(address).unwrap()));
                let client = clients.entry(name.to_string()).or_insert_with(open);
                client
                    .get_mut()
                    .write_all(&unescape(rest.first().unwrap_or(&"")))
                    .unwrap();
                String::new()
            }
            ["client", name, "<"] => message(clients.get_mut(name).unwrap()),
            ["client", name, "end"] => {
                drop(clients.remove(name));
                String::new()
            }
            ["client", name, "closed"] => ended(clients.get_mut(name).unwrap()),
            ["cache", "<"] => {
                // A connection is kept between requests; a new one comes where there is none.
                let mut held = cache.take().unwrap_or_else(|| accept(&caches));
                let told = request(&mut held);
                cache = Some(held);
                told
            }
            ["cache", ">", ..] => {
                let bytes = line.split_once("> ").unwrap().1;
                cache
                    .as_mut()
                    .unwrap()
                    .get_mut()
                    .write_all(&unescape(bytes))
                    .unwrap();
                String::new()
            }
            ["cache", "closed"] => ended(&mut cache.take().unwrap()),
            ["cache", "end"] => {
                drop(cache.take());
                String::new()
            }
            ["journal", ">", ..] => {
                let mut called = poll.take().unwrap_or_else(|| accept(&journal));
                let told = request(&mut called);
                let body = line.split_once("> ").unwrap().1;
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                called.get_mut().write_all(answer.as_bytes()).unwrap();
                poll = Some(called);
                told
            }
            // The program closes after an answer that it could not use.
            ["journal", "closed"] => ended(&mut poll.take().unwrap()),
            // The call that follows on an answer shows that it was taken.
            ["journal", "<"] => request(poll.as_mut().unwrap()),
            ["journal", "moves"] => {
                journal = listener();
                let (cache, address) =
                    (caches.local_addr().unwrap(), journal.local_addr().unwrap());
                program.reload(&config(cache, address));
                let mut left = poll
                    .replace(accept(&journal))
                    .expect("a call at the old address");
                format!("{}{}", ended(&mut left), request(poll.as_mut().unwrap()))
            }
            ["reload", ..] => program.reload(line.split_once(' ').unwrap().1),
            ["term"] => {
                program.signal("-TERM");
                // The signal is on its way until the program says so: what comes before that is not late.
                program.line("draining: ");
                String::new()
            }
            ["ended"] => program.child.wait().unwrap().to_string(),
            _ if line.starts_with('#') => String::new(),
            _ => panic!("no such line: {line}"),
        };
        writeln!(
            out,
            "{line}{}{told}",
            if told.is_empty() { "" } else { "\n    " }
        )
        .unwrap();
    }
    out
}

pub fn connected(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

/// The next connection; a program that makes none fails the test.
fn accept(listener: &TcpListener) -> BufReader<TcpStream> {
    let (told, heard) = channel();
    let listener = listener.try_clone().unwrap();
    std::thread::spawn(move || drop(told.send(listener.accept())));
    BufReader::new(connected(
        heard
            .recv_timeout(PATIENCE)
            .expect("a connection")
            .unwrap()
            .0,
    ))
}

/// The end of a connection: the program sent nothing more, and closed.
fn ended(stream: &mut BufReader<TcpStream>) -> String {
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest);
    escape(&rest)
}
