//! Unit tests of `names`.

use super::*;

#[test]
fn names_are_read_by_their_labels_whatever_their_case() {
    let zone = Name::from_ascii("route.example.").unwrap();
    let read = |name: &str| read(&Name::from_ascii(name).unwrap(), &zone);
    let part = Asked::Part {
        class: "mix-video".into(),
        object: 0x7f3a_9c21_e0b4_d655,
        part: 3,
    };
    assert_eq!(read("3.7F3a9c21e0b4d655.Mix-Video.ROUTE.example."), part);
    assert_eq!(read("s-1.node.route.example."), Asked::Node("s-1".into()));
    assert_eq!(
        (read("route.example."), read("example.")),
        (Asked::Apex, Asked::Outside)
    );
    for unknown in [
        "3.7f3a.mix-video",
        "x.7f3a9c21e0b4d655.mix-video",
        "a.b.c.d",
        "mix-video",
    ] {
        assert_eq!(read(&format!("{unknown}.route.example.")), Asked::Unknown);
    }
    assert_eq!(
        node("s-1", &zone).unwrap().to_string(),
        "s-1.node.route.example."
    );
}
