//! The journal's feed and the settings: the reader in use (`simd-json`) against `serde_json`, of the same types.

use crate::{spoil, spoils};
use foldmux_proxy::journal::EventBatch;
use proptest::collection::vec;
use proptest::prelude::*;
use simd_json::{OwnedValue, StaticNode};

/// Where the two libraries are known to differ, and either reading does no harm: a minus zero is a whole number to the one
/// in use, and it refuses whole numbers over 64 bits also where a fraction or nothing is wanted.
fn differs(bytes: &[u8]) -> bool {
    let long = bytes
        .split(|b| !b.is_ascii_digit())
        .any(|digits| digits.len() >= 20);
    long || bytes.windows(2).any(|two| two == b"-0")
}

/// The other library, built to keep any precision as a crate here wants it, can't read a fraction in what it must read twice
/// (a line that may be bad): there it has no say.
fn fraction(bytes: &[u8]) -> bool {
    let weight = br#""weight":"#;
    bytes
        .windows(weight.len())
        .enumerate()
        .filter(|(_, window)| window == weight)
        .any(|(at, _)| {
            let rest = bytes[at + weight.len()..]
                .iter()
                .take_while(|b| !b",}".contains(b));
            rest.into_iter().any(|b| b".eE".contains(b))
        })
}

/// The same, or both refuse. `None`: refused.
fn same(used: Option<String>, other: Option<String>) -> Result<(), String> {
    match used == other {
        true => Ok(()),
        false => Err(format!("in use {used:?}, the other {other:?}")),
    }
}

pub fn feed(bytes: &[u8]) -> Result<(), String> {
    if differs(bytes) || fraction(bytes) {
        return Ok(());
    }
    let used = simd_json::serde::from_slice::<EventBatch>(&mut bytes.to_vec());
    // What is no text at all is refused; the other library does not look where nothing is wanted of it.
    if std::str::from_utf8(bytes).is_err() {
        return same(used.ok().map(|f| format!("{f:?}")), None);
    }
    let other = serde_json::from_slice::<EventBatch>(bytes);
    same(
        used.ok().map(|f| format!("{f:?}")),
        other.ok().map(|f| format!("{f:?}")),
    )
}

/// What the other library read, as a value of the one in use. The library that is built to keep any precision hands numbers
/// on as objects of its own where it is asked for a foreign value: so they are converted here, one by one.
fn converted(value: serde_json::Value) -> Result<OwnedValue, String> {
    Ok(match value {
        serde_json::Value::Null => OwnedValue::Static(StaticNode::Null),
        serde_json::Value::Bool(whether) => whether.into(),
        serde_json::Value::Number(number) => converted_number(&number)?,
        serde_json::Value::String(text) => text.into(),
        serde_json::Value::Array(list) => {
            let list: Result<Vec<OwnedValue>, String> = list.into_iter().map(converted).collect();
            list?.into()
        }
        serde_json::Value::Object(object) => {
            let entries = object
                .into_iter()
                .map(|(key, value)| Ok((key, converted(value)?)));
            let entries: Result<Vec<(String, OwnedValue)>, String> = entries.collect();
            entries?.into_iter().collect()
        }
    })
}

fn converted_number(number: &serde_json::Number) -> Result<OwnedValue, String> {
    let whole = number
        .as_u64()
        .map(OwnedValue::from)
        .or_else(|| number.as_i64().map(OwnedValue::from));
    let fraction = || {
        number
            .as_f64()
            .filter(|value| value.is_finite())
            .map(OwnedValue::from)
    };
    whole
        .or_else(fraction)
        .ok_or_else(|| format!("{number} is out of range"))
}

pub fn setting(bytes: &[u8]) -> Result<(), String> {
    let Ok(text) = std::str::from_utf8(bytes) else {
        return Ok(());
    };
    if differs(bytes) {
        return Ok(());
    }
    let used = foldmux_settings::parse(text);
    let other = serde_json::from_str::<serde_json::Value>(text).map_err(|e| e.to_string());
    let other = other
        .and_then(converted)
        .and_then(|value| foldmux_settings::read(&value));
    same(
        used.ok().map(|d| format!("{d:?}")),
        other.ok().map(|d| format!("{d:?}")),
    )
}

