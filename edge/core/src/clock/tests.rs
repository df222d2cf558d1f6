//! Unix timestamps as router times.

use super::*;
use std::time::Duration;

#[test]
fn stamps_land_on_the_forward_clock_also_when_the_system_clock_steps() {
    assert_eq!(time_of(5_000_000, 100_000_000, 99_000_000), 4_000_000);
    // The system's clock was set back: the timestamp lies in its future.
    assert_eq!(time_of(5_000_000, 90_000_000, 99_000_000), 5_000_000);
    // Far more ago than the clock knows: the earliest time, which is not "long ago".
    assert_eq!(time_of(5_000_000, 100_000_000, 1), 1);
    let clock = Clock::default();
    assert_eq!(clock.from_unix_ms(0), 0);
    assert!(clock.from_unix_ms(u64::MAX) <= clock.now());
    assert!(clock.at(clock.started_at - Duration::from_secs(1)) >= clock.origin);
}
