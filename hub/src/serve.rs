//! A connection, and the life of each fill on it, from its head to its one answer, in one function.

use crate::book::{Entry, Fill, Waiting};
use crate::fetch::PART_MOST;
use crate::flight::{Copy, Cursor, Look, Meta, Verdict};
use crate::run::Hub;
use crate::tally::add;
use foldmux_hierarchy::ledger::{Arrival, Key};
use foldmux_hierarchy::tree::Stamp;
use foldmux_hierarchy::way::{Fault, Way, BYTES_MOST};
use foldmux_http1::answer::MOST_HEAD;
use foldmux_http1::io::{read_some, write_all};
use foldmux_http1::request::{read_request, Request, Unread};
use foldmux_http1::{read_response, Broken};
use std::fmt::Write as _;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::ops::Range;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A connection on which nothing is asked for so long is closed.
const IDLE: Duration = Duration::from_secs(15);
/// For the rest of a request that has begun.
const REST: Duration = Duration::from_millis(2_500);
/// Longest body of a write.
const BODY_MOST: usize = 48_000;
/// How long somebody may take to read what it asked for, beyond its own wait.
const SLOW: Duration = Duration::from_secs(5);
/// How often one who waits is looked at: has it left?
const LOOK: Duration = Duration::from_millis(50);
/// Advised with a refusal (s).
const RETRY_AFTER: u32 = 1;

/// What a request's fields say.
#[derive(Default)]
struct Asked {
    via: String,
    wait_ms: Option<u64>,
    max_age_ms: u64,
    hold_only: bool,
    keep_none: bool,
    way: Vec<u8>,
    tree: Option<String>,
    none_match: Option<String>,
    range: Option<String>,
    if_range: Option<String>,
    token: Option<String>,
    unusable: Option<&'static str>,
}

impl Asked {
    fn field(&mut self, name: &str, value: &[u8]) {
        let is = |known: &str| name.eq_ignore_ascii_case(known);
        if is("cdn-loop") {
            // Several fields are one list (RFC 9110, 5.3).
            if !self.way.is_empty() {
                self.way.extend_from_slice(b", ");
            }
            self.way.extend_from_slice(&value[..value.len().min(BYTES_MOST + 1)]);
            return;
        }
        let Ok(text) = std::str::from_utf8(value) else { return };
        let mut number = |what| text.parse().map_err(|_| self.unusable = Some(what)).ok();
        if is("via-wait") {
            self.wait_ms = number("Via-Wait is no number");
        } else if is("x-max-age-ms") {
            self.max_age_ms = number("X-Max-Age-Ms is no number").unwrap_or(0);
        } else if is("via-id") {
            self.via = text.to_string();
        } else if is("x-flags") {
            self.hold_only = text.split('+').any(|flag| flag == "shallow");
            self.keep_none = text.split('+').any(|flag| flag == "transit");
        } else if is("hub-tree") {
            self.tree = Some(text.to_string());
        } else if is("if-none-match") {
            self.none_match = Some(text.to_string());
        } else if is("range") {
            self.range = Some(text.to_string());
        } else if is("if-range") {
            self.if_range = Some(text.to_string());
        } else if is("via-token") {
            self.token = Some(text.to_string());
        }
    }

    /// How the fill comes here, and whom it was sent past. What can't be read counts as solo: that never waits.
    fn arrival(&self) -> (Arrival, Vec<String>) {
        let Some(text) = &self.tree else { return (Arrival::BEGINS, vec![]) };
        let mut parts = text.split(';').map(str::trim);
        let stamp = parts.next().and_then(Stamp::parse);
        let (mut solo, mut past) = (stamp.is_none(), vec![]);
        for part in parts {
            solo |= part == "solo";
            if let Some(names) = part.strip_prefix("past=") {
                past = names.split('+').take(8).map(str::to_string).collect();
            }
        }
        (Arrival { stamp, solo }, past)
    }
}

