//! What can't be served in its time is refused at once, with how long to stay away.

use crate::flow::{per_weight, Virtual};
use crate::tenants::Weight;
use crate::Time;

/// What an estimate goes by.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// The start tag of the tenant's next, and the virtual time now.
    pub start: Virtual,
    pub now: Virtual,
    /// Foretold slot time of what goes before it in its tenant's lanes.
    pub ahead: Time,
    pub weight: Weight,
    /// Of all tenants that hold a slot or wait, this one too.
    pub weights: u64,
    pub slots: usize,
}

/// How long one that comes now will wait, if what is foretold holds and those who wait go on waiting. With no slots nothing
/// is known: slots may be on their way.
pub fn wait(at: &Standing) -> Time {
    if at.slots == 0 || at.weight.0 == 0 {
        return 0;
    }
    let tags = at.start.saturating_sub(at.now) + per_weight(at.ahead, at.weight);
    // In one microsecond `slots` microseconds of slot time are given to `weights` thousandths.
    let time = tags * at.weights.max(at.weight.0) as u128 / (at.slots as u128 * 1_000);
    Time::try_from(time).unwrap_or(Time::MAX)
}

/// How long to stay away, where one that must start by `latest` would wait for so long.
pub fn away(now: Time, wait: Time, latest: Time) -> Option<Time> {
    let start = now.saturating_add(wait);
    (start > latest).then(|| (start - latest).max(LEAST))
}

/// Shorter advice is none.
pub const LEAST: Time = 1_000;

/// Whether one more of a tenant may wait: the last sixteenth of the room is for those below their share of it, so that no
/// tenant's flood fills it all.
pub fn room(waiting: usize, most: usize, own: usize, weight: Weight, weights: u64) -> bool {
    if waiting < most - most / 16 {
        return true;
    }
    let share = most as u128 * weight.0 as u128 / weights.max(weight.0).max(1) as u128;
    waiting < most && (own as u128) < share.max(1)
}

#[cfg(test)]
mod tests;
