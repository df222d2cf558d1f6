//! A move to another address against an answer of the former one.

use super::*;
use std::sync::mpsc::channel;
use std::thread;

/// Far longer than a move takes that nothing holds up.
const BLOCKED_FOR: Duration = Duration::from_millis(300);
/// Longer than anything takes; it ends a test that waits for what never comes.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn address(port: u16) -> Option<SocketAddr> {
    Some(SocketAddr::from(([127, 0, 0, 1], port)))
}

#[test]
fn an_answer_that_was_decoded_before_the_move_and_comes_to_be_taken_after_it_is_not() {
    let service = JournalService::new(address(1));
    let asked = service.location();
    service.move_to(address(2));
    let taken = service.unless_moved(asked.moves, || panic!("it is taken"));
    assert!(matches!(taken, Err(PollError::Moved)));
    assert_eq!(service.location().address, address(2).unwrap());
}

#[test]
fn a_move_waits_for_the_answer_that_is_being_taken() {
    let service = Arc::new(JournalService::new(address(1)));
    let asked = service.location();
    let (told, moved) = channel();
    let taken = service.unless_moved(asked.moves, || {
        let service = service.clone();
        thread::spawn(move || {
            service.move_to(address(2));
            told.send(()).unwrap();
        });
        moved.recv_timeout(BLOCKED_FOR).is_err()
    });
    assert!(
        taken.unwrap(),
        "the service had moved before all of the answer was taken"
    );
    moved
        .recv_timeout(TEST_TIMEOUT)
        .expect("it moves once the answer is taken");
    assert!(matches!(
        service.unless_moved(asked.moves, || ()),
        Err(PollError::Moved)
    ));
}
