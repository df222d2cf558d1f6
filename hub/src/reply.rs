//! One answer written: whole, in part, an error or a refusal, each counted.

use crate::flight::{Copy, Meta, Verdict};
use crate::request_fields::RequestFields;
use crate::state::Hub;
use crate::tally::add;
use foldmux_http1::io::write_all;
use foldmux_http1::Broken;
use std::fmt::Write as _;
use std::net::TcpStream;
use std::ops::Range;
use std::time::{Duration, Instant};

/// How long somebody may take to read what it asked for, beyond its own wait.
pub(crate) const SLOW: Duration = Duration::from_secs(5);

/// Advised with a refusal (s).
pub(crate) const RETRY_AFTER: u32 = 1;

/// What of a copy is asked for.
pub(crate) enum What {
    Same,
    All,
    Part(Range<usize>),
    Unsatisfiable,
}

impl What {
    pub(crate) fn of(fields: &RequestFields, meta: &Meta) -> What {
        let same = |text: &str| {
            let bare = |t: &str| {
                t.trim()
                    .trim_start_matches("W/")
                    .trim_matches('"')
                    .to_string()
            };
            !meta.tag.is_empty()
                && text
                    .split(',')
                    .any(|t| bare(t) == bare(&meta.tag) || t.trim() == "*")
        };
        if fields.none_match.as_deref().is_some_and(same) {
            return What::Same;
        }
        let Some(range) = &fields.range else {
            return What::All;
        };
        if fields.if_range.as_deref().is_some_and(|tag| !same(tag)) {
            return What::All;
        }
        // One range of bytes; a list of them, or another unit, may be answered whole (RFC 9110, 14.2).
        let Some(spec) = range.strip_prefix("bytes=").filter(|s| !s.contains(',')) else {
            return What::All;
        };
        let Some((first, last)) = spec.trim().split_once('-') else {
            return What::All;
        };
        let number = |text: &str| {
            text.bytes()
                .all(|b| b.is_ascii_digit())
                .then(|| text.parse::<usize>().ok())
                .flatten()
        };
        let length = meta.length;
        match (number(first), number(last)) {
            (Some(first), _) if first >= length => What::Unsatisfiable,
            (Some(first), Some(last)) if last >= first => {
                What::Part(first..last.saturating_add(1).min(length))
            }
            (Some(first), None) if last.is_empty() => What::Part(first..length),
            (None, Some(0)) if first.is_empty() => What::Unsatisfiable,
            (None, Some(n)) if first.is_empty() => What::Part(length.saturating_sub(n)..length),
            _ => What::All,
        }
    }

    /// Writes the head; the bytes that are to follow, or none where the answer is whole with it.
    pub(crate) fn head(&self, reply: &Reply, meta: &Meta) -> Result<Option<Range<usize>>, Broken> {
        let length = meta.length;
        let (status, more, range) = match self {
            What::Same => ("304 Not Modified", String::new(), None),
            What::All => ("200 OK", String::new(), Some(0..length)),
            What::Part(range) => {
                let more = format!(
                    "Content-Range: bytes {}-{}/{length}\r\n",
                    range.start,
                    range.end - 1
                );
                ("206 Partial Content", more, Some(range.clone()))
            }
            What::Unsatisfiable => (
                "416 Range Not Satisfiable",
                format!("Content-Range: bytes */{length}\r\n"),
                None,
            ),
        };
        let mut fields = more;
        if !meta.tag.is_empty() {
            let _ = write!(fields, "ETag: {}\r\n", meta.tag);
        }
        let _ = write!(fields, "X-Born-Ms: {}\r\n", meta.born_ms);
        if !matches!(self, What::Same) {
            let _ = write!(
                fields,
                "Content-Length: {}\r\n",
                range.as_ref().map_or(0, Range::len)
            );
        }
        let head = reply.head(status, &fields);
        write_all(reply.stream, &[head.as_bytes()], Instant::now() + SLOW)?;
        let ends = range.as_ref().is_none_or(Range::is_empty) || reply.head_only;
        if ends {
            let count = if matches!(self, What::Same) {
                &reply.hub.tally.not_modified
            } else {
                &reply.hub.tally.served
            };
            add(count);
        }
        Ok(range.filter(|_| !ends))
    }
}

