//! What the program sent, as text: requests, MessagePack values, bytes.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// One request, on one line; what differs from run to run is left out.
pub fn request(stream: &mut BufReader<TcpStream>) -> String {
    let mut told = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        assert!(
            stream.read_line(&mut line).unwrap() > 0,
            "the connection ended within a request"
        );
        let line = line.trim_end();
        match line.split_once(": ") {
            // Each poll draws how long it asks to be held.
            None if line.contains("max_wait=") => {
                let (before, after) = line.split_once("max_wait=").unwrap();
                let (wait, after) = after.split_once(' ').unwrap();
                assert!(
                    (800..=1_000).contains(&wait.parse::<u64>().unwrap()),
                    "{line}"
                );
                told.push(format!("{before}max_wait=- {after}"));
            }
            _ if line.is_empty() => break,
            Some(("Host", _)) => told.push("Host: -".to_string()),
            Some((name @ ("Via-Wait" | "X-Max-Age-Ms"), time)) => {
                assert!(time.parse::<u64>().unwrap() > 0);
                told.push(format!("{name}: -"));
            }
            Some(("Content-Length", n)) => {
                length = n.parse().unwrap();
                told.push(line.to_string());
            }
            _ => told.push(line.to_string()),
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).unwrap();
    told.push(escape(&body));
    told.join(" | ")
}

/// One MessagePack value, as its bytes.
pub fn message(stream: &mut BufReader<TcpStream>) -> String {
    let mut bytes = Vec::new();
    value(stream, &mut bytes);
    // The wait of a refusal has chance in it.
    let text = escape(&bytes);
    match text.split_once("\\xa1w\\xa3") {
        Some((before, after)) => format!("{before}\\xa1w\\xa3---{}", &after[3..]),
        None => text,
    }
}

fn value(stream: &mut BufReader<TcpStream>, bytes: &mut Vec<u8>) {
    let from = bytes.len();
    let mut more = |n: usize| {
        let at = bytes.len();
        bytes.resize(at + n, 0);
        stream.read_exact(&mut bytes[at..]).unwrap();
        bytes[at..]
            .iter()
            .fold(0, |number, byte| number << 8 | *byte as usize)
    };
    let (skip, values) = match more(1) as u8 {
        mark @ 0x80..=0x8f => (0, 2 * (mark & 15) as usize),
        mark @ 0x90..=0x9f => (0, (mark & 15) as usize),
        mark @ 0xa0..=0xbf => ((mark & 31) as usize, 0),
        0xc4 | 0xd9 => (more(1), 0),
        0xc5 | 0xda => (more(2), 0),
        0xcc => (1, 0),
        0xcd => (2, 0),
        0xce => (4, 0),
        _ => (0, 0),
    };
    more(skip);
    (0..values).for_each(|_| value(stream, bytes));
    assert!(bytes.len() > from);
}

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
