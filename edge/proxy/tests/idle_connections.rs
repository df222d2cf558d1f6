//! Connections that the program ends by itself while it serves: after a rest, and to make way. A request across such an
//! end meets no reset, and one that arrived before it is served.

use test_proxy::{Client, TestProxy};

mod common;
#[path = "common/test_proxy.rs"]
mod test_proxy;

const ONE: u64 = 0x1111_0000_0000_0001;
const TWO: u64 = 0x2222_0000_0000_0002;

#[test]
fn a_request_across_the_end_of_a_long_rest_meets_no_reset_and_is_not_sent_on() {
    let proxy = TestProxy::start();
    let mut client = proxy.rested(ONE);
    client.ends();
    for n in 0..3 {
        // After a reset it could not be written.
        client.ask(TWO + n);
        client.ends();
    }
    assert_eq!(proxy.waiting_attempts(), 0);
}

#[test]
fn whoever_makes_way_sees_an_end_and_one_whose_request_has_arrived_does_not_make_way() {
    // 64 descriptors: 21 places for clients, of which one is kept free ahead.
    let proxy =
        TestProxy::start_with(|config| config.replace("\"sockets\":1024", "\"sockets\":64"));
    let mut resting: Vec<Client> = (0..20).map(|n| proxy.rested(ONE + n)).collect();
    proxy.stop();
    resting[0].ask(TWO);
    let mut newcomer = proxy.client();
    newcomer.ask(TWO + 1);
    proxy.go_on();
    let (mut one, mut other) = (proxy.attempt(), proxy.attempt());
    one.give(b"ok");
    other.give(b"ok");
    assert!(resting[0].answer().contains("\\xc4\\x02ok"));
    assert!(newcomer.answer().contains("\\xc4\\x02ok"));
    // The one that rested for longest beside it went.
    resting[1].ends();
    for n in 2..5 {
        resting[1].ask(TWO + n);
        resting[1].ends();
    }
    assert_eq!(proxy.waiting_attempts(), 0);
    drop(newcomer);
}

#[test]
fn without_descriptors_the_acceptor_sleeps_and_takes_connections_again_when_they_come_back() {
    let proxy = TestProxy::start();
    let process = proxy.program.id();
    let used = std::fs::read_dir(format!("/proc/{process}/fd"))
        .unwrap()
        .count();
    let limit = format!("--nofile={0}:{0}", used + 3);
    let limited = std::process::Command::new("prlimit")
        .args(["--pid", &process.to_string(), &limit])
        .status();
    assert!(limited.unwrap().success());
    let mut taken: Vec<Client> = (0..3).map(|_| proxy.client()).collect();
    taken
        .iter_mut()
        .for_each(|client| assert!(client.is_well()));
    let mut queued = proxy.client();
    // It leaves the processor by itself, again and again.
    let sleeps = || acceptor_sleeps(process);
    let from = sleeps();
    while sleeps() < from + 10 {
        std::thread::yield_now();
    }
    drop(taken);
    assert!(queued.is_well());
}

/// How often the acceptor's thread has gone to sleep.
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
