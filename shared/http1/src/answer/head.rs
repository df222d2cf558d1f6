//! The head of one answer: its status, how long its body is, and the fields that are of use here.

use crate::bounds::{Broken, MOST_HEADERS};
use std::ops::Range;

#[derive(Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub body: Range<usize>,
    /// The connection may carry another request.
    pub reusable: bool,
    /// Bytes came behind the response that belong to no request.
    pub has_surplus: bool,
    /// `Srv-Untouched: 1`.
    pub untouched: bool,
    /// Where the value of `Srv-Load` stands in the buffer; of two such fields neither counts.
    pub load: Option<Range<usize>>,
    /// Where the value of `ETag` stands in the buffer; of two such fields neither counts.
    pub tag: Option<Range<usize>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    Known(usize),
    Chunked,
}

pub(super) enum Head {
    /// Where the answer that counts begins.
    Interim(usize),
    Final(Response, Length),
}

/// The place of a field's value, which counts only where the field stands once.
#[derive(Default)]
struct Single {
    at: Option<Range<usize>>,
    repeated: bool,
}

impl Single {
    fn add(&mut self, at: Range<usize>) {
        self.repeated = self.at.replace(at).is_some();
    }

    fn place(self) -> Option<Range<usize>> {
        self.at.filter(|_| !self.repeated)
    }
}

/// What the fields of a head said so far.
struct Fields {
    /// HTTP/1.1 and no other version.
    current: bool,
    reusable: bool,
    untouched: bool,
    length: Option<Length>,
    load: Single,
    tag: Single,
}

/// The head, once it is whole. Guards against an answer that nothing proves whole: one without a length, which
/// ends alike whether it was cut or not, and one whose lengths are several, signed, or at odds.
pub(super) fn parse_head(
    bytes: &[u8],
    field: &mut dyn FnMut(&str, &[u8]),
) -> Result<Option<Head>, Broken> {
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
    let mut fields = Fields::new(head.version == Some(1));
    for header in head.headers.iter() {
        let value = header.value.trim_ascii();
        // It is a part of the head, which stays where it is while the rest is read.
        let at = value.as_ptr() as usize - bytes.as_ptr() as usize;
        fields.take(header.name, value, at..at + value.len(), field)?;
    }
    fields.end(status, start).map(Some)
}

impl Fields {
    fn new(current: bool) -> Fields {
        Fields {
            current,
            reusable: current,
            untouched: false,
            length: None,
            load: Single::default(),
            tag: Single::default(),
        }
    }

    fn take(
        &mut self,
        name: &str,
        value: &[u8],
        at: Range<usize>,
        field: &mut dyn FnMut(&str, &[u8]),
    ) -> Result<(), Broken> {
        let is = |other: &str| name.eq_ignore_ascii_case(other);
        if is("content-length") {
            self.length = Some(self.known(value)?);
        } else if is("transfer-encoding") {
            if !value.eq_ignore_ascii_case(b"chunked") || self.length.is_some() || !self.current {
                return Err(Broken::Unreadable);
            }
            self.length = Some(Length::Chunked);
        } else if is("connection") {
            let mut words = value.split(|b| *b == b',');
            self.reusable &= !words.any(|word| word.trim_ascii().eq_ignore_ascii_case(b"close"));
        } else if is("srv-untouched") {
            self.untouched = value == b"1";
        } else {
            if is("srv-load") {
                self.load.add(at);
            } else if is("etag") {
                self.tag.add(at);
            }
            field(name, value);
        }
        Ok(())
    }

    /// A length in digits alone, where none was told before.
    fn known(&self, value: &[u8]) -> Result<Length, Broken> {
        let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let number = std::str::from_utf8(value)
            .ok()
            .filter(|_| digits)
            .and_then(|v| v.parse().ok());
        number
            .filter(|_| self.length.is_none())
            .map(Length::Known)
            .ok_or(Broken::Unreadable)
    }

    fn end(self, status: u16, start: usize) -> Result<Head, Broken> {
        let length = match status {
            204 | 304 => Length::Known(0),
            _ => self.length.ok_or(Broken::Unreadable)?,
        };
        let response = Response {
            status,
            body: start..start,
            reusable: self.reusable,
            has_surplus: false,
            untouched: self.untouched,
            load: self.load.place(),
            tag: self.tag.place(),
        };
        Ok(Head::Final(response, length))
    }
}
