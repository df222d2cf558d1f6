//! Byte ranges (RFC 9110) of an answer.

use super::*;

#[test]
fn a_range_is_what_the_standard_says() {
    let meta = Meta {
        tag: "\"a\"".into(),
        born_ms: 1,
        length: 10,
    };
    let of = |range: &str, if_range: Option<&str>| {
        let asked = RequestFields {
            range: Some(range.into()),
            if_range: if_range.map(str::to_string),
            ..RequestFields::default()
        };
        match What::of(&asked, &meta) {
            What::Part(range) => format!("{range:?}"),
            What::All => "all".into(),
            What::Same => "same".into(),
            What::Unsatisfiable => "none".into(),
        }
    };
    for (range, what) in [
        ("bytes=0-0", "0..1"),
        ("bytes=2-", "2..10"),
        ("bytes=-3", "7..10"),
        ("bytes=-30", "0..10"),
        ("bytes=5-99", "5..10"),
        ("bytes=10-", "none"),
        ("bytes=-0", "none"),
        ("bytes=5-2", "all"),
        ("bytes=0-1,3-4", "all"),
        ("lines=0-1", "all"),
        ("bytes=x-1", "all"),
    ] {
        assert_eq!(of(range, None), what, "{range}");
    }
    assert_eq!(
        (
            of("bytes=0-0", Some("\"a\"")),
            of("bytes=0-0", Some("\"b\""))
        ),
        ("0..1".into(), "all".into())
    );
    let asked = RequestFields {
        none_match: Some("b, W/\"a\"".into()),
        ..RequestFields::default()
    };
    assert!(matches!(What::of(&asked, &meta), What::Same));
}
