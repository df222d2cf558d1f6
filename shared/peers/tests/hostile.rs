//! Ends that are not as they should be cost themselves only.

mod common;

use common::*;
use foldmux_peers::hello;
use foldmux_peers::{wire, Config};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A process 0 that hears of 1 by hand only, and dials nobody that is there.
fn alone() -> (Vec<std::net::SocketAddr>, Config) {
    let all = vec![address(), address(), address()];
    let config = config(0, &all);
    (all, config)
}

/// Whether the other end has closed.
fn closed(mut stream: &TcpStream) -> bool {
    stream.set_read_timeout(Some(LONG)).unwrap();
    let mut buffer = [0; 512];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) => return e.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }
}

#[test]
fn another_version_another_key_a_stranger_and_noise_are_refused_and_a_peer_is_linked_beside_them() {
    let (all, config) = alone();
    let (links, incoming) = start(config);

    let mut stream = TcpStream::connect(all[0]).unwrap();
    stream
        .write_all(&hello::encode(&hello(1, 0), hello::VERSION + 1))
        .unwrap();
    // It is told the version that it met.
    let mut reader = wire::deadline_reader(stream.try_clone().unwrap(), Instant::now() + LONG);
    assert_eq!(
        hello::read(&mut reader).map(|(hello, _)| hello.name),
        Ok(peer(0))
    );
    assert!(closed(&stream));
    assert_eq!(links.counts().versions.get(), 1);

    assert!(dial(1, 0, &all, [8; 32], 1).is_none(), "another key");
    let strange = [&all[..], &[address()]].concat();
    assert!(
        dial(3, 0, &strange, KEY, 1).is_none(),
        "a name that is not listed"
    );
    assert!(dial(0, 0, &all, KEY, 1).is_none(), "its own name");
    for n in 0..40usize {
        let mut stream = TcpStream::connect(all[0]).unwrap();
        let noise: Vec<u8> = (0..997 * n).map(|at| (at * 31 + n) as u8).collect();
        // It may be closed while it writes.
        let _ = stream.write_all(&noise);
        let _ = stream.shutdown(std::net::Shutdown::Write);
        assert!(closed(&stream));
    }
    assert_eq!(links.counts().links.get(), 0);
    let mut good = dial(1, 0, &all, KEY, 1).unwrap();
    up(&incoming, &peer(1));
    let sealed = good.seal(b"well");
    good.write(&sealed);
    assert_eq!(frame(&incoming, &peer(1)), (1, b"well".to_vec()));
}

#[test]
fn a_frame_that_comes_again_or_from_an_earlier_link_ends_the_link_and_is_not_heard() {
    let (all, config) = alone();
    let (links, incoming) = start(config);
    let mut first = dial(1, 0, &all, KEY, 1).unwrap();
    up(&incoming, &peer(1));
    let sealed = first.seal(b"once");
    first.write(&[&sealed[..], &sealed].concat());
    assert_eq!(frame(&incoming, &peer(1)).1, b"once");
    down(&incoming, &peer(1));
    assert_eq!(links.counts().broken.get(), 1);
    // The same process, and the same number in its link: only the nonce of the link differs.
    let again = dial(1, 0, &all, KEY, 1).unwrap();
    up(&incoming, &peer(1));
    again.write(&sealed);
    down(&incoming, &peer(1));
    assert_eq!(links.counts().broken.get(), 2);
}

#[test]
fn a_peer_that_trickles_or_is_silent_is_down_and_may_come_back() {
    let (all, mut config) = alone();
    config.bounds.idle = Duration::from_millis(200);
    let (_links, incoming) = start(config);
    let mut slow = dial(1, 0, &all, KEY, 1).unwrap();
    up(&incoming, &peer(1));
    // Bytes that never become a frame do not keep the link.
    let sealed = slow.seal(&[1; 4_000]);
    for byte in sealed.chunks(1) {
        if slow.stream.write_all(byte).is_err() {
            break;
        }
        if incoming.recv_timeout(Duration::from_millis(5)).is_ok() {
            break;
        }
    }
    assert!(closed(&slow.stream));
    let _back = dial(1, 0, &all, KEY, 1).unwrap();
    up(&incoming, &peer(1));
    down(&incoming, &peer(1));
}

#[test]
fn connections_that_say_nothing_hold_no_more_than_their_places() {
    let (all, mut config) = alone();
    config.bounds.accepted = 3;
    config.bounds.hello = Duration::from_millis(300);
    let (links, incoming) = start(config);
    let silent: Vec<_> = (0..8)
        .map(|_| TcpStream::connect(all[0]).unwrap())
        .collect();
    assert!(silent.iter().all(closed));
    assert_eq!(
        (links.counts().crowded.get(), links.counts().strangers.get()),
        (5, 3)
    );
    let _good = dial(1, 0, &all, KEY, 1).unwrap();
    up(&incoming, &peer(1));
}
