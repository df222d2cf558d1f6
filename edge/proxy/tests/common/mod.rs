//! Starts the proxy as a process, and plays recorded exchanges against it.
//!
//! A script has one step per line, and the transcript shows what the proxy sent below the step that read it:
//!
//! - `client NAME > BYTES` sends bytes, on a new connection if the client has none; `client NAME <` reads one message;
//!   `client NAME end` closes the connection; `client NAME closed` expects the proxy to close it.
//! - `cache > BYTES` sends a response; `cache <` reads one request; `cache end` closes the connection; `cache closed`
//!   expects the proxy to close it; `cache idle MS` lets so many milliseconds pass, in which the connection is quiet.
//! - `journal > EVENTS` answers the next poll; `journal <` reads the poll that follows; `journal closed` expects the proxy
//!   to close the connection; `journal moves` reloads with another journal address and expects a poll there.
//! - `reload TEXT` writes a new configuration, sends SIGHUP and shows the log line of the reload.
//! - `term` sends SIGTERM; `ended` waits for the process and shows its exit status.
//! - Lines that start with `#` are comments.
//!
//! The pop cache is s-00000001, the parent s-00000002 and the origin s-00000003; all have the address of one listener.
//! Bytes are text with the escapes \r, \n, \\ and \xNN.
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

/// The time limit of every wait: longer than any step takes, so that only a failing test reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub const SETTINGS: &str = r#"{"index":0,"balancers":1,"locality":1,"dcs":["hub","edge"],
"kinds":["box","parent","origin"],"classes":[{"name":"sheet","slo":20000000,"hardLimit":30000000,
"idempotency":"free"},{"name":"record","slo":20000000,"hardLimit":30000000,"idempotency":"guarded",
"group":"all","repeatWindow":20000000}],"limits":{"maxAttempts":4,"cancel":true,"retryAfter":true,
"maxRetryAfter":100,"dialTimeout":400000,"keepalive":15000000},"rules":{"answerSlack":8000,"stopSendingWithin":250000,"coldFrom":0.17,
"rampTime":18000000,"fall":3000000,"fallMultiple":4.0},"domain":{"originKind":2,"midKind":1,"siblings":"any",
"notesGiven":"none","clientKbPerS":5000.0,"direct":true,"hubOf":[0,0],"passOn":[false,true],
"instancesByZone":[0,1],"parentFloor":0.1,"parentCold":21000000,"parentBreaksAt":2.0,"purgeSlack":1000000,
"purgeDone":6000000}}"#;

/// The standard configuration: a pop cache, a parent and an origin, all at `cache`, and the journal service at `journal`.
pub fn config(cache: SocketAddr, journal: SocketAddr) -> String {
    let endpoint = |n: u32, kind: &str, zone: &str| {
        format!(
            r#"{{"name":"s-{n:08x}","address":"{cache}","zone":"{zone}","type":"{kind}","group":0,
            "status":"ready","weight":1,"since_ms":0}}"#
        )
    };
    let endpoints = [
        endpoint(1, "box", "edge"),
        endpoint(2, "parent", "hub"),
        endpoint(3, "origin", "hub"),
    ]
    .join(",");
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{{"memory_mb":192,"sockets":1024}},
        "journal":"{journal}","known":{{"pos":1,"entries":[{{"pos":1,"hosts":{{"index":1,"snapshot":true,
        "endpoints":[{endpoints}]}}}}]}},"settings":{SETTINGS}}}"#
    )
}

/// A running proxy; it is killed on drop.
pub struct ProxyProcess {
    child: Child,
    config_file: PathBuf,
    log: Receiver<String>,
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_file);
    }
}

impl ProxyProcess {
    /// Reads the log up to the next line that contains `words`, and returns that line.
    ///
    /// # Panics
    ///
    /// If no such line comes in time.
    pub fn wait_for_log(&self, words: &str) -> String {
        let mut lines = std::iter::from_fn(|| self.log.recv_timeout(TEST_TIMEOUT).ok());
        lines
            .find(|line| line.contains(words))
            .expect("a line in the log")
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the process to exit.
    pub fn wait(&mut self) -> std::process::ExitStatus {
        self.child.wait().unwrap()
    }

    /// Sends a signal, named as `kill` takes it: `-TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([name, &id])
            .status()
            .unwrap()
            .success());
    }

    /// Replaces the configuration file, sends SIGHUP and returns the log's text from `reload: ` on.
    pub fn reload(&self, config: &str) -> String {
        std::fs::write(&self.config_file, config).unwrap();
        self.signal("-HUP");
        std::iter::from_fn(|| self.log.recv_timeout(TEST_TIMEOUT).ok())
            .find_map(|line| line.find("reload: ").map(|at| line[at..].to_string()))
            .expect("a line in the log")
    }
}

/// The proxy's program with these arguments, without the environment variables that would change its configuration.
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

/// Starts the proxy with this configuration, and returns the address on which it listens for clients.
pub fn start(config: &str) -> (ProxyProcess, SocketAddr) {
    let (proxy, [address, _]) = start_with_args(config, &[]);
    (proxy, address.expect("an address"))
}

/// Starts the proxy with more arguments; returns the addresses of its client listener and of its external processor.
pub fn start_with_args(
    config: &str,
    arguments: &[&str],
) -> (ProxyProcess, [Option<SocketAddr>; 2]) {
    start_command(command(&[&["serve"], arguments].concat()), config)
}

