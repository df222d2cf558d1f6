//! Unit tests of `outcome`.

use super::*;

#[test]
fn never_ran_is_exact_and_what_is_not_known_may_be_running() {
    let of = |status, untouched, details| judge(status, untouched, details, false);
    let ended = |outcome| Ended {
        outcome,
        over: true,
    };
    assert_eq!(of(200, false, None), ended(Outcome::Served));
    assert_eq!(
        (of(404, false, None), of(503, true, None)),
        (ended(Outcome::Miss), ended(Outcome::Overloaded))
    );
    assert_eq!(of(504, true, None), ended(Outcome::NeverSent));
    assert_eq!(
        of(503, false, None),
        Ended {
            outcome: Outcome::Error,
            over: false
        }
    );
    assert_eq!(of(500, true, Some("via_upstream")), ended(Outcome::Error));
    assert_eq!(judge(304, false, None, true), ended(Outcome::Served));
    assert_eq!(
        judge(304, false, Some("via_upstream"), false),
        ended(Outcome::Error)
    );
    let reset = "upstream_reset_before_response_started{connection_termination}";
    assert_eq!(
        of(503, false, Some(reset)),
        Ended {
            outcome: Outcome::Reset,
            over: false
        }
    );
    let refused =
            "upstream_reset_before_response_started{remote_connection_failure|delayed_connect_error:_111}";
    assert_eq!(of(503, false, Some(refused)), ended(Outcome::ConnectFailed));
    assert_eq!(
        of(504, false, Some("upstream_response_timeout")),
        Ended {
            outcome: Outcome::TimedOut,
            over: false
        }
    );
    // The caller's own 404 is no miss of the cache.
    assert_eq!(
        of(404, false, Some("route_not_found")),
        ended(Outcome::NeverSent)
    );
    // Untouched is a cache's word: a reset with it proves nothing.
    assert!(!of(503, true, Some(reset)).outcome.not_processed());
}
