//! Calls on real connections over loopback: ends are told, and nothing else is taken for one.

use foldmux_sockets::stream::{arrived, drain, read, shut, wait_for_bytes, write, Arrived, Stop};
use foldmux_sockets::watch::Watch;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Longer than anything takes; it ends a test that waits for what never comes.
const PATIENCE: Duration = Duration::from_secs(30);

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (near, listener.accept().unwrap().0)
}

fn comes(stream: &TcpStream) -> Result<bool, Stop> {
    wait_for_bytes(stream, soon(), &mut Watch::new(Instant::now()))
}

fn soon() -> Instant {
    Instant::now() + PATIENCE
}

#[test]
fn what_stands_on_a_connection_is_told_and_left_there() {
    let (near, mut far) = pair();
    assert_eq!(arrived(&near), Arrived::Nothing);
    far.write_all(b"abc").unwrap();
    assert!(comes(&near).unwrap());
    assert_eq!(arrived(&near), Arrived::Bytes);
    let mut bytes = [0; 8];
    assert_eq!(read(&near, &mut bytes, soon()).unwrap(), 3);
    drop(far);
    assert!(!comes(&near).unwrap());
    assert_eq!(arrived(&near), Arrived::End);
}

#[test]
fn a_moment_that_is_over_ends_the_call_and_not_the_connection() {
    let (near, mut far) = pair();
    let past = Instant::now();
    assert!(matches!(read(&near, &mut [0], past), Err(Stop::TimedOut)));
    assert!(matches!(write(&near, b"x", past), Err(Stop::TimedOut)));
    assert_eq!(write(&near, b"x", soon()).unwrap(), 1);
    let mut byte = [0];
    far.read_exact(&mut byte).unwrap();
    assert_eq!(&byte, b"x");
}

#[test]
fn a_reset_is_an_end_for_whoever_reads_and_whoever_writes() {
    let (near, far) = pair();
    assert_eq!(write(&near, b"unread", soon()).unwrap(), 6);
    assert!(comes(&far).unwrap());
    // Closed over bytes that nobody read.
    drop(far);
    let ended = loop {
        match read(&near, &mut [0], soon()) {
            Ok(0) | Err(Stop::Over(_)) => break true,
            Ok(_) => {}
            Err(Stop::TimedOut | Stop::Failing(_)) => break false,
        }
    };
    assert!(ended);
    assert!(matches!(write(&near, b"x", soon()), Err(Stop::Over(_))));
}

#[test]
fn what_was_drained_is_gone_and_a_connection_shut_twice_has_ended() {
    let (near, mut far) = pair();
    far.write_all(&[7; 10_000]).unwrap();
    assert!(comes(&near).unwrap());
    drop(far);
    // All has arrived once the end has.
    let mut left = 10_000;
    while left > 0 {
        left -= read(&near, &mut [0; 512], soon()).unwrap();
    }
    drain(&near, 100);
    assert_eq!(arrived(&near), Arrived::End);
    assert!(shut(&near, Shutdown::Both));
    assert!(shut(&near, Shutdown::Both));
}
