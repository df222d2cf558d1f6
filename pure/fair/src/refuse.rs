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
mod tests {
    use super::*;

    #[test]
    fn the_wait_is_what_goes_before_at_the_tenants_rate() {
        let own = Standing { start: 0, now: 0, ahead: 80_000, weight: Weight::ONE, weights: 4_000, slots: 8 };
        // A quarter of eight slots: 80 ms of slot time take 40 ms.
        assert_eq!(wait(&own), 40_000);
        assert_eq!(wait(&Standing { start: 80_000, ..own }), 80_000);
        assert_eq!(wait(&Standing { slots: 0, ..own }), 0);
        assert_eq!((away(5, 40_000, 40_005), away(5, 40_000, 30_005)), (None, Some(10_000)));
        assert_eq!(away(5, Time::MAX, 6).map(|w| w > LEAST), Some(true));
    }

    #[test]
    fn a_flood_leaves_room_for_those_below_their_share() {
        assert!(room(937, 1_000, 900, Weight::ONE, 2_000));
        assert!(!room(938, 1_000, 900, Weight::ONE, 2_000));
        assert!(room(999, 1_000, 499, Weight::ONE, 2_000) && !room(1_000, 1_000, 0, Weight::ONE, 2_000));
    }
}
