//! Growth, bound and jitter of pauses.

use super::*;

#[test]
fn pauses_grow_to_their_maximum_and_shrink_by_jitter() {
    let none = Backoff {
        base_ms: 0,
        factor: 2.0,
        max_ms: 0,
        jitter_percent: 0.0,
    };
    assert_eq!(none.pause(3, 0.5), Duration::ZERO);
    let backoff = Backoff {
        base_ms: 20,
        max_ms: 100,
        jitter_percent: 50.0,
        ..none
    };
    let pauses = [0, 1, 2, 3, 4, 5].map(|attempt| backoff.pause(attempt, 0.0).as_millis());
    assert_eq!(pauses, [0, 20, 40, 80, 100, 100]);
    let shortest = [1, 1_000].map(|attempt| backoff.pause(attempt, 1.0).as_millis());
    assert_eq!(shortest, [10, 50]);
}
