//! The order of messages, without a socket.

use super::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Longer than a test takes.
const HOUR: Duration = Duration::from_secs(3_600);
const LENGTH: usize = 100_000;

fn always() -> bool {
    true
}

/// Waits for the turn of a body that nothing but its deadline keeps from being written.
fn wait_for_turn(outbound: &Outbound, deadline: Instant) -> Result<Turn<'_>, NoTurn> {
    outbound.wait_for_turn(&Body {
        length: LENGTH,
        held: 0,
        deadline: &|| deadline,
        is_wanted: &always,
    })
}

fn turn(outbound: &Outbound) -> Turn<'_> {
    wait_for_turn(outbound, Instant::now() + HOUR).unwrap_or_else(|no| panic!("{no:?}"))
}

fn until_waiting(outbound: &Outbound, count: usize) {
    while outbound.lock().waiting.len() < count {
        thread::yield_now();
    }
}

#[test]
fn short_messages_are_left_to_whoever_writes_and_end_its_turn() {
    let outbound = Outbound::default();
    let mut body = turn(&outbound);
    assert!(outbound.push_short(vec![1]).is_none() && outbound.push_short(vec![2]).is_none());
    assert_eq!(body.next_short(), Some(vec![1]));
    assert_eq!(body.next_short(), Some(vec![2]));
    assert_eq!(body.next_short(), None);
    let mut next = outbound
        .push_short(vec![3])
        .expect("nobody writes any more");
    assert_eq!(next.next_short(), Some(vec![3]));
    drop(body);
    assert!(
        outbound.push_short(vec![4]).is_none(),
        "a turn that is over ends no other"
    );
}

#[test]
fn bodies_have_their_turn_by_deadline() {
    let outbound = Outbound::default();
    let first = turn(&outbound);
    let now = Instant::now();
    let written = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for (count, hours) in [(1, 3), (2, 1), (3, 2)] {
            let (outbound, written) = (&outbound, &written);
            scope.spawn(move || {
                let turn = wait_for_turn(outbound, now + hours * HOUR);
                written.lock().unwrap().push(hours);
                drop(turn);
            });
            until_waiting(outbound, count);
        }
        drop(first);
    });
    assert_eq!(written.into_inner().unwrap(), [1, 2, 3]);
}

/// Guards against a body being left out without a word: its thread is told, and can send an error in its place.
#[test]
fn a_body_whose_deadline_passes_before_its_turn_comes_too_late() {
    let outbound = Outbound::default();
    let _first = turn(&outbound);
    let soon = Instant::now() + Duration::from_millis(20);
    assert_eq!(wait_for_turn(&outbound, soon).err(), Some(NoTurn::TooLate));
    assert!(outbound.lock().waiting.is_empty());
}

#[test]
fn a_body_that_a_slow_client_could_not_read_in_time_does_not_wait_for_its_deadline() {
    let outbound = Outbound::default();
    let first = turn(&outbound);
    first.record_write(LENGTH, Duration::from_secs(10));
    let in_time = wait_for_turn(&outbound, Instant::now() + Duration::from_secs(5));
    assert_eq!(in_time.err(), Some(NoTurn::TooLate));
    // One that the system took at once says that the client reads fast.
    first.record_write(LENGTH, Duration::ZERO);
    drop(first);
    assert!(wait_for_turn(&outbound, Instant::now() + Duration::from_secs(5)).is_ok());
}

#[test]
fn a_body_that_is_given_up_waits_no_longer() {
    let outbound = Outbound::default();
    let _first = turn(&outbound);
    let is_wanted = AtomicBool::new(true);
    thread::scope(|scope| {
        let waits = scope.spawn(|| {
            let body = Body {
                length: LENGTH,
                held: 0,
                deadline: &|| Instant::now() + HOUR,
                is_wanted: &|| is_wanted.load(Ordering::SeqCst),
            };
            outbound.wait_for_turn(&body).err()
        });
        until_waiting(&outbound, 1);
        is_wanted.store(false, Ordering::SeqCst);
        outbound.wake();
        assert_eq!(waits.join().unwrap(), Some(NoTurn::Unwanted));
    });
}

#[test]
fn a_full_queue_of_short_messages_holds_up_whoever_would_add_to_it() {
    let outbound = Outbound::default();
    let mut body = turn(&outbound);
    for _ in 0..SHORT_QUEUE_CAPACITY {
        outbound.wait_for_room(|| panic!("there is room"));
        assert!(outbound.push_short(vec![1]).is_none());
    }
    let (asked, has_room) = (AtomicBool::new(false), AtomicBool::new(false));
    thread::scope(|scope| {
        scope.spawn(|| {
            outbound.wait_for_room(|| {
                asked.store(true, Ordering::SeqCst);
                false
            });
            has_room.store(true, Ordering::SeqCst);
        });
        while !asked.load(Ordering::SeqCst) {
            thread::yield_now();
        }
        assert!(!has_room.load(Ordering::SeqCst));
        assert!(body.next_short().is_some());
    });
}
