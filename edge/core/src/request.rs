//! The life of one request, from its ask to its one answer, in one function on a thread of its own.

use crate::admission::{admit, allow, Turned};
use crate::attempt::{Attempt, Got};
use crate::clock::span;
use crate::core::Core;
use crate::cover::{self, Hold, Intended};
use crate::history::History;
pub use crate::inquiry::Inquiry;
use crate::inquiry::{ask, left, Answer, Reply, Served};
use crate::limits::Held;
use crate::orders::{Notice, Order, Target, ORDERS};
use crate::reasons::Reason;
pub use crate::slot::Slot;
use crate::tally::End;
use crate::turn;
use crossbeam_channel::bounded;
use foldmux::interface::*;
use std::sync::Arc;
use std::time::Instant;

/// Beyond the client's deadline a request without orders answers by itself (us): the module's own look at
/// what is overdue comes first.
const UNORDERED: Time = 30_000;

/// The end of a request at the desk, however its function ends.
struct Ended<'a>(&'a Core, RequestId);

impl Drop for Ended<'_> {
    fn drop(&mut self) {
        self.0.desk.tell(Notice::Ended(self.1));
    }
}

/// An attempt that the module counts as out until it hears of its end: whatever becomes of the request's function, it
/// does. Guards against a server that seems to work for ever on what a panic ended.
struct Out<'a> {
    core: &'a Core,
    id: RequestId,
    target: Target,
    /// How it ended, where its drop is the first to tell.
    unless_told: Option<Outcome>,
}

impl<'a> Out<'a> {
    fn new(core: &'a Core, id: RequestId, target: Target) -> Out<'a> {
        Out {
            core,
            id,
            target,
            unless_told: Some(Outcome::NeverSent),
        }
    }

    /// From here on it may have run.
    fn begins(&mut self) {
        self.unless_told = Some(Outcome::Cancelled);
    }

    fn ended(mut self, outcome: Outcome, last: bool) {
        self.unless_told = None;
        self.core.report(self.id, &self.target, outcome, last);
    }
}

impl Drop for Out<'_> {
    fn drop(&mut self) {
        if let Some(outcome) = self.unless_told {
            self.core.report(self.id, &self.target, outcome, true);
        }
    }
}

/// What became of a request.
pub(crate) enum Came {
    Answer(End, Answer),
    /// The client left: nothing is owed.
    Over,
    /// Another process owns it by now.
    Lost,
}

/// A request, from its ask to its answer; covered or not.
pub(crate) fn serve(core: &Core, inquiry: Inquiry, slot: &Arc<Slot>, reply: Box<dyn Reply>) {
    if let Some(cover) = core.cover.get() {
        return cover::serve(core, &**cover, inquiry, slot, reply);
    }
    let mut history = History::default();
    if let Came::Answer(end, answer) = run(core, &inquiry, slot, None, &mut history) {
        core.count_end(&inquiry, end, &history);
        reply.answer(answer);
    }
}

