//! One request to one source, and what its answer means.

use crate::book::{Fill, Target};
use crate::flight::Meta;
use crate::state::Hub;
use foldmux_http1::answer::{read_head, Length, Response, MOST_HEAD};
use foldmux_http1::io::{read_some, write_all};
use foldmux_http1::Broken;
use std::fmt::Write as _;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest part that is taken.
pub(crate) const PART_MOST: usize = 256 * 1024;
/// Bytes read at once.
const CHUNK: usize = 16 * 1024;

/// How one try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Whole,
    Missing,
    /// Turned away untouched; or by a loop.
    Full,
    Loop,
    /// A copy from before the bound came: the source is behind, and not unwell.
    TooOld,
    /// It was to give what it holds, and lacks it.
    Lacks,
    Unreached,
    Failed,
    /// Nobody waits any more, or another try has taken this one's place.
    Off,
}

/// What a source says beside the copy's tag and age.
#[derive(Default)]
struct Told {
    tag: String,
    born_ms: Option<u64>,
    since_ms: Option<u64>,
    looped: bool,
}

impl Told {
    fn field(&mut self, name: &str, value: &[u8]) {
        let text = std::str::from_utf8(value).unwrap_or_default();
        if name.eq_ignore_ascii_case("etag") {
            self.tag = text.to_string();
        } else if name.eq_ignore_ascii_case("x-born-ms") {
            self.born_ms = text.parse().ok();
        } else if name.eq_ignore_ascii_case("hub-since") {
            self.since_ms = text.parse().ok();
        } else if name.eq_ignore_ascii_case("proxy-status") {
            self.looped |= text.contains("error=proxy_loop_detected");
        }
    }
}

pub(crate) fn exchange(
    hub: &Hub,
    fill: &Fill,
    target: &Target,
    attempt: u32,
    tried: &[Arc<str>],
    stream: &Arc<TcpStream>,
    lease: Duration,
) -> (End, Option<u64>) {
    if !fill.flight.hold(attempt, stream) {
        return (End::Off, None);
    }
    let off = |end| {
        if end != End::Whole && fill.flight.called_off() {
            End::Off
        } else {
            end
        }
    };
    // A purge may have been told while the fill waited for its connection, or since another source failed.
    let born_after = hub.bound(fill.key.object, fill.born_after);
    let Some(head) = head(hub, fill, target, tried, born_after) else {
        return (End::Off, None);
    };
    if write_all(stream, &[head.as_bytes()], Instant::now() + lease).is_err() {
        return (off(End::Unreached), None);
    }
    let mut buffer = vec![0; MOST_HEAD + CHUNK];
    let (mut filled, mut told) = (0, Told::default());
    let read = read_head(
        stream,
        &mut buffer,
        &mut filled,
        Instant::now() + lease,
        &mut |n, v| told.field(n, v),
    );
    let (response, length) = match read {
        Ok(read) => read,
        // Closed before a byte: where the connection was idle before, it never took the request.
        Err(Broken::Reset) if filled == 0 => return (off(End::Unreached), None),
        Err(_) => return (off(End::Failed), None),
    };
    // What came with the end of the head already.
    let has_surplus =
        matches!(length, Length::Known(length) if filled - response.body.start > length);
    let hold_only = target.choice.only_if_cached;
    let (end, whole) = take(
        hub,
        fill,
        attempt,
        born_after,
        hold_only,
        stream,
        &mut buffer,
        filled,
        &told,
        &response,
        length,
        lease,
    );
    // Guards against an end shutting a connection that is another fetch's by then.
    fill.flight.release(attempt);
    if has_surplus {
        hub.links.report_surplus(target.address);
    } else if whole && response.reusable {
        hub.links.give_back(target.address, stream.clone());
    }
    (off(end), told.since_ms)
}

