//! The end of the process against its requests: what must be answered by then is, once.

mod common;

use common::*;
use foldmux::interface::Outcome;
use foldmux_core::messages::Command;

#[test]
fn a_request_that_is_registered_after_the_end_was_decided_is_answered_by_then() {
    let rig = Rig::new();
    // It was read before that, with its client's whole time, which is longer than the test's.
    rig.core.event_loop.send(Command::Shutdown {
        deadline: rig.core.clock.now(),
    });
    let (_, heard) = rig.ask(1);
    assert_eq!(hears(&heard), Heard::Refused);
    rig.open(0);
    assert!(rig.began.try_recv().is_err(), "nothing is sent for it");
}

#[test]
fn an_answer_that_was_read_as_its_request_is_given_up_is_its_one_answer() {
    let rig = Rig::new();
    let (cancel, heard) = rig.ask(1);
    assert_eq!(rig.begins(), 1);
    rig.core.event_loop.send(Command::Shutdown {
        deadline: rig.core.clock.now(),
    });
    until("its attempt is cancelled", || cancel.is_cancelled(0));
    // It was read whole before the call-off could cut it.
    rig.end(Outcome::Served);
    assert_eq!(hears(&heard), Heard::Same);
    rig.open(0);
    assert!(heard.recv().is_err(), "no second answer");
    assert!(rig.began.try_recv().is_err());
}

#[test]
fn an_attempt_whose_time_is_over_as_its_request_is_given_up_is_the_last() {
    let rig = Rig::new();
    let (cancel, heard) = rig.ask(1);
    assert_eq!(rig.begins(), 1);
    rig.core.event_loop.send(Command::Shutdown {
        deadline: rig.core.clock.now(),
    });
    until("its attempt is cancelled", || cancel.is_cancelled(0));
    rig.end(Outcome::TimedOut);
    assert_eq!(hears(&heard), Heard::Refused);
    rig.open(0);
    assert!(heard.recv().is_err(), "no second answer");
    assert!(rig.began.try_recv().is_err());
}