fn number() -> BoxedStrategy<String> {
    prop_oneof![
        4 => any::<u32>().prop_map(|n| n.to_string()),
        2 => any::<u64>().prop_map(|n| n.to_string()),
        1 => any::<i64>().prop_map(|n| n.to_string()),
        1 => (0.0..1e9f64).prop_map(|n| n.to_string()),
        1 => Just("1e3".to_string()),
    ]
    .boxed()
}

fn text() -> BoxedStrategy<String> {
    let plain = "[ -!#-\\[\\]-~]{0,20}";
    let any = any::<String>().prop_map(|s| {
        let quoted = serde_json::to_string(&s).unwrap_or_default();
        quoted[1..quoted.len() - 1].to_string()
    });
    prop_oneof![3 => plain, 1 => any, 1 => Just("\\u00e9\\ud83d\\ude00\\n".to_string())].boxed()
}

/// Feeds as the protocol tells them, with values of any size; some spoilt.
pub fn feeds() -> BoxedStrategy<Vec<u8>> {
    let endpoint = (text(), number(), any::<bool>()).prop_map(|(name, since, whole)| {
        let rest = if whole { r#","zone":"hub","type":"box","group":3,"weight":15"# } else { "" };
        format!(r#"{{"name":"{name}","address":"127.0.0.1:80","status":"ready","since_ms":{since}{rest}}}"#)
    });
    let hosts = (any::<bool>(), vec(endpoint, 0..4)).prop_map(|(whole, lines)| {
        format!(
            r#""hosts":{{"index":1,"snapshot":{whole},"endpoints":[{}]}}"#,
            lines.join(",")
        )
    });
    let expire = prop_oneof![
        (text(), number())
            .prop_map(|(name, stamp)| format!(r#""expire":{{"name":"{name}","stamp":{stamp}}}"#)),
        (number(), number())
            .prop_map(|(set, stamp)| format!(r#""expire":{{"set":{set},"stamp":{stamp}}}"#)),
        text().prop_map(|other| format!(r#""later":{{"a":["{other}",null,{{}}]}}"#)),
    ];
    let entry = (number(), prop_oneof![hosts, expire])
        .prop_map(|(pos, e)| format!(r#"{{"pos":{pos},{e}}}"#));
    let feed = (number(), vec(entry, 0..6))
        .prop_map(|(pos, entries)| format!(r#"{{"pos":{pos},"entries":[{}]}}"#, entries.join(",")));
    (feed, spoils(2))
        .prop_map(|(text, spoils)| spoil(text.into_bytes(), &spoils))
        .boxed()
}

const SETTINGS: &str = r#"{"index":0,"balancers":1,"locality":1,"dcs":["hub","edge"],"kinds":["box","parent","origin"],"classes":[{"name":"sheet","slo":20000000,"hardLimit":30000000,"idempotency":"free"},{"name":"record","slo":N,"hardLimit":30000000,"idempotency":"guarded","group":"all","repeatWindow":N}],"limits":{"maxAttempts":4,"cancel":true,"retryAfter":true,"maxRetryAfter":N,"dialTimeout":N,"keepalive":N},"rules":{"answerSlack":8000,"stopSendingWithin":N,"coldFrom":0.17,"rampTime":N,"fall":3000000,"fallMultiple":N},"domain":{"originKind":2,"midKind":1,"siblings":"any","notesGiven":"none","clientKbPerS":N,"direct":true,"hubOf":[0,N],"passOn":[false,true],"instancesByZone":[0,N],"parentFloor":0.1,"parentCold":N,"parentBreaksAt":2.0,"purgeSlack":N,"purgeDone":6000000}}"#;

/// Settings with drawn numbers; some spoilt.
pub fn settings() -> BoxedStrategy<Vec<u8>> {
    let fill = |numbers: Vec<String>| {
        let mut pieces = SETTINGS.split('N');
        let first = pieces.next().unwrap_or_default().to_string();
        pieces
            .zip(numbers.iter().cycle())
            .fold(first, |text, (piece, number)| text + number + piece)
    };
    let small = prop_oneof![6 => "[1-9][0-9]{0,6}", 1 => number()];
    let text = vec(small, 1..12).prop_map(fill);
    (text, spoils(2))
        .prop_map(|(text, spoils)| spoil(text.into_bytes(), &spoils))
        .boxed()
}
