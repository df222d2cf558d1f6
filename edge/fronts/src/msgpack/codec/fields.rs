//! The fields of a call, each checked once before anyone else sees it.

use std::hash::{BuildHasher, RandomState};

/// The highest group; the largest size (KB), as the simulator counts it; the longest wait (ms).
const GROUP: u32 = 255;
const SIZE_KB: f64 = 1e9;
const WAIT_MS: f64 = 600_000.0;

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

/// The fields that a call must have.
const NEEDED: [&str; 6] = ["i", "d", "o", "nth", "batch", "m"];

/// Checks the fields of a call one by one, as they are read. Guards against what can't be used or has two readings: a
/// figure that is none or out of range, a field in another form or given twice, one that is missing.
///
/// The texts are not kept: a client may take long over a call, and many clients at once.
#[derive(Default)]
pub(super) struct FieldCheck {
    asked: Asked,
    /// A hash of each name that was given. With a random key, no client can choose two names of one hash.
    names: Vec<u64>,
    hasher: RandomState,
    /// Of [`NEEDED`], those that were given.
    given: [bool; NEEDED.len()],
    fault: Option<&'static str>,
}

impl FieldCheck {
    /// Checks the next field.
    pub(super) fn add(&mut self, key: &str, value: &str) {
        let name = self.hasher.hash_one(key);
        if self.names.contains(&name) {
            self.fault.get_or_insert("a field is given twice");
        }
        self.names.push(name);
        if let Some(needed) = NEEDED.iter().position(|needed| *needed == key) {
            self.given[needed] = true;
        }
        if self.take(key, value).is_none() {
            self.fault.get_or_insert("a field can't be used");
        }
    }

    /// The fields, or the first that is wrong.
    pub(super) fn finish(self) -> Result<Asked, &'static str> {
        match self.fault {
            Some(fault) => Err(fault),
            None if self.given.contains(&false) => Err("a field is missing"),
            None => Ok(self.asked),
        }
    }

    /// Takes a field over; `None` if it can't be used.
    fn take(&mut self, key: &str, value: &str) -> Option<()> {
        let asked = &mut self.asked;
        match key {
            "i" => asked.via = hex(value, 16)?,
            "o" => asked.object = hex(value, 16)?,
            "d" => asked.wait_ms = amount(value, WAIT_MS).filter(|wait| *wait > 0.0)?,
            "m" => asked.size_kb = amount(value, SIZE_KB)?,
            "nth" => asked.part = whole(value)?,
            "batch" => asked.group = whole(value).filter(|group| *group <= GROUP)?,
            "r" if value != "1" => return None,
            "k" => {
                hex(value, 32)?;
                asked.token = Some(value.to_string());
            }
            "got" if !plain(value) => return None,
            "got" => asked.got = Some(value.to_string()),
            _ => {}
        }
        Some(())
    }
}

/// So many hex digits, in lower case: what is passed on is the same text again. The value of the last sixteen.
fn hex(text: &str, digits: usize) -> Option<u64> {
    let fit = text.len() == digits && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    fit.then(|| u64::from_str_radix(&text[digits - 16..], 16).ok())
        .flatten()
}

/// A whole number as it is counted: no sign, no zeros before it.
fn whole(text: &str) -> Option<u32> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    (digits && (text == "0" || !text.starts_with('0')))
        .then(|| text.parse().ok())
        .flatten()
}

/// A finite figure from 0 to the most. Guards against NaN and infinities, which parse as figures too.
fn amount(text: &str, most: f64) -> Option<f64> {
    let figure = text.starts_with(|c: char| c.is_ascii_digit());
    text.parse()
        .ok()
        .filter(|n| figure && (0.0..=most).contains(n))
}

/// Fit for a header. Guards against a client's text that would end a header and start its own.
fn plain(value: &str) -> bool {
    let fit = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !value.is_empty() && value.len() <= 64 && value.bytes().all(fit)
}

#[cfg(test)]
mod tests;
