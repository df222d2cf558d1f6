//! HTTP/1.1 both ways: written, sent in pieces and read back; cut off, it is never taken for whole; spoilt, it is bounded.

use crate::{spoil, spoils};
use arbitrary::Unstructured;
use foldmux_http1::answer::read_response;
use foldmux_http1::request::read_request;
use proptest::prelude::*;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// It ends a read that waits for what never comes.
const PATIENCE: Duration = Duration::from_secs(10);
const BUFFER: usize = 32 * 1024;

/// What a reader makes of bytes that come in pieces, and then the end.
fn sent<T>(bytes: &[u8], piece: usize, read: impl FnOnce(&TcpStream) -> T) -> T {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut near =
        TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let far = listener.accept().expect("a connection").0;
    std::thread::scope(|scope| {
        scope.spawn(move || {
            let _ = near.set_nodelay(true);
            for piece in bytes.chunks(piece.max(1)) {
                if near.write_all(piece).is_err() {
                    return;
                }
                std::thread::yield_now();
            }
            let _ = near.shutdown(Shutdown::Write);
        });
        let told = read(&far);
        // A writer that still has something must not wait.
        let _ = far.shutdown(Shutdown::Both);
        told
    })
}

#[derive(Debug, PartialEq)]
struct Asked {
    method: String,
    path: String,
    length: usize,
    keep: bool,
    fields: Vec<(String, String)>,
    behind: Vec<u8>,
}

fn ask(bytes: &[u8], piece: usize) -> Option<Asked> {
    sent(bytes, piece, |stream| {
        let (mut buffer, mut filled, mut fields) = (vec![0; BUFFER], 0, Vec::new());
        let until = Instant::now() + PATIENCE;
        let mut field = |name: &str, value: &[u8]| {
            fields.push((
                name.to_string(),
                String::from_utf8_lossy(value).into_owned(),
            ));
        };
        let head = read_request(
            stream,
            &mut buffer,
            &mut filled,
            until,
            || until,
            &mut field,
        )
        .ok()?;
        // A head is shown anew with each piece: the last showing counts.
        let hosts = fields
            .iter()
            .rposition(|(name, _)| name == "Host")
            .unwrap_or(0);
        let (method, path, length, keep) = (head.method, head.path, head.length, head.keep);
        Some(Asked {
            method,
            path,
            length,
            keep,
            fields: fields.split_off(hosts),
            behind: buffer[..filled].to_vec(),
        })
    })
}

/// Letters for names and values that need no care.
fn word(draw: &mut Unstructured, letters: &[u8], most: usize) -> arbitrary::Result<String> {
    let n = draw.int_in_range(1..=most)?;
    (0..n).map(|_| Ok(*draw.choose(letters)? as char)).collect()
}

const NAME: &[u8] = b"abcdefghijklmnopqrstuvwxyzABCXYZ-_0189!#$&'*+.^`|~";
const VALUE: &[u8] = b"abcdefXYZ0189-_ =;,/()<>?@[]{}\"\t:";
const PATH: &[u8] = b"abcdef0189/-_.~%?&=+:@!$'()*,;";

fn fields(draw: &mut Unstructured) -> arbitrary::Result<Vec<(String, String)>> {
    let mut fields = vec![("Host".to_string(), "x".to_string())];
    for _ in 0..draw.int_in_range(0..=8)? {
        let (name, value) = (word(draw, NAME, 12)?, word(draw, VALUE, 30)?);
        let own = [
            "host",
            "content-length",
            "transfer-encoding",
            "connection",
            "srv-untouched",
        ];
        if !own.contains(&name.to_ascii_lowercase().as_str()) {
            fields.push((name, value.trim().to_string()));
        }
    }
    Ok(fields)
}

pub fn request(bytes: &[u8]) -> Result<(), String> {
    fn drawn(draw: &mut Unstructured) -> arbitrary::Result<(Asked, usize)> {
        let method = draw
            .choose(&["GET", "POST", "PUT", "M-SEARCH"])?
            .to_string();
        let (path, fields) = ("/".to_string() + &word(draw, PATH, 60)?, fields(draw)?);
        let (length, keep, piece) = (
            draw.int_in_range(0..=99_999)?,
            draw.arbitrary()?,
            draw.int_in_range(1..=40)?,
        );
        Ok((
            Asked {
                method,
                path,
                length,
                keep,
                fields,
                behind: b"behind".to_vec(),
            },
            piece,
        ))
    }
    let Ok((asked, piece)) = drawn(&mut Unstructured::new(bytes)) else {
        return Ok(());
    };
    let Asked {
        method,
        path,
        length,
        ..
    } = &asked;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    asked
        .fields
        .iter()
        .for_each(|(name, value)| text += &format!("{name}: {value}\r\n"));
    text += &format!(
        "Content-Length: {length}\r\nConnection: {}\r\n\r\n",
        ["close", "keep-alive"][asked.keep as usize]
    );
    let cut = bytes.len() * 31 % text.len();
    let whole = text.clone() + "behind";
    let seen = ask(whole.as_bytes(), piece).ok_or_else(|| format!("refused: {text:?}"))?;
    if (
        &seen.method,
        &seen.path,
        seen.length,
        seen.keep,
        &seen.fields,
    ) != (
        &asked.method,
        &asked.path,
        asked.length,
        asked.keep,
        &asked.fields,
    ) || !asked.behind.starts_with(&seen.behind)
    {
        return Err(format!("{seen:?} in place of {asked:?}"));
    }
    match ask(&text.as_bytes()[..cut], piece) {
        None => Ok(()),
        Some(seen) => Err(format!("cut at {cut}, taken for whole: {seen:?}")),
    }
}

