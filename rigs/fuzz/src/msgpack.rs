//! MessagePack-RPC: calls against `rmpv`'s reading, in pieces and cut off; answers read back by it.

use arbitrary::Unstructured;
use foldmux_core::buffers::BufferPool;
use foldmux_fronts::msgpack::codec::{self, Asked, Heard, Unread};
use rmpv::Value;
use std::io::{self, Read};
use std::time::Duration;

/// The bounds of what is passed over, and of texts and bodies.
const DEPTH: usize = 8;
const TEXT: usize = 256;
const FIELDS: usize = 64;
const BODY: usize = 48_000;

/// A stream that gives so many bytes at a time.
struct Pieces<'a>(&'a [u8], usize);

impl Read for Pieces<'_> {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        let n = self.1.min(to.len()).min(self.0.len());
        to[..n].copy_from_slice(&self.0[..n]);
        self.0 = &self.0[n..];
        Ok(n)
    }
}

#[derive(Debug, PartialEq)]
enum Seen {
    Over,
    Garbled,
    Refused(u32),
    Forget(Vec<u32>),
    Call {
        id: u32,
        method: String,
        asked: Option<Asked>,
        body: Option<Vec<u8>>,
    },
}

/// What the front reads, and how many bytes of it.
fn read(bytes: &[u8], piece: usize) -> (Seen, usize) {
    let (mut from, buffers) = (Pieces(bytes, piece), BufferPool::new(8));
    let seen = match codec::read(&mut from, &buffers) {
        Err(Unread::Over) => Seen::Over,
        Err(Unread::Garbled(..)) => Seen::Garbled,
        Ok(Heard::Refused(id, _)) => Seen::Refused(id),
        // Eight buffers are enough for one message at a time.
        Ok(Heard::NoRoom(..)) => panic!("no buffer for a body"),
        Ok(Heard::Forget(ids)) => Seen::Forget(ids),
        Ok(Heard::Call(call)) => Seen::Call {
            id: call.id,
            method: call.method,
            asked: call.asked.ok(),
            body: call.body.map(|(lease, length)| lease[..length].to_vec()),
        },
    };
    (seen, bytes.len() - from.0.len())
}

/// The same by the library; none where it is no message that belongs here.
fn expected(value: &Value) -> Option<Seen> {
    let list = value.as_array()?;
    let short = |v: &Value| v.as_str().filter(|t| t.len() <= TEXT).map(str::to_string);
    match (list.first()?.as_u64()?, list.len()) {
        (2, 3) => {
            let (method, rest) = (
                short(&list[1])?,
                list[2].as_array().filter(|l| l.len() <= FIELDS)?,
            );
            if method != "forget" {
                return rest
                    .iter()
                    .all(|v| passed(v, DEPTH))
                    .then(|| Seen::Forget(Vec::new()));
            }
            let ids: Option<Vec<u64>> = rest.iter().map(Value::as_u64).collect();
            Some(Seen::Forget(
                ids?.into_iter()
                    .filter_map(|id| id.try_into().ok())
                    .collect(),
            ))
        }
        (0, 4) => {
            let id = u32::try_from(list[1].as_u64()?).ok()?;
            let (method, rest) = (
                short(&list[2])?,
                list[3].as_array().filter(|l| l.len() <= FIELDS)?,
            );
            let Some(fields) = rest.first() else {
                return Some(Seen::Refused(id));
            };
            let pairs: Option<Vec<(String, String)>> = fields
                .as_map()?
                .iter()
                .map(|(k, v)| Some((short(k)?, short(v)?)))
                .collect();
            let pairs = pairs.filter(|p| p.len() <= FIELDS)?;
            let body = match rest.get(1) {
                None | Some(Value::Nil) => None,
                Some(Value::Binary(bytes)) if bytes.len() <= BODY => {
                    Some(bytes.clone()).filter(|b| !b.is_empty())
                }
                Some(_) => return None,
            };
            let fit = rest.iter().skip(2).all(|v| passed(v, DEPTH));
            fit.then(|| Seen::Call {
                id,
                method,
                asked: asked(&pairs),
                body,
            })
        }
        _ => None,
    }
}

/// Whether a value can be passed over.
fn passed(value: &Value, depth: usize) -> bool {
    let Some(depth) = depth.checked_sub(1) else {
        return false;
    };
    match value {
        Value::Array(list) => list.iter().all(|v| passed(v, depth)),
        Value::Map(pairs) => pairs
            .iter()
            .all(|(k, v)| passed(k, depth) && passed(v, depth)),
        Value::Ext(..) => false,
        _ => true,
    }
}

