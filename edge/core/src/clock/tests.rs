//! Conversion of Unix timestamps to router times.

use super::*;
use std::time::Duration;

#[test]
fn timestamps_map_to_the_monotonic_clock_also_when_the_system_clock_steps() {
    assert_eq!(router_time(5_000_000, 100_000_000, 99_000_000), 4_000_000);
    // The system clock was set back, so that the timestamp is in the future.
    assert_eq!(router_time(5_000_000, 90_000_000, 99_000_000), 5_000_000);
    // Older than the router's clock: the earliest time, which is not 0 ("long ago").
    assert_eq!(router_time(5_000_000, 100_000_000, 1), 1);
    let clock = Clock::default();
    assert_eq!(clock.from_unix_ms(0), 0);
    assert!(clock.from_unix_ms(u64::MAX) <= clock.now());
    assert!(clock.at(clock.started_at - Duration::from_secs(1)) >= clock.start_time);
}