/// Writes one answer.
#[derive(Clone, Copy)]
pub(crate) struct Reply<'a> {
    pub(crate) hub: &'a Hub,
    pub(crate) stream: &'a TcpStream,
    pub(crate) keep: bool,
    pub(crate) head_only: bool,
}

impl Reply<'_> {
    pub(crate) fn head(&self, status: &str, fields: &str) -> String {
        let close = if self.keep {
            ""
        } else {
            "Connection: close\r\n"
        };
        format!(
            "HTTP/1.1 {status}\r\nHub-Since: {}\r\n{fields}{close}\r\n",
            self.hub.since_ms
        )
    }

    pub(crate) fn whole(&self, status: &str, fields: &str, body: &[u8]) -> bool {
        let head = self.head(
            status,
            &format!("{fields}Content-Length: {}\r\n", body.len()),
        );
        let body = if self.head_only { &[] } else { body };
        write_all(self.stream, &[head.as_bytes(), body], Instant::now() + SLOW).is_ok() && self.keep
    }

    pub(crate) fn text(&self, text: &str) -> bool {
        self.whole(
            "200 OK",
            "Content-Type: text/plain; charset=utf-8\r\n",
            text.as_bytes(),
        )
    }

    pub(crate) fn bare(&self, status: &str, fields: &str) -> bool {
        self.whole(status, fields, b"")
    }

    /// An error of ours, with its type (RFC 9209, 2.3).
    pub(crate) fn error(&self, status: &str, kind: &str, details: &str) -> bool {
        let details = if details.is_empty() {
            String::new()
        } else {
            format!("; details=\"{details}\"")
        };
        let Hub { name, domain, .. } = self.hub;
        self.bare(
            status,
            &format!("Proxy-Status: {name}.{domain}; error={kind}{details}\r\n"),
        )
    }

    /// Turned away, with proof that nothing ran, and when to come back.
    pub(crate) fn refuse(&self, status: &str, kind: &str, details: &str) -> bool {
        let details = if details.is_empty() {
            String::new()
        } else {
            format!("; details=\"{details}\"")
        };
        let Hub { name, domain, .. } = self.hub;
        self.bare(
            status,
            &format!(
                "Srv-Untouched: 1\r\nRetry-After: {RETRY_AFTER}\r\n\
                 Proxy-Status: {name}.{domain}; error={kind}{details}\r\n"
            ),
        )
    }

    pub(crate) fn verdict(&self, verdict: Verdict) -> bool {
        let tally = &self.hub.tally;
        match verdict {
            Verdict::Missing => {
                add(&tally.missing);
                self.bare("404 Not Found", "")
            }
            Verdict::Full => {
                add(&tally.refused);
                self.refuse("503 Service Unavailable", "destination_unavailable", "")
            }
            Verdict::Loop => {
                add(&tally.refused);
                self.refuse("502 Bad Gateway", "proxy_loop_detected", "")
            }
            Verdict::Late => {
                add(&tally.late);
                self.error("504 Gateway Timeout", "http_response_timeout", "")
            }
            Verdict::Failed => {
                add(&tally.failed);
                self.error("502 Bad Gateway", "destination_unavailable", "")
            }
        }
    }

    /// A copy that is held, or what of it is asked for.
    pub(crate) fn copy(&self, fields: &RequestFields, copy: &Copy) -> bool {
        let body = match What::of(fields, &copy.meta).head(self, &copy.meta) {
            Ok(Some(body)) => body,
            Ok(None) => return self.keep,
            Err(_) => return broken_off(self.hub),
        };
        let (mut at, mut parts) = (0, Vec::with_capacity(copy.chunks.len()));
        for chunk in &copy.chunks {
            let from = body.start.clamp(at, at + chunk.len()) - at;
            let to = body.end.clamp(at, at + chunk.len()) - at;
            parts.push(&chunk[from..to]);
            at += chunk.len();
        }
        if write_all(self.stream, &parts, Instant::now() + SLOW).is_err() {
            return broken_off(self.hub);
        }
        add(&self.hub.tally.served);
        self.keep
    }
}

pub(crate) fn broken_off(hub: &Hub) -> bool {
    add(&hub.tally.broken_off);
    false
}

#[cfg(test)]
mod tests;