/// The fields, each taken only where it is written as this would write it.
fn asked(pairs: &[(String, String)]) -> Option<Asked> {
    let mut asked = Asked::default();
    let hex = |v: &str| {
        u64::from_str_radix(v, 16)
            .ok()
            .filter(|n| format!("{n:016x}") == v)
    };
    let whole = |v: &str| v.parse::<u32>().ok().filter(|n| n.to_string() == v);
    let amount = |v: &str, most: f64| {
        let digit = v.bytes().next().is_some_and(|b| b.is_ascii_digit());
        v.parse::<f64>()
            .ok()
            .filter(|n| digit && n.is_finite() && *n >= 0.0 && *n <= most)
    };
    for (key, v) in pairs {
        if pairs.iter().filter(|(other, _)| other == key).count() > 1 {
            return None;
        }
        match key.as_str() {
            "i" => asked.via = hex(v)?,
            "o" => asked.object = hex(v)?,
            "d" => asked.wait_ms = amount(v, 600_000.0).filter(|w| *w > 0.0)?,
            "m" => asked.size_kb = amount(v, 1e6)?,
            "nth" => asked.part = whole(v)?,
            "batch" => asked.group = whole(v).filter(|n| *n < 256)?,
            "r" if v != "1" => return None,
            "k" => {
                let number = u128::from_str_radix(v, 16).ok()?;
                asked.token = Some(v.clone()).filter(|v| format!("{number:032x}") == *v);
                asked.token.as_ref()?;
            }
            "got" => {
                let fit = v
                    .chars()
                    .all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
                asked.got = Some(v.clone()).filter(|v| fit && (1..=64).contains(&v.len()));
                asked.got.as_ref()?;
            }
            _ => {}
        }
    }
    let has = |key: &&str| pairs.iter().any(|(k, _)| k == key);
    ["i", "d", "o", "nth", "batch", "m"]
        .iter()
        .all(has)
        .then_some(asked)
}

pub fn call(bytes: &[u8]) -> Result<(), String> {
    let (seen, used) = read(bytes, usize::MAX);
    if read(bytes, 1) != (read(bytes, usize::MAX).0, used) {
        return Err("read otherwise in pieces of one byte".into());
    }
    let mut rest = bytes;
    let value = rmpv::decode::read_value(&mut rest);
    let whole = bytes.len() - rest.len();
    match (&seen, &value) {
        (Seen::Over, Ok(value)) => Err(format!("taken for cut off: {value}")),
        (Seen::Over | Seen::Garbled, Err(_)) => Ok(()),
        (Seen::Garbled, Ok(value)) => {
            // Other forms of the same value may be refused; its own may not.
            let mut own = Vec::new();
            rmpv::encode::write_value(&mut own, value).map_err(|e| e.to_string())?;
            match expected(value).filter(|_| own == bytes[..whole]) {
                Some(expected) => Err(format!("refused: {expected:?}")),
                None => Ok(()),
            }
        }
        (_, Err(error)) => Err(format!("{seen:?} where the library says {error}")),
        (_, Ok(value)) => {
            if expected(value).as_ref() != Some(&seen) || used != whole {
                return Err(format!(
                    "{seen:?} of {used} bytes; {:?} of {whole}",
                    expected(value)
                ));
            }
            // Cut off anywhere, it is never taken for whole.
            (0..used).try_for_each(|cut| match read(&bytes[..cut], 1).0 {
                Seen::Over => Ok(()),
                other => Err(format!("cut after {cut}: {other:?}")),
            })
        }
    }
}

/// Each answer that is written is what the library reads.
pub fn answer(bytes: &[u8]) -> Result<(), String> {
    let mut draw = Unstructured::new(bytes);
    let mut arbitrary = || -> arbitrary::Result<(u32, u32, Vec<u8>, bool)> { draw.arbitrary() };
    let (id, wait, body, well) = arbitrary().unwrap_or_default();
    let mut buffer = [&[0; 64][..], &body[..], &[0; 64][..]].concat();
    let at = codec::served(id, &mut buffer, 64..64 + body.len()).ok_or("no room for a body")?;
    let map = |pairs: &[(&str, &str)]| {
        Value::Map(
            pairs
                .iter()
                .map(|(k, v)| ((*k).into(), (*v).into()))
                .collect(),
        )
    };
    let said = |error: Value, result: Value| Value::Array(vec![1.into(), id.into(), error, result]);
    let ok = |result: Value, with: &[(&str, &str)]| {
        said(Value::Nil, Value::Array(vec![result, map(with)]))
    };
    let bad = |word: &str, with: &[(&str, &str)]| {
        said(Value::Array(vec![word.into(), map(with)]), Value::Nil)
    };
    let ms = (wait as u64 / 1000).to_string();
    let waits = [("w", ms.as_str())];
    let with = if ms == "0" { &[][..] } else { &waits[..] };
    for (written, expected) in [
        (buffer[at].to_vec(), ok(Value::Binary(body.clone()), &[])),
        (
            codec::same(id),
            ok(Value::Binary(Vec::new()), &[("ok304", "1")]),
        ),
        (codec::well(id, well), ok(well.into(), &[])),
        (
            codec::shed(id, Duration::from_micros(wait as u64)),
            bad("Shed", with),
        ),
        (
            codec::error(id, "Late", Some(("at", "x"))),
            bad("Late", &[("at", "x")]),
        ),
    ] {
        let mut rest = &written[..];
        let value = rmpv::decode::read_value(&mut rest).map_err(|e| e.to_string())?;
        if value != expected || !rest.is_empty() {
            return Err(format!(
                "{value} in place of {expected}, {} bytes behind",
                rest.len()
            ));
        }
    }
    Ok(())
}
