//! The rate limit of log lines about single requests.

use super::*;

#[test]
fn a_burst_gets_its_first_lines_then_a_steady_rate_and_withheld_lines_are_counted() {
    let start = Instant::now();
    let throttle = LogThrottle::new(start);
    let written = (0..1_000).filter(|_| throttle.admits(start)).count();
    assert_eq!(
        (written, throttle.take_withheld()),
        (BURST as usize, 1_000 - BURST as u64)
    );
    // Two more seconds with one line per millisecond.
    let at = |ms| start + Duration::from_millis(ms);
    let written = (1..=2_000).filter(|ms| throttle.admits(at(*ms))).count();
    assert_eq!(
        (written, throttle.take_withheld(), throttle.take_withheld()),
        (40, 1_960, 0)
    );
}

#[test]
fn a_quiet_period_refills_the_bucket_to_its_capacity_only() {
    let start = Instant::now();
    let throttle = LogThrottle::new(start);
    (0..BURST).for_each(|_| assert!(throttle.admits(start)));
    let later = start + Duration::from_secs(3_600);
    assert_eq!(
        (0..200).filter(|_| throttle.admits(later)).count(),
        BURST as usize
    );
}
