//! Readers of a relayed journal that are slow, many in turn, or late; and what caches see of drains.

#[path = "common/relayed.rs"]
mod relayed;

use foldmux_harness::check::read;
use foldmux_harness::customer::Manner;
use foldmux_harness::record::{Event, Line};
use foldmux_harness::settings::READS;
use relayed::{heard, purges, readers, relayed, sound, SOON, WAIT};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const RING: &str =
    "stream(\"journal\", slow = \"all\", items = 64, window_ms = 300, readers = 4000, serve = \"{serve}\")\n";

#[test]
fn a_reader_that_takes_a_byte_a_second_delays_no_other() {
    let fleet = relayed(3, 1, "");
    let readers = readers(&fleet, 2);
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for process in 0..3 {
            let mut slow = TcpStream::connect(fleet.serves(process)).unwrap();
            slow.write_all(b"GET /journal?tail=0&max_wait=1000 HTTP/1.1\r\nHost: rig\r\n\r\n")
                .unwrap();
            let over = &over;
            scope.spawn(move || {
                slow.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
                while !over.load(Ordering::SeqCst) {
                    let _ = slow.read(&mut [0]);
                    std::thread::sleep(Duration::from_millis(1_000));
                }
            });
        }
        purges(&fleet, 200);
        heard(&fleet, &readers, 6);
        over.store(true, Ordering::SeqCst);
    });
    sound(&fleet);
}

#[test]
fn one_that_the_ring_went_past_is_told_and_reads_on() {
    let fleet = relayed(3, 1, RING);
    let readers = readers(&fleet, 1);
    let others = readers.look(|heard| heard.losses);
    // Stopped, a process and its reader lack more than the ring and the window hold.
    let stopped = fleet
        .of_site(0)
        .into_iter()
        .find(|n| Some(*n) != fleet.relay(0))
        .unwrap();
    fleet.pause(stopped).unwrap();
    purges(&fleet, 200);
    heard(&fleet, &readers, 2);
    fleet.wake(stopped).unwrap();
    heard(&fleet, &readers, 3);
    println!(
        "{} losses told",
        readers.look(|heard| heard.losses) - others
    );
    sound(&fleet);
}

#[test]
fn ten_thousand_readers_that_come_and_go_leave_nothing() {
    let fleet = relayed(3, 1, "");
    let readers = fleet.readers(2).unwrap();
    fleet.begin(&readers, 1, 0, WAIT);
    heard(&fleet, &readers, 1);
    let ask = b"GET /journal?tail=0&max_wait=0 HTTP/1.1\r\nHost: rig\r\n\r\n";
    let at = fleet.serves(1);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(move || {
                for _ in 0..1_250 {
                    // Some go before they are answered.
                    let gone = TcpStream::connect(at).and_then(|mut one| one.write_all(ask));
                    gone.expect("it takes them");
                }
            });
        }
    });
    // What is left is served as before; a reader more than its bound would be turned away.
    fleet.begin(&readers, 2, 1, WAIT);
    heard(&fleet, &readers, 2);
    let fds = || {
        std::fs::read_dir(format!("/proc/{}/task", fleet.id(1).unwrap()))
            .unwrap()
            .count()
    };
    let until = std::time::Instant::now() + SOON;
    while fds() > 100 && std::time::Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(fds() <= 100, "{} threads are left", fds());
    sound(&fleet);
}

#[test]
fn a_drained_cache_is_asked_no_more() {
    let fleet = relayed(4, 2, "");
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for process in 0..4 {
            let (fleet, over) = (&fleet, &over);
            scope.spawn(move || {
                let (deadline, longest) = (Duration::from_secs(2), Duration::from_secs(2));
                let class = READS[0].to_string();
                let manner = Manner {
                    class,
                    covered: false,
                    patience: deadline,
                    deadline,
                    longest,
                };
                let mut customer = fleet.customer(deadline);
                for object in 0.. {
                    let _ = customer.once(process, &manner, object % 97, None);
                    if over.load(Ordering::SeqCst) {
                        return;
                    }
                }
            });
        }
        std::thread::sleep(Duration::from_millis(500));
        fleet.drain(0);
        std::thread::sleep(Duration::from_millis(2_500));
        over.store(true, Ordering::SeqCst);
    });
    let lines = fleet.record().lines().unwrap();
    let asked = |line: &Line| matches!(line.event, Event::Came { cache: 0, .. });
    assert!(lines.iter().any(asked), "it was asked before it drained");
    let verdict = read(&lines);
    let last = verdict.after_drain.iter().max().copied().unwrap_or(0);
    println!(
        "asked for the last time {} ms after the source told that it drains",
        last / 1_000
    );
    // 250 ms is the rule; a busy machine takes longer.
    assert!(last < 2_000_000, "{last} us");
}
