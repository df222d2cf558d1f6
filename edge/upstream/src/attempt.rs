//! One attempt, from its connection to the end of its response.

use crate::pool::PooledConnection;
use crate::proof::{dial_outcome, judge, outcome_of, AttemptResult};
use crate::{OnReport, Upstream};
use foldmux::interface::Outcome;
use foldmux_core::attempt::{Attempt, Payload};
use foldmux_core::buffers::Buffer;
use foldmux_core::cancellation::Cancellable;
use foldmux_http1::io::{is_quiet, write_all, Quiet, Unwritten};
use foldmux_http1::read_response_reserving;
use foldmux_http1::reuse::reuse_delay;
use foldmux_sockets::stream::{self, Stop};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long the first bytes of a request may wait to be written before its head is made anew: well within the slack with which
/// deadlines are passed on.
const HEAD_REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Reserved behind a response's body, where a front ends its message (bytes).
const MESSAGE_ROOM: usize = 64;

/// The connection of an attempt; shutting it down wakes its reader.
struct OpenConnection(Arc<TcpStream>);

impl Cancellable for OpenConnection {
    fn cancel(&self) {
        let _ = self.0.shutdown(Shutdown::Both);
    }
}

/// Why a request was not written completely.
enum NotSent {
    /// Its connection had been idle and can't be used any more. No byte was written: another may be dialled.
    Stale,
    /// The attempt has ended.
    Final(Outcome),
}

impl Upstream {
    pub(crate) fn make_attempt(
        &self,
        attempt: &Attempt,
        buffer: &mut Buffer,
        on_report: OnReport,
    ) -> (Outcome, Option<Payload>) {
        let AttemptResult { outcome, payload } = self.send_and_receive(attempt, buffer, on_report);
        attempt.cancel.unregister();
        if payload.is_none() && attempt.cancel.is_cancelled(attempt.target.attempt) {
            return (outcome_of_cancelled(outcome), None);
        }
        (outcome, payload)
    }

    fn send_and_receive(
        &self,
        attempt: &Attempt,
        buffer: &mut Buffer,
        on_report: OnReport,
    ) -> AttemptResult {
        let Attempt { fetch, target, .. } = attempt;
        let until = match fetch.timeout {
            0 => attempt.deadline,
            time => attempt
                .deadline
                .min(target.decided_at + Duration::from_micros(time)),
        };
        // No connection is opened to a cache that drains or is gone by now.
        let Some(incarnation) = target
            .cache
            .filter(|incarnation| self.servers.accepts(fetch.cache, *incarnation))
        else {
            return AttemptResult::without(Outcome::NeverSent);
        };
        let min_idle = reuse_delay(fetch.is_idempotent);
        let Some(mut connection) = self.pool.acquire(fetch.cache, incarnation, min_idle) else {
            return AttemptResult::without(Outcome::NeverSent);
        };
        loop {
            match self.send(attempt, &mut connection, until) {
                Ok(stream) => {
                    return self.receive(
                        attempt,
                        &mut connection,
                        &stream,
                        buffer,
                        until,
                        on_report,
                    )
                }
                // At most once: the next connection is dialled.
                Err(NotSent::Stale) => connection.reconnect(),
                Err(NotSent::Final(outcome)) => return AttemptResult::without(outcome),
            }
        }
    }

    /// Writes the request, on a connection that a cancellation can shut down.
    fn send(
        &self,
        attempt: &Attempt,
        connection: &mut PooledConnection,
        until: Instant,
    ) -> Result<Arc<TcpStream>, NotSent> {
        let never_sent = || NotSent::Final(Outcome::NeverSent);
        let idle = connection.was_idle();
        let stream = self
            .connect(attempt, connection, until)
            .map_err(NotSent::Final)?;
        if !register_for_cancel(attempt, &stream) {
            return Err(never_sent());
        }
        // Bytes that are here before the request is written would be read as its response.
        match is_quiet(&stream) {
            Quiet::Yes => {}
            // On one that was just dialled nothing can have been sent.
            Quiet::Unknown if !idle => {}
            Quiet::No | Quiet::Unknown => return Err(connection_unusable(idle)),
        }
        let (head, written) = self.write_head(attempt, &stream, idle, until)?;
        let body = attempt
            .request
            .body
            .as_ref()
            .map_or(&[][..], |(lease, n)| &lease[..*n]);
        let rest = write_all(&stream, &[&head.as_bytes()[written..], body], until);
        rest.map_err(|Unwritten { cause, .. }| NotSent::Final(outcome_of(cause)))?;
        Ok(stream)
    }

