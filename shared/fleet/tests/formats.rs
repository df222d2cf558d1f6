//! The bytes that a part's message becomes between processes, against fixtures.

#[path = "../../../tests/formats/bytes.rs"]
mod fixtures;

use crossbeam_channel::unbounded;
use foldmux_fleet::driver::Driver;
use foldmux_fleet::Driven;
use foldmux_replicas::{Acts, Do, Part, Peer, Time};

/// Sends what it is asked to send, and tells what it hears.
struct Echo;

impl Part for Echo {
    type Message = (Peer, u64);
    type Ask = (Peer, u64);
    type Told = (Peer, u64);

    fn heard(&mut self, _: Time, _: &Peer, message: (Peer, u64), out: &mut Acts<Echo>) {
        out.push(Do::Tell(message));
    }

    fn ask(&mut self, _: Time, message: (Peer, u64), out: &mut Acts<Echo>) {
        let to = Peer::new("edge-2");
        out.push(Do::Send { to, message });
    }

    fn peer(&mut self, _: Time, _: &Peer, _: bool, _: &mut Acts<Echo>) {}

    fn tick(&mut self, _: Time, _: &mut Acts<Echo>) {}

    fn due(&self) -> Option<Time> {
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
