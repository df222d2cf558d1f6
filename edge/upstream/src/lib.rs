//! One attempt at a pop cache, a parent or the origin, over HTTP/1.1 with one request at a time.
//!
//! Owns: the connections to them ([`pool`]), what an answer proves and reports, and the probes ([`probe`]). May not: choose a cache, repeat an attempt, or
//! hold anything of a request once its attempt has returned. It implements the core's [`Tries`].

pub mod pool;
pub mod probe;

use foldmux::interface::{bound_ms, CacheId, Outcome};
use foldmux_core::attempt::{Attempt, Got, Line, Tries};
use foldmux_core::clock::{span, Clock};
use foldmux_core::members::{Members, Start};
use foldmux_core::request::Inquiry;
use foldmux_http1::io::write_all;
use foldmux_http1::{read_response, Broken, Response};
use foldmux_reports::{Fields, Load};
use pool::Pool;
use std::fmt::Write as _;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Upstream {
    pub members: Arc<Members>,
    pub pool: Arc<Pool>,
    pub clock: Clock,
    pub dial_time_out: Duration,
}

/// The same where answers carry reports: their fields, and who hears them.
pub struct Reporting {
    pub upstream: Upstream,
    pub fields: Fields,
    pub hears: Box<dyn Fn(CacheId, Start, Load) + Send + Sync>,
}

/// A connection that an attempt is on: shut, its reader wakes.
struct Held(Arc<TcpStream>);

impl Line for Held {
    fn cut(&self) {
        let _ = self.0.shutdown(Shutdown::Both);
    }
}

impl Tries for Upstream {
    /// Makes the attempt and says how it ended; whatever it held is given back when this returns.
    fn attempt(&self, attempt: &Attempt, buffer: &mut [u8]) -> (Outcome, Option<Got>) {
        self.ended(attempt, buffer, &|_, _, _| ())
    }
}

impl Tries for Reporting {
    /// Whatever stands in the report, the answer is what it is.
    fn attempt(&self, attempt: &Attempt, buffer: &mut [u8]) -> (Outcome, Option<Got>) {
        self.upstream.ended(attempt, buffer, &|cache, start, load| {
            (self.hears)(cache, start, self.fields.read(load));
        })
    }
}

/// Hears what a start of a cache reported, as it stands in the answer.
type Hears<'a> = &'a dyn Fn(CacheId, Start, &[u8]);

impl Upstream {
    fn ended(&self, attempt: &Attempt, buffer: &mut [u8], hears: Hears) -> (Outcome, Option<Got>) {
        let (outcome, got) = self.make(attempt, buffer, hears);
        attempt.slot.release();
        if got.is_none() && attempt.slot.off(attempt.target.attempt) {
            // Called off: what the shut socket gave is no news of the cache.
            return (Outcome::Cancelled, None);
        }
        (outcome, got)
    }

    fn make(&self, attempt: &Attempt, buffer: &mut [u8], hears: Hears) -> (Outcome, Option<Got>) {
        let Attempt { inquiry, slot, fetch, target, .. } = attempt;
        let until = match fetch.time_out {
            0 => attempt.deadline,
            time => attempt.deadline.min(target.decided + span(time)),
        };
        // No connection is opened to a cache that drains or is gone by now.
        let start = target.cache.filter(|start| self.members.allows(fetch.cache, *start));
        let (Some(cache), Some(start)) = (self.members.get(fetch.cache), start) else {
            return (Outcome::NeverSent, None);
        };
        let Some(mut loan) = self.pool.lend(cache.member.cache, start) else {
            return (Outcome::NeverSent, None);
        };
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return (Outcome::NeverSent, None);
        }
        let stream = match loan.stream(left.min(self.dial_time_out)) {
            Ok(stream) => stream,
            Err(error) => return (dial_outcome(error), None),
        };
        if !slot.hold(target.attempt, Arc::new(Held(stream.clone()))) {
            return (Outcome::Cancelled, None);
        }
        // Dialling took time, and the list may have changed in it: here, just before the first byte, the cache
        // and the source must still be allowed and be the starts that the module meant, with time left.
        let Some(head) = self.head(attempt, until) else { return (Outcome::NeverSent, None) };
        // Whoever owns a covered request may have lost it in any of these waits.
        if attempt.guard.is_some_and(|guard| !guard.may_send()) {
            return (Outcome::NeverSent, None);
        }
        let body = inquiry.body.as_ref().map_or(&[][..], |(lease, n)| &lease[..*n]);
        if let Err(broken) = write_all(&stream, &[head.as_bytes(), body], until) {
            return (outcome_of(broken), None);
        }
        let response = read_response(&stream, buffer, until);
        slot.release();
        match response {
            Ok(response) => {
                let load = response.load.clone();
                load.into_iter().for_each(|at| hears(cache.member.cache, start, &buffer[at]));
                loan.reusable = response.reusable;
                judge(response, inquiry.got.is_some())
            }
            Err(broken) => (outcome_of(broken), None),
        }
    }

    /// The request's head, or none where it must not be sent any more.
    fn head(&self, attempt: &Attempt, until: Instant) -> Option<String> {
        let Attempt { inquiry, fetch, target, .. } = attempt;
        let cache = target.cache.filter(|start| self.members.allows(fetch.cache, *start))?;
        let mut source = None;
        if fetch.source != fetch.cache {
            target.source.filter(|start| self.members.allows(fetch.source, *start))?;
            source = Some(self.members.get(fetch.source)?.name);
        }
        let wait = until.saturating_duration_since(Instant::now()).as_millis();
        if wait == 0 {
            return None;
        }
        let Inquiry { via, class_name, object, part, .. } = inquiry;
        // Also where there is a body: the caches know no other method.
        let mut head = format!("GET /v2/q/{class_name}/{object:016x}/{part} HTTP/1.1\r\n");
        let mut field = |name: &str, value: &dyn std::fmt::Display| {
            let _ = write!(head, "{name}: {value}\r\n");
        };
        field("Host", &cache.address);
        field("Via-Id", &format_args!("{via:016x}"));
        field("Via-Wait", &wait);
        inquiry.token.iter().for_each(|token| field("Via-Token", token));
        let term = attempt.guard.and_then(|guard| guard.term());
        term.iter().for_each(|term| field("Via-Term", term));
        source.iter().for_each(|source| field("X-Fill-From", source));
        if fetch.keep > 0 {
            field("X-Keep", &fetch.keep);
        }
        bound_ms(fetch.max_age).iter().for_each(|age| field("X-Max-Age-Ms", age));
        let flags = fetch.flags();
        if !flags.is_empty() {
            field("X-Flags", &flags);
        }
        inquiry.got.iter().for_each(|got| field("If-None-Match", got));
        if let Some((_, length)) = inquiry.body {
            field("Content-Length", &length);
        }
        head.push_str("\r\n");
        Some(head)
    }
}

