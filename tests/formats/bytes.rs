//! Fixtures of binary formats: files with a line `name: hex` for each value.

#[path = "text.rs"]
pub mod text;

use std::fmt::Debug;

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("two hex digits");
    (0..text.len()).step_by(2).map(byte).collect()
}

/// As [`text::check`], with the bytes in hex.
pub fn check<T: Debug>(
    path: &str,
    values: &[(&str, T)],
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> T,
) {
    text::check(
        path,
        values,
        |value| to_hex(&encode(value)),
        |text| decode(&from_hex(text)),
    );
}
