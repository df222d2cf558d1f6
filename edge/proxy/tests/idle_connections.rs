//! Connections that the proxy closes by itself while it serves: after the idle timeout, and to free a slot for a new client.
//! A request that crosses such a close causes no reset, and one that arrived before it is served.

use test_proxy::{Client, TestProxy};

mod common;
#[path = "common/test_proxy.rs"]
mod test_proxy;

const OBJECT_A: u64 = 0x1111_0000_0000_0001;
const OBJECT_B: u64 = 0x2222_0000_0000_0002;

#[test]
fn a_request_that_crosses_the_idle_close_causes_no_reset_and_is_not_forwarded() {
    let proxy = TestProxy::start();
    let mut client = proxy.idle_client(OBJECT_A);
    client.assert_closed();
    for n in 0..3 {
        // After a reset this write would fail.
        client.send_request(OBJECT_B + n);
        client.assert_closed();
    }
    assert_eq!(proxy.pending_attempts(), 0);
}

#[test]
fn the_longest_idle_connection_makes_room_but_not_if_its_request_has_arrived() {
    // 64 descriptors give 21 client slots, of which the proxy keeps one free.
    let proxy =
        TestProxy::start_with_config(|config| config.replace("\"sockets\":1024", "\"sockets\":64"));
    let mut idle: Vec<Client> = (0..20).map(|n| proxy.idle_client(OBJECT_A + n)).collect();
    proxy.pause();
    idle[0].send_request(OBJECT_B);
    let mut newcomer = proxy.client();
    newcomer.send_request(OBJECT_B + 1);
    proxy.resume();
    let (mut first, mut second) = (proxy.next_attempt(), proxy.next_attempt());
    first.respond(b"ok");
    second.respond(b"ok");
    assert!(idle[0].read_response().contains("\\xc4\\x02ok"));
    assert!(newcomer.read_response().contains("\\xc4\\x02ok"));
    // Of the other connections the longest idle one is closed.
    idle[1].assert_closed();
    for n in 2..5 {
        idle[1].send_request(OBJECT_B + n);
        idle[1].assert_closed();
    }
    assert_eq!(proxy.pending_attempts(), 0);
    drop(newcomer);
}

#[test]
fn without_descriptors_the_acceptor_sleeps_and_accepts_again_once_some_are_free() {
    let proxy = TestProxy::start();
    let process = proxy.process.id();
    let used = std::fs::read_dir(format!("/proc/{process}/fd"))
        .unwrap()
        .count();
    let limit = format!("--nofile={0}:{0}", used + 3);
    let limited = std::process::Command::new("prlimit")
        .args(["--pid", &process.to_string(), &limit])
        .status();
    assert!(limited.unwrap().success());
    let mut accepted: Vec<Client> = (0..3).map(|_| proxy.client()).collect();
    accepted
        .iter_mut()
        .for_each(|client| assert!(client.is_well()));
    let mut queued = proxy.client();
    // The acceptor sleeps between its attempts rather than spin.
    let count_sleeps = || acceptor_sleeps(process);
    let initial = count_sleeps();
    while count_sleeps() < initial + 10 {
        std::thread::yield_now();
    }
    drop(accepted);
    assert!(queued.is_well());
}

/// The number of voluntary context switches of the acceptor's thread.
fn acceptor_sleeps(process: u32) -> u64 {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).unwrap();
    let mut status =
        tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("status")).ok());
    let acceptor = status
        .find(|status| status.starts_with("Name:\taccept\n"))
        .expect("the acceptor");
    let line = acceptor
        .lines()
        .find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"))
        .unwrap();
    line.trim().parse().unwrap()
}
