//! In front of an attempt that the module chose: whose turn it is. Unset, no attempt waits and nothing is looked at.

use crate::core::Core;
use crate::inquiry::Inquiry;
use crate::orders::Target;
use crate::slot::Slot;
use foldmux::interface::{Fetch, Time};
use std::time::Instant;

/// An attempt that would go now.
pub struct Wanted<'a> {
    pub inquiry: &'a Inquiry,
    pub fetch: &'a Fetch,
    pub slot: &'a Slot,
    /// The attempt's number: a repeat has one above 0.
    pub attempt: u8,
    pub deadline: Instant,
}

/// Decides order and places in front of attempts. It waits on the request's own thread, never on the desk's.
pub trait Turn: Send + Sync {
    /// A place for the attempt, none where no pool bounds it; or for how long to stay away (us).
    fn turn(&self, wanted: &Wanted) -> Result<Option<Box<dyn Place>>, Time>;
}

/// One place of a pool; dropped, it comes back, charged by the time for which it was held.
pub trait Place: Send {
    /// What is attempted under it ends by then.
    fn until(&self) -> Instant;
}

/// The attempt's place and its end, where there are pools.
pub(crate) fn take(
    core: &Core,
    inquiry: &Inquiry,
    fetch: &Fetch,
    target: &Target,
    slot: &Slot,
    deadline: Instant,
) -> Result<(Option<Box<dyn Place>>, Instant), Time> {
    let Some(turns) = core.turns.get() else {
        return Ok((None, deadline));
    };
    let place = turns.turn(&Wanted {
        inquiry,
        fetch,
        slot,
        attempt: target.attempt,
        deadline,
    })?;
    let until = place
        .as_ref()
        .map_or(deadline, |place| place.until().min(deadline));
    Ok((place, until))
}
