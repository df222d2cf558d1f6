//! Early rejection: a request that can't start in time is rejected at once, with how long the client should wait
//! before a retry.

use crate::flow::{virtual_cost, VirtualTime};
use crate::tenants::Weight;
use crate::Time;

/// Input of a wait estimate.
#[derive(Clone, Copy, Debug)]
pub struct QueuePosition {
    /// Start tag of the tenant's next request, and the current virtual time.
    pub start_tag: VirtualTime,
    pub virtual_now: VirtualTime,
    /// Predicted slot time (us) of the tenant's requests that start before this one.
    pub cost_ahead: Time,
    pub weight: Weight,
    /// Sum of the weights of all active tenants, this one included.
    pub active_weight: u64,
    pub slots: usize,
}

/// Estimates how long a new request will wait (us), if predictions hold and the tenants that wait go on waiting. 0
/// without slots, as nothing is known then: slots may be about to arrive.
pub fn estimate_wait(position: &QueuePosition) -> Time {
    if position.slots == 0 || position.weight.0 == 0 {
        return 0;
    }
    let virtual_wait = position.start_tag.saturating_sub(position.virtual_now)
        + virtual_cost(position.cost_ahead, position.weight);
    // In one microsecond, `slots` microseconds of slot time are shared among tenants of `active_weight` thousandths.
    let time = virtual_wait * position.active_weight.max(position.weight.0) as u128
        / (position.slots as u128 * 1_000);
    Time::try_from(time).unwrap_or(Time::MAX)
}

/// How long the client should wait before a retry (us), if a request that must start by `start_deadline` would start later.
pub fn retry_after(now: Time, wait: Time, start_deadline: Time) -> Option<Time> {
    let start = now.saturating_add(wait);
    (start > start_deadline).then(|| (start - start_deadline).max(MIN_RETRY_AFTER))
}

/// The least wait that clients are told (us).
pub const MIN_RETRY_AFTER: Time = 1_000;

/// Whether one more request of a tenant may wait. The last sixteenth of the room is kept for tenants below their
/// share of it, so that no tenant's flood fills it all.
pub fn has_room(
    waiting: usize,
    max_waiting: usize,
    tenant_waiting: usize,
    weight: Weight,
    active_weight: u64,
) -> bool {
    if waiting < max_waiting - max_waiting / 16 {
        return true;
    }
    let share = max_waiting as u128 * weight.0 as u128 / active_weight.max(weight.0).max(1) as u128;
    waiting < max_waiting && (tenant_waiting as u128) < share.max(1)
}

#[cfg(test)]
mod tests;
