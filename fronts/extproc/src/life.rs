//! The life of one stream, from its first message to its end, in one function; and the one decision in it.
//!
//! Whatever is held stands in local values whose drops give it back: a stream that its caller cancels is dropped where
//! it waits, and ends like any other.

use crate::answers::{self, Final, Placement, Ran};
use crate::exchange::{Exchange, Heard};
use crate::keyed::{unix_ms, Grip, Keeper, No};
use crate::mapping::{self, Asked, Map, Unusable};
use crate::outcome::{judge, Ended};
use crate::parked::Parked;
use crate::pb::{HttpHeaders, Kind, ProcessingRequest, ProcessingResponse};
use foldmux::interface::{Outcome, Repeat, Time};
use foldmux_core::clock::span;
use foldmux_core::desk::{Order, Orders, ORDERS};
use foldmux_core::lent::{Lent, Told, Way};
use foldmux_core::limits::{Allowed, Entered, Fill, Held};
use foldmux_core::tally::End;
use foldmux_core::{Core, Inquiry};
use foldmux_repeats::ledger::{End as Word, Refusal, Rule};
use foldmux_repeats::token::{Mark, Token};
use std::collections::HashMap;
use std::future::Future;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout, timeout_at};
use tokio_stream::Stream;
use tonic::{Code, Status};

/// Taken off what a client says it waits (us): the request's way here and the answer's way back.
const WAYS: Time = 30_000;
/// Longest wait for the module's next word after an attempt failed: it is told at once, or never.
const NEXT: Duration = Duration::from_millis(50);

/// A class as it is served here.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: Arc<str>,
    /// Its place among the module's classes, held as long as this front is.
    pub place: Arc<usize>,
    pub repeat: Repeat,
    /// For keyed classes: how long the archive drops a repeat (us).
    pub window: Time,
    /// The longest that a client waits for one (us).
    pub longest: Time,
}

/// What was counted, for the log.
#[derive(Debug, Default)]
pub struct Counts {
    pub placed: AtomicU64,
    pub refused: AtomicU64,
    pub given_up: AtomicU64,
    pub unusable: AtomicU64,
    pub unmatched: AtomicU64,
    pub again: AtomicU64,
    pub faults: AtomicU64,
    pub observed: AtomicU64,
}

pub struct Front {
    pub core: Arc<Core>,
    pub classes: Vec<Class>,
    pub map: Map,
    pub keeper: Arc<Keeper>,
    pub parked: Parked,
    /// This proxy in `Proxy-Status`.
    pub name: String,
    /// How long a decision may take; when the caller is asked for longer; how long a placement may be sent; how long a
    /// stream may be silent.
    pub patience: Duration,
    pub slow_after: Duration,
    pub good_for: Duration,
    pub idle: Duration,
    pub again: bool,
    pub strict: bool,
    /// How long after its last attempt a key's repeat may come (ms).
    pub remember: u64,
    pub attempts: u32,
    /// Streams at once; those beyond are answered 429, and those beyond twice as many not at all.
    pub streams: usize,
    pub open: AtomicUsize,
    /// What makes this process's ids unlike another's.
    pub salt: u64,
    pub serial: AtomicU64,
    pub counts: Counts,
}

/// One of the streams that are open.
struct Open(Arc<Front>, usize);

