//! MessagePack-RPC messages to and from bytes. Reading goes by the stream, so that nothing is held twice;
//! every length is checked against a bound before anything is kept for it.

use foldmux::interface::Time;
use foldmux_core::buffers::{Buffers, Lease};
use rmp::decode::{read_marker, MarkerReadError, RmpRead, ValueReadError};
use rmp::{encode, Marker};
use std::io::Read;
use std::ops::Range;
use std::sync::Arc;

/// Longest body of a write; longest text; most fields of a map; deepest nesting of what is passed over, and the
/// most bytes of it.
const BODY: usize = 48_000;
const TEXT: usize = 256;
const FIELDS: u32 = 64;
const DEPTH: usize = 8;
const PASSED_OVER: usize = 64 * 1024;
/// The highest group; the largest size (KB); the longest wait (ms).
const GROUP: u32 = 255;
const SIZE_KB: f64 = 1e6;
const WAIT_MS: f64 = 600_000.0;

pub enum Heard {
    Call(Call),
    Forget(Vec<u32>),
    /// A whole message with an id and nothing to serve.
    Refused(u32, &'static str),
}

pub struct Call {
    pub id: u32,
    pub method: String,
    /// What is asked for, or the field that is missing or can't be used.
    pub asked: Result<Asked, &'static str>,
    pub body: Option<(Lease, usize)>,
}

/// The fields of a call, each in the form that PROTOCOL gives it.
#[derive(Debug, Default, PartialEq)]
pub struct Asked {
    pub via: u64,
    pub wait_ms: f64,
    pub object: u64,
    pub part: u32,
    pub group: u32,
    pub size_kb: f64,
    pub token: Option<String>,
    pub got: Option<String>,
}

pub enum Unread {
    /// The connection ended.
    Over,
    /// Where the next message begins is lost; the id, if it was read.
    Garbled(Option<u32>, &'static str),
}

type Part<T> = Result<T, Fault>;

enum Fault {
    Over,
    Bad(&'static str),
}

impl From<std::io::Error> for Fault {
    fn from(_: std::io::Error) -> Fault {
        Fault::Over
    }
}

impl From<MarkerReadError> for Fault {
    fn from(_: MarkerReadError) -> Fault {
        Fault::Over
    }
}

impl From<ValueReadError> for Fault {
    fn from(error: ValueReadError) -> Fault {
        match error {
            ValueReadError::TypeMismatch(_) => Fault::Bad("not the type that belongs here"),
            _ => Fault::Over,
        }
    }
}

/// The next message of a connection.
pub fn read(r: &mut impl Read, buffers: &Arc<Buffers>) -> Result<Heard, Unread> {
    let mut id = None;
    message(r, buffers, &mut id).map_err(|fault| match fault {
        Fault::Over => Unread::Over,
        Fault::Bad(why) => Unread::Garbled(id, why),
    })
}

fn message(r: &mut impl Read, buffers: &Arc<Buffers>, id: &mut Option<u32>) -> Part<Heard> {
    let length = array(r)?;
    match (uint(r)?, length) {
        (0, 4) => {}
        (2, 3) => return notification(r),
        _ => return Err(Fault::Bad("neither a request nor a notification")),
    }
    let number = u32::try_from(uint(r)?).map_err(|_| Fault::Bad("an id over 32 bits"))?;
    *id = Some(number);
    let method = text(r)?;
    let length = array(r)?;
    if length == 0 {
        return Ok(Heard::Refused(number, "no fields"));
    }
    // Guards against a length that would have this wait for what never comes.
    if length > FIELDS {
        return Err(Fault::Bad("too many parameters"));
    }
    let asked = fields(r)?;
    let body = if length > 1 { body(r, buffers)? } else { None };
    for _ in 2..length {
        pass_over(r, DEPTH, &mut { PASSED_OVER })?;
    }
    Ok(Heard::Call(Call { id: number, method, asked, body }))
}

fn notification(r: &mut impl Read) -> Part<Heard> {
    let method = text(r)?;
    let length = array(r)?;
    if length > FIELDS {
        return Err(Fault::Bad("too many parameters"));
    }
    if method != "forget" {
        (0..length).try_for_each(|_| pass_over(r, DEPTH, &mut { PASSED_OVER }))?;
        return Ok(Heard::Forget(Vec::new()));
    }
    let ids: Part<Vec<u64>> = (0..length).map(|_| uint(r)).collect();
    Ok(Heard::Forget(ids?.into_iter().filter_map(|id| u32::try_from(id).ok()).collect()))
}

/// The map of a call. Fields of no use here are passed over; those of use are texts.
fn fields(r: &mut impl Read) -> Part<Result<Asked, &'static str>> {
    let length = match read_marker(r)? {
        Marker::FixMap(n) => n as u32,
        Marker::Map16 => r.read_data_u16()? as u32,
        Marker::Map32 => r.read_data_u32()?,
        _ => return Err(Fault::Bad("the fields are no map")),
    };
    if length > FIELDS {
        return Err(Fault::Bad("too many fields"));
    }
    let mut pairs = Vec::with_capacity(length as usize);
    for _ in 0..length {
        pairs.push((text(r)?, text(r)?));
    }
    Ok(check(pairs))
}

/// Checks every field, once, before anyone else sees it. Guards against what can't be used or has two readings:
/// a figure that is none or out of range, a field in another form or given twice, one that is missing.
fn check(pairs: Vec<(String, String)>) -> Result<Asked, &'static str> {
    const NEEDED: [&str; 6] = ["i", "d", "o", "nth", "batch", "m"];
    let mut asked = Asked::default();
    for (n, (key, value)) in pairs.iter().enumerate() {
        if pairs[..n].iter().any(|(other, _)| other == key) {
            return Err("a field is given twice");
        }
        let usable = match key.as_str() {
            "i" => hex(value, 16).map(|via| asked.via = via),
            "o" => hex(value, 16).map(|object| asked.object = object),
            "d" => amount(value, WAIT_MS).filter(|w| *w > 0.0).map(|wait| asked.wait_ms = wait),
            "m" => amount(value, SIZE_KB).map(|size| asked.size_kb = size),
            "nth" => whole(value).map(|part| asked.part = part),
            "batch" => whole(value).filter(|n| *n <= GROUP).map(|group| asked.group = group),
            "r" => (value == "1").then_some(()),
            "k" => hex(value, 32).map(|_| asked.token = Some(value.clone())),
            "got" => plain(value).then(|| asked.got = Some(value.clone())),
            _ => Some(()),
        };
        usable.ok_or("a field can't be used")?;
    }
    let missing = NEEDED.iter().any(|needed| pairs.iter().all(|(key, _)| key != needed));
    (!missing).then_some(asked).ok_or("a field is missing")
}

/// So many hex digits, in lower case: what is passed on is the same text again. The value of the last sixteen.
fn hex(text: &str, digits: usize) -> Option<u64> {
    let fit = text.len() == digits && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    fit.then(|| u64::from_str_radix(&text[digits - 16..], 16).ok()).flatten()
}

/// A whole number as it is counted: no sign, no zeros before it.
fn whole(text: &str) -> Option<u32> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    (digits && (text == "0" || !text.starts_with('0'))).then(|| text.parse().ok()).flatten()
}

