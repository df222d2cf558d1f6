//! The fields of a call, each checked once before anyone else sees it.

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

/// Checks every field, once, before anyone else sees it. Guards against what can't be used or has two readings:
/// a figure that is none or out of range, a field in another form or given twice, one that is missing.
pub(super) fn check(pairs: Vec<(String, String)>) -> Result<Asked, &'static str> {
    const NEEDED: [&str; 6] = ["i", "d", "o", "nth", "batch", "m"];
    let mut asked = Asked::default();
    for (n, (key, value)) in pairs.iter().enumerate() {
        if pairs[..n].iter().any(|(other, _)| other == key) {
            return Err("a field is given twice");
        }
        let usable = match key.as_str() {
            "i" => hex(value, 16).map(|via| asked.via = via),
            "o" => hex(value, 16).map(|object| asked.object = object),
            "d" => amount(value, WAIT_MS)
                .filter(|w| *w > 0.0)
                .map(|wait| asked.wait_ms = wait),
            "m" => amount(value, SIZE_KB).map(|size| asked.size_kb = size),
            "nth" => whole(value).map(|part| asked.part = part),
            "batch" => whole(value)
                .filter(|n| *n <= GROUP)
                .map(|group| asked.group = group),
            "r" => (value == "1").then_some(()),
            "k" => hex(value, 32).map(|_| asked.token = Some(value.clone())),
            "got" => plain(value).then(|| asked.got = Some(value.clone())),
            _ => Some(()),
        };
        usable.ok_or("a field can't be used")?;
    }
    let missing = NEEDED
        .iter()
        .any(|needed| pairs.iter().all(|(key, _)| key != needed));
    (!missing).then_some(asked).ok_or("a field is missing")
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