/// Serves one connection until it ends.
pub fn connection(hub: &Arc<Hub>, stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buffer = vec![0; MOST_HEAD];
    let mut filled = 0;
    loop {
        let mut asked = Asked::default();
        let (first, rest) = (Instant::now() + IDLE, || Instant::now() + REST);
        let read = read_request(stream, &mut buffer, &mut filled, first, rest, &mut |n, v| asked.field(n, v));
        let request = match read {
            Ok(request) => request,
            Err(Unread::Ended) => return,
            Err(unread) => {
                add(&hub.tally.malformed);
                let (status, why) = match unread {
                    Unread::TooLong => ("431 Request Header Fields Too Large", "http_request_error"),
                    Unread::LengthRequired => ("411 Length Required", "http_request_error"),
                    Unread::Broken(Broken::TimedOut) => ("408 Request Timeout", "http_request_error"),
                    Unread::Broken(_) => return,
                    _ => ("400 Bad Request", "http_request_error"),
                };
                let _ = Reply { hub, stream, keep: false, head_only: false }.error(status, why, "");
                // What is still on its way is read, so that the answer is not lost to a reset.
                return drain(stream);
            }
        };
        if !one(hub, stream, &request, &asked, &mut buffer, &mut filled) || hub.leaving.load(Ordering::SeqCst)
        {
            return;
        }
    }
}

/// Reads and drops what comes for a short while, within a bound.
fn drain(stream: &TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let (until, mut bytes) = (Instant::now() + Duration::from_millis(500), [0; 4096]);
    for _ in 0..64 {
        if matches!(read_some(stream, &mut bytes, until), Ok(0) | Err(_)) {
            return;
        }
    }
}

/// `/v2/q/CLASS/OBJECT/PART`.
fn parse_path(path: &str) -> Option<(&str, u64, u32)> {
    let mut parts = path.strip_prefix("/v2/q/")?.split('/');
    let (class, object, part) = (parts.next()?, parts.next()?, parts.next()?);
    let named = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_' || b == b'.';
    let digits = |t: &str| !t.is_empty() && t.len() < 10 && t.bytes().all(|b| b.is_ascii_digit());
    let hex = |t: &str| t.len() == 16 && t.bytes().all(|b| b.is_ascii_hexdigit());
    let fits =
        !class.is_empty() && class.len() <= 64 && class.bytes().all(named) && hex(object) && digits(part);
    (fits && parts.next().is_none())
        .then(|| Some((class, u64::from_str_radix(object, 16).ok()?, part.parse().ok()?)))?
}

