//! The times by which polls are started.

use foldmux_long_poll::{ScheduleConfig, WaitRange};
use std::time::Duration;

/// The platform's protocol assumes that an event has been delivered after this time.
const DELIVERY_TIME: Duration = Duration::from_secs(7);
/// Longest times that a poll asks the service to hold it; each poll asks for a random part of it. They are short, so
/// that a connection that no longer delivers anything delays an event by little.
const WAIT: WaitRange = WaitRange {
    min: Duration::from_millis(700),
    usual: Duration::from_millis(1_000),
    max: Duration::from_millis(2_000),
};
/// A poll is hedged this long after the end of its wait.
pub(super) const HEDGE_DELAY: Duration = Duration::from_millis(200);
/// A response that makes less progress than [`MIN_PROGRESS`] in this time is hedged.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Bytes of a response that count as progress.
pub(super) const MIN_PROGRESS: u64 = 16 * 1024;
/// The least time between two polls where as many as allowed are unanswered.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(2_500);
/// The longest such time of a client with a single connection, which can't poll beside an overdue poll.
const MAX_REPLACEMENT_INTERVAL: Duration = Duration::from_secs(10);
/// The service counts as failed, for those who could read it elsewhere, where it has answered nothing for this long.
pub(super) const MAX_SILENCE: Duration = Duration::from_millis(1_700);

/// The schedule of polls on at most `max_connections` connections.
pub(super) fn schedule_config(max_connections: usize) -> ScheduleConfig {
    let max_replacement_interval = match max_connections {
        0 | 1 => MAX_REPLACEMENT_INTERVAL,
        _ => REPLACEMENT_INTERVAL,
    };
    ScheduleConfig {
        delivery_time: DELIVERY_TIME,
        wait: WAIT,
        hedge_delay: HEDGE_DELAY,
        max_in_flight: max_connections.max(1),
        stall_time: STALL_TIME,
        replacement_interval: REPLACEMENT_INTERVAL,
        max_replacement_interval,
    }
}
