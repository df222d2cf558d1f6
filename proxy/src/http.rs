//! The little HTTP/1.1 that a client needs: one answer read whole into one buffer, parsed by httparse.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::ops::Range;
use std::time::Instant;

const MOST_HEADERS: usize = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Nothing more came in time.
    TimedOut,
    /// The connection ended or broke before the answer was whole.
    Reset,
    /// What came is no answer that can be used.
    Unreadable,
}

#[derive(Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub body: Range<usize>,
    /// The connection may carry another request.
    pub reusable: bool,
    /// `Srv-Untouched: 1`.
    pub untouched: bool,
}

enum Length {
    Known(usize),
    Chunked,
    UntilClose,
}

/// Reads one answer. The buffer bounds its length; the deadline bounds the whole, not each read.
pub fn read_response(stream: &TcpStream, buffer: &mut [u8], deadline: Instant) -> Result<Response, Broken> {
    let mut filled = 0;
    let (mut response, length) = loop {
        if let Some(head) = parse_head(&buffer[..filled])? {
            break head;
        }
        match read_more(stream, buffer, &mut filled, deadline)? {
            0 => return Err(Broken::Reset),
            _ => continue,
        }
    };
    let start = response.body.start;
    match length {
        Length::Known(n) => {
            if n > buffer.len() - start {
                return Err(Broken::Unreadable);
            }
            while filled < start + n {
                if read_more(stream, buffer, &mut filled, deadline)? == 0 {
                    return Err(Broken::Reset);
                }
            }
            response.reusable &= filled == start + n;
            response.body = start..start + n;
        }
        Length::UntilClose => {
            response.reusable = false;
            while read_more(stream, buffer, &mut filled, deadline)? > 0 {}
            response.body = start..filled;
        }
        Length::Chunked => {
            let (mut at, mut end) = (start, start);
            loop {
                let left = match httparse::parse_chunk_size(&buffer[at..filled]) {
                    Ok(httparse::Status::Complete((head, size))) => {
                        let size = usize::try_from(size).map_err(|_| Broken::Unreadable)?;
                        let from = at + head;
                        // The chunk, and the line end behind it.
                        let whole = from.checked_add(size).and_then(|n| n.checked_add(2));
                        let whole = whole.filter(|n| *n <= buffer.len()).ok_or(Broken::Unreadable)?;
                        (filled >= whole).then_some((from, size, whole))
                    }
                    Ok(httparse::Status::Partial) => None,
                    Err(_) => return Err(Broken::Unreadable),
                };
                let Some((from, size, whole)) = left else {
                    if read_more(stream, buffer, &mut filled, deadline)? == 0 {
                        return Err(Broken::Reset);
                    }
                    continue;
                };
                if &buffer[from + size..whole] != b"\r\n" {
                    // The end of a chunk, or trailers, which nobody here sends.
                    return Err(Broken::Unreadable);
                }
                buffer.copy_within(from..from + size, end);
                (at, end) = (whole, end + size);
                if size == 0 {
                    break;
                }
            }
            response.reusable &= at == filled;
            response.body = start..end;
        }
    }
    Ok(response)
}

/// The head, once it is whole. Interim answers (1xx) are refused: none was asked for.
fn parse_head(bytes: &[u8]) -> Result<Option<(Response, Length)>, Broken> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Broken::Unreadable),
    };
    let status = head.code.filter(|c| *c >= 200).ok_or(Broken::Unreadable)?;
    let mut reusable = head.version == Some(1);
    let (mut untouched, mut length) = (false, Length::UntilClose);
    for header in head.headers.iter() {
        let value = std::str::from_utf8(header.value).map_err(|_| Broken::Unreadable)?.trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            length = Length::Known(value.parse().map_err(|_| Broken::Unreadable)?);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(Broken::Unreadable);
            }
            length = Length::Chunked;
        } else if header.name.eq_ignore_ascii_case("connection") {
            reusable &= !value.eq_ignore_ascii_case("close");
        } else if header.name.eq_ignore_ascii_case("srv-untouched") {
            untouched = value == "1";
        }
    }
    if matches!(status, 204 | 304) {
        length = Length::Known(0);
    }
    Ok(Some((Response { status, body: start..start, reusable, untouched }, length)))
}

fn read_more(
    stream: &TcpStream,
    buffer: &mut [u8],
    filled: &mut usize,
    deadline: Instant,
) -> Result<usize, Broken> {
    if *filled == buffer.len() {
        return Err(Broken::Unreadable);
    }
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Broken::TimedOut);
        }
        stream.set_read_timeout(Some(left)).map_err(|_| Broken::Reset)?;
        match (&mut &*stream).read(&mut buffer[*filled..]) {
            Ok(n) => {
                *filled += n;
                return Ok(n);
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return Err(Broken::Reset),
        }
    }
}
