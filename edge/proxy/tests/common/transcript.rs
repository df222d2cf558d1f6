//! Reads what the proxy sent and writes it as text: HTTP requests, MessagePack values, bytes.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// Reads one HTTP request and returns it on one line; values that differ between runs are replaced by `-`.
pub fn read_request(stream: &mut BufReader<TcpStream>) -> String {
    let mut parts = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        assert!(
            stream.read_line(&mut line).unwrap() > 0,
            "the connection ended within a request"
        );
        let line = line.trim_end();
        match line.split_once(": ") {
            // Each poll draws its maximum wait (ms) at random.
            None if line.contains("max_wait=") => {
                let (before, after) = line.split_once("max_wait=").unwrap();
                let (wait, after) = after.split_once(' ').unwrap();
                assert!(
                    (800..=1_000).contains(&wait.parse::<u64>().unwrap()),
                    "{line}"
                );
                parts.push(format!("{before}max_wait=- {after}"));
            }
            _ if line.is_empty() => break,
            Some(("Host", _)) => parts.push("Host: -".to_string()),
            Some((name @ ("Via-Wait" | "X-Max-Age-Ms"), ms)) => {
                assert!(ms.parse::<u64>().unwrap() > 0);
                parts.push(format!("{name}: -"));
            }
            Some(("Content-Length", n)) => {
                length = n.parse().unwrap();
                parts.push(line.to_string());
            }
            _ => parts.push(line.to_string()),
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).unwrap();
    parts.push(escape(&body));
    parts.join(" | ")
}

/// Reads one MessagePack value and returns its bytes, escaped.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> String {
    let mut bytes = Vec::new();
    read_value(stream, &mut bytes);
    // The wait that a rejection advises (`w`) is partly random.
    let text = escape(&bytes);
    match text.split_once("\\xa1w\\xa3") {
        Some((before, after)) => format!("{before}\\xa1w\\xa3---{}", &after[3..]),
        None => text,
    }
}

/// Appends the bytes of one MessagePack value, with all values nested in it.
fn read_value(stream: &mut BufReader<TcpStream>, bytes: &mut Vec<u8>) {
    let start = bytes.len();
    let mut read_number = |n: usize| {
        let at = bytes.len();
        bytes.resize(at + n, 0);
        stream.read_exact(&mut bytes[at..]).unwrap();
        bytes[at..]
            .iter()
            .fold(0, |number, byte| number << 8 | *byte as usize)
    };
    let (skip, values) = match read_number(1) as u8 {
        mark @ 0x80..=0x8f => (0, 2 * (mark & 15) as usize),
        mark @ 0x90..=0x9f => (0, (mark & 15) as usize),
        mark @ 0xa0..=0xbf => ((mark & 31) as usize, 0),
        0xc4 | 0xd9 => (read_number(1), 0),
        0xc5 | 0xda => (read_number(2), 0),
        0xcc => (1, 0),
        0xcd => (2, 0),
        0xce => (4, 0),
        _ => (0, 0),
    };
    read_number(skip);
    (0..values).for_each(|_| read_value(stream, bytes));
    assert!(bytes.len() > start);
}

/// Writes bytes other than printable ASCII as `\xNN`, and a backslash as two.
pub fn escape(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        match byte {
            b'\\' => text.push_str("\\\\"),
            b' '..=b'~' => text.push(*byte as char),
            _ => write!(text, "\\x{byte:02x}").unwrap(),
        }
        text
    })
}

/// The bytes of a text with the escapes \r, \n, \\ and \xNN.
pub fn unescape(text: &str) -> Vec<u8> {
    let (mut bytes, mut chars) = (Vec::new(), text.chars());
    while let Some(c) = chars.next() {
        match (c, c == '\\') {
            (c, false) => bytes.push(c as u8),
            _ => match chars.next().expect("an escape") {
                'r' => bytes.push(b'\r'),
                'n' => bytes.push(b'\n'),
                'x' => {
                    let hex: String = chars.by_ref().take(2).collect();
                    bytes.push(u8::from_str_radix(&hex, 16).expect("two hex digits"));
                }
                other => bytes.push(other as u8),
            },
        }
    }
    bytes
}