/// The one place where a request lives: admitted, asked, attempted, reported, repeated.
pub(crate) fn run(
    core: &Core,
    inquiry: &Inquiry,
    slot: &Arc<Slot>,
    hold: Option<&dyn Hold>,
    history: &mut History,
) -> Came {
    let shed = |reason, wait| Came::Answer(End::Shed(reason), Answer::Shed { wait });
    let Some(mut bytes) = core.buffers.lease() else {
        return shed(Reason::NoBuffer, core.refusal_wait());
    };
    let mut deadline = inquiry.arrived + span(inquiry.budget);
    let mut limits = match admit(core, inquiry, slot, deadline) {
        Ok(limits) => limits,
        Err(Turned::Away { wait }) => return shed(Reason::Limits, wait),
        Err(Turned::Left) => return Came::Over,
    };
    limits
        .iter()
        .for_each(|held| deadline = deadline.min(held.deadline(inquiry.arrived)));
    let (sender, orders) = bounded(ORDERS);
    let _ended = Ended(core, slot.id);
    let asked = Ask {
        budget: left(deadline),
        ..ask(inquiry, slot.id, 0)
    };
    core.desk.tell(Notice::Ask {
        ask: asked,
        slot: slot.clone(),
        orders: Box::new(sender),
    });
    // Whether an attempt may have run.
    let mut ran = false;
    let (end, answer) = loop {
        match orders.recv_deadline(deadline + span(UNORDERED)) {
            Ok(Order::Fetch(mut fetch, target)) => {
                let mut out = Out::new(core, slot.id, target);
                let allowed = limits
                    .as_mut()
                    .is_none_or(|held| allow(held, slot, deadline));
                let fill = limits.as_ref().map(|held| held.fill(&fetch));
                if !allowed || matches!(fill, Some(None)) {
                    // The limits end it here: the module hears that nothing was sent, and no more is asked of it.
                    out.ended(Outcome::NeverSent, true);
                    if slot.left() {
                        return Came::Over;
                    }
                    break limited(core, limits.as_ref());
                }
                let (place, deadline) =
                    match turn::take(core, inquiry, &fetch, &target, slot, deadline) {
                        Ok(turn) => turn,
                        Err(wait) => {
                            out.ended(Outcome::NeverSent, true);
                            if slot.left() {
                                return Came::Over;
                            }
                            break turned_away(limits.as_ref(), ran, wait);
                        }
                    };
                match hold.map_or(Intended::Yes, |hold| intend(core, hold, &fetch)) {
                    Intended::Yes => {}
                    Intended::No => {
                        out.ended(Outcome::NeverSent, false);
                        continue;
                    }
                    Intended::Lost => {
                        out.ended(Outcome::NeverSent, true);
                        return Came::Lost;
                    }
                }
                limits.iter().for_each(|held| held.narrow(&mut fetch));
                let began = Instant::now();
                out.begins();
                let attempt = Attempt {
                    inquiry,
                    slot,
                    fetch: &fetch,
                    target: &target,
                    deadline,
                    guard: hold,
                };
                let (outcome, got) = core.upstream.attempt(&attempt, &mut bytes);
                core.tally.sent(&inquiry.class_name, outcome);
                drop((fill, place));
                hold.iter().for_each(|hold| hold.ended(outcome));
                ran |= !outcome.never_ran();
                limits
                    .iter_mut()
                    .for_each(|held| held.heard(began, got.is_some(), outcome.never_ran()));
                let last = got.is_some() || slot.left();
                out.ended(outcome, last);
                match got {
                    Some(Got::Body(body)) => {
                        break (End::Served, Answer::Served(Served { bytes, body }))
                    }
                    Some(Got::Same) => break (End::Same, Answer::Same),
                    None => history.add(fetch.cache, outcome),
                }
            }
            Ok(Order::Refuse { wait }) => {
                let wait = limits.as_ref().map_or(wait, |held| held.advice(wait));
                break (End::Refused(Reason::Module), Answer::Shed { wait });
            }
            Ok(Order::Over) => return Came::Over,
            Ok(Order::Fail) => break (End::Failed(Reason::Module), Answer::Failed),
            Err(_) => break (End::Failed(Reason::NoDecision), Answer::Failed),
        }
    };
    Came::Answer(end, answer)
}

/// The record says where the attempt goes before a byte of it leaves.
fn intend(core: &Core, hold: &dyn Hold, fetch: &Fetch) -> Intended {
    core.members
        .get(fetch.cache)
        .map_or(Intended::No, |listed| hold.intend(&listed.member))
}

/// The final answer where the limits allow no more: refused where trying again is harmless, else failed.
fn limited(core: &Core, limits: Option<&Held>) -> (End, Answer) {
    match limits.is_none_or(Held::harmless) {
        true => {
            let wait = limits.map_or(core.refusal_wait(), |held| held.advice(core.refusal_wait()));
            (End::Refused(Reason::Limits), Answer::Shed { wait })
        }
        false => (End::Failed(Reason::Limits), Answer::Failed),
    }
}

/// The final answer where its turn did not come in time: refused where trying again is harmless, else failed.
fn turned_away(limits: Option<&Held>, ran: bool, wait: Time) -> (End, Answer) {
    match !ran || limits.is_some_and(Held::harmless) {
        true => {
            let wait = limits.map_or(wait, |held| held.advice(wait));
            (End::Refused(Reason::Turn), Answer::Shed { wait })
        }
        false => (End::Failed(Reason::Turn), Answer::Failed),
    }
}
