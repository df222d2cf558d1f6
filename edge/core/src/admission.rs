//! What a request waits for where it has limits: its place among them, and the pause before an attempt. Neither wait
//! outlasts its client.

use crate::core::Core;
use crate::inquiry::Inquiry;
use crate::limits::{Allowed, Entered, Held};
use crate::slot::{Line, Slot};
use crossbeam_channel::{bounded, Sender};
use foldmux::interface::Time;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long a request that pauses before an attempt may miss that its client left.
const PAUSE_PART: Duration = Duration::from_millis(5);
/// What one that waits may hear: of its place, and that its client left.
const WORDS: usize = 2;

/// Why a request was not admitted.
pub(crate) enum Turned {
    /// For how long to stay away (us).
    Away { wait: Time },
    /// Its client left: nothing is owed.
    Left,
}

/// What a request that waits for a place is told.
enum Word {
    Place,
    /// None will come.
    Refused,
    Left,
}

/// Wakes a request that waits for a place: its client left.
struct Waiting(Sender<Word>);

impl Line for Waiting {
    fn cut(&self) {
        let _ = self.0.try_send(Word::Left);
    }
}

/// A place among those of the request's limits, where there are any. Waits for one as long as the limits say, and gives
/// the wait up at once where the client leaves.
pub(crate) fn admit(
    core: &Core,
    inquiry: &Inquiry,
    slot: &Slot,
    deadline: Instant,
) -> Result<Option<Held>, Turned> {
    let Some(limiter) = core.limits.get() else {
        return Ok(None);
    };
    let (tell, told) = bounded(WORDS);
    let waiting = Arc::new(Waiting(tell.clone()));
    let tell = Box::new(move |has: bool| {
        let _ = tell.try_send(if has { Word::Place } else { Word::Refused });
    });
    match limiter.enter(*inquiry.class, &inquiry.caller, inquiry.front, tell) {
        Entered::Free => Ok(None),
        Entered::In(held) => Ok(Some(held)),
        Entered::Refused { wait } => Err(Turned::Away { wait }),
        Entered::Waits(mut held, age) => {
            // No attempt is out yet: only the client's leave can cut this.
            if !slot.hold(0, waiting) {
                return Err(Turned::Left);
            }
            let word = told.recv_deadline(deadline.min(Instant::now() + age));
            slot.release();
            match word {
                Ok(Word::Place) => {
                    held.admitted();
                    Ok(Some(held))
                }
                Ok(Word::Left) => Err(Turned::Left),
                Ok(Word::Refused) | Err(_) => Err(Turned::Away {
                    wait: held.advice(Time::MAX),
                }),
            }
        }
    }
}

/// Whether the attempt that the module wants is made, after the pause that the limits want before it.
pub(crate) fn allow(held: &mut Held, slot: &Slot, deadline: Instant) -> bool {
    match held.attempt() {
        Allowed::Now => true,
        Allowed::No => false,
        Allowed::After(pause) => {
            let end = Instant::now() + pause;
            if end >= deadline {
                return false;
            }
            // In parts, so that a client that leaves meanwhile is heard of.
            while !slot.left() && Instant::now() < end {
                thread::sleep(PAUSE_PART.min(end.saturating_duration_since(Instant::now())));
            }
            !slot.left() && held.in_window()
        }
    }
}
