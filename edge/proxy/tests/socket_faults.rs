//! System calls on a client's connection that fail while the connection lives: no request that was taken loses its answer.
//! Incident 234f1f: such a failure was taken for the end of the connection.

use fault_injection::{start_under, start_with, PASSING};
use test_proxy::{binary, call, call_of, Client, TestProxy, WAIT_MS};

mod common;
#[path = "common/fault_injection.rs"]
mod fault_injection;
#[path = "common/test_proxy.rs"]
mod test_proxy;

const ONE: u64 = 0x1111_0000_0000_0001;
const TWO: u64 = 0x2222_0000_0000_0002;
/// The key of a call that has one.
const KEY: &[(&str, &str)] = &[("k", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")];

#[test]
fn a_read_that_fails_under_open_requests_ends_no_connection() {
    for error in PASSING {
        let proxy = start_under(&format!("recv role=client error={error} every=3"));
        let mut client = proxy.client();
        (0..4).for_each(|n| proxy.answers_two(&mut client, ONE + 2 * n));
        assert!(proxy.injected() >= 4, "{error}");
    }
}

#[test]
fn a_time_out_that_can_t_be_set_ends_no_connection() {
    for error in ["EINTR", "ENOBUFS", "ENOMEM"] {
        let proxy = start_under(&format!(
            "setsockopt role=client error={error} every=3 skip=1"
        ));
        let mut client = proxy.client();
        (0..4).for_each(|n| proxy.answers_two(&mut client, ONE + 2 * n));
        assert!(proxy.injected() >= 4, "{error}");
    }
}

#[test]
fn where_no_time_out_can_be_set_at_all_clients_are_served_and_heard() {
    let proxy = start_under("setsockopt role=client error=ENOBUFS");
    let mut client = proxy.client();
    proxy.answers_two(&mut client, ONE);
    // Also heard: that it gives up.
    let number = client.ask(TWO);
    let mut attempt = proxy.attempt_of(&mut client);
    client.forget(number);
    attempt.is_given_up();
    assert!(proxy.injected() >= 4);
}

#[test]
fn an_answer_whose_write_fails_is_written_again_and_the_others_follow() {
    for error in PASSING {
        let proxy = start_under(&format!("send role=client error={error} every=2"));
        let mut client = proxy.client();
        (0..4).for_each(|n| proxy.answers_two(&mut client, ONE + 2 * n));
        assert!(proxy.injected() >= 4, "{error}");
    }
}

#[test]
fn requests_and_answers_in_single_bytes_are_whole() {
    let proxy = start_under("recv role=client effect=short\nsend role=client effect=short");
    let mut client = proxy.client();
    proxy.answers_two(&mut client, ONE);
    assert!(proxy.injected() > 200);
}

#[test]
fn a_shut_down_that_fails_is_made_again() {
    for error in ["EINTR", "ENOBUFS"] {
        let proxy = start_under(&format!(
            "shutdown role=client error={error} every=2 skip=1 count=4"
        ));
        // Neither a number twice nor what can't be read is taken; what was asked before is answered, then the end comes.
        for n in 0..4 {
            let mut client = proxy.client();
            client.ask(ONE + n);
            let mut attempt = proxy.attempt();
            client.send(b"\xc1");
            attempt.give(b"ok");
            assert!(client.answer().contains("\\xc4\\x02ok"));
            client.ends();
        }
    }
}

#[test]
fn a_connection_that_can_t_be_shut_down_serves_on() {
    let mut proxy = start_under("shutdown role=client error=ENOBUFS");
    let mut client = proxy.rested(ONE);
    proxy.leave();
    // The end that was due could not be made: what comes now was not sent across it.
    client.ask(TWO);
    proxy.attempt_of(&mut client).give(b"ok");
    assert!(client.answer().contains("\\xc4\\x02ok"));
    assert!(proxy.injected() >= 1);
    drop(client);
    proxy.ends_well();
}

#[test]
fn a_refusal_whose_write_fails_for_a_second_costs_no_other_request() {
    // 32 are open; the next is refused by the front itself. A hundred tries take a second of pauses.
    let proxy = start_under("send role=client error=ENOBUFS count=100");
    let mut client = proxy.client();
    let calls: Vec<u8> = (0..33)
        .flat_map(|n| call(n + 1, ONE + u64::from(n)))
        .collect();
    client.send(&calls);
    let mut attempts: Vec<_> = (0..32).map(|_| proxy.attempt()).collect();
    assert!(client.answer().contains("Shed"));
    assert_eq!(proxy.injected(), 100);
    attempts.iter_mut().for_each(|attempt| attempt.give(b"ok"));
    (0..32).for_each(|_| assert!(client.answer().contains("\\xc4\\x02ok")));
}

#[test]
fn a_body_that_finds_no_buffer_costs_its_own_request_alone() {
    // 16 MB: 44 buffers, of which bodies may have 11.
    let proxy =
        TestProxy::start_with(|config| config.replace("\"memory_mb\":192", "\"memory_mb\":16"));
    let half = call_of(
        "record",
        1,
        ONE,
        WAIT_MS,
        KEY,
        &[binary(1_000), vec![7; 500]].concat(),
    );
    let whole = |number| {
        call_of(
            "record",
            number,
            TWO + u64::from(number),
            WAIT_MS,
            KEY,
            &[binary(2), vec![7; 2]].concat(),
        )
    };
    let halves: Vec<Client> = (0..11)
        .map(|_| {
            let mut client = proxy.client();
            client.send(&half);
            client
        })
        .collect();
    let mut client = proxy.client();
    let mut number = 1;
    // Until all halves have been read: then there is no buffer for a body, and the request behind it is served.
    loop {
        client.send(&[whole(number), call(number + 1, ONE + u64::from(number))].concat());
        number += 2;
        let mut attempts = vec![proxy.attempt()];
        let shed = client.has_answer();
        if !shed {
            attempts.push(proxy.attempt());
        }
        attempts.iter_mut().for_each(|attempt| attempt.give(b"ok"));
        let answers = [client.answer(), client.answer()];
        if answers.iter().any(|answer| answer.contains("Shed")) {
            assert!(
                answers.iter().any(|answer| answer.contains("\\xc4\\x02ok")),
                "{answers:?}"
            );
            break;
        }
    }
    drop(halves);
}

#[test]
fn a_look_that_fails_does_not_end_a_connection_over_a_request() {
    // 64 descriptors: 21 places for clients, of which one is kept free ahead.
    let proxy = start_with("recv role=client error=EINTR every=2", |config| {
        config.replace("\"sockets\":1024", "\"sockets\":64")
    });
    let mut resting: Vec<Client> = (0..20).map(|n| proxy.rested(ONE + n)).collect();
    proxy.stop();
    // All that rest have asked: none may make way.
    resting.iter_mut().zip(0..).for_each(|(client, n)| {
        client.ask(TWO + n);
    });
    let _newcomers: Vec<Client> = (0..4).map(|_| proxy.client()).collect();
    proxy.go_on();
    let mut attempts: Vec<_> = resting.iter().map(|_| proxy.attempt()).collect();
    attempts.iter_mut().for_each(|attempt| attempt.give(b"ok"));
    for client in &mut resting {
        assert!(client.answer().contains("\\xc4\\x02ok"));
    }
}

#[test]
fn without_threads_for_longer_a_connection_that_was_taken_is_served_when_there_are_some() {
    // The first spawns are those of the start; then none succeeds for some two seconds of tries.
    let proxy = start_under("thread error=EAGAIN skip=5 count=200");
    let mut client = proxy.client();
    // Refused for want of a thread, or served: told in any case.
    assert!(client.is_well());
    assert!(proxy.injected() >= 150);
}

#[test]
fn connections_whose_accept_fails_first_are_taken_after_all() {
    for error in [
        "ECONNABORTED",
        "EINTR",
        "EPROTO",
        "ENFILE",
        "EMFILE",
        "ENOBUFS",
        "ENOMEM",
        "EAGAIN",
    ] {
        let proxy = start_under(&format!("accept error={error} every=2"));
        let mut client = proxy.client();
        proxy.answers_two(&mut client, ONE);
        assert!(proxy.injected() >= 1, "{error}");
    }
}
