//! What an attempt waits for: a place among its limits, their pause, the module's next way.

use crate::answers::{Final, Ran};
use crate::attempt::Attempt;
use crate::front::Front;
use crate::keyed::Grip;
use crate::outcome::Ended;
use foldmux_core::delegated::{Instruction, Route};
use foldmux_core::limits::{Admission, AttemptPermission, QueueEnd, RequestLimits};
use foldmux_core::retry_after::Rejected;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout, timeout_at};

/// Longest wait for the module's next word after an attempt failed: it is told at once, or never.
const NEXT: Duration = Duration::from_millis(50);

impl Front {
    /// A place among those of the limits that hold for the request, where there are any.
    pub(crate) async fn admit(
        &self,
        class: usize,
        caller: &str,
        ran: Ran,
    ) -> Result<Option<RequestLimits>, Final> {
        let Some(limiter) = self.core.limiter.get() else {
            return Ok(None);
        };
        let (tell, told) = oneshot::channel();
        match limiter.admit(
            class,
            caller,
            "ext_proc",
            Box::new(move |end| {
                let _ = tell.send(end);
            }),
        ) {
            Admission::Unlimited => Ok(None),
            Admission::Admitted(limits) => Ok(Some(limits)),
            Admission::Rejected(Rejected { retry_after }) => {
                Err(Final::refused("its class has no place", ran, retry_after))
            }
            Admission::Queued(mut limits, max_wait) => {
                match timeout(max_wait.min(self.patience), told).await {
                    Ok(Ok(QueueEnd::Admitted)) => {
                        limits.take_grant();
                        Ok(Some(limits))
                    }
                    _ => Err(Final::refused(
                        "its class had no place in time",
                        ran,
                        limits.max_retry_after(),
                    )),
                }
            }
        }
    }

    /// Whether the limits allow the attempt, after the pause that they want before it.
    pub(crate) async fn allow(
        &self,
        attempt: &mut Attempt,
        until: Instant,
        ran: Ran,
    ) -> Result<(), Final> {
        let Some(limits) = &mut attempt.limits else {
            return Ok(());
        };
        match limits.permit_attempt() {
            AttemptPermission::Now => return Ok(()),
            AttemptPermission::After(pause) if Instant::now() + pause < until => {
                sleep(pause).await;
                if limits.is_within_idempotency_window() {
                    return Ok(());
                }
            }
            AttemptPermission::After(_) | AttemptPermission::Denied => {}
        }
        match limits.retry_is_harmless() {
            true => Err(Final::refused(
                "its limits allow no other attempt",
                ran,
                limits.max_retry_after(),
            )),
            false => Err(Final::given_up(
                "its limits allow no other attempt",
                Ran::Maybe,
            )),
        }
    }

    /// The module's next way, or its final word.
    pub(crate) async fn next(
        &self,
        attempt: &mut Attempt,
        until: Instant,
        ran: Ran,
    ) -> Result<Box<Route>, Final> {
        loop {
            let directive = timeout_at(until.into(), attempt.directives.recv()).await;
            let Ok(Some(directive)) = directive else {
                return Err(Final::given_up("no decision in time", ran));
            };
            match attempt.delegated.take(directive) {
                Instruction::Attempt(way) => return Ok(way),
                Instruction::AwaitNext => {}
                Instruction::Rejected(Rejected { retry_after }) => {
                    return Err(Final::refused("refused for now", ran, retry_after))
                }
                Instruction::Failed | Instruction::ClientGone => {
                    return Err(Final::given_up("no server may be asked", ran))
                }
            }
        }
    }

    /// After an attempt that did not serve: another for the caller to make, or the final answer in place of this one.
    /// None: the response goes on as it is.
    pub(crate) async fn after(
        self: &Arc<Front>,
        mut attempt: Box<Attempt>,
        ended: Ended,
    ) -> Result<Option<String>, Final> {
        // It may be running still, and no other attempt of its key may be made until its time is over: said at once,
        // and not by a refusal of the caller's next try.
        let waits = attempt
            .grip
            .as_ref()
            .filter(|_| !ended.over)
            .map(Grip::quiet_in);
        attempt.end(ended, !self.again || waits.is_some());
        if let Some(wait) = waits {
            return Err(Final::refused(
                "an attempt may be running",
                Ran::Maybe,
                Duration::from_micros(wait.saturating_mul(1_000)),
            ));
        }
        if !self.again {
            return Ok(None);
        }
        let ran = if ended.outcome.not_processed() && attempt.number == 0 {
            Ran::Nothing
        } else {
            Ran::Maybe
        };
        let way = self.next(&mut attempt, Instant::now() + NEXT, ran).await?;
        let (request, number, text) = (attempt.request, attempt.number, attempt.text.clone());
        attempt.way = Some(way);
        self.count(&self.counts.again);
        match self.parked.keep(request, number, *attempt) {
            None => Ok(Some(text)),
            // No room to keep the way: the caller may come by itself, and the module chooses anew.
            Some(_) => Ok(None),
        }
    }
}
