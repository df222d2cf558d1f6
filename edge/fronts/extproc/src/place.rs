//! The one decision in a stream: where an attempt goes, asked of the ledger and the module, and what follows on one that
//! did not serve.

use crate::answers::{self, Final, Placement, Ran};
use crate::attempt::{Attempt, Sent};
use crate::front::Front;
use crate::keyed::{unix_ms, Grip};
use crate::mapping::{Asked, Unusable};
use crate::pb::{HttpHeaders, ProcessingResponse};
use foldmux::interface::{Outcome, RetrySafety, Time};
use foldmux_core::delegated::DelegatedRequest;
use foldmux_core::messages::DIRECTIVE_CAPACITY;
use foldmux_core::request::serving_budget;
use foldmux_core::ClientRequest;
use foldmux_idempotency::token::{KeyHash, Token};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// What the caller is told of a decision.
pub(crate) enum Decided {
    Placed(Box<Attempt>, ProcessingResponse),
    Unplaced(ProcessingResponse),
    Final(Final),
}

impl Front {
    /// Where a request goes, or why nowhere: asked of the ledger and the module, and written before it is told.
    pub(crate) async fn decide(
        self: &Arc<Front>,
        headers: &HttpHeaders,
        arrived: Instant,
        caller: &Arc<str>,
    ) -> Decided {
        let asked = match self
            .map
            .read(headers, |class| self.classes[class].name.to_string())
        {
            Ok(asked) => asked,
            Err(Unusable::Unmatched) if !self.strict => {
                self.count(&self.counts.unmatched);
                return Decided::Unplaced(answers::unplaced());
            }
            Err(Unusable::Unmatched) => return Decided::Final(Final::unmatched()),
            Err(Unusable::Client(why) | Unusable::Caller(why)) => {
                return Decided::Final(Final::unusable(why, Ran::Nothing))
            }
        };
        match self.place(asked, arrived, caller).await {
            Ok((attempt, response)) => Decided::Placed(Box::new(attempt), response),
            Err(last) => Decided::Final(last),
        }
    }

