//! One attempt, from a connection to the end of its answer.

use crate::pool::Loan;
use crate::proof::{dial_outcome, judge, outcome_of, Ended};
use crate::{Hears, Upstream};
use foldmux::interface::Outcome;
use foldmux_core::attempt::{Attempt, Payload};
use foldmux_core::cancellation::Cancellable;
use foldmux_core::servers::Incarnation;
use foldmux_http1::io::{is_quiet, write_all, Quiet, Unwritten};
use foldmux_http1::read_response;
use foldmux_sockets::stream::{self, Stop};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long the first bytes of a request may take to leave before what its head says is looked at again: well within the
/// slack with which deadlines are passed on.
const FRESH: Duration = Duration::from_millis(50);

/// A connection that an attempt is on: shut, its reader wakes.
struct Held(Arc<TcpStream>);

impl Cancellable for Held {
    fn cancel(&self) {
        let _ = self.0.shutdown(Shutdown::Both);
    }
}

/// Why a request was not written whole.
enum Unsent {
    /// Its connection had been idle and is of no more use. No byte was written: another may be dialled.
    Stale,
    Ended(Outcome),
}

impl Upstream {
    pub(crate) fn ended(
        &self,
        attempt: &Attempt,
        buffer: &mut [u8],
        hears: Hears,
    ) -> (Outcome, Option<Payload>) {
        let Ended { outcome, got } = self.make(attempt, buffer, hears);
        attempt.cancel.unregister();
        if got.is_none() && attempt.cancel.is_cancelled(attempt.target.attempt) {
            return (called_off(outcome), None);
        }
        (outcome, got)
    }

    fn make(&self, attempt: &Attempt, buffer: &mut [u8], hears: Hears) -> Ended {
        let Attempt { fetch, target, .. } = attempt;
        let until = match fetch.timeout {
            0 => attempt.deadline,
            time => attempt
                .deadline
                .min(target.decided_at + Duration::from_micros(time)),
        };
        // No connection is opened to a cache that drains or is gone by now.
        let Some(start) = target
            .cache
            .filter(|start| self.members.accepts(fetch.cache, *start))
        else {
            return Ended::without(Outcome::NeverSent);
        };
        let Some(mut loan) = self.pool.lend(fetch.cache, start) else {
            return Ended::without(Outcome::NeverSent);
        };
        loop {
            match self.send(attempt, &mut loan, until) {
                Ok(stream) => {
                    return self.receive(attempt, start, &mut loan, &stream, buffer, until, hears)
                }
                // Once at the most: the next is not an idle one.
                Err(Unsent::Stale) => loan.renew(),
                Err(Unsent::Ended(outcome)) => return Ended::without(outcome),
            }
        }
    }

    /// Writes the request, on a connection where a cancel finds it.
    fn send(
        &self,
        attempt: &Attempt,
        loan: &mut Loan,
        until: Instant,
    ) -> Result<Arc<TcpStream>, Unsent> {
        let never = || Unsent::Ended(Outcome::NeverSent);
        let idle = loan.was_idle();
        let stream = self
            .connection(attempt, loan, until)
            .map_err(Unsent::Ended)?;
        if !held(attempt, &stream) {
            return Err(never());
        }
        // Guards against an answer to nobody's request, which would pass for the answer to this one.
        match is_quiet(&stream) {
            Quiet::Yes => {}
            // One that was just dialled has had no time to be spoken on.
            Quiet::Unknown if !idle => {}
            Quiet::No | Quiet::Unknown => return Err(unusable(idle)),
        }
        let (head, written) = self.begin(attempt, &stream, idle, until)?;
        let body = attempt
            .request
            .body
            .as_ref()
            .map_or(&[][..], |(lease, n)| &lease[..*n]);
        let rest = write_all(&stream, &[&head.as_bytes()[written..], body], until);
        rest.map_err(|Unwritten { cause, .. }| Unsent::Ended(outcome_of(cause)))?;
        Ok(stream)
    }