    /// Writes the first bytes of the request. Returns its head, and how much of it was written. Where they can't be written at
    /// once, the head is made anew and everything that must hold is checked again.
    fn write_head(
        &self,
        attempt: &Attempt,
        stream: &TcpStream,
        idle: bool,
        until: Instant,
    ) -> Result<(String, usize), NotSent> {
        let never_sent = || NotSent::Final(Outcome::NeverSent);
        loop {
            // The endpoint list may have changed while dialling: right before the first byte, cache and source must still
            // be the incarnations that the router chose, and accept requests, with time left.
            let head = self.head(attempt, until).ok_or_else(never_sent)?;
            // Ownership of the record may have been lost in any of these waits.
            if attempt.record.is_some_and(|record| !record.may_send()) {
                return Err(never_sent());
            }
            match stream::write(
                stream,
                head.as_bytes(),
                until.min(Instant::now() + HEAD_REFRESH_INTERVAL),
            ) {
                Ok(written) => return Ok((head, written)),
                Err(Stop::TimedOut | Stop::Failing(_))
                    if !attempt.cancel.is_cancelled(attempt.target.attempt) => {}
                Err(Stop::TimedOut | Stop::Failing(_)) => return Err(never_sent()),
                Err(Stop::Over(_)) => return Err(connection_unusable(idle)),
            }
        }
    }

    /// The connection, dialled if need be while the request may still be sent. A cancellation ends the dial.
    fn connect(
        &self,
        attempt: &Attempt,
        connection: &mut PooledConnection,
        until: Instant,
    ) -> Result<Arc<TcpStream>, Outcome> {
        let time = self.time_to_send(attempt, until);
        if time.is_zero() || attempt.cancel.is_cancelled(attempt.target.attempt) {
            return Err(Outcome::NeverSent);
        }
        let dialled = connection.stream_while(time.min(self.dial_timeout), &|dial| {
            register_for_cancel(attempt, dial)
        });
        dialled.map_err(|error| {
            let late = !attempt.fetch.may_send(self.clock.now());
            if late {
                Outcome::NeverSent
            } else {
                dial_outcome(error)
            }
        })
    }

    /// How long until the request's first byte must be written.
    fn time_to_send(&self, attempt: &Attempt, until: Instant) -> Duration {
        let left = until.saturating_duration_since(Instant::now());
        match attempt.fetch.send_before {
            0 => left,
            by => left.min(Duration::from_micros(by.saturating_sub(self.clock.now()))),
        }
    }

    /// Reads the response, and reports the load that it carries.
    fn receive(
        &self,
        attempt: &Attempt,
        connection: &mut PooledConnection,
        stream: &TcpStream,
        buffer: &mut Buffer,
        until: Instant,
        on_report: OnReport,
    ) -> AttemptResult {
        let incarnation = connection.incarnation();
        let reserve = |buffer: &mut Buffer, read: usize, bytes: usize| {
            let is_cancelled = || attempt.cancel.is_cancelled(attempt.target.attempt);
            buffer.reserve(read, bytes + MESSAGE_ROOM, until, &is_cancelled)
        };
        let response = read_response_reserving(stream, buffer, until, reserve);
        // From here a cancellation must not shut the connection down: another request may use it.
        attempt.cancel.unregister();
        match response {
            Ok(response) => {
                let load = response.load.clone();
                load.into_iter()
                    .for_each(|at| on_report(attempt.fetch.cache, incarnation, &buffer[at]));
                connection.reusable = response.reusable;
                connection.has_surplus = response.has_surplus;
                judge(response, buffer, attempt.request.etag.as_deref())
            }
            Err(broken) => AttemptResult::without(outcome_of(broken)),
        }
    }
}

/// Registers the attempt's connection for cancellation; false if it was cancelled before.
fn register_for_cancel(attempt: &Attempt, stream: &Arc<TcpStream>) -> bool {
    attempt.cancel.register(
        attempt.target.attempt,
        Arc::new(OpenConnection(stream.clone())),
    )
}

/// A connection that ended, or carried bytes, before a byte of the request was written: nothing was processed.
fn connection_unusable(idle: bool) -> NotSent {
    match idle {
        true => NotSent::Stale,
        false => NotSent::Final(Outcome::ConnectFailed),
    }
}

/// The outcome of a cancelled attempt: the error of the closed socket says nothing of the cache, but what is known not to have
/// been processed stays so.
fn outcome_of_cancelled(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::ConnectFailed => Outcome::NeverSent,
        outcome if outcome.not_processed() => outcome,
        _ => Outcome::Cancelled,
    }
}