/// A finite figure from 0 to the most. Guards against NaN and infinities, which parse as figures too.
fn amount(text: &str, most: f64) -> Option<f64> {
    let figure = text.starts_with(|c: char| c.is_ascii_digit());
    text.parse().ok().filter(|n| figure && (0.0..=most).contains(n))
}

/// Fit for a header. Guards against a client's text that would end a header and start its own.
fn plain(value: &str) -> bool {
    let fit = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !value.is_empty() && value.len() <= 64 && value.bytes().all(fit)
}

fn body(r: &mut impl Read, buffers: &Arc<Buffers>) -> Part<Option<(Lease, usize)>> {
    let length = match read_marker(r)? {
        Marker::Null => 0,
        Marker::Bin8 => r.read_data_u8()? as usize,
        Marker::Bin16 => r.read_data_u16()? as usize,
        Marker::Bin32 => r.read_data_u32()? as usize,
        _ => return Err(Fault::Bad("the body is not binary")),
    };
    if length > BODY {
        return Err(Fault::Bad("the body is too long"));
    }
    if length == 0 {
        return Ok(None);
    }
    let mut lease = buffers.lease_for_body().ok_or(Fault::Bad("no buffer for the body"))?;
    r.read_exact(&mut lease[..length])?;
    Ok(Some((lease, length)))
}

