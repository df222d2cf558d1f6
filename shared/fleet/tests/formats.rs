//! The bytes that a part's message becomes between processes, against fixtures.

#[path = "../../../tests/formats/bytes.rs"]
mod fixtures;

use crossbeam_channel::unbounded;
use foldmux_fleet::driver::Driver;
use foldmux_fleet::Driven;
use foldmux_replicas::{Effect, Effects, Peer, StateMachine, Time};

/// Sends what it is asked to send, and tells what it hears.
struct Echo;

impl StateMachine for Echo {
    type Message = (Peer, u64);
    type Command = (Peer, u64);
    type Event = (Peer, u64);

    fn on_message(&mut self, _: Time, _: &Peer, message: (Peer, u64), out: &mut Effects<Echo>) {
        out.push(Effect::Emit(message));
    }

    fn on_command(&mut self, _: Time, message: (Peer, u64), out: &mut Effects<Echo>) {
        let to = Peer::new("edge-2");
        out.push(Effect::Send { to, message });
    }

    fn on_peer_status(&mut self, _: Time, _: &Peer, _: bool, _: &mut Effects<Echo>) {}

    fn on_tick(&mut self, _: Time, _: &mut Effects<Echo>) {}

    fn next_tick(&self) -> Option<Time> {
        None
    }
}

#[test]
fn the_bytes_of_a_message_stay() {
    let driver = || {
        let (sender, heard) = unbounded();
        let driver = Driver::new(Peer::new("edge-1"), Echo, Box::new(sender));
        (driver, heard)
    };
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/formats/messages.hex");
    fixtures::check(
        path,
        &[("name and number", (Peer::new("edge-3"), 301))],
        |message| {
            let mut frames = Vec::new();
            driver().0.ask(0, Box::new(message.clone()), &mut frames);
            let (to, bytes) = frames.pop().expect("a message");
            assert!(to == Peer::new("edge-2") && frames.is_empty());
            bytes
        },
        |bytes| {
            let (mut driver, heard) = driver();
            let from = Peer::new("edge-2");
            driver.heard(0, &from, bytes, &mut Vec::new()).unwrap();
            heard.recv().unwrap()
        },
    );
}
