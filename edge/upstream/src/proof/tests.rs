//! What each end of an attempt proves.

use super::*;

#[test]
fn never_ran_is_exact() {
    let end = |status, untouched, got| {
        let tag = Some(0..4);
        let response = Response {
            status,
            body: 5..6,
            reusable: true,
            has_surplus: false,
            untouched,
            load: None,
            tag,
        };
        judge(response, b"beef!x", got).outcome
    };
    let (held, none) = (Some("beef"), None);
    assert_eq!(end(200, false, none), Outcome::Served);
    assert_eq!(
        (end(304, false, held), end(304, false, none)),
        (Outcome::Served, Outcome::Error)
    );
    assert_eq!(
        (end(404, false, none), end(500, true, none)),
        (Outcome::Miss, Outcome::Error)
    );
    assert_eq!(
        (end(503, true, none), end(503, false, none)),
        (Outcome::Overloaded, Outcome::Error)
    );
    assert_eq!(
        (end(504, true, none), end(504, false, none)),
        (Outcome::NeverSent, Outcome::Error)
    );
    assert!(
        !outcome_of(Broken::Unreadable).not_processed()
            && !outcome_of(Broken::Reset).not_processed()
    );
    let dial = |code| dial_outcome(std::io::Error::from_raw_os_error(code));
    assert_eq!(
        (dial(111), dial(24)),
        (Outcome::ConnectFailed, Outcome::NeverSent)
    );
}

#[test]
fn a_tag_names_the_copy_bare_or_quoted_and_in_no_other_form() {
    for same in ["beef", "\"beef\""] {
        assert!(names(Some(same.as_bytes()), Some("beef")), "{same}");
    }
    for other in [
        "",
        "\"",
        "\"\"",
        "BEEF",
        "beef\"",
        "\"beef",
        "W/\"beef\"",
        "beef, beef",
        "beefs",
    ] {
        assert!(!names(Some(other.as_bytes()), Some("beef")), "{other}");
    }
    assert!(!names(None, Some("beef")) && !names(Some(b"beef"), None) && !names(None, None));
}
