//! Writes: passed on, once.

use crate::exchange::PART_MOST;
use crate::reply::{broken_off, Reply};
use crate::request_fields::RequestFields;
use crate::tally::add;
use foldmux_hierarchy::fill_path::FillPath;
use foldmux_http1::io::{read_some, write_all};
use foldmux_http1::request::Request;
use foldmux_http1::{read_response, Broken};
use std::fmt::Write as _;
use std::time::Instant;

/// A write goes up once: to the first node that may have it, on a connection of its own. Never kept, never
/// collapsed, and never sent a second way, whatever becomes of the first.
#[allow(clippy::too_many_arguments)]
pub(crate) fn pass_on(
    reply: &Reply,
    request: &Request,
    fields: &RequestFields,
    way: &FillPath,
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
    let _ = write!(
        head,
        "Host: {address}\r\nContent-Length: {}\r\n",
        body.len()
    );
    let _ = write!(
        head,
        "Via-Wait: {}\r\n",
        left(Instant::now()).as_millis().max(1)
    );
    let _ = write!(
        head,
        "CDN-Loop: {}\r\nHub-Tree: {};solo\r\n",
        way.append(&hub.signer, object),
        stamp
    );
    if !fields.via.is_empty() {
        let _ = write!(head, "Via-Id: {}\r\n", fields.via);
    }
    if let Some(token) = &fields.token {
        let _ = write!(head, "Via-Token: {token}\r\n");
    }
    head.push_str("Connection: close\r\n\r\n");
    if write_all(&stream, &[head.as_bytes(), &body], until).is_err() {
        add(&hub.tally.failed);
        return reply.error(
            "500 Internal Server Error",
            "connection_terminated",
            "it may have run",
        );
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
