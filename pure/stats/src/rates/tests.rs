//! Tests of rates, windows and samples.

use super::*;

#[test]
fn a_rate_is_unbiased_from_its_first_second_and_decays() {
    let mut rate = DecayingRate::new(20_000_000.0);
    for k in 0..200u64 {
        rate.add(1_000_000 + k * 50_000, 0.5);
    }
    let now = 11_000_000;
    assert!(
        (rate.per_us(now) - 10.0e-6).abs() < 0.5e-6,
        "{}",
        rate.per_us(now)
    );
    assert!(rate.per_us(now + 60_000_000) < 1.0e-6);
}

#[test]
fn a_window_sums_recent_amounts_and_stays_bounded() {
    let mut window = SlidingWindow::default();
    (0..10).for_each(|k| window.add(k, 1.0, k.saturating_sub(4), 100));
    assert_eq!((window.sum_since(0), window.sum_since(8)), (5.0, 2.0));
    (10..40).for_each(|k| window.add(k, 1.0, 0, 3));
    assert_eq!(window.sum_since(0), 3.0);
}

#[test]
fn a_sample_expires() {
    let mut sample = SmoothedSample::default();
    assert_eq!(sample.get(0, 10), None);
    sample.record(5, 100.0, 200.0, 0.1);
    assert_eq!(
        (sample.get(14, 10), sample.get(15, 10)),
        (Some(110.0), None)
    );
}
