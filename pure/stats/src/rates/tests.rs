//! Decaying rates, windows and samples.

use super::*;

#[test]
fn a_rate_is_right_from_its_first_second_and_fades() {
    let mut rate = Rate::over(20_000_000.0);
    for k in 0..200u64 {
        rate.add(1_000_000 + k * 50_000, 0.5);
    }
    let now = 11_000_000;
    assert!(
        (rate.get(now) - 10.0e-6).abs() < 0.5e-6,
        "{}",
        rate.get(now)
    );
    assert!(rate.get(now + 60_000_000) < 1.0e-6);
}

#[test]
fn a_window_sums_what_is_recent_and_stays_in_its_bound() {
    let mut recent = Recent::default();
    (0..10).for_each(|k| recent.add(k, 1.0, k.saturating_sub(4), 100));
    assert_eq!((recent.sum(0), recent.sum(8)), (5.0, 2.0));
    (10..40).for_each(|k| recent.add(k, 1.0, 0, 3));
    assert_eq!(recent.sum(0), 3.0);
}

#[test]
fn what_was_heard_grows_old() {
    let mut heard = Heard::default();
    assert_eq!(heard.get(0, 10), None);
    heard.add(5, 100.0, 200.0, 0.1);
    assert_eq!((heard.get(14, 10), heard.get(15, 10)), (Some(110.0), None));
}
