//! Fixtures of stored and sent formats: files with a line `name: text` for each value.
//!
//! After an intended change of a format, `WRITE_FIXTURES=1 cargo test -p CRATE` rewrites its files.

use std::fmt::Debug;
use std::fs;

/// Encodes each value and compares it with its line of the file, then reads and rewrites the line.
///
/// # Panics
///
/// Panics if a line is missing, surplus, out of order or different.
pub fn check<T: Debug>(
    path: &str,
    values: &[(&str, T)],
    encode: impl Fn(&T) -> String,
    decode: impl Fn(&str) -> T,
) {
    let written: Vec<String> = values
        .iter()
        .map(|(name, value)| format!("{name}: {}", encode(value)))
        .collect();
    if std::env::var_os("WRITE_FIXTURES").is_some() {
        fs::write(path, written.join("\n") + "\n").expect("the fixtures can be written");
    }
    let file = fs::read_to_string(path).expect("the fixtures can be read");
    let lines: Vec<&str> = file.lines().collect();
    for (encoded, line) in written.iter().zip(&lines) {
        assert_eq!(encoded, line, "{path}: the format has changed");
    }
    assert_eq!(written.len(), lines.len(), "{path}: one line for a value");
    for ((name, value), line) in values.iter().zip(lines) {
        let (_, text) = line.split_once(": ").expect("`name: text`");
        let read = decode(text);
        assert_eq!(format!("{read:?}"), format!("{value:?}"), "{path}: {name}");
        assert_eq!(encode(&read), text, "{path}: {name}, read and rewritten");
    }
}