/// One request: taken, looked up, waited for, answered. Whether the connection may carry another.
fn one(
    hub: &Arc<Hub>,
    stream: &TcpStream,
    request: &Request,
    asked: &Asked,
    buffer: &mut [u8],
    filled: &mut usize,
) -> bool {
    let arrived = Instant::now();
    let head_only = request.method == "HEAD";
    let reply = Reply { hub, stream, keep: request.keep, head_only };
    if request.method == "GET" && request.path == "/v2/state" && request.length == 0 {
        return reply.text(&hub.state());
    }
    add(&hub.tally.asked);
    let bad = |status: &str, why: &str| {
        add(&hub.tally.malformed);
        let fits = Reply { keep: request.keep && request.length == 0, ..reply };
        fits.error(status, "http_request_error", why)
    };
    if request.length > BODY_MOST {
        bad("413 Content Too Large", "");
        drain(stream);
        return false;
    }
    let Some((class_name, object, part)) = parse_path(&request.path) else {
        return bad("400 Bad Request", "the path is not /v2/q/CLASS/OBJECT/PART");
    };
    if request.method != "GET" && !head_only {
        return bad("405 Method Not Allowed", "");
    }
    if let Some(why) = asked.unusable {
        return bad("400 Bad Request", why);
    }
    let way = match Way::parse(&asked.way) {
        Ok(way) => way,
        Err(Fault::TooLong) => return bad("431 Request Header Fields Too Large", "CDN-Loop"),
        Err(Fault::TooManyHops) => {
            add(&hub.tally.loops_found);
            return reply.refuse("502 Bad Gateway", "proxy_loop_detected", "too many hops");
        }
        Err(Fault::Malformed) => return bad("400 Bad Request", "CDN-Loop can't be read"),
    };
    if hub.signer.sent(&way, object) {
        // The fill was here before: its sender takes another source, and nothing waits for itself.
        add(&hub.tally.loops_found);
        return reply.refuse("502 Bad Gateway", "proxy_loop_detected", "");
    }
    let wait = asked.wait_ms.unwrap_or(hub.relay.wait_ms).min(hub.relay.wait_ms);
    let until = arrived + Duration::from_millis(wait);
    if request.length > 0 || asked.token.is_some() || hub.relay.writes.iter().any(|w| w == class_name) {
        add(&hub.tally.writes);
        return pass_on(&reply, request, asked, &way, object, until, buffer, filled);
    }
    let Some(class) = hub.class(class_name) else {
        return bad("400 Bad Request", "there are too many classes");
    };
    let key = Key { class, object, part };
    let born_after = match asked.max_age_ms {
        0 => 0,
        age => hub.unix_ms().saturating_sub(age),
    };
    let born_after = hub.bound(object, born_after);
    if let Some(copy) = hub.held(key, born_after) {
        add(&hub.tally.hits);
        return reply.copy(asked, &copy);
    }
    if asked.hold_only {
        add(&hub.tally.missing);
        return reply.bare("404 Not Found", "");
    }
    let (arrival, past) = asked.arrival();
    let now = hub.now();
    let (entry, lane) = hub.book.want(now, key, arrival, born_after, now + wait * 1_000);
    let waiting = match entry {
        Entry::Join(waiting) => waiting,
        Entry::Lead(id, waiting) => {
            let (flight, path, via) = (waiting.flight.clone(), request.path.clone(), asked.via.clone());
            let fill = Fill { id, key, path, via, way, lane, born_after, past, flight };
            match hub.held(key, born_after) {
                // Guards against a second fetch for what came between the look at the copies and the ledger.
                Some(copy) => {
                    fill.flight.give(&copy);
                    hub.book.done(&fill, 0, None);
                }
                None => hub.fetch(fill, 0),
            }
            waiting
        }
        Entry::Full => {
            add(&hub.tally.refused);
            return reply.refuse("503 Service Unavailable", "connection_limit_reached", "");
        }
    };
    wait_for(&reply, asked, &waiting, until)
}

/// Passes a fetch's bytes on as they come. The place in the ledger is given back when `waiting` is dropped.
fn wait_for(reply: &Reply, asked: &Asked, waiting: &Waiting, until: Instant) -> bool {
    let hub = reply.hub;
    let (mut cursor, mut wanted, mut begun) = (Cursor::default(), None, false);
    let mut at = 0;
    loop {
        // Once begun, the time is that of the bytes on their way, not of the one who waits.
        let end = if begun { until + SLOW } else { until };
        match waiting.flight.look(&mut cursor, end.min(Instant::now() + LOOK)) {
            Look::Head(meta) => {
                begun = true;
                let what = What::of(asked, &meta);
                let body = match what.head(reply, &meta) {
                    Ok(body) => body,
                    Err(_) => return broken_off(hub),
                };
                let Some(body) = body else { return reply.keep };
                wanted = Some(body);
            }
            Look::Chunks(chunks) => {
                let range = wanted.clone().unwrap_or(0..0);
                for chunk in chunks {
                    let from = range.start.clamp(at, at + chunk.len()) - at;
                    let to = range.end.clamp(at, at + chunk.len()) - at;
                    at += chunk.len();
                    if from < to
                        && write_all(reply.stream, &[&chunk[from..to]], end.max(Instant::now() + LOOK))
                            .is_err()
                    {
                        return broken_off(hub);
                    }
                }
                if at >= range.end {
                    add(&hub.tally.served);
                    return reply.keep;
                }
            }
            Look::Whole => {
                add(&hub.tally.served);
                return reply.keep;
            }
            // The length told in the head shows that it is not whole.
            Look::BrokenOff => return broken_off(hub),
            Look::Ended(verdict) => return reply.verdict(verdict),
            Look::Late if Instant::now() < end => {
                if gone(reply.stream) {
                    return broken_off(hub);
                }
            }
            Look::Late if begun => return broken_off(hub),
            Look::Late => return reply.verdict(Verdict::Late),
        }
    }
}

