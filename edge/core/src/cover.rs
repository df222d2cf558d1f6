//! Requests that another process takes over when this one is lost: what the core asks of whoever keeps the record, and how a
//! covered request goes. Unset, nothing of it is touched but one look whether it is.

use crate::buffers::Lease;
use crate::clock::span;
use crate::core::Core;
use crate::history::History;
use crate::inquiry::{Answer, Inquiry, Reply, Served};
use crate::reasons::Reason;
use crate::request::{run, Came};
use crate::slot::Slot;
use crate::tally::End;
use foldmux::interface::{Member, Outcome, Time};
use std::sync::Arc;
use std::time::Instant;

/// Before an answer that was kept, a front puts its own head into the same buffer.
const ROOM: usize = 256;

/// Keeps the records of covered requests.
pub trait Cover: Send + Sync {
    /// Whose the request is; waits for that, to its deadline at the most. `again`: it was lost to another owner.
    fn claim(&self, inquiry: &Inquiry, deadline: Instant, again: bool) -> Claimed;
}

pub enum Claimed {
    /// It runs as if there were no cover.
    Uncovered,
    Mine(Box<dyn Hold>),
    Kept(Final),
    Refused {
        wait: Time,
    },
    Failed,
}

/// The one answer of a request, as it is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Final {
    Served(Arc<[u8]>),
    Same,
    Failed,
}

/// Whether an attempt may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intended {
    Yes,
    /// Not this one; another may be.
    No,
    /// The request is another's by now.
    Lost,
}

/// A request that is this process's. Dropped with no answer kept, it is let go.
pub trait Hold: Send + Sync {
    /// Something may have run: only this group of caches may be asked.
    fn within(&self) -> Option<u32>;
    /// Writes down that an attempt goes to this member; waits until that is kept.
    fn intend(&self, member: &Member) -> Intended;
    /// Right before the bytes leave.
    fn may_send(&self) -> bool;
    /// Sent with the attempt, where the receiver understands it: it refuses a lesser one of the same key.
    fn term(&self) -> Option<u64>;
    fn ended(&self, outcome: Outcome);
    /// Whether something may have run, here or before.
    fn may_have_run(&self) -> bool;
    /// Keeps the answer; false where it is not known to be kept: then nobody may be given it.
    fn done(&self, answer: Final) -> bool;
    /// Its client was told to come again: nobody need go on.
    fn over(&self);
}

/// A covered request from its claim to its answer.
pub(crate) fn serve(
    core: &Core,
    cover: &dyn Cover,
    mut inquiry: Inquiry,
    slot: &Arc<Slot>,
    reply: Box<dyn Reply>,
) {
    let deadline = inquiry.arrived + span(inquiry.budget);
    let mut again = false;
    let mut history = History::default();
    loop {
        let (end, answer) = match cover.claim(&inquiry, deadline, again) {
            Claimed::Uncovered => match run(core, &inquiry, slot, None, &mut history) {
                Came::Answer(end, answer) => (end, answer),
                Came::Over | Came::Lost => return,
            },
            Claimed::Mine(hold) => {
                inquiry.within = hold.within();
                match own(core, &inquiry, slot, &*hold, &mut history) {
                    Some(Came::Answer(end, answer)) => (end, answer),
                    Some(Came::Over) => return,
                    Some(Came::Lost) | None => {
                        // Another goes on with it, and this client waits for that one's answer.
                        again = true;
                        continue;
                    }
                }
            }
            Claimed::Kept(kept) => give(core, &inquiry, kept),
            Claimed::Refused { wait } => (End::Shed(Reason::Replicas), Answer::Shed { wait }),
            Claimed::Failed => (End::Failed(Reason::Replicas), Answer::Failed),
        };
        core.count_end(&inquiry, end, &history);
        return reply.answer(answer);
    }
}

/// A request that was taken over, with no client of its own: its answer is kept, and given to nobody here.
pub(crate) fn finish(core: &Core, inquiry: Inquiry, slot: &Arc<Slot>, hold: &dyn Hold) {
    own(core, &inquiry, slot, hold, &mut History::default());
}

/// Runs what this process owns, and keeps its answer before anybody is given it. None: it could not be kept.
fn own(
    core: &Core,
    inquiry: &Inquiry,
    slot: &Arc<Slot>,
    hold: &dyn Hold,
    history: &mut History,
) -> Option<Came> {
    let came = run(core, inquiry, slot, Some(hold), history);
    let Came::Answer(end, answer) = &came else {
        return Some(came);
    };
    let kept = match answer {
        Answer::Served(served) => Final::Served(served.bytes[served.body.clone()].into()),
        Answer::Same => Final::Same,
        Answer::Shed { .. } | Answer::Failed if !hold.may_have_run() => {
            // Nothing of it ran: whoever comes again begins anew.
            hold.over();
            return Some(came);
        }
        Answer::Shed { .. } | Answer::Failed => Final::Failed,
    };
    let failed = kept == Final::Failed;
    match hold.done(kept) {
        true if failed => {
            let reason = end.reason().unwrap_or(Reason::Replicas);
            Some(Came::Answer(End::Failed(reason), Answer::Failed))
        }
        true => Some(came),
        false => None,
    }
}

fn give(core: &Core, inquiry: &Inquiry, kept: Final) -> (End, Answer) {
    let bytes = match kept {
        Final::Served(bytes) => bytes,
        Final::Same if inquiry.got.is_some() => return (End::Same, Answer::Same),
        // Kept for a client that held a copy, and this one holds none.
        Final::Same | Final::Failed => return (End::Failed(Reason::Replicas), Answer::Failed),
    };
    let buffer: Option<Lease> = core.buffers.lease();
    match buffer {
        Some(mut buffer) if ROOM + bytes.len() <= buffer.len() => {
            buffer[ROOM..ROOM + bytes.len()].copy_from_slice(&bytes);
            let body = ROOM..ROOM + bytes.len();
            (
                End::Served,
                Answer::Served(Served {
                    bytes: buffer,
                    body,
                }),
            )
        }
        _ => (
            End::Shed(Reason::NoBuffer),
            Answer::Shed {
                wait: core.refusal_wait(),
            },
        ),
    }
}