/// As [`start_with_args`], with a command that runs the proxy. Returns once the proxy listens for clients.
pub fn start_command(
    mut command: Command,
    config: &str,
) -> (ProxyProcess, [Option<SocketAddr>; 2]) {
    let config_file = std::env::temp_dir().join(format!(
        "foldmux-{}-{:?}",
        std::process::id(),
        config.as_ptr()
    ));
    std::fs::write(&config_file, config).unwrap();
    let mut child = command
        .env("GW_CONFIG", &config_file)
        .stderr(Stdio::piped())
        .spawn()
        .expect("a running proxy");
    let mut lines = BufReader::new(child.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let (mut addresses, mut log_so_far) = ([None; 2], String::new());
    while addresses[0].is_none() {
        let line = lines
            .next()
            .unwrap_or_else(|| panic!("the proxy exited with the log: {log_so_far}"));
        let address_after = |words: &str| {
            line.split_once(words)
                .and_then(|(_, address)| address.trim().parse().ok())
        };
        addresses = [
            address_after(" is listening on "),
            addresses[1].or(address_after("external processor on ")),
        ];
        log_so_far += &line;
    }
    let (sender, log) = channel();
    std::thread::spawn(move || lines.for_each(|line| drop(sender.send(line))));
    let proxy = ProxyProcess {
        child,
        config_file,
        log,
    };
    (proxy, addresses)
}

/// A listener on a free loopback port.
pub fn bind_loopback() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Plays a script and returns its transcript. The steps are described at the head of this module.
pub fn play_script(script: &str) -> String {
    let (caches, mut journal) = (bind_loopback(), bind_loopback());
    let (mut proxy, address) = start(&config(
        caches.local_addr().unwrap(),
        journal.local_addr().unwrap(),
    ));
    let mut clients: HashMap<String, BufReader<TcpStream>> = HashMap::new();
    let mut cache: Option<BufReader<TcpStream>> = None;
    let mut poll = None;
    let mut transcript = String::new();
    for line in script.lines().filter(|l| !l.is_empty()) {
        let words: Vec<&str> = line.splitn(4, ' ').collect();
        let received = match words[..] {
            ["client", name, ">", ref rest @ ..] => {
                let open =
                    || BufReader::new(with_read_timeout(TcpStream::connect(address).unwrap()));
                let client = clients.entry(name.to_string()).or_insert_with(open);
                client
                    .get_mut()
                    .write_all(&unescape(rest.first().unwrap_or(&"")))
                    .unwrap();
                String::new()
            }
            ["client", name, "<"] => read_message(clients.get_mut(name).unwrap()),
            ["client", name, "end"] => {
                drop(clients.remove(name));
                String::new()
            }
            ["client", name, "closed"] => read_until_closed(clients.get_mut(name).unwrap()),
            ["cache", "<"] => {
                // The connection stays open between requests.
                let mut connection = cache.take().unwrap_or_else(|| accept(&caches));
                let received = read_request(&mut connection);
                cache = Some(connection);
                received
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
            ["cache", "idle", time] => {
                std::thread::sleep(Duration::from_millis(time.parse().unwrap()));
                String::new()
            }
            ["cache", "closed"] => read_until_closed(&mut cache.take().unwrap()),
            ["cache", "end"] => {
                drop(cache.take());
                String::new()
            }
            ["journal", ">", ..] => {
                let mut connection = poll.take().unwrap_or_else(|| accept(&journal));
                let received = read_request(&mut connection);
                let body = line.split_once("> ").unwrap().1;
                let response = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                connection.get_mut().write_all(response.as_bytes()).unwrap();
                poll = Some(connection);
                received
            }
            // The proxy closes the connection after a response that it can't use.
            ["journal", "closed"] => read_until_closed(&mut poll.take().unwrap()),
            // The poll that follows a response shows that the response was applied.
            ["journal", "<"] => read_request(poll.as_mut().unwrap()),
            ["journal", "moves"] => {
                journal = bind_loopback();
                let (cache, address) =
                    (caches.local_addr().unwrap(), journal.local_addr().unwrap());
                proxy.reload(&config(cache, address));
                let mut old_poll = poll
                    .replace(accept(&journal))
                    .expect("a poll at the old address");
                format!(
                    "{}{}",
                    read_until_closed(&mut old_poll),
                    read_request(poll.as_mut().unwrap())
                )
            }
            ["reload", ..] => proxy.reload(line.split_once(' ').unwrap().1),
            ["term"] => {
                proxy.signal("-TERM");
                // What the script sends before this log line may still be handled as if before the signal.
                proxy.wait_for_log("draining: ");
                String::new()
            }
            ["ended"] => proxy.child.wait().unwrap().to_string(),
            _ if line.starts_with('#') => String::new(),
            _ => panic!("unknown step: {line}"),
        };
        writeln!(
            transcript,
            "{line}{}{received}",
            if received.is_empty() { "" } else { "\n    " }
        )
        .unwrap();
    }
    transcript
}

/// Sets the read timeout of all tests on a stream.
pub fn with_read_timeout(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// Accepts the next connection.
///
/// # Panics
///
/// If none comes in time.
fn accept(listener: &TcpListener) -> BufReader<TcpStream> {
    let (sender, receiver) = channel();
    let listener = listener.try_clone().unwrap();
    std::thread::spawn(move || drop(sender.send(listener.accept())));
    BufReader::new(with_read_timeout(
        receiver
            .recv_timeout(TEST_TIMEOUT)
            .expect("a connection")
            .unwrap()
            .0,
    ))
}

/// Reads until the proxy closes the connection or resets it, and returns what it sent before.
fn read_until_closed(stream: &mut BufReader<TcpStream>) -> String {
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest);
    escape(&rest)
}