impl Open {
    fn take(front: &Arc<Front>) -> Open {
        let before = front.open.fetch_add(1, Ordering::SeqCst);
        Open(front.clone(), before)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Orders of the desk, which never waits, for a task that does.
struct Sent(mpsc::Sender<Order>);

impl Orders for Sent {
    fn order(&self, order: Order) {
        let _ = self.0.try_send(order);
    }
}

/// One attempt that the caller makes, or is about to make.
pub struct Attempt {
    lent: Lent,
    orders: mpsc::Receiver<Order>,
    /// Chosen already, where the module did so when the attempt before failed.
    way: Option<Box<Way>>,
    grip: Option<Grip>,
    request: Mark,
    number: u8,
    text: String,
    class: usize,
    holds: bool,
    /// Its response has begun, and went on to the client.
    begun: bool,
    /// The limits of its class and route, with its place among theirs; and what it fills at a source.
    limits: Option<Held>,
    fill: Option<Fill>,
    sent: Instant,
}

impl Attempt {
    fn told(&mut self) {
        self.lent.told();
        self.grip.iter_mut().for_each(Grip::told);
    }

    /// What is known of the attempt's end, to the module and to the ledger.
    fn end(&mut self, ended: Ended, last: bool) {
        self.lent.end(ended.outcome, last);
        self.fill = None;
        let (served, never_ran) = (ended.outcome == Outcome::Served, ended.outcome.never_ran());
        self.limits.iter_mut().for_each(|held| held.heard(self.sent, served, never_ran));
        if let Some(mut grip) = self.grip.take() {
            if ended.over {
                grip.end(if ended.outcome.never_ran() { Word::NeverRan } else { Word::MayHaveRun });
            }
        }
    }
}

/// What the caller is told of a decision.
enum Decided {
    Placed(Box<Attempt>, ProcessingResponse),
    Unplaced(ProcessingResponse),
    Final(Final),
}

impl Front {
    fn count(&self, count: &AtomicU64) {
        count.fetch_add(1, Ordering::Relaxed);
    }

    fn finally(&self, last: &Final) -> ProcessingResponse {
        let (count, end) = match last.status {
            400 => (&self.counts.unusable, End::Unusable),
            404 => (&self.counts.unmatched, End::Unusable),
            504 => (&self.counts.given_up, End::Failed),
            _ => (&self.counts.refused, End::Refused),
        };
        self.count(count);
        self.core.tally.end(None, end);
        last.answer(&self.name)
    }

    /// Where a request goes, or why nowhere: asked of the ledger and the module, and written before it is told.
    async fn decide(
        self: &Arc<Front>,
        headers: &HttpHeaders,
        arrived: Instant,
        caller: &Arc<str>,
    ) -> Decided {
        let asked = match self.map.read(headers, |class| self.classes[class].name.to_string()) {
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

    fn no(&self, no: No, ran: Ran) -> Final {
        let wait = match &no {
            No::Ledger(Refusal::Running { until }) => {
                until.saturating_sub(unix_ms()).saturating_mul(1_000).max(1)
            }
            _ => self.core.shed_wait,
        };
        let why = no.to_string();
        match no {
            No::Token(_) | No::Ledger(Refusal::OtherKey) => Final::unusable(&why, Ran::Maybe),
            No::Ledger(
                Refusal::WindowOver | Refusal::Unread | Refusal::TooMany | Refusal::Torn | Refusal::Replayed,
            ) => Final::given_up(&why, Ran::Maybe),
            No::Ledger(Refusal::Running { .. }) => Final::refused(&why, Ran::Maybe, wait),
            No::Ledger(Refusal::Deciding | Refusal::Full) | No::Store(_) | No::NotLoaded => {
                Final::refused(&why, ran, wait)
            }
        }
    }

    async fn place(
        self: &Arc<Front>,
        asked: Asked,
        arrived: Instant,
        caller: &Arc<str>,
    ) -> Result<(Attempt, ProcessingResponse), Final> {
        let class = &self.classes[asked.class];
        let shown = match &asked.token {
            Some(text) => Some(self.keeper.shown(text, self.remember).map_err(|no| self.no(no, Ran::Maybe))?),
            None => None,
        };
        // An attempt of the request was handed out before, and may have run.
        let ran = if shown.is_some() { Ran::Maybe } else { Ran::Nothing };
        let number = shown.as_ref().map_or(0, |token| token.attempt.saturating_add(1));
        if number as u32 >= self.attempts {
            return Err(Final::given_up("all attempts are used", ran));
        }
        let mut grip = None;
        let mut key = None;
        if let Repeat::Keyed(_) = class.repeat {
            let told =
                asked.key.clone().ok_or_else(|| Final::unusable("no idempotency key", Ran::Nothing))?;
            let mark = Mark::of(&format!("{}/{told}", class.name));
            grip =
                Some(self.keeper.ask(mark, self.rule(class), shown.as_ref()).map_err(|no| self.no(no, ran))?);
            key = Some(told);
        }
        let within = grip.as_ref().and_then(Grip::within);
        let budget = asked.wait_ms.map_or(class.longest, |ms| ms.saturating_mul(1_000).min(class.longest));
        let kept = shown.as_ref().and_then(|token| self.parked.take(token.request, token.attempt));
        if class.repeat == Repeat::SingleShot && shown.is_some() && kept.is_none() {
            // Only the module, which saw that nothing ran, allows another.
            return Err(Final::given_up("an attempt may have run, and none may follow", Ran::Maybe));
        }
        let mut attempt = match kept {
            Some(kept) if kept.class == asked.class => Attempt { grip, number, ..kept },
            _ => {
                let limits = self.admit(*class.place, caller, ran).await?;
                let until = limits.as_ref().map(|held| held.deadline(arrived));
                let most = until.map(|until| until.saturating_duration_since(arrived).as_micros() as Time);
                let budget = most.map_or(budget, |most| most.min(budget));
                let serial = self.serial.fetch_add(1, Ordering::Relaxed);
                let inquiry = Inquiry {
                    via: self.salt ^ serial,
                    class: class.place.clone(),
                    class_name: class.name.clone(),
                    object: asked.object,
                    part: asked.part,
                    group: asked.group,
                    size_kb: asked.size_kb,
                    token: None,
                    got: None,
                    body: None,
                    arrived,
                    budget: budget.saturating_sub(WAYS).max(1),
                    front: "ext_proc",
                    caller: caller.clone(),
                    within,
                };
                let (sender, orders) = mpsc::channel(ORDERS);
                let full = || Final::refused("no place for another request", ran, self.core.shed_wait);
                let lent = Lent::ask(&self.core, &inquiry, 0, Box::new(Sent(sender)), 2 * self.streams)
                    .ok_or_else(full)?;
                let request = Mark::of(&format!("{:016x}/{serial}", self.salt));
                let (class, holds) = (asked.class, asked.holds);
                Attempt {
                    lent,
                    orders,
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
        let until = (arrived + self.patience).min(attempt.lent.deadline);
        self.allow(&mut attempt, until, ran).await?;
        loop {
            let mut way = match attempt.way.take().filter(|way| attempt.lent.open(way)) {
                Some(way) => way,
                None => {
                    // A way that was kept and is no more: as one that was never sent, and the module chooses anew.
                    attempt.lent.end(Outcome::NeverSent, false);
                    self.next(&mut attempt, until, ran).await?
                }
            };
            let group = class.repeat.group_of(&way.cache.member);
            if within.is_some_and(|within| within != group) {
                // Chosen before it was known that an attempt may have run elsewhere.
                return Err(Final::given_up("no cache of the attempt's group may be asked", Ran::Maybe));
            }
            if let Some(held) = &attempt.limits {
                held.narrow(&mut way.fetch);
                let fill = held
                    .fill(&way.fetch)
                    .ok_or_else(|| Final::refused("too many fills there", ran, held.advice(Time::MAX)))?;
                attempt.fill = Some(fill);
            }
            let good_until = unix_ms() + self.good_for.as_millis() as u64;
            let (text, good_until) = match &mut attempt.grip {
                Some(grip) => {
                    let (token, text) =
                        grip.hand(attempt.request, group).await.map_err(|no| self.no(no, ran))?;
                    // The ledger counts a key's attempts, also those whose tokens were not shown: a way that is kept for
                    // the next one is found by the number that is in the token.
                    attempt.number = token.attempt;
                    (text, good_until.min(token.expires))
                }
                None => {
                    let token = Token {
                        request: attempt.request,
                        key: Mark([0; 16]),
                        attempt: attempt.number,
                        group,
                        first: unix_ms(),
                        expires: good_until,
                    };
                    (self.keeper.sign(&token), good_until)
                }
            };
            // The disk took its time, and the list may have changed in it.
            if !attempt.lent.open(&way) {
                attempt.lent.end(Outcome::NeverSent, false);
                attempt.way = Some(self.next(&mut attempt, until, ran).await?);
                continue;
            }
            let left = attempt.lent.deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
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

    /// A place among those of the limits that hold for the request, where there are any.
    async fn admit(&self, class: usize, caller: &str, ran: Ran) -> Result<Option<Held>, Final> {
        let Some(limiter) = self.core.limits.get() else { return Ok(None) };
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
                _ => Err(Final::refused("its class had no place in time", ran, held.advice(Time::MAX))),
            },
        }
    }

    /// Whether the limits allow the attempt, after the pause that they want before it.
    async fn allow(&self, attempt: &mut Attempt, until: Instant, ran: Ran) -> Result<(), Final> {
        let Some(held) = &mut attempt.limits else { return Ok(()) };
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
            true => Err(Final::refused("its limits allow no other attempt", ran, held.advice(Time::MAX))),
            false => Err(Final::given_up("its limits allow no other attempt", Ran::Maybe)),
        }
    }

    fn rule(&self, class: &Class) -> Rule {
        Rule {
            window: class.window / 1_000,
            attempts: self.attempts.min(u8::MAX as u32) as u8,
            good_for: self.good_for.as_millis() as u64,
            runs_for: class.longest.div_ceil(1_000),
            remember: self.remember,
        }
    }

    /// The module's next way, or its final word.
    async fn next(&self, attempt: &mut Attempt, until: Instant, ran: Ran) -> Result<Box<Way>, Final> {
        loop {
            let order = timeout_at(until.into(), attempt.orders.recv()).await;
            let Ok(Some(order)) = order else { return Err(Final::given_up("no decision in time", ran)) };
            match attempt.lent.take(order) {
                Told::Go(way) => return Ok(way),
                Told::Wait => {}
                Told::Refused { wait } => return Err(Final::refused("refused for now", ran, wait)),
                Told::Failed | Told::Over => return Err(Final::given_up("no server may be asked", ran)),
            }
        }
    }

    /// After an attempt that did not serve: another for the caller to make, or the final answer in place of this one.
    /// None: the response goes on as it is.
    async fn after(
        self: &Arc<Front>,
        mut attempt: Box<Attempt>,
        ended: Ended,
    ) -> Result<Option<String>, Final> {
        // It may be running still, and no other attempt of its key may be made until its time is over: said at once,
        // and not by a refusal of the caller's next try.
        let waits = attempt.grip.as_ref().filter(|_| !ended.over).map(Grip::quiet_in);
        attempt.end(ended, !self.again || waits.is_some());
        if let Some(wait) = waits {
            return Err(Final::refused("an attempt may be running", Ran::Maybe, wait.saturating_mul(1_000)));
        }
        if !self.again {
            return Ok(None);
        }
        let ran = if ended.outcome.never_ran() && attempt.number == 0 { Ran::Nothing } else { Ran::Maybe };
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

/// The caller's `response.code_details`, where it sends attributes.
fn details(attributes: &HashMap<String, crate::pb::Struct>) -> Option<&str> {
    attributes.values().find_map(|all| match &all.fields.get("response.code_details")?.kind {
        Some(Kind::StringValue(text)) => Some(text.as_str()),
        _ => None,
    })
}

/// What comes in on a stream.
pub trait Messages: Send + 'static {
    fn next(&mut self) -> impl Future<Output = Result<Option<ProcessingRequest>, Status>> + Send;
}

impl Messages for tonic::Streaming<ProcessingRequest> {
    async fn next(&mut self) -> Result<Option<ProcessingRequest>, Status> {
        self.message().await
    }
}

/// One stream: its messages heard in their order, each answered before the next is read.
pub fn stream(
    front: Arc<Front>,
    mut messages: impl Messages,
    caller: Arc<str>,
) -> impl Stream<Item = Result<ProcessingResponse, Status>> + Send + 'static {
    async_stream::stream! {
        let open = Open::take(&front);
        if open.1 >= 2 * front.streams {
            yield Err(Status::resource_exhausted("too many streams"));
            return;
        }
        let mut exchange = Exchange::default();
        let mut attempt: Option<Box<Attempt>> = None;
        loop {
            let message = match timeout(front.idle, messages.next()).await {
                Ok(Ok(Some(message))) => message,
                // The caller has ended the stream in its order: a response that had begun is through.
                Ok(Ok(None)) => {
                    if let Some(mut attempt) = attempt.take().filter(|a| a.begun) {
                        served(&front, &mut attempt);
                    }
                    return;
                }
                // Reset, or no message of this protocol: whatever is out is dropped, and may have run.
                Ok(Err(status)) => {
                    yield Err(status);
                    return;
                }
                Err(_) => {
                    yield Err(Status::deadline_exceeded("nothing came for too long"));
                    return;
                }
            };
            let arrived = Instant::now();
            let outer = details(&message.attributes).map(str::to_string);
            let heard = match exchange.hear(message) {
                Ok(heard) => heard,
                Err(fault) => {
                    front.count(&front.counts.faults);
                    yield Err(Status::new(Code::InvalidArgument, fault.to_string()));
                    return;
                }
            };
            if exchange.observed() {
                // The caller sends its request on without an answer: there is nothing to place.
                front.count(&front.counts.observed);
                continue;
            }
            match heard {
                Heard::RequestHeaders(_) if open.1 >= front.streams => {
                    let last = Final::too_many("too many streams", front.core.shed_wait);
                    yield Ok(front.finally(&last));
                    return;
                }
                Heard::RequestHeaders(headers) => {
                    let mut deciding = Box::pin(front.decide(&headers, arrived, &caller));
                    let mut decided = tokio::select! {
                        biased;
                        decided = &mut deciding => Some(decided),
                        () = sleep(front.slow_after) => None,
                    };
                    if decided.is_none() {
                        yield Ok(answers::longer(front.patience.as_millis() as u64));
                        decided = Some(deciding.await);
                    }
                    match decided {
                        Some(Decided::Placed(mut placed, response)) => {
                            placed.told();
                            attempt = Some(placed);
                            yield Ok(response);
                        }
                        Some(Decided::Unplaced(response)) => yield Ok(response),
                        Some(Decided::Final(last)) => {
                            yield Ok(front.finally(&last));
                            return;
                        }
                        None => return,
                    }
                }
                Heard::RequestBody => yield Ok(answers::request_body()),
                Heard::RequestTrailers => yield Ok(answers::request_trailers()),
                Heard::ResponseHeaders(headers) => {
                    let Some(mut held) = attempt.take() else {
                        yield Ok(answers::response(None));
                        continue;
                    };
                    let status = mapping::field(&headers, ":status").and_then(|s| std::str::from_utf8(s).ok()?.parse().ok());
                    let untouched = mapping::field(&headers, "srv-untouched") == Some(b"1");
                    let inner = details(&headers.attributes).map(str::to_string);
                    let ended = judge(status.unwrap_or(0), untouched, inner.or(outer).as_deref(), held.holds);
                    if ended.outcome == Outcome::Served {
                        held.begun = true;
                        // It ran: the ledger need not wait for its last byte.
                        held.grip.take().iter_mut().for_each(|grip| grip.end(Word::MayHaveRun));
                        if headers.end_of_stream {
                            served(&front, &mut held);
                        } else {
                            attempt = Some(held);
                        }
                        yield Ok(answers::response(None));
                        continue;
                    }
                    match front.after(held, ended).await {
                        Ok(again) => yield Ok(answers::response(again.as_deref())),
                        Err(last) => {
                            yield Ok(front.finally(&last));
                            return;
                        }
                    }
                }
                Heard::ResponseBody { whole } => {
                    if let Some(mut attempt) = attempt.take_if(|_| whole) {
                        served(&front, &mut attempt);
                    }
                    yield Ok(answers::response_body());
                }
                Heard::ResponseTrailers => {
                    if let Some(mut attempt) = attempt.take() {
                        served(&front, &mut attempt);
                    }
                    yield Ok(answers::response_trailers());
                }
            }
        }
    }
}

fn served(front: &Front, attempt: &mut Attempt) {
    attempt.end(Ended { outcome: Outcome::Served, over: true }, true);
    front.core.tally.end(None, End::Served);
}

/// A span of the module's from one of the operator's.
pub fn us(ms: u64) -> Duration {
    span(ms.saturating_mul(1_000))
}
