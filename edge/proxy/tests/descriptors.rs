//! Idle clients, open requests and idle admin connections together need more descriptors than the process has, while the
//! journal service is down: the descriptors reserved for the journal, caches and the admin interface stay available, and the
//! proxy recovers without a restart.

use admin_process::{send_command, spawn, AdminProcess, TEST_TIMEOUT};
use foldmux_fakes::rpc::{Said, Terminal};
use held_attempts::{send_request, Attempt, BODY};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;

#[path = "common/admin_process.rs"]
mod admin_process;
mod common;
#[path = "common/held_attempts.rs"]
mod held_attempts;

/// The process's limit on descriptors, and the value in its configuration.
const DESCRIPTORS: usize = 128;
/// More connections than the client listener or the admin interface may hold.
const IDLE_CONNECTIONS: usize = 150;
/// Descriptors that the kernel reserves for a thread that waits in `accept`, and that `/proc` doesn't show: that of the admin
/// interface, which waits there without a timeout.
const RESERVED_BY_ACCEPT: usize = 1;
/// The state of a listening socket in `/proc/net/tcp`.
const TCP_LISTEN: &str = "0A";
/// Requests that are open at once, each on its own connection to the proxy and to the cache.
const OPEN_REQUESTS: u64 = 40;

/// Starts the proxy with the limit.
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
    spawn(command).expect("a running proxy")
}

fn descriptors(proxy: &AdminProcess) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id()))
        .unwrap()
        .count()
}

/// The length of the accept queue of the listener at this address.
fn accept_queue_length(address: SocketAddr) -> usize {
    let port = format!(":{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let mut listeners = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let listens = fields[1].ends_with(&port) && fields[3] == TCP_LISTEN;
        listens.then(|| usize::from_str_radix(fields[4].split_once(':').unwrap().1, 16).unwrap())
    });
    listeners.next().expect("its listener")
}

/// Whether the acceptor's thread is asleep now.
fn acceptor_is_asleep(proxy: &AdminProcess) -> bool {
    let tasks = std::fs::read_dir(format!("/proc/{}/task", proxy.child.id())).unwrap();
    let stats =
        tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("stat")).ok());
    let mut accepts = stats.filter(|stat| stat.contains("(accept)"));
    accepts.any(|stat| {
        stat.rsplit_once(") ")
            .is_some_and(|(_, fields)| fields.starts_with('S'))
    })
}

/// Connects to `address`; `None` if the connection is refused.
fn dial(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    Some(stream)
}

/// Reads the head of one poll of the journal service.
fn read_poll(stream: &mut TcpStream) -> String {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a poll");
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap()
}

#[test]
fn reserved_descriptors_stay_available_while_all_others_are_used_and_the_journal_is_down() {
    let [caches, journal] = [0; 2].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let address = journal.local_addr().unwrap();
    let text = common::config(caches.local_addr().unwrap(), address);
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(
        &file,
        text.replace("\"sockets\":1024", &format!("\"sockets\":{DESCRIPTORS}")),
    )
    .unwrap();
    let proxy = start(&file);
    // The journal service is reached once; then it stops, and nobody listens at its address.
    let (mut polling, _) = journal.accept().unwrap();
    assert!(read_poll(&mut polling).contains("tail=1"));
    drop((polling, journal));
    // Requests that the cache keeps open.
    let (mut attempts, mut requests) = (Vec::new(), Vec::new());
    for object in 1..=OPEN_REQUESTS {
        requests.push(send_request(proxy.client_address, "sheet", object));
        attempts.push(Attempt::accept(&caches));
    }
    // Idle connections to the front and to the admin interface, more than either has slots for.
    let idle_clients: Vec<TcpStream> = (0..IDLE_CONNECTIONS)
        .filter_map(|_| dial(proxy.client_address))
        .collect();
    let admin_connections: Vec<TcpStream> = (0..IDLE_CONNECTIONS)
        .filter_map(|_| dial(proxy.admin_address))
        .collect();
    // A connection beyond the limit gets an error: the admin interface still accepts.
    let mut rejection = String::new();
    admin_connections
        .last()
        .unwrap()
        .read_to_string(&mut rejection)
        .unwrap();
    assert!(rejection.starts_with("error busy"), "{rejection}");
    let in_use = descriptors(&proxy);
    println!("{in_use} descriptors of {DESCRIPTORS} in use");
    assert!(in_use < DESCRIPTORS, "{in_use} in use: none is reserved");
    // The journal service returns at its address: the proxy polls it and applies its events.
    let journal = TcpListener::bind(address).expect("the address of the journal service");
    let (mut polling, _) = journal.accept().unwrap();
    polling.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    assert!(
        read_poll(&mut polling).contains("tail=1"),
        "it continues from its last event"
    );
    let events = r#"{"pos":2,"entries":[{"pos":2,"expire":{"set":17,"stamp":1764576000480}}]}"#;
    write!(
        polling,
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{events}",
        events.len()
    )
    .unwrap();
    assert!(
        read_poll(&mut polling).contains("tail=2"),
        "the event was applied"
    );
    // All open requests are served.
    attempts.into_iter().for_each(Attempt::serve);
    for request in requests {
        assert_eq!(request.wait(), Some(Said::Served(BODY.to_vec())));
    }
    drop(admin_connections);
    // The admin interface has a free slot once the proxy has read the end of a connection.
    let mut responses =
        std::iter::repeat_with(|| send_command(proxy.admin_address, b"status\n")).take(1_000);
    assert_eq!(
        responses
            .find(|response| !response.starts_with("error busy"))
            .as_deref(),
        Some("done yes\n")
    );
    drop(idle_clients);
    assert!(Terminal::connect(proxy.client_address, TEST_TIMEOUT)
        .unwrap()
        .well()
        .unwrap());
}

/// The process runs out of descriptors, because its limit is far below the configured value.
#[test]
fn a_listener_without_descriptors_pauses_and_accepts_clients_again_later() {
    let [caches, journal] = [0; 2].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    // The configuration allows eight times as many descriptors as the process has.
    let text = common::config(caches.local_addr().unwrap(), journal.local_addr().unwrap());
    std::fs::write(&file, text).unwrap();
    let proxy = start(&file);
    let idle_clients: Vec<TcpStream> = (0..IDLE_CONNECTIONS)
        .filter_map(|_| dial(proxy.client_address))
        .collect();
    assert_eq!(idle_clients.len(), IDLE_CONNECTIONS);
    let mut counts = std::iter::repeat_with(|| descriptors(&proxy)).take(1_000_000);
    assert!(
        counts.any(|in_use| in_use + RESERVED_BY_ACCEPT >= DESCRIPTORS),
        "free descriptors are left"
    );
    // Connections wait in the accept queue, so that a listener without a pause after an error would never sleep.
    let mut asleep = std::iter::repeat_with(|| acceptor_is_asleep(&proxy)).take(1_000);
    assert!(asleep.any(|asleep| asleep), "the listener pauses");
    assert!(
        accept_queue_length(proxy.client_address) > 0,
        "all connections were accepted: descriptors were left"
    );
    drop(idle_clients);
    assert!(
        Terminal::connect(proxy.client_address, TEST_TIMEOUT)
            .unwrap()
            .well()
            .unwrap(),
        "it accepts clients again"
    );
}
