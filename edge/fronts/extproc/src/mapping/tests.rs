//! Requests that are asks, those that are not, and maps that are refused.

use super::*;
use crate::pb::{HeaderMap, HeaderValue};
use proptest::prelude::*;

fn headers(fields: &[(&str, &str)]) -> HttpHeaders {
    let one = |(n, (key, text)): (usize, &(&str, &str))| match n % 2 {
        0 => HeaderValue {
            key: key.to_string(),
            value: text.to_string(),
            ..HeaderValue::default()
        },
        _ => HeaderValue {
            key: key.to_string(),
            raw_value: text.as_bytes().to_vec(),
            ..HeaderValue::default()
        },
    };
    let all = HeaderMap {
        headers: fields.iter().enumerate().map(one).collect(),
    };
    HttpHeaders {
        headers: Some(all),
        ..HttpHeaders::default()
    }
}

fn rule(class: &str, method: &str, path: &str, key: Option<&str>, rewrite: bool) -> AskRule {
    let (class, method, path) = (class.to_string(), method.to_string(), path.to_string());
    AskRule {
        class,
        method,
        path,
        key: key.map(str::to_string),
        rewrite,
    }
}

fn map() -> Map {
    let rules = [
        rule("sheet", "GET", "/v2/q/sheet/{object}/{part}", None, false),
        rule("sheet", "GET", "/cards/{name}", None, true),
        rule(
            "record",
            "POST",
            "/records/{object}",
            Some("idempotency-key"),
            true,
        ),
    ];
    Map::new(&rules, &[("sheet", false), ("record", true)]).unwrap()
}

fn read(fields: &[(&str, &str)]) -> Result<Asked, Unusable> {
    map().read(&headers(fields), |class| {
        ["sheet", "record"][class].to_string()
    })
}

#[test]
fn a_request_is_read_as_its_class_is_mapped() {
    let asked = read(&[
        (":method", "GET"),
        (":path", "/v2/q/sheet/00ff/3?x=1"),
        ("x-foldmux-group", "9"),
    ])
    .unwrap();
    assert_eq!(
        (
            asked.class,
            asked.object,
            asked.part,
            asked.group,
            asked.path
        ),
        (0, 255, 3, 9, None)
    );
    let asked = read(&[
        (":method", "GET"),
        (":path", "/cards/helsinki-blue"),
        ("if-none-match", "a"),
    ])
    .unwrap();
    assert!(asked.holds && asked.path.unwrap().starts_with("/v2/q/sheet/"));
    let fields = [
        (":method", "POST"),
        (":path", "/records/1f"),
        ("Idempotency-Key", "k-1"),
        ("via-wait", "1500"),
        ("x-foldmux-attempt", "t"),
    ];
    let asked = read(&fields).unwrap();
    assert_eq!(
        (asked.key.as_deref(), asked.wait_ms, asked.token.as_deref()),
        (Some("k-1"), Some(1_500), Some("t"))
    );
}

#[test]
fn what_is_no_ask_is_told_apart() {
    for (fields, why) in [
        (
            &[(":method", "GET")][..],
            Unusable::Caller("no single :path"),
        ),
        (
            &[(":method", "GET"), (":path", "/a"), (":path", "/b")],
            Unusable::Caller("no single :path"),
        ),
        (
            &[(":method", "GET"), (":path", "/elsewhere/1")],
            Unusable::Unmatched,
        ),
        (
            &[(":method", "PUT"), (":path", "/cards/a")],
            Unusable::Unmatched,
        ),
        (
            &[(":method", "GET"), (":path", "/cards/")],
            Unusable::Unmatched,
        ),
        (
            &[(":method", "GET"), (":path", "/v2/q/sheet/+f/3")],
            Unusable::Client("the object is no number of 16 hex digits"),
        ),
        (
            &[(":method", "GET"), (":path", "/v2/q/sheet/f/99999999999")],
            Unusable::Client("the part is no number"),
        ),
        (
            &[(":method", "POST"), (":path", "/records/1")],
            Unusable::Client("no idempotency key"),
        ),
        (
            &[
                (":method", "POST"),
                (":path", "/records/1"),
                ("idempotency-key", "a b"),
            ],
            Unusable::Client("the idempotency key can't be used"),
        ),
    ] {
        assert_eq!(read(fields), Err(why), "{fields:?}");
    }
}

#[test]
fn a_map_that_can_t_be_used_is_refused_with_its_reason() {
    for (rule, why) in [
        (
            rule("other", "GET", "/{object}", None, false),
            "no such class",
        ),
        (
            rule("record", "POST", "/{object}", None, false),
            "no header has its key",
        ),
        (
            rule("sheet", "GET", "/a/{part}", None, false),
            "names one object",
        ),
        (
            rule("sheet", "GET", "/{object}/{name}", None, false),
            "names one object",
        ),
        (
            rule("sheet", "GET", "/{objekt}", None, false),
            "a segment is",
        ),
    ] {
        let told = Map::new(&[rule], &[("sheet", false), ("record", true)])
            .err()
            .unwrap();
        assert!(told.contains(why), "{told}");
    }
}

proptest! {
    #[test]
    fn any_request_is_an_ask_or_refused(path in "(/|[a-z0-9{}?%]{0,4}){0,8}", method in "[A-Z]{0,4}", key in ".{0,4}") {
        let _ = read(&[(":method", &method), (":path", &path), ("idempotency-key", &key)]);
    }
}
