//! What final answers say, and which fields are set.

use super::*;

fn of(response: &ProcessingResponse) -> (i32, HashMap<String, String>) {
    let Some(Response::ImmediateResponse(now)) = &response.response else {
        panic!("{response:?}")
    };
    let set = now
        .headers
        .as_ref()
        .unwrap()
        .set_headers
        .iter()
        .map(|f| f.header.clone().unwrap());
    let fields = set
        .map(|h| (h.key, String::from_utf8(h.raw_value).unwrap()))
        .collect();
    (now.status.as_ref().unwrap().code, fields)
}

#[test]
fn a_final_answer_says_when_to_come_back_and_whether_anything_ran() {
    let (status, fields) = of(&Final::refused(
        "no room",
        Ran::Nothing,
        std::time::Duration::from_micros(87_001),
    )
    .answer("south"));
    assert_eq!(
        (status, &*fields["retry-after"], &*fields[names::WAIT]),
        (503, "1", "88")
    );
    assert_eq!(
        fields["proxy-status"],
        "south; error=destination_unavailable; details=\"no room; nothing ran\""
    );
    let (status, fields) = of(&Final::given_up("say \"a\\b\"\u{e4}", Ran::Maybe).answer("south"));
    assert!(status == 504 && !fields.contains_key("retry-after"));
    assert!(
        fields["proxy-status"].ends_with("details=\"say \\\"a\\\\b\\\"??; may have run\""),
        "{fields:?}"
    );
    let (status, fields) =
        of(&Final::too_many("streams", std::time::Duration::ZERO).answer("south"));
    assert_eq!(
        (
            status,
            &*fields["retry-after"],
            fields.contains_key(names::WAIT)
        ),
        (429, "1", false)
    );
}

#[test]
fn nothing_is_set_that_callers_ignore() {
    assert!(names::OURS.iter().all(|name| settable(name)));
    for name in [
        "host",
        ":method",
        ":scheme",
        ":authority",
        "x-envoy-original-dst-host",
    ] {
        assert!(!settable(name));
    }
}