fn broken_off(hub: &Hub) -> bool {
    add(&hub.tally.broken_off);
    false
}

/// Whether the other side has closed. Guards against fetches that go on for those who left.
fn gone(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let open = match peeked {
        Ok(n) => n > 0,
        Err(e) => e.kind() == ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).is_err() || !open
}

/// A write goes up once: to the first node that may have it, on a connection of its own. Never kept, never
/// collapsed, and never sent a second way, whatever becomes of the first.
#[allow(clippy::too_many_arguments)]
fn pass_on(
    reply: &Reply,
    request: &Request,
    asked: &Asked,
    way: &Way,
    object: u64,
    until: Instant,
    buffer: &mut [u8],
    filled: &mut usize,
) -> bool {
    let hub = reply.hub;
    let mut body = Vec::with_capacity(request.length);
    let here = (*filled).min(request.length);
    body.extend_from_slice(&buffer[..here]);
    buffer.copy_within(here..*filled, 0);
    *filled -= here;
    while body.len() < request.length {
        let most = buffer.len().min(request.length - body.len());
        // A client that speaks on before its answer has its next request in the buffer: none is read over.
        match read_some(reply.stream, &mut buffer[..most], until) {
            Ok(0) | Err(_) => return broken_off(hub),
            Ok(n) => body.extend_from_slice(&buffer[..n]),
        }
    }
    let (address, stamp) = match hub.book.first(object, way) {
        Some(first) => first,
        None => return reply.refuse("502 Bad Gateway", "destination_unavailable", ""),
    };
    let left = |now: Instant| until.saturating_duration_since(now);
    let Ok(stream) = hub.links.dial(address, left(Instant::now())) else {
        // Nothing was written: it never ran.
        return reply.refuse("503 Service Unavailable", "connection_refused", "");
    };
    let mut head = format!("GET {} HTTP/1.1\r\n", request.path);
    let _ = write!(head, "Host: {address}\r\nContent-Length: {}\r\n", body.len());
    let _ = write!(head, "Via-Wait: {}\r\n", left(Instant::now()).as_millis().max(1));
    let _ = write!(head, "CDN-Loop: {}\r\nHub-Tree: {};solo\r\n", way.with(&hub.signer, object), stamp);
    if !asked.via.is_empty() {
        let _ = write!(head, "Via-Id: {}\r\n", asked.via);
    }
    if let Some(token) = &asked.token {
        let _ = write!(head, "Via-Token: {token}\r\n");
    }
    head.push_str("Connection: close\r\n\r\n");
    if write_all(&stream, &[head.as_bytes(), &body], until).is_err() {
        add(&hub.tally.failed);
        return reply.error("500 Internal Server Error", "connection_terminated", "it may have run");
    }
    let mut bytes = vec![0; PART_MOST];
    match read_response(&stream, &mut bytes, until) {
        Ok(answer) => {
            let (untouched, counted) = match (answer.status, answer.untouched) {
                (200..=299, _) => ("", &hub.tally.served),
                (_, true) => ("Srv-Untouched: 1\r\n", &hub.tally.refused),
                _ => ("", &hub.tally.failed),
            };
            add(counted);
            let status = format!("{} Passed On", answer.status);
            reply.whole(&status, untouched, &bytes[answer.body])
        }
        Err(broken) => {
            add(&hub.tally.failed);
            let (status, why) = match broken {
                Broken::TimedOut => ("504 Gateway Timeout", "http_response_timeout"),
                _ => ("500 Internal Server Error", "http_response_incomplete"),
            };
            reply.error(status, why, "it may have run")
        }
    }
}

