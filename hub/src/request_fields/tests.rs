//! Reading request paths and the header fields that describe a fill.

use super::*;

#[test]
fn a_path_names_class_object_and_part() {
    assert_eq!(
        parse_path("/v2/q/sheet/00000000000000ff/3"),
        Some(("sheet", 255, 3))
    );
    for bad in [
        "/v2/q/sheet/ff/3",
        "/v2/q/sheet/00000000000000ff/-3",
        "/v2/q/sheet/00000000000000ff/3/4",
        "/v2/q/sheet/00000000000000fg/3",
        "/v2/q//00000000000000ff/3",
        "/v2/q/a%20b/00000000000000ff/3",
        "/v2/q/sheet/00000000000000ff/9999999999",
        "/",
    ] {
        assert_eq!(parse_path(bad), None, "{bad}");
    }
}

#[test]
fn what_a_fill_says_of_its_tree_is_read_or_it_is_solo() {
    let of = |text: Option<&str>| {
        RequestFields {
            tree: text.map(str::to_string),
            ..RequestFields::default()
        }
        .arrival()
    };
    assert_eq!(of(None).0, FillContext::LOCAL);
    let (origin, past) = of(Some("4-0000abcd;solo;past=east+south"));
    assert_eq!(
        (
            origin.version.unwrap().epoch,
            origin.uncollapsed,
            past.len()
        ),
        (4, true, 2)
    );
    assert!(!of(Some("4-0000abcd")).0.uncollapsed);
    assert!(of(Some("nonsense")).0.uncollapsed && of(Some("")).0.uncollapsed);
}
