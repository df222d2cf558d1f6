//! The bytes of hellos and frames, against fixtures.

#[path = "../../../tests/formats/bytes.rs"]
mod fixtures;

use foldmux_peers::frame::{self, End, Envelope, LinkKey, Way};
use foldmux_peers::hello::{self, Hello, VERSION};
use foldmux_peers::Session;
use foldmux_replicas::Peer;

/// Longest message that is read.
const MESSAGE_MAX: usize = 1_024;

fn path(file: &str) -> String {
    format!("{}/tests/formats/{file}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn the_bytes_of_hellos_stay() {
    let hello = Hello {
        name: Peer::new("edge-1"),
        to: Peer::new("edge-2"),
        session: Session {
            began: 1_764_576_000_480_001,
            nonce: 301,
        },
        nonce: [0x31; 16],
    };
    fixtures::check(
        &path("hellos.hex"),
        &[("version 1", hello)],
        |hello| hello::encode(hello, VERSION),
        |mut bytes| hello::read(&mut bytes).expect("a hello").0,
    );
}

/// A new variant needs a line here and a value below.
fn variant(envelope: &Envelope) -> &'static str {
    match envelope {
        Envelope::Beat => "heartbeat",
        Envelope::Message { .. } => "message",
    }
}

#[test]
fn the_bytes_of_frames_stay() {
    let key = || LinkKey::new(&[0x41; 32], b"dialler's hello", b"acceptor's hello");
    for (file, end) in [
        ("frames_of_dialler.hex", End::Dialler),
        ("frames_of_acceptor.hex", End::Acceptor),
    ] {
        let message = Envelope::Message {
            part: 3,
            bytes: &[1, 2, 3],
        };
        let frames: Vec<_> = [Envelope::Beat, message]
            .into_iter()
            .map(|envelope| (variant(&envelope), envelope))
            .collect();
        fixtures::check(
            &path(file),
            &frames,
            |envelope| {
                let mut bytes = Vec::new();
                Way::of(key(), end).seal(envelope, &mut bytes);
                bytes
            },
            |mut bytes| {
                let mut frame = Vec::new();
                frame::read(&mut bytes, MESSAGE_MAX, &mut frame).expect("a frame");
                let frame = frame.leak();
                Way::of(key(), end).open(frame).expect("a frame that opens")
            },
        );
    }
}

#[test]
fn the_hash_of_a_second_frame_stays() {
    let key = || LinkKey::new(&[0x41; 32], b"dialler's hello", b"acceptor's hello");
    let second = || {
        let mut way = Way::of(key(), End::Dialler);
        let mut bytes = Vec::new();
        way.seal(&Envelope::Beat, &mut bytes);
        bytes.clear();
        way.seal(&Envelope::Beat, &mut bytes);
        bytes
    };
    fixtures::check(
        &path("second_frame.hex"),
        &[("heartbeat", second())],
        Vec::clone,
        <[u8]>::to_vec,
    );
}
