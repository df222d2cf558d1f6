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
        let kept = good
            .iter()
            .filter(|(k, _)| *k != key)
            .map(|(k, v)| (k.to_string(), v.to_string()));
        check(
            kept.chain(value.map(|v| (key.to_string(), v.to_string())))
                .collect(),
        )
    }

    #[test]
    fn fields_are_taken_in_their_own_form_alone() {
        let good = asked("more", Some("passed over")).unwrap();
        assert_eq!(
            (good.via, good.object),
            (0x9b1f_03aa_5c7e_2d41, 0x7f3a_9c21_e0b4_d655)
        );
        assert_eq!(
            (good.part, good.group, good.size_kb, good.wait_ms),
            (3, 17, 412.5, 1500.0)
        );
        let key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
        assert_eq!(asked("k", Some(key)).unwrap().token.as_deref(), Some(key));
        // 530 ms at 11 MB a second, 21 times the size, at three deviations of 1.3: 2.6 GB as a site counts it.
        for (field, value) in [
            ("r", "1"),
            ("got", "4be0c1927d55a6f3"),
            ("nth", "0"),
            ("batch", "255"),
            ("m", "0"),
            ("m", "2600000"),
        ] {
            assert!(asked(field, Some(value)).is_ok(), "{field} {value}");
        }
        for (field, values) in [
            (
                "i",
                &[
                    "",
                    "9b1f03aa5c7e2d4",
                    "9b1f03aa5c7e2d411",
                    "9B1F03AA5C7E2D41",
                    "+b1f03aa5c7e2d41",
                ][..],
            ),
            (
                "o",
                &[
                    "7f3a9c21e0b4d65",
                    "7f3a9c21e0b4d65g",
                    "0x3a9c21e0b4d655",
                    "7f3a9c21e0b4d6\u{e9}",
                ],
            ),
            (
                "d",
                &["", "0", "-5", "NaN", "inf", "1e300", "600001", "+5", "5s"],
            ),
            (
                "m",
                &["NaN", "inf", "infinity", "-1", "-0", "1e300", "x", ""],
            ),
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
