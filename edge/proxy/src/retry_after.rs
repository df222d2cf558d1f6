//! How long a client that is rejected for want of capacity is asked to wait before its retry.

use foldmux::interface::{Settings, Time};

/// Longest wait (us). Capacity that is used up comes free within the time of a request.
pub const MAX_RETRY_AFTER: Time = 300_000;
/// The wait is at most this part of the shortest deadline, which leaves the client time for its retry.
const DEADLINE_PARTS: Time = 10;

/// The wait that comes with the core's own rejections (us), as far as the settings allow one; 0 for none.
pub fn rejection_wait(settings: &Settings) -> Time {
    let deadlines = settings.classes.iter().map(|class| class.deadline);
    let shortest = deadlines.min().unwrap_or(0);
    let wait = MAX_RETRY_AFTER.min(shortest / DEADLINE_PARTS);
    settings.retry_after.map_or(0, |max| wait.min(max))
}
