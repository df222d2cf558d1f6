//! What an attempt waits for: a place among its limits, their pause, the module's next way.

use crate::answers::{Final, Ran};
use crate::attempt::Attempt;
use crate::front::Front;
use crate::keyed::Grip;
use crate::outcome::Ended;
use foldmux::interface::Time;
use foldmux_core::lent::{Told, Way};
use foldmux_core::limits::{Allowed, Entered, Held};
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
    ) -> Result<Option<Held>, Final> {
        let Some(limiter) = self.core.limits.get() else {
            return Ok(None);
        };
        let (tell, told) = oneshot::channel();
        match limiter.enter(
            class,
            caller,
            "ext_proc",
            Box::new(move |has| {
                let _ = tell.send(has);
            }),
        ) {
            Entered::Free => Ok(None),
            Entered::In(held) => Ok(Some(held)),
            Entered::Refused { wait } => Err(Final::refused("its class has no place", ran, wait)),
            Entered::Waits(mut held, age) => match timeout(age.min(self.patience), told).await {
                Ok(Ok(true)) => {
                    held.admitted();
                    Ok(Some(held))
                }
                _ => Err(Final::refused(
                    "its class had no place in time",
                    ran,
                    held.advice(Time::MAX),
                )),
            },
        }
    }

    /// Whether the limits allow the attempt, after the pause that they want before it.
    pub(crate) async fn allow(
        &self,
        attempt: &mut Attempt,
        until: Instant,
        ran: Ran,
    ) -> Result<(), Final> {
        let Some(held) = &mut attempt.limits else {
            return Ok(());
        };
        match held.attempt() {
            Allowed::Now => return Ok(()),
            Allowed::After(pause) if Instant::now() + pause < until => {
                sleep(pause).await;
                if held.in_window() {
                    return Ok(());
                }
            }
            Allowed::After(_) | Allowed::No => {}
        }
        match held.harmless() {
            true => Err(Final::refused(
                "its limits allow no other attempt",
                ran,
                held.advice(Time::MAX),
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
    ) -> Result<Box<Way>, Final> {
        loop {
            let order = timeout_at(until.into(), attempt.orders.recv()).await;
            let Ok(Some(order)) = order else {
                return Err(Final::given_up("no decision in time", ran));
            };
            match attempt.lent.take(order) {
                Told::Go(way) => return Ok(way),
                Told::Wait => {}
                Told::Refused { wait } => return Err(Final::refused("refused for now", ran, wait)),
                Told::Failed | Told::Over => {
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
                wait.saturating_mul(1_000),
            ));
        }
        if !self.again {
            return Ok(None);
        }
        let ran = if ended.outcome.never_ran() && attempt.number == 0 {
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