#[derive(Debug, PartialEq)]
struct Said {
    status: u16,
    body: Vec<u8>,
    reusable: bool,
    untouched: bool,
}

fn say(bytes: &[u8], piece: usize) -> Option<Said> {
    sent(bytes, piece, |stream| {
        let mut buffer = vec![0; BUFFER];
        let read = read_response(stream, &mut buffer, Instant::now() + PATIENCE).ok()?;
        let body = buffer[read.body].to_vec();
        Some(Said {
            status: read.status,
            body,
            reusable: read.reusable,
            untouched: read.untouched,
        })
    })
}

pub fn answer(bytes: &[u8]) -> Result<(), String> {
    fn drawn(draw: &mut Unstructured) -> arbitrary::Result<(Said, Vec<u8>, usize)> {
        let status = draw.int_in_range(200..=599)?;
        let (mut body, chunked) = (draw.arbitrary::<Vec<u8>>()?, draw.arbitrary()?);
        let (reusable, untouched): (bool, bool) = draw.arbitrary()?;
        let mut out = format!("HTTP/1.1 {status} x\r\n").into_bytes();
        for (name, value) in fields(draw)? {
            out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        let word = |on: bool, text: &'static str| if on { text } else { "" };
        out.extend_from_slice(word(untouched, "Srv-Untouched: 1\r\n").as_bytes());
        out.extend_from_slice(word(!reusable, "Connection: close\r\n").as_bytes());
        if matches!(status, 204 | 304) {
            body.clear();
            out.extend_from_slice(b"\r\n");
        } else if chunked {
            out.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
            let mut rest = &body[..];
            while !rest.is_empty() {
                let n = draw.int_in_range(1..=64)?.min(rest.len());
                out.extend_from_slice(format!("{n:x}{}\r\n", word(n % 2 == 0, ";a=b")).as_bytes());
                out.extend_from_slice(&rest[..n]);
                out.extend_from_slice(b"\r\n");
                rest = &rest[n..];
            }
            out.extend_from_slice(b"0\r\n\r\n");
        } else {
            out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
            out.extend_from_slice(&body);
        }
        Ok((
            Said {
                status,
                body,
                reusable,
                untouched,
            },
            out,
            draw.int_in_range(1..=40)?,
        ))
    }
    let Ok((said, written, piece)) = drawn(&mut Unstructured::new(bytes)) else {
        return Ok(());
    };
    let seen = say(&written, piece);
    if seen.as_ref() != Some(&said) {
        return Err(format!("{seen:?} in place of {said:?}"));
    }
    let cut = bytes.len() * 31 % written.len();
    match say(&written[..cut], piece) {
        None => Ok(()),
        Some(seen) => Err(format!(
            "cut at {cut} of {}, taken for whole: {seen:?}",
            written.len()
        )),
    }
}

/// Heads of both kinds, spoilt.
pub fn heads() -> BoxedStrategy<Vec<u8>> {
    let whole = prop_oneof![
        Just("GET /v2/q/a/0/0 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc"),
        Just("GET /journal?tail=1&max_wait=2 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        Just("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\nETag: x\r\n\r\nbody"),
        Just("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n1\r\nd\r\n0\r\n\r\n"),
    ];
    (whole, spoils(3))
        .prop_map(|(text, spoils)| spoil(text.as_bytes().to_vec(), &spoils))
        .boxed()
}

/// Whatever comes, each reading is the same in one piece and in many: nothing is found by where a packet ended.
pub fn spoilt(bytes: &[u8]) -> Result<(), String> {
    let (one, many) = (say(bytes, usize::MAX), say(bytes, 3));
    let same = match (&one, &many) {
        // What lies behind an answer may not have come yet.
        (Some(a), Some(b)) => (a.status, &a.body, a.untouched) == (b.status, &b.body, b.untouched),
        (a, b) => a.is_none() == b.is_none(),
    };
    let (whole, pieces) = (ask(bytes, usize::MAX), ask(bytes, 3));
    let plain = |a: &Asked| (a.method.clone(), a.path.clone(), a.length, a.keep);
    if !same || whole.as_ref().map(plain) != pieces.as_ref().map(plain) {
        return Err(format!(
            "in one piece {one:?} {whole:?}, in many {many:?} {pieces:?}"
        ));
    }
    if one.is_some() && whole.is_some() {
        return Err("both a request and an answer".into());
    }
    Ok(())
}