fn array(r: &mut impl Read) -> Part<u32> {
    match read_marker(r)? {
        Marker::FixArray(n) => Ok(n as u32),
        Marker::Array16 => Ok(r.read_data_u16()? as u32),
        Marker::Array32 => Ok(r.read_data_u32()?),
        _ => Err(Fault::Bad("not an array")),
    }
}

fn uint(r: &mut impl Read) -> Part<u64> {
    match read_marker(r)? {
        Marker::FixPos(n) => Ok(n as u64),
        Marker::U8 => Ok(r.read_data_u8()? as u64),
        Marker::U16 => Ok(r.read_data_u16()? as u64),
        Marker::U32 => Ok(r.read_data_u32()? as u64),
        Marker::U64 => Ok(r.read_data_u64()?),
        _ => Err(Fault::Bad("not a whole number")),
    }
}

fn text(r: &mut impl Read) -> Part<String> {
    let length = match read_marker(r)? {
        Marker::FixStr(n) => n as usize,
        Marker::Str8 => r.read_data_u8()? as usize,
        Marker::Str16 => r.read_data_u16()? as usize,
        Marker::Str32 => r.read_data_u32()? as usize,
        _ => return Err(Fault::Bad("not a text")),
    };
    if length > TEXT {
        return Err(Fault::Bad("a text is too long"));
    }
    let mut bytes = [0; TEXT];
    r.read_exact(&mut bytes[..length])?;
    String::from_utf8(bytes[..length].to_vec()).map_err(|_| Fault::Bad("a text is not UTF-8"))
}

/// Reads a value of any type and keeps nothing of it.
fn pass_over(r: &mut impl Read, depth: usize, left: &mut usize) -> Part<()> {
    let depth = depth.checked_sub(1).ok_or(Fault::Bad("nested too deep"))?;
    let (bytes, values) = match read_marker(r)? {
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => (0, 0),
        Marker::U8 | Marker::I8 => (1, 0),
        Marker::U16 | Marker::I16 => (2, 0),
        Marker::U32 | Marker::I32 | Marker::F32 => (4, 0),
        Marker::U64 | Marker::I64 | Marker::F64 => (8, 0),
        Marker::FixStr(n) => (n as usize, 0),
        Marker::Str8 | Marker::Bin8 => (r.read_data_u8()? as usize, 0),
        Marker::Str16 | Marker::Bin16 => (r.read_data_u16()? as usize, 0),
        Marker::Str32 | Marker::Bin32 => (r.read_data_u32()? as usize, 0),
        Marker::FixArray(n) => (0, n as usize),
        Marker::Array16 => (0, r.read_data_u16()? as usize),
        Marker::Array32 => (0, r.read_data_u32()? as usize),
        Marker::FixMap(n) => (0, 2 * n as usize),
        Marker::Map16 => (0, 2 * r.read_data_u16()? as usize),
        Marker::Map32 => (0, 2 * r.read_data_u32()? as usize),
        _ => return Err(Fault::Bad("a type that is not spoken here")),
    };
    *left = left.checked_sub(bytes + values + 1).ok_or(Fault::Bad("too long"))?;
    let mut bin = [0; 256];
    let mut bytes = bytes;
    while bytes > 0 {
        let n = bytes.min(bin.len());
        r.read_exact(&mut bin[..n])?;
        bytes -= n;
    }
    (0..values).try_for_each(|_| pass_over(r, depth, left))
}