/// What a dial that failed proves: nothing came up at the other side. Where it was this program that had no
/// descriptor or port left, that says nothing of the cache.
fn dial_outcome(error: std::io::Error) -> Outcome {
    const OURS: [i32; 5] = [12, 23, 24, 99, 105]; // ENOMEM, ENFILE, EMFILE, EADDRNOTAVAIL, ENOBUFS
    match error.raw_os_error() {
        Some(code) if OURS.contains(&code) => Outcome::NeverSent,
        _ => Outcome::ConnectFailed,
    }
}

fn outcome_of(broken: Broken) -> Outcome {
    match broken {
        Broken::TimedOut => Outcome::TimedOut,
        // A break after writing may have run, also on a connection that was idle before: never sent again
        // behind the module's back.
        // An answer that can't be read is one that was lost on its way: the work ran, and its like, spoilt at
        // all caches, says nothing of one cache's health or of the origin's.
        Broken::Reset | Broken::Unreadable => Outcome::Reset,
    }
}

/// What an answer proves. Only a miss, and a refusal that says that it left the request untouched, never ran.
fn judge(response: Response, passed_got: bool) -> (Outcome, Option<Got>) {
    match (response.status, response.untouched) {
        (200, _) => (Outcome::Served, Some(Got::Body(response.body))),
        (304, _) if passed_got => (Outcome::Served, Some(Got::Same)),
        (404, _) => (Outcome::Miss, None),
        (503, true) => (Outcome::Full, None),
        (504, true) => (Outcome::NeverSent, None),
        _ => (Outcome::Error, None),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn never_ran_is_exact() {
        let end = |status, untouched, got| {
            judge(Response { status, body: 1..2, reusable: true, untouched, load: None }, got).0
        };
        assert_eq!(end(200, false, false), Outcome::Served);
        assert_eq!((end(304, false, true), end(304, false, false)), (Outcome::Served, Outcome::Error));
        assert_eq!((end(404, false, false), end(500, true, false)), (Outcome::Miss, Outcome::Error));
        assert_eq!((end(503, true, false), end(503, false, false)), (Outcome::Full, Outcome::Error));
        assert_eq!((end(504, true, false), end(504, false, false)), (Outcome::NeverSent, Outcome::Error));
        assert!(!outcome_of(Broken::Unreadable).never_ran() && !outcome_of(Broken::Reset).never_ran());
        let dial = |code| dial_outcome(std::io::Error::from_raw_os_error(code));
        assert_eq!((dial(111), dial(24)), (Outcome::ConnectFailed, Outcome::NeverSent));
    }

    #[test]
    fn a_bound_on_age_rounds_down_but_never_to_no_bound() {
        let rounded = [0, 1, 999, 1_000, 1_999, 2_500_000].map(bound_ms);
        assert_eq!(rounded, [None, Some(1), Some(1), Some(1), Some(1), Some(2_500)]);
    }
}
