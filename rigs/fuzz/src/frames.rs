//! Peer frames: sealed and opened again, in pieces; spoilt, repeated, moved or from another link, they never open.

use arbitrary::Unstructured;
use foldmux_peers::frame::{read, End, Envelope, LinkKey, Way};

/// Longest message of these tests.
const MOST: usize = 400;

type Drawn = (Vec<(u8, Vec<u8>)>, [u8; 32]);

fn envelopes(bytes: &[u8]) -> Drawn {
    Unstructured::new(bytes).arbitrary().unwrap_or_default()
}

fn seal(parts: &[(u8, Vec<u8>)], key: &LinkKey) -> Vec<u8> {
    let (mut way, mut out) = (Way::of(key.clone(), End::Dialler), Vec::new());
    for (part, bytes) in parts {
        way.seal(&envelope(*part, bytes), &mut out);
    }
    out
}

fn envelope(part: u8, bytes: &[u8]) -> Envelope<'_> {
    if bytes.is_empty() {
        Envelope::Beat
    } else {
        Envelope::Message { part, bytes }
    }
}

/// What opens of a stream, in order, up to the first frame that doesn't.
fn open(stream: &[u8], key: &LinkKey, end: End) -> Vec<(u8, Vec<u8>)> {
    let (mut way, mut from, mut frame, mut opened) =
        (Way::of(key.clone(), end), stream, Vec::new(), Vec::new());
    while read(&mut from, MOST, &mut frame).is_ok() {
        match way.open(&frame) {
            Ok(Envelope::Beat) => opened.push((0, Vec::new())),
            Ok(Envelope::Message { part, bytes }) => opened.push((part, bytes.to_vec())),
            Err(_) => break,
        }
    }
    opened
}

fn key(fleet: [u8; 32]) -> LinkKey {
    LinkKey::new(&fleet, b"one", b"two")
}

pub fn sealed(bytes: &[u8]) -> Result<(), String> {
    let (mut parts, fleet) = envelopes(bytes);
    parts.iter_mut().for_each(|(part, bytes)| {
        bytes.truncate(MOST);
        *part = if bytes.is_empty() { 0 } else { *part };
    });
    let stream = seal(&parts, &key(fleet));
    if open(&stream, &key(fleet), End::Dialler) != parts {
        return Err("not what was sealed".into());
    }
    // Cut off at every byte: only whole frames open, and none that follows.
    let mut ends = Vec::new();
    for n in 0..=parts.len() {
        ends.push(seal(&parts[..n], &key(fleet)).len());
    }
    (0..stream.len()).try_for_each(|cut| {
        let whole = ends.iter().filter(|end| **end <= cut).count() - 1;
        let opened = open(&stream[..cut], &key(fleet), End::Dialler);
        (opened == parts[..whole])
            .then_some(())
            .ok_or_else(|| format!("cut at {cut}: {}", opened.len()))
    })
}

pub fn spoilt(bytes: &[u8]) -> Result<(), String> {
    let (mut parts, fleet) = envelopes(bytes);
    parts.iter_mut().for_each(|(_, bytes)| bytes.truncate(MOST));
    if parts.is_empty() {
        return Ok(());
    }
    let stream = seal(&parts, &key(fleet));
    let place = bytes.len() * 7_919 % stream.len();
    let mut other = stream.clone();
    other[place] ^= 1 << (bytes.len() & 7);
    let whole = (0..=parts.len())
        .filter(|n| seal(&parts[..*n], &key(fleet)).len() <= place)
        .count()
        - 1;
    let told = |opened: usize, most: usize, what: &str| {
        (opened <= most)
            .then_some(())
            .ok_or_else(|| format!("{what}: {opened} frames opened, {most} at most"))
    };
    told(
        open(&other, &key(fleet), End::Dialler).len(),
        whole,
        "one bit turned",
    )?;
    told(
        open(&stream, &key(fleet), End::Acceptor).len(),
        0,
        "sent back",
    )?;
    let one = seal(&parts[..1], &key(fleet));
    told(
        open(&[&one[..], &one[..]].concat(), &key(fleet), End::Dialler).len(),
        1,
        "sent twice",
    )?;
    told(
        open(&stream[one.len()..], &key(fleet), End::Dialler).len(),
        0,
        "the first left out",
    )?;
    let elsewhere = LinkKey::new(&fleet, b"onet", b"wo");
    told(
        open(&stream, &elsewhere, End::Dialler).len(),
        0,
        "another link's",
    )
}
