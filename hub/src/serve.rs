//! A connection, and the life of each fill on it, from its head to its one answer, in one function.

use crate::book::{Entry, Fill};
use crate::reply::Reply;
use crate::request_fields::{parse_path, RequestFields};
use crate::state::Hub;
use crate::tally::add;
use crate::threads;
use crate::wait::wait_for;
use crate::writes::pass_on;
use foldmux_hierarchy::fill_path::{FillPath, PathError};
use foldmux_hierarchy::in_flight::FetchKey;
use foldmux_http1::answer::MOST_HEAD;
use foldmux_http1::io::read_some;
use foldmux_http1::request::{read_request, Request, Unread};
use foldmux_http1::Broken;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A connection on which nothing is asked for so long is closed.
const IDLE: Duration = Duration::from_secs(15);
/// For the rest of a request that has begun.
const REST: Duration = Duration::from_millis(2_500);
/// Longest body of a write.
const BODY_MOST: usize = 48_000;

/// Serves one connection until it ends.
pub fn connection(hub: &Arc<Hub>, stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buffer = vec![0; MOST_HEAD];
    let mut filled = 0;
    loop {
        let mut fields = RequestFields::default();
        let (first, rest) = (Instant::now() + IDLE, || Instant::now() + REST);
        let read = read_request(
            stream,
            &mut buffer,
            &mut filled,
            first,
            rest,
            &mut |n, v| fields.field(n, v),
        );
        let request = match read {
            Ok(request) => request,
            Err(Unread::Ended) => return,
            Err(unread) => {
                add(&hub.tally.malformed);
                let (status, why) = match unread {
                    Unread::TooLong => {
                        ("431 Request Header Fields Too Large", "http_request_error")
                    }
                    Unread::LengthRequired => ("411 Length Required", "http_request_error"),
                    Unread::Broken(Broken::TimedOut) => {
                        ("408 Request Timeout", "http_request_error")
                    }
                    Unread::Broken(_) => return,
                    _ => ("400 Bad Request", "http_request_error"),
                };
                let _ = Reply {
                    hub,
                    stream,
                    keep: false,
                    head_only: false,
                }
                .error(status, why, "");
                // What is still on its way is read, so that the answer is not lost to a reset.
                return drain(stream);
            }
        };
        if !one(hub, stream, &request, &fields, &mut buffer, &mut filled)
            || hub.leaving.load(Ordering::SeqCst)
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

/// One request: taken, looked up, waited for, answered. Whether the connection may carry another.
fn one(
    hub: &Arc<Hub>,
    stream: &TcpStream,
    request: &Request,
    fields: &RequestFields,
    buffer: &mut [u8],
    filled: &mut usize,
) -> bool {
    let arrived = Instant::now();
    let head_only = request.method == "HEAD";
    let reply = Reply {
        hub,
        stream,
        keep: request.keep,
        head_only,
    };
    if request.method == "GET" && request.path == "/v2/state" && request.length == 0 {
        return reply.text(&hub.state());
    }
    add(&hub.tally.asked);
    let bad = |status: &str, why: &str| {
        add(&hub.tally.malformed);
        let fits = Reply {
            keep: request.keep && request.length == 0,
            ..reply
        };
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
    if let Some(why) = fields.unusable {
        return bad("400 Bad Request", why);
    }
    let way = match read_path(&reply, fields, object) {
        Ok(way) => way,
        Err(PathRejected::Malformed(status, why)) => return bad(status, why),
        Err(PathRejected::Answered(keeps)) => return keeps,
    };
    let wait = fields
        .wait_ms
        .unwrap_or(hub.relay.wait_ms)
        .min(hub.relay.wait_ms);
    let until = arrived + Duration::from_millis(wait);
    if request.length > 0
        || fields.token.is_some()
        || hub.relay.writes.iter().any(|w| w == class_name)
    {
        add(&hub.tally.writes);
        return pass_on(&reply, request, fields, &way, object, until, buffer, filled);
    }
    let Some(class) = hub.class(class_name) else {
        return bad("400 Bad Request", "there are too many classes");
    };
    let key = FetchKey {
        class,
        object,
        part,
    };
    let wait = Wait { ms: wait, until };
    serve_cached(hub, &reply, request, fields, key, way, &wait)
}

/// How long a request may wait for its answer.
struct Wait {
    ms: u64,
    until: Instant,
}

/// Why a request's fill path is not taken.
enum PathRejected {
    /// It can't be read: the status and the reason to answer with.
    Malformed(&'static str, &'static str),
    /// It shows a loop, and that was answered: whether the connection may carry another request.
    Answered(bool),
}

/// The fill path of a request. One that comes back to this hub is answered as a loop: its sender takes another source, and
/// nothing waits for itself.
fn read_path(reply: &Reply, fields: &RequestFields, object: u64) -> Result<FillPath, PathRejected> {
    let hub = reply.hub;
    let looped = |why| {
        add(&hub.tally.loops_found);
        PathRejected::Answered(reply.refuse("502 Bad Gateway", "proxy_loop_detected", why))
    };
    let path = FillPath::parse(&fields.way).map_err(|error| match error {
        PathError::TooLong => {
            PathRejected::Malformed("431 Request Header Fields Too Large", "CDN-Loop")
        }
        PathError::TooManyHops => looped("too many hops"),
        PathError::Malformed => {
            PathRejected::Malformed("400 Bad Request", "CDN-Loop can't be read")
        }
    })?;
    if hub.signer.has_signed(&path, object) {
        return Err(looped(""));
    }
    Ok(path)
}

/// A request for a part that may be cached: answered from a copy, or by a fetch that all who want the part share.
fn serve_cached(
    hub: &Arc<Hub>,
    reply: &Reply,
    request: &Request,
    fields: &RequestFields,
    key: FetchKey,
    way: FillPath,
    wait: &Wait,
) -> bool {
    let born_after = match fields.max_age_ms {
        0 => 0,
        age => hub.unix_ms().saturating_sub(age),
    };
    let born_after = hub.bound(key.object, born_after);
    if let Some(copy) = hub.held(key, born_after) {
        add(&hub.tally.hits);
        return reply.copy(fields, &copy);
    }
    if fields.hold_only {
        add(&hub.tally.missing);
        return reply.bare("404 Not Found", "");
    }
    let (arrival, past) = fields.arrival();
    let now = hub.now();
    let (entry, lane) = hub
        .book
        .want(now, key, arrival, born_after, now + wait.ms * 1_000);
    let waiting = match entry {
        Entry::Join(waiting) => waiting,
        Entry::Lead(id, waiting) => {
            let (flight, path, via) = (
                waiting.flight.clone(),
                request.path.clone(),
                fields.via.clone(),
            );
            let fill = Fill {
                id,
                key,
                path,
                via,
                way,
                lane,
                born_after,
                past,
                flight,
            };
            match hub.held(key, born_after) {
                // Guards against a second fetch for what came between the look at the copies and the ledger.
                Some(copy) => {
                    fill.flight.give(&copy);
                    hub.book.done(&fill, 0, None);
                }
                None => threads::fetch(hub, fill, 0),
            }
            waiting
        }
        Entry::Full => {
            add(&hub.tally.refused);
            return reply.refuse("503 Service Unavailable", "connection_limit_reached", "");
        }
    };
    wait_for(reply, fields, &waiting, wait.until)
}