/// What an answer means; its bytes, passed on as they come. Whether it was read to its end.
#[allow(clippy::too_many_arguments)]
fn take(
    hub: &Hub,
    fill: &Fill,
    attempt: u32,
    born_after: u64,
    hold_only: bool,
    stream: &TcpStream,
    buffer: &mut [u8],
    filled: usize,
    told: &Told,
    response: &Response,
    length: Length,
    lease: Duration,
) -> (End, bool) {
    let start = response.body.start;
    // Without a length told before, nobody who waits could be told one.
    let Length::Known(length) = length else {
        return (End::Failed, false);
    };
    let end = match (response.status, response.untouched) {
        (200, _) => None,
        (404, _) if hold_only => Some(End::Lacks),
        (404, _) => Some(End::Missing),
        _ if told.looped => Some(End::Loop),
        (503 | 504, true) => Some(End::Full),
        _ => Some(End::Failed),
    };
    if let Some(end) = end {
        return (end, filled - start == length);
    }
    let Some(born_ms) = told.born_ms.filter(|_| length <= PART_MOST) else {
        return (End::Failed, false);
    };
    if born_ms < born_after {
        // Guards against a copy from before a purge coming back from a node that was not told of it yet.
        return (End::TooOld, false);
    }
    let meta = Meta {
        tag: told.tag.clone(),
        born_ms,
        length,
    };
    let keep = |copy| hub.keep(fill.key, born_after, copy);
    let Some(have) = fill.flight.head(attempt, meta, keep) else {
        return (End::Off, false);
    };
    let (mut skip, mut at) = (have, 0);
    let mut pass = |bytes: &[u8], at: &mut usize| {
        let bytes = &bytes[..bytes.len().min(length - *at)];
        *at += bytes.len();
        let skipped = skip.min(bytes.len());
        skip -= skipped;
        skipped == bytes.len() || fill.flight.chunk(attempt, &bytes[skipped..], keep)
    };
    let more = filled - start;
    if more > 0 && !pass(&buffer[start..filled], &mut at) {
        return (End::Off, false);
    }
    while at < length {
        let most = buffer.len().min(length - at);
        match read_some(stream, &mut buffer[..most], Instant::now() + lease) {
            Ok(0) | Err(_) => return (End::Failed, false),
            Ok(n) => {
                hub.book.beat(hub.now(), fill, attempt);
                if !pass(&buffer[..n], &mut at) {
                    return (End::Off, false);
                }
            }
        }
    }
    (End::Whole, more <= length)
}

/// The request's head; none where nobody waits any more.
fn head(
    hub: &Hub,
    fill: &Fill,
    target: &Target,
    tried: &[Arc<str>],
    born_after: u64,
) -> Option<String> {
    let left = hub.book.left(hub.now(), fill)? / 1_000;
    let mut head = format!("GET {} HTTP/1.1\r\n", fill.path);
    let mut field = |name: &str, value: &dyn std::fmt::Display| {
        let _ = write!(head, "{name}: {value}\r\n");
    };
    field("Host", &target.address);
    if !fill.via.is_empty() {
        field("Via-Id", &fill.via);
    }
    field("Via-Wait", &left.max(1));
    if born_after > 0 {
        field(
            "X-Max-Age-Ms",
            &hub.unix_ms().saturating_sub(born_after).max(1),
        );
    }
    field(
        "X-Flags",
        if target.choice.only_if_cached {
            &"shallow"
        } else {
            &"coalesce"
        },
    );
    field("CDN-Loop", &fill.way.append(&hub.signer, fill.key.object));
    let solo = if target.choice.uncollapsed {
        ";solo"
    } else {
        ""
    };
    // So that a node that stands in for one that failed does not ask that one again.
    let mut past: Vec<&str> = fill.past.iter().map(String::as_str).collect();
    past.extend(tried.iter().map(|name| &**name));
    past.truncate(8);
    let past = if past.is_empty() {
        String::new()
    } else {
        format!(";past={}", past.join("+"))
    };
    field(
        "Hub-Tree",
        &format_args!("{}{solo}{past}", target.choice.version),
    );
    head.push_str("\r\n");
    Some(head)
}
