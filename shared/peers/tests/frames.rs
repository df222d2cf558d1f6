//! The codec of frames: what is sealed opens, however it is split; what was torn, moved, repeated or changed does not.

mod common;

use common::ways;
use foldmux_peers::frame::{self, End, Envelope};
use foldmux_peers::hello;
use proptest::collection::vec;
use proptest::prelude::*;
use std::io::{self, Read};

const MOST: usize = 4_096;

/// Gives what it holds in pieces that end at `cuts`.
struct Pieces<'a> {
    bytes: &'a [u8],
    at: usize,
    cuts: Vec<usize>,
}

impl Read for Pieces<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let next = self
            .cuts
            .iter()
            .copied()
            .filter(|&cut| cut > self.at)
            .min()
            .unwrap_or(usize::MAX);
        let end = next.min(self.bytes.len()).min(self.at + buffer.len());
        let piece = &self.bytes[self.at..end];
        buffer[..piece.len()].copy_from_slice(piece);
        self.at = end;
        Ok(piece.len())
    }
}

/// Each frame as it was sealed.
fn seal(messages: &[(u8, Vec<u8>)]) -> Vec<Vec<u8>> {
    let (mut says, _) = ways(End::Dialler);
    let one = |(part, bytes): &(u8, Vec<u8>)| {
        let mut out = Vec::new();
        says.seal(&Envelope::Message { part: *part, bytes }, &mut out);
        out
    };
    messages.iter().map(one).collect()
}

/// All that opens before something is wrong, and whether all was read.
fn open(bytes: &[u8], cuts: Vec<usize>, end: End) -> (Vec<(u8, Vec<u8>)>, bool) {
    let (_, mut hears) = ways(end);
    let mut from = Pieces { bytes, at: 0, cuts };
    let (mut heard, mut frame) = (Vec::new(), Vec::new());
    while from.at < bytes.len() {
        if frame::read(&mut from, MOST, &mut frame).is_err() {
            return (heard, false);
        }
        match hears.open(&frame) {
            Ok(Envelope::Message { part, bytes }) => heard.push((part, bytes.to_vec())),
            Ok(Envelope::Beat) => {}
            Err(_) => return (heard, false),
        }
    }
    (heard, true)
}

fn some() -> Vec<(u8, Vec<u8>)> {
    vec![(0, b"first".to_vec()), (3, vec![]), (255, vec![9; 200])]
}

#[test]
fn frames_open_when_split_at_every_byte_and_only_whole_ones_when_torn_there() {
    let frames = seal(&some());
    let whole = frames.concat();
    for cut in 0..=whole.len() {
        assert_eq!(
            open(&whole, vec![cut], End::Dialler),
            (some(), true),
            "split at {cut}"
        );
        let mut ends = frames.iter().scan(0, |sum, frame| {
            *sum += frame.len();
            Some(*sum)
        });
        let (heard, all) = open(&whole[..cut], vec![], End::Dialler);
        let fit = ends.clone().filter(|&end| end <= cut).count();
        assert_eq!(heard, some()[..fit], "torn at {cut}");
        assert_eq!(all, cut == 0 || ends.any(|end| end == cut), "torn at {cut}");
    }
}

#[test]
fn a_frame_of_the_other_direction_repeated_or_left_out_does_not_open() {
    let frames = seal(&some());
    assert_eq!(open(&frames[0], vec![], End::Acceptor), (vec![], false));
    let twice = [&frames[0][..], &frames[0], &frames[1]].concat();
    assert_eq!(
        open(&twice, vec![], End::Dialler),
        (some()[..1].to_vec(), false)
    );
    assert_eq!(open(&frames[1], vec![], End::Dialler), (vec![], false));
}

#[test]
fn a_length_over_the_bound_is_refused_before_anything_is_kept_for_it() {
    let mut frame = Vec::new();
    for length in [u32::MAX, (MOST + frame::AROUND + 1) as u32, 32, 0] {
        assert!(frame::read(&mut &length.to_le_bytes()[..], MOST, &mut frame).is_err());
        assert_eq!(frame.capacity(), 0);
    }
}

proptest! {
    #[test]
    fn what_is_sealed_opens_in_any_pieces(
        messages in vec((any::<u8>(), vec(any::<u8>(), 0..300)), 0..8),
        cuts in vec(0usize..3_000, 0..20),
    ) {
        prop_assert_eq!(open(&seal(&messages).concat(), cuts, End::Dialler), (messages, true));
    }

    #[test]
    fn what_was_changed_anywhere_opens_up_to_there_and_no_further(
        messages in vec((any::<u8>(), vec(any::<u8>(), 0..100)), 1..6),
        at in any::<prop::sample::Index>(),
        bit in 0u8..8,
    ) {
        let frames = seal(&messages);
        let mut bytes = frames.concat();
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let mut end = 0;
        let before = frames.iter().take_while(|frame| { end += frame.len(); end <= at }).count();
        prop_assert_eq!(open(&bytes, vec![], End::Dialler), (messages[..before].to_vec(), false));
    }

    #[test]
    fn frames_put_in_another_order_open_up_to_there(
        messages in vec((any::<u8>(), vec(any::<u8>(), 0..50)), 2..6),
        (a, b) in (any::<prop::sample::Index>(), any::<prop::sample::Index>()),
    ) {
        let mut frames = seal(&messages);
        let (a, b) = (a.index(frames.len()), b.index(frames.len()));
        frames.swap(a, b);
        let kept = if a == b { messages.len() } else { a.min(b) };
        let heard = open(&frames.concat(), vec![], End::Dialler);
        prop_assert_eq!(heard, (messages[..kept].to_vec(), a == b));
    }

    #[test]
    fn garbage_neither_opens_nor_passes_for_a_hello(bytes in vec(any::<u8>(), 0..800)) {
        prop_assert_eq!(open(&bytes, vec![], End::Dialler), (vec![], bytes.is_empty()));
        prop_assert!(hello::read(&mut &bytes[..]).is_err());
        // Behind a sound head only what is read back as it was written is a hello.
        let mut headed = b"fldx\x01\0".to_vec();
        headed.extend((bytes.len() as u16).to_le_bytes());
        headed.extend(&bytes);
        if let Ok((hello, read)) = hello::read(&mut &headed[..]) {
            prop_assert!(read == headed && hello::encode(&hello, hello::VERSION).len() <= headed.len());
        }
    }
}