    #[expect(
        clippy::too_many_lines,
        reason = "one decision from the ask to what is told; to be split"
    )]
    async fn place(
        self: &Arc<Front>,
        asked: Asked,
        arrived: Instant,
        caller: &Arc<str>,
    ) -> Result<(Attempt, ProcessingResponse), Final> {
        let class = &self.classes[asked.class];
        let shown = match &asked.token {
            Some(text) => Some(
                self.keeper
                    .shown(text, self.remember)
                    .map_err(|no| self.no(no, Ran::Maybe))?,
            ),
            None => None,
        };
        // An attempt of the request was handed out before, and may have run.
        let ran = if shown.is_some() {
            Ran::Maybe
        } else {
            Ran::Nothing
        };
        let number = shown
            .as_ref()
            .map_or(0, |token| token.attempt.saturating_add(1));
        if number as u32 >= self.attempts {
            return Err(Final::given_up("all attempts are used", ran));
        }
        let mut grip = None;
        let mut key = None;
        if let RetrySafety::Keyed(_) = class.repeat {
            let told = asked
                .key
                .clone()
                .ok_or_else(|| Final::unusable("no idempotency key", Ran::Nothing))?;
            let mark = KeyHash::of(&format!("{}/{told}", class.name));
            grip = Some(
                self.keeper
                    .ask(mark, self.rule(class), shown.as_ref())
                    .map_err(|no| self.no(no, ran))?,
            );
            key = Some(told);
        }
        let within = grip.as_ref().and_then(Grip::within);
        let budget = asked.wait_ms.map_or(class.longest, |ms| {
            ms.saturating_mul(1_000).min(class.longest)
        });
        let kept = shown
            .as_ref()
            .and_then(|token| self.parked.take(token.request, token.attempt));
        if class.repeat == RetrySafety::NonIdempotent && shown.is_some() && kept.is_none() {
            // Only the module, which saw that nothing ran, allows another.
            return Err(Final::given_up(
                "an attempt may have run, and none may follow",
                Ran::Maybe,
            ));
        }
        let mut attempt = match kept {
            Some(kept) if kept.class == asked.class => Attempt {
                grip,
                number,
                ..kept
            },
            _ => {
                let limits = self.admit(*class.place, caller, ran).await?;
                let until = limits.as_ref().map(|limits| limits.deadline(arrived));
                let most =
                    until.map(|until| until.saturating_duration_since(arrived).as_micros() as Time);
                let budget = most.map_or(budget, |most| most.min(budget));
                let serial = self.serial.fetch_add(1, Ordering::Relaxed);
                let request = ClientRequest {
                    via_id: self.salt ^ serial,
                    class: class.place.clone(),
                    class_name: class.name.clone(),
                    object: asked.object,
                    part: asked.part,
                    group: asked.group,
                    size_kb: asked.size_kb,
                    token: None,
                    etag: None,
                    body: None,
                    arrived_at: arrived,
                    budget: serving_budget(Duration::from_micros(budget)),
                    front: "ext_proc",
                    caller: caller.clone(),
                    required_group: within,
                };
                let (sender, directives) = mpsc::channel(DIRECTIVE_CAPACITY);
                let full =
                    || Final::refused("no place for another request", ran, self.core.retry_after());
                let delegated = DelegatedRequest::start(
                    &self.core,
                    &request,
                    0,
                    Box::new(Sent(sender)),
                    2 * self.streams,
                )
                .ok_or_else(full)?;
                let request = KeyHash::of(&format!("{:016x}/{serial}", self.salt));
                let (class, holds) = (asked.class, asked.holds);
                Attempt {
                    delegated,
                    directives,
                    way: None,
                    grip,
                    request,
                    number,
                    text: String::new(),
                    class,
                    holds,
                    begun: false,
                    limits,
                    fill: None,
                    sent: arrived,
                }
            }
        };
        let until = (arrived + self.patience).min(attempt.delegated.deadline);
        self.allow(&mut attempt, until, ran).await?;
        loop {
            let kept = attempt.way.take().and_then(|mut way| {
                let is_current = attempt.delegated.refresh(&mut way);
                is_current.then_some(way)
            });
            let mut way = match kept {
                Some(way) => way,
                None => {
                    // A way that was kept and is no more: as one that was never sent, and the module chooses anew.
                    attempt.delegated.finish_attempt(Outcome::NeverSent, false);
                    self.next(&mut attempt, until, ran).await?
                }
            };
            let group = class.repeat.key_group(&way.cache.member);
            if within.is_some_and(|within| within != group) {
                // Chosen before it was known that an attempt may have run elsewhere.
                return Err(Final::given_up(
                    "no cache of the attempt's group may be asked",
                    Ran::Maybe,
                ));
            }
            if let Some(limits) = &attempt.limits {
                limits.tighten(&mut way.fetch);
                let fill = limits.acquire_fill(&way.fetch).ok_or_else(|| {
                    Final::refused("too many fills there", ran, limits.max_retry_after())
                })?;
                attempt.fill = Some(fill);
            }
            let good_until = unix_ms() + self.good_for.as_millis() as u64;
            let (text, good_until) = match &mut attempt.grip {
                Some(grip) => {
                    let (token, text) = grip
                        .hand(attempt.request, group)
                        .await
                        .map_err(|no| self.no(no, ran))?;
                    // The ledger counts a key's attempts, also those whose tokens were not shown: a way that is kept for
                    // the next one is found by the number that is in the token.
                    attempt.number = token.attempt;
                    (text, good_until.min(token.expires))
                }
                None => {
                    let token = Token {
                        request: attempt.request,
                        key: KeyHash([0; 16]),
                        attempt: attempt.number,
                        group,
                        first: unix_ms(),
                        expires: good_until,
                    };
                    (self.keeper.sign(&token), good_until)
                }
            };
            // The disk took its time: the list may have changed in it, and purges may have been told.
            if !attempt.delegated.refresh(&mut way) {
                attempt.delegated.finish_attempt(Outcome::NeverSent, false);
                attempt.way = Some(self.next(&mut attempt, until, ran).await?);
                continue;
            }
            let left = attempt
                .delegated
                .deadline
                .saturating_duration_since(Instant::now())
                .as_millis() as u64;
            if left == 0 {
                return Err(Final::given_up("its time is over", ran));
            }
            (attempt.text, attempt.sent) = (text, Instant::now());
            let via = self.salt ^ self.serial.fetch_add(1, Ordering::Relaxed);
            let response = answers::placed(&Placement {
                way: &way,
                token: &attempt.text,
                via,
                wait_ms: left,
                key: key.as_deref(),
                good_until,
                path: asked.path.as_deref(),
            });
            self.count(&self.counts.placed);
            return Ok((attempt, response));
        }
    }
}
