//! Idle clients, open requests and idle operators together ask for more descriptors than the process has, while discovery
//! is down: what is kept back for discovery, caches and the admin interface remains, and all goes on without a restart.

use admin_process::{call, spawned, AdminProcess, PATIENCE};
use foldmux_fakes::rpc::{Said, Terminal};
use held_attempts::{ask, Attempt, BODY};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;

#[path = "common/admin_process.rs"]
mod admin_process;
mod common;
#[path = "common/held_attempts.rs"]
mod held_attempts;

/// The process's limit on descriptors, also as its configuration says.
const DESCRIPTORS: usize = 128;
/// More connections than any part may have: idle clients, idle callers of the admin interface.
const MANY: usize = 150;
/// Numbers that the system gives out ahead, to a thread that waits in `accept`, and that no list of descriptors shows: that of
/// the admin interface, which waits there without a limit.
const GIVEN_AHEAD: usize = 1;
/// The system's name for a listening socket.
const LISTEN: &str = "0A";
/// Requests open at the caches at once, each on a connection of its own at both sides.
const OPEN: u64 = 40;

/// The program under the limit.
fn start(config: &Path) -> AdminProcess {
    let mut command = Command::new("sh");
    let script = format!("ulimit -n {DESCRIPTORS} && exec \"$0\" serve");
    command.args(["-c", &script, env!("CARGO_BIN_EXE_foldmux")]);
    for variable in [
        "GW_LISTEN",
        "GW_NAME",
        "FOLDMUX_OPERATOR",
        "FOLDMUX_LOG",
        "TMPDIR",
    ] {
        command.env_remove(variable);
    }
    command
        .env("GW_CONFIG", config)
        .env("GW_OPERATOR", "127.0.0.1:0");
    spawned(command).expect("it serves")
}

fn descriptors(running: &AdminProcess) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", running.child.id()))
        .unwrap()
        .count()
}

/// Connections in the queue of the listener at this address: come up, and accepted by nobody.
fn queued(at: SocketAddr) -> usize {
    let port = format!(":{:04X}", at.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let mut listeners = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let listens = fields[1].ends_with(&port) && fields[3] == LISTEN;
        listens.then(|| usize::from_str_radix(fields[4].split_once(':').unwrap().1, 16).unwrap())
    });
    listeners.next().expect("its listener")
}

/// Whether the thread that takes connections is asleep at this moment.
fn accepts_asleep(running: &AdminProcess) -> bool {
    let tasks = std::fs::read_dir(format!("/proc/{}/task", running.child.id())).unwrap();
    let stats =
        tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("stat")).ok());
    let mut accepts = stats.filter(|stat| stat.contains("(accept)"));
    accepts.any(|stat| {
        stat.rsplit_once(") ")
            .is_some_and(|(_, fields)| fields.starts_with('S'))
    })
}

fn dial(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    Some(stream)
}

/// Reads one poll of discovery up to the end of its head.
fn poll(stream: &mut TcpStream) -> String {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a poll");
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap()
}

#[test]
fn what_is_kept_back_remains_while_all_others_fill_the_descriptors_and_discovery_is_down() {
    let [caches, journal] = [0; 2].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let at = journal.local_addr().unwrap();
    let text = common::config(caches.local_addr().unwrap(), at);
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(
        &file,
        text.replace("\"sockets\":1024", &format!("\"sockets\":{DESCRIPTORS}")),
    )
    .unwrap();
    let running = start(&file);
    // Discovery was there once; then it goes, and nobody listens at its address.
    let (mut polling, _) = journal.accept().unwrap();
    assert!(poll(&mut polling).contains("tail=1"));
    drop((polling, journal));
    // Requests that their caches hold open.
    let (mut attempts, mut asked) = (Vec::new(), Vec::new());
    for object in 1..=OPEN {
        asked.push(ask(running.serves, "sheet", object));
        attempts.push(Attempt::next(&caches));
    }
    // Idle ones, at the front and at the admin interface: far more than there are places for.
    let idle: Vec<TcpStream> = (0..MANY).filter_map(|_| dial(running.serves)).collect();
    let operators: Vec<TcpStream> = (0..MANY).filter_map(|_| dial(running.operator)).collect();
    // One without a place is told so: the line still takes connections.
    let mut refused = String::new();
    operators
        .last()
        .unwrap()
        .read_to_string(&mut refused)
        .unwrap();
    assert!(refused.starts_with("error busy"), "{refused}");
    let held = descriptors(&running);
    println!("{held} descriptors of {DESCRIPTORS} in use");
    assert!(held < DESCRIPTORS, "{held} in use: none is kept back");
    // Discovery comes back where it was: it is found again, and what it says is taken.
    let journal = TcpListener::bind(at).expect("the address of discovery");
    let (mut polling, _) = journal.accept().unwrap();
    polling.set_read_timeout(Some(PATIENCE)).unwrap();
    assert!(
        poll(&mut polling).contains("tail=1"),
        "it goes on from the event that it had"
    );
    let events = r#"{"pos":2,"entries":[{"pos":2,"expire":{"set":17,"stamp":1764576000480}}]}"#;
    write!(
        polling,
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{events}",
        events.len()
    )
    .unwrap();
    assert!(poll(&mut polling).contains("tail=2"), "the event was taken");
    // All that were open are served.
    attempts.into_iter().for_each(Attempt::serve);
    for one in asked {
        assert_eq!(one.said(), Some(Said::Served(BODY.to_vec())));
    }
    drop(operators);
    // A place of the line is free once the program has read that its callers went.
    let mut answers = std::iter::repeat_with(|| call(running.operator, b"status\n")).take(1_000);
    assert_eq!(
        answers
            .find(|answer| !answer.starts_with("error busy"))
            .as_deref(),
        Some("done yes\n")
    );
    drop(idle);
    assert!(Terminal::connect(running.serves, PATIENCE)
        .unwrap()
        .well()
        .unwrap());
}

/// Descriptors that run out all the same, here by a limit far under what the configuration says.
#[test]
fn a_listener_without_descriptors_pauses_and_takes_clients_again_later() {
    let [caches, journal] = [0; 2].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    // It believes in eight times as many descriptors as there are.
    let text = common::config(caches.local_addr().unwrap(), journal.local_addr().unwrap());
    std::fs::write(&file, text).unwrap();
    let running = start(&file);
    let idle: Vec<TcpStream> = (0..MANY).filter_map(|_| dial(running.serves)).collect();
    assert_eq!(idle.len(), MANY);
    let mut looks = std::iter::repeat_with(|| descriptors(&running)).take(1_000_000);
    assert!(
        looks.any(|held| held + GIVEN_AHEAD >= DESCRIPTORS),
        "none is left"
    );
    // Connections wait in its queue, so that a listener which does not pause after an error finds the next one at once: it
    // never sleeps then.
    let mut asleep = std::iter::repeat_with(|| accepts_asleep(&running)).take(1_000);
    assert!(asleep.any(|asleep| asleep), "the listener pauses");
    assert!(
        queued(running.serves) > 0,
        "all were taken: there were descriptors left"
    );
    drop(idle);
    assert!(
        Terminal::connect(running.serves, PATIENCE)
            .unwrap()
            .well()
            .unwrap(),
        "it takes clients again"
    );
}