/// What of a copy is asked for.
enum What {
    Same,
    All,
    Part(Range<usize>),
    Unsatisfiable,
}

impl What {
    fn of(asked: &Asked, meta: &Meta) -> What {
        let same = |text: &str| {
            let bare = |t: &str| t.trim().trim_start_matches("W/").trim_matches('"').to_string();
            !meta.tag.is_empty() && text.split(',').any(|t| bare(t) == bare(&meta.tag) || t.trim() == "*")
        };
        if asked.none_match.as_deref().is_some_and(same) {
            return What::Same;
        }
        let Some(range) = &asked.range else { return What::All };
        if asked.if_range.as_deref().is_some_and(|tag| !same(tag)) {
            return What::All;
        }
        // One range of bytes; a list of them, or another unit, may be answered whole (RFC 9110, 14.2).
        let Some(spec) = range.strip_prefix("bytes=").filter(|s| !s.contains(',')) else { return What::All };
        let Some((first, last)) = spec.trim().split_once('-') else { return What::All };
        let number = |text: &str| {
            text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse::<usize>().ok()).flatten()
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
    fn head(&self, reply: &Reply, meta: &Meta) -> Result<Option<Range<usize>>, Broken> {
        let length = meta.length;
        let (status, more, range) = match self {
            What::Same => ("304 Not Modified", String::new(), None),
            What::All => ("200 OK", String::new(), Some(0..length)),
            What::Part(range) => {
                let more = format!("Content-Range: bytes {}-{}/{length}\r\n", range.start, range.end - 1);
                ("206 Partial Content", more, Some(range.clone()))
            }
            What::Unsatisfiable => {
                ("416 Range Not Satisfiable", format!("Content-Range: bytes */{length}\r\n"), None)
            }
        };
        let mut fields = more;
        if !meta.tag.is_empty() {
            let _ = write!(fields, "ETag: {}\r\n", meta.tag);
        }
        let _ = write!(fields, "X-Born-Ms: {}\r\n", meta.born_ms);
        if !matches!(self, What::Same) {
            let _ = write!(fields, "Content-Length: {}\r\n", range.as_ref().map_or(0, Range::len));
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
struct Reply<'a> {
    hub: &'a Hub,
    stream: &'a TcpStream,
    keep: bool,
    head_only: bool,
}

impl Reply<'_> {
    fn head(&self, status: &str, fields: &str) -> String {
        let close = if self.keep { "" } else { "Connection: close\r\n" };
        format!("HTTP/1.1 {status}\r\nHub-Since: {}\r\n{fields}{close}\r\n", self.hub.since_ms)
    }

    fn whole(&self, status: &str, fields: &str, body: &[u8]) -> bool {
        let head = self.head(status, &format!("{fields}Content-Length: {}\r\n", body.len()));
        let body = if self.head_only { &[] } else { body };
        write_all(self.stream, &[head.as_bytes(), body], Instant::now() + SLOW).is_ok() && self.keep
    }

    fn text(&self, text: &str) -> bool {
        self.whole("200 OK", "Content-Type: text/plain; charset=utf-8\r\n", text.as_bytes())
    }

    fn bare(&self, status: &str, fields: &str) -> bool {
        self.whole(status, fields, b"")
    }

    /// An error of ours, with its type (RFC 9209, 2.3).
    fn error(&self, status: &str, kind: &str, details: &str) -> bool {
        let details = if details.is_empty() { String::new() } else { format!("; details=\"{details}\"") };
        let Hub { name, domain, .. } = self.hub;
        self.bare(status, &format!("Proxy-Status: {name}.{domain}; error={kind}{details}\r\n"))
    }

    /// Turned away, with proof that nothing ran, and when to come back.
    fn refuse(&self, status: &str, kind: &str, details: &str) -> bool {
        let details = if details.is_empty() { String::new() } else { format!("; details=\"{details}\"") };
        let Hub { name, domain, .. } = self.hub;
        self.bare(
            status,
            &format!(
                "Srv-Untouched: 1\r\nRetry-After: {RETRY_AFTER}\r\n\
                 Proxy-Status: {name}.{domain}; error={kind}{details}\r\n"
            ),
        )
    }

    fn verdict(&self, verdict: Verdict) -> bool {
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
    fn copy(&self, asked: &Asked, copy: &Copy) -> bool {
        let body = match What::of(asked, &copy.meta).head(self, &copy.meta) {
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_path_names_class_object_and_part() {
        assert_eq!(parse_path("/v2/q/sheet/00000000000000ff/3"), Some(("sheet", 255, 3)));
        for bad in [
            "/v2/q/sheet/ff/3",
            "/v2/q/sheet/00000000000000ff/-3",
            "/v2/q/sheet/00000000000000ff/3/4",
            "/v2/q/sheet/00000000000000fg/3",
            "/v2/q//00000000000000ff/3",
            "/v2/q/a%20b/00000000000000ff/3",
            "/v2/q/sheet/00000000000000ff/9999999999",
            "/",
        ] {
            assert_eq!(parse_path(bad), None, "{bad}");
        }
    }

    #[test]
    fn a_range_is_what_the_standard_says() {
        let meta = Meta { tag: "\"a\"".into(), born_ms: 1, length: 10 };
        let of = |range: &str, if_range: Option<&str>| {
            let asked = Asked {
                range: Some(range.into()),
                if_range: if_range.map(str::to_string),
                ..Asked::default()
            };
            match What::of(&asked, &meta) {
                What::Part(range) => format!("{range:?}"),
                What::All => "all".into(),
                What::Same => "same".into(),
                What::Unsatisfiable => "none".into(),
            }
        };
        for (range, what) in [
            ("bytes=0-0", "0..1"),
            ("bytes=2-", "2..10"),
            ("bytes=-3", "7..10"),
            ("bytes=-30", "0..10"),
            ("bytes=5-99", "5..10"),
            ("bytes=10-", "none"),
            ("bytes=-0", "none"),
            ("bytes=5-2", "all"),
            ("bytes=0-1,3-4", "all"),
            ("lines=0-1", "all"),
            ("bytes=x-1", "all"),
        ] {
            assert_eq!(of(range, None), what, "{range}");
        }
        assert_eq!(
            (of("bytes=0-0", Some("\"a\"")), of("bytes=0-0", Some("\"b\""))),
            ("0..1".into(), "all".into())
        );
        let asked = Asked { none_match: Some("b, W/\"a\"".into()), ..Asked::default() };
        assert!(matches!(What::of(&asked, &meta), What::Same));
    }

    #[test]
    fn what_a_fill_says_of_its_tree_is_read_or_it_is_solo() {
        let of = |text: Option<&str>| Asked { tree: text.map(str::to_string), ..Asked::default() }.arrival();
        assert_eq!(of(None).0, Arrival::BEGINS);
        let (arrival, past) = of(Some("4-0000abcd;solo;past=east+south"));
        assert_eq!((arrival.stamp.unwrap().epoch, arrival.solo, past.len()), (4, true, 2));
        assert!(!of(Some("4-0000abcd")).0.solo);
        assert!(of(Some("nonsense")).0.solo && of(Some("")).0.solo);
    }
}