    /// Writes the first bytes of the request; its head, and how much of it was written. What the head says, and all that must
    /// hold for it to be sent, is looked at again where these bytes do not leave at once.
    fn begin(
        &self,
        attempt: &Attempt,
        stream: &TcpStream,
        idle: bool,
        until: Instant,
    ) -> Result<(String, usize), Unsent> {
        let never = || Unsent::Ended(Outcome::NeverSent);
        loop {
            // Dialling took time, and the list may have changed in it: here, just before the first byte, the cache
            // and the source must still be allowed and be the starts that the module meant, with time left.
            let head = self.head(attempt, until).ok_or_else(never)?;
            // Whoever owns a covered request may have lost it in any of these waits.
            if attempt.record.is_some_and(|record| !record.may_send()) {
                return Err(never());
            }
            match stream::write(stream, head.as_bytes(), until.min(Instant::now() + FRESH)) {
                Ok(written) => return Ok((head, written)),
                Err(Stop::TimedOut | Stop::Failing(_))
                    if !attempt.cancel.is_cancelled(attempt.target.attempt) => {}
                Err(Stop::TimedOut | Stop::Failing(_)) => return Err(never()),
                Err(Stop::Over(_)) => return Err(unusable(idle)),
            }
        }
    }

    /// The loan's connection; one that is dialled must come up while the request may still be sent. A cancel ends its dial.
    fn connection(
        &self,
        attempt: &Attempt,
        loan: &mut Loan,
        until: Instant,
    ) -> Result<Arc<TcpStream>, Outcome> {
        let time = self.time_to_begin(attempt, until);
        if time.is_zero() || attempt.cancel.is_cancelled(attempt.target.attempt) {
            return Err(Outcome::NeverSent);
        }
        let dialled = loan.stream_while(time.min(self.dial_time_out), &|dial| held(attempt, dial));
        dialled.map_err(|error| {
            let late = !attempt.fetch.may_send(self.clock.now());
            if late {
                Outcome::NeverSent
            } else {
                dial_outcome(error)
            }
        })
    }

    /// How long the request's first byte may still take.
    fn time_to_begin(&self, attempt: &Attempt, until: Instant) -> Duration {
        let left = until.saturating_duration_since(Instant::now());
        match attempt.fetch.send_before {
            0 => left,
            by => left.min(Duration::from_micros(by.saturating_sub(self.clock.now()))),
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn receive(
        &self,
        attempt: &Attempt,
        start: Incarnation,
        loan: &mut Loan,
        stream: &TcpStream,
        buffer: &mut [u8],
        until: Instant,
        hears: Hears,
    ) -> Ended {
        let response = read_response(stream, buffer, until);
        // From here a cancel cuts nothing: the connection may be lent to another request.
        attempt.cancel.unregister();
        match response {
            Ok(response) => {
                let load = response.load.clone();
                load.into_iter()
                    .for_each(|at| hears(attempt.fetch.cache, start, &buffer[at]));
                loan.reusable = response.reusable;
                judge(response, buffer, attempt.request.etag.as_deref())
            }
            Err(broken) => Ended::without(outcome_of(broken)),
        }
    }
}

/// Puts the attempt's connection where a cancel finds it; false if the cancel came first.
fn held(attempt: &Attempt, stream: &Arc<TcpStream>) -> bool {
    attempt
        .cancel
        .register(attempt.target.attempt, Arc::new(Held(stream.clone())))
}

/// A connection that ended, or spoke, before a byte of the request was written: nothing ran.
fn unusable(idle: bool) -> Unsent {
    match idle {
        true => Unsent::Stale,
        false => Unsent::Ended(Outcome::ConnectFailed),
    }
}

/// The end of an attempt that was called off: what the shut socket gave is no news of the cache, but what is known never
/// to have run stays known.
fn called_off(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::ConnectFailed => Outcome::NeverSent,
        outcome if outcome.not_processed() => outcome,
        _ => Outcome::Cancelled,
    }
}
