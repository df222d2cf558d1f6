//! One answer read whole into one buffer, or its head alone.

use crate::bounds::MOST_HEADERS;
pub use crate::bounds::{Broken, MOST_HEAD};
use crate::io::read_some;
use std::net::TcpStream;
use std::ops::Range;
use std::time::Instant;

/// Most interim answers (1xx) before the one that counts.
const MOST_INTERIM: usize = 8;

#[derive(Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub body: Range<usize>,
    /// The connection may carry another request.
    pub reusable: bool,
    /// `Srv-Untouched: 1`.
    pub untouched: bool,
    /// Where the value of `Srv-Load` stands in the buffer; of two such fields neither counts.
    pub load: Option<Range<usize>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    Known(usize),
    Chunked,
}

/// Reads one answer. The buffer bounds its length; the deadline bounds the whole, not each read.
pub fn read_response(stream: &TcpStream, buffer: &mut [u8], deadline: Instant) -> Result<Response, Broken> {
    let mut filled = 0;
    let (mut response, length) = read_head(stream, buffer, &mut filled, deadline, &mut |_, _| ())?;
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
        Length::Chunked => {
            let (mut at, mut end) = (start, start);
            loop {
                if buffer[at..filled].first().is_some_and(|b| !b.is_ascii_hexdigit()) {
                    // Guards against a line without a size, which would read as the last chunk.
                    return Err(Broken::Unreadable);
                }
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

/// Reads as far as the end of the head that counts; interim answers before it are passed over. What is behind it
/// stands in the buffer up to `filled`, from where the answer's body begins. `field` is shown each other header,
/// and may be shown those of a head more than once, as it is parsed anew with each piece that comes.
pub fn read_head(
    stream: &TcpStream,
    buffer: &mut [u8],
    filled: &mut usize,
    deadline: Instant,
    field: &mut dyn FnMut(&str, &[u8]),
) -> Result<(Response, Length), Broken> {
    let mut interim = 0;
    loop {
        match parse_head(&buffer[..*filled], field)? {
            Some(Head::Final(response, length)) => return Ok((response, length)),
            Some(Head::Interim(length)) if interim < MOST_INTERIM => {
                interim += 1;
                buffer.copy_within(length..*filled, 0);
                *filled -= length;
            }
            None if *filled < MOST_HEAD => {
                if read_more(stream, buffer, filled, deadline)? == 0 {
                    return Err(Broken::Reset);
                }
            }
            _ => return Err(Broken::Unreadable),
        }
    }
}

enum Head {
    /// Where the answer that counts begins.
    Interim(usize),
    Final(Response, Length),
}

/// The head, once it is whole. Guards against an answer that nothing proves whole: one without a length, which
/// ends alike whether it was cut or not, and one whose lengths are several, signed, or at odds.
fn parse_head(bytes: &[u8], field: &mut dyn FnMut(&str, &[u8])) -> Result<Option<Head>, Broken> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Broken::Unreadable),
    };
    let status = match head.code {
        // Another protocol was not asked for.
        None | Some(0..=99 | 101 | 600..) => return Err(Broken::Unreadable),
        Some(100..=199) => return Ok(Some(Head::Interim(start))),
        Some(status) => status,
    };
    let mut reusable = head.version == Some(1);
    let (mut untouched, mut length) = (false, None);
    let (mut load, mut doubled) = (None, false);
    for header in head.headers.iter() {
        let value = header.value.trim_ascii();
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
            let number = std::str::from_utf8(value).ok().filter(|_| digits).and_then(|v| v.parse().ok());
            let number = number.filter(|_| length.is_none()).ok_or(Broken::Unreadable)?;
            length = Some(Length::Known(number));
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case(b"chunked") || length.is_some() || head.version != Some(1) {
                return Err(Broken::Unreadable);
            }
            length = Some(Length::Chunked);
        } else if header.name.eq_ignore_ascii_case("connection") {
            reusable &= !value.split(|b| *b == b',').any(|w| w.trim_ascii().eq_ignore_ascii_case(b"close"));
        } else if header.name.eq_ignore_ascii_case("srv-untouched") {
            untouched = value == b"1";
        } else if header.name.eq_ignore_ascii_case("srv-load") {
            // It is a part of the head, which stays where it is while the rest is read.
            let at = value.as_ptr() as usize - bytes.as_ptr() as usize;
            (doubled, load) = (load.is_some(), Some(at..at + value.len()));
            field(header.name, value);
        } else {
            field(header.name, value);
        }
    }
    let length = match status {
        204 | 304 => Length::Known(0),
        _ => length.ok_or(Broken::Unreadable)?,
    };
    let load = load.filter(|_| !doubled);
    Ok(Some(Head::Final(Response { status, body: start..start, reusable, untouched, load }, length)))
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
    let n = read_some(stream, &mut buffer[*filled..], deadline)?;
    *filled += n;
    Ok(n)
}

#[cfg(test)]
mod tests;
