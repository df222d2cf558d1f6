//! The head of one request, read within bounds. What a front or a hub wants of it, it takes as it is shown.

use crate::bounds::{Broken, MOST_HEAD, MOST_HEADERS};
use crate::io::read_some;
use std::net::TcpStream;
use std::time::Instant;

/// Why a request can't be taken, with the status that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// The other side closed, or nothing came, where no request had begun.
    Ended,
    /// The connection broke, or a request that had begun did not come whole in time.
    Broken(Broken),
    /// No HTTP/1.1, or lengths that are several, signed or at odds: what follows can't be told apart.
    Malformed,
    /// The head is longer than any that is allowed, or has too many fields.
    TooLong,
    /// A body in chunks: its length must be told.
    LengthRequired,
}

/// The line and the fields that every request has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub path: String,
    /// Length of the body.
    pub length: usize,
    /// The connection may carry another request.
    pub keep: bool,
}

/// Reads as far as the end of a request's head: the first byte until `first`, the rest until `rest` after it came.
/// What is behind the head stands at the buffer's begin, up to `filled`.
pub fn read_request(
    stream: &TcpStream,
    buffer: &mut [u8],
    filled: &mut usize,
    first: Instant,
    rest: impl Fn() -> Instant,
    field: &mut dyn FnMut(&str, &[u8]),
) -> Result<Request, Unread> {
    let mut until = if *filled > 0 { rest() } else { first };
    loop {
        if let Some((request, length)) = parse(&buffer[..*filled], field)? {
            buffer.copy_within(length..*filled, 0);
            *filled -= length;
            return Ok(request);
        }
        if *filled >= MOST_HEAD.min(buffer.len()) {
            return Err(Unread::TooLong);
        }
        let begun = *filled > 0;
        match read_some(stream, &mut buffer[*filled..], until) {
            Ok(0) | Err(_) if !begun => return Err(Unread::Ended),
            Ok(0) => return Err(Unread::Broken(Broken::Reset)),
            Ok(n) => *filled += n,
            Err(broken) => return Err(Unread::Broken(broken)),
        }
        if !begun {
            until = rest();
        }
    }
}

fn parse(
    bytes: &[u8],
    field: &mut dyn FnMut(&str, &[u8]),
) -> Result<Option<(Request, usize)>, Unread> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let end = match head.parse(bytes) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Unread::TooLong),
        Err(_) => return Err(Unread::Malformed),
    };
    let (mut length, mut hosts) = (None, 0);
    let mut keep = head.version == Some(1);
    for header in head.headers.iter() {
        let value = header.value.trim_ascii();
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits =
                !value.is_empty() && value.len() < 10 && value.iter().all(u8::is_ascii_digit);
            let number = std::str::from_utf8(value)
                .ok()
                .filter(|_| digits)
                .and_then(|v| v.parse().ok());
            length = Some(
                number
                    .filter(|_| length.is_none())
                    .ok_or(Unread::Malformed)?,
            );
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(Unread::LengthRequired);
        } else if header.name.eq_ignore_ascii_case("connection") {
            keep &= !value
                .split(|b| *b == b',')
                .any(|w| w.trim_ascii().eq_ignore_ascii_case(b"close"));
        } else {
            hosts += header.name.eq_ignore_ascii_case("host") as usize;
            field(header.name, value);
        }
    }
    if head.version == Some(1) && hosts != 1 {
        // RFC 9112, 3.2.
        return Err(Unread::Malformed);
    }
    let (method, path) = (
        head.method.unwrap_or_default(),
        head.path.unwrap_or_default(),
    );
    let request = Request {
        method: method.to_string(),
        path: path.to_string(),
        length: length.unwrap_or(0),
        keep,
    };
    Ok(Some((request, end)))
}

#[cfg(test)]
mod tests;