// ---- writing: into memory, which can't fail ----

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
    buffer.get_mut(body.end..body.end + behind.len())?.copy_from_slice(&behind);
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
pub fn shed(id: u32, wait: Time) -> Vec<u8> {
    let wait = (wait / 1000).to_string();
    error(id, "Shed", (wait != "0").then_some(("w", wait.as_str())))
}

pub fn well(id: u32, well: bool) -> Vec<u8> {
    let mut out = head(id);
    let _ = encode::write_nil(&mut out);
    let _ = encode::write_array_len(&mut out, 2);
    let _ = encode::write_bool(&mut out, well);
    map(&mut out, &[]);
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The fields of a good call, with one of them replaced, left out or added.
    fn asked(key: &str, value: Option<&str>) -> Result<Asked, &'static str> {
        let good = [
            ("i", "9b1f03aa5c7e2d41"),
            ("d", "1500"),
            ("o", "7f3a9c21e0b4d655"),
            ("nth", "3"),
            ("batch", "17"),
            ("m", "412.5"),
        ];
        let kept = good.iter().filter(|(k, _)| *k != key).map(|(k, v)| (k.to_string(), v.to_string()));
        check(kept.chain(value.map(|v| (key.to_string(), v.to_string()))).collect())
    }

    #[test]
    fn fields_are_taken_in_their_own_form_alone() {
        let good = asked("more", Some("passed over")).unwrap();
        assert_eq!((good.via, good.object), (0x9b1f_03aa_5c7e_2d41, 0x7f3a_9c21_e0b4_d655));
        assert_eq!((good.part, good.group, good.size_kb, good.wait_ms), (3, 17, 412.5, 1500.0));
        let key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
        assert_eq!(asked("k", Some(key)).unwrap().token.as_deref(), Some(key));
        for (field, value) in
            [("r", "1"), ("got", "4be0c1927d55a6f3"), ("nth", "0"), ("batch", "255"), ("m", "0")]
        {
            assert!(asked(field, Some(value)).is_ok(), "{field} {value}");
        }
        for (field, values) in [
            ("i", &["", "9b1f03aa5c7e2d4", "9b1f03aa5c7e2d411", "9B1F03AA5C7E2D41", "+b1f03aa5c7e2d41"][..]),
            ("o", &["7f3a9c21e0b4d65", "7f3a9c21e0b4d65g", "0x3a9c21e0b4d655", "7f3a9c21e0b4d6\u{e9}"]),
            ("d", &["", "0", "-5", "NaN", "inf", "1e300", "600001", "+5", "5s"]),
            ("m", &["NaN", "inf", "infinity", "-1", "-0", "1e300", "x", ""]),
            ("nth", &["-1", "+3", "03", "4294967296", "3.0", ""]),
            ("batch", &["256", "-1", "017", "x"]),
            ("k", &["5c0f", "5C0F6E1A2B3D4C59A8B7C6D5E4F30211"]),
            ("r", &["0", "2", ""]),
            ("got", &["", "a\r\nb", "a b", &"x".repeat(65)]),
        ] {
            for value in values {
                assert!(asked(field, Some(value)).is_err(), "{field} {value}");
            }
        }
        for missing in ["i", "d", "o", "nth", "batch", "m"] {
            assert_eq!(asked(missing, None), Err("a field is missing"));
        }
        let twice = [("r", "1"), ("r", "1")].map(|(k, v)| (k.to_string(), v.to_string()));
        assert_eq!(check(twice.to_vec()), Err("a field is given twice"));
    }
}
