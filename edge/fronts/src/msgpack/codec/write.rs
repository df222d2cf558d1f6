//! Messages to bytes: into memory, which can't fail.

use rmp::encode;
use std::ops::Range;
use std::time::Duration;

fn head(id: u32) -> Vec<u8> {
    let mut out = Vec::with_capacity(64);
    let _ = encode::write_array_len(&mut out, 4);
    let _ = encode::write_uint(&mut out, 1);
    let _ = encode::write_uint(&mut out, id as u64);
    out
}

fn map(out: &mut Vec<u8>, fields: &[(&str, &str)]) {
    let _ = encode::write_map_len(out, fields.len() as u32);
    for (key, value) in fields {
        let _ = encode::write_str(out, key);
        let _ = encode::write_str(out, value);
    }
}

/// Puts the message around a body that is already in the buffer: the head of the answer it was read with
/// leaves room before it. Returns where the message is.
pub fn served(id: u32, buffer: &mut [u8], body: Range<usize>) -> Option<Range<usize>> {
    let mut before = head(id);
    let _ = encode::write_nil(&mut before);
    let _ = encode::write_array_len(&mut before, 2);
    let _ = encode::write_bin_len(&mut before, u32::try_from(body.len()).ok()?);
    let mut behind = Vec::new();
    map(&mut behind, &[]);
    let start = body.start.checked_sub(before.len())?;
    buffer[start..body.start].copy_from_slice(&before);
    buffer
        .get_mut(body.end..body.end + behind.len())?
        .copy_from_slice(&behind);
    Some(start..body.end + behind.len())
}

/// The client's copy is the one.
pub fn same(id: u32) -> Vec<u8> {
    let mut out = head(id);
    let _ = encode::write_nil(&mut out);
    let _ = encode::write_array_len(&mut out, 2);
    let _ = encode::write_bin(&mut out, &[]);
    map(&mut out, &[("ok304", "1")]);
    out
}

pub fn error(id: u32, word: &str, field: Option<(&str, &str)>) -> Vec<u8> {
    let mut out = head(id);
    let _ = encode::write_array_len(&mut out, 2);
    let _ = encode::write_str(&mut out, word);
    map(&mut out, field.as_slice());
    let _ = encode::write_nil(&mut out);
    out
}

/// Refused: trying again is harmless, after a while.
pub fn shed(id: u32, retry_after: Duration) -> Vec<u8> {
    let millis = retry_after.as_millis().to_string();
    error(
        id,
        "Shed",
        (millis != "0").then_some(("w", millis.as_str())),
    )
}

pub fn well(id: u32, well: bool) -> Vec<u8> {
    let mut out = head(id);
    let _ = encode::write_nil(&mut out);
    let _ = encode::write_array_len(&mut out, 2);
    let _ = encode::write_bool(&mut out, well);
    map(&mut out, &[]);
    out
}
