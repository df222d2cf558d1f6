//! Writing, reading and signing `CDN-Loop` entries.

use super::*;
use proptest::prelude::*;

const DOMAIN: &str = "fill.colour-office.example";

fn signer(name: &str, key: u8) -> Signer {
    Signer::new(name, DOMAIN, &[key; 32])
}

#[test]
fn a_node_knows_its_own_entry_and_no_other() {
    let (east, south) = (signer("east", 1), signer("south", 2));
    let way = Way::parse(Way::default().with(&east, 7).as_bytes()).unwrap();
    assert!(east.sent(&way, 7) && !east.sent(&way, 8) && !south.sent(&way, 7));
    let way = Way::parse(way.with(&south, 7).as_bytes()).unwrap();
    assert!(east.sent(&way, 7) && south.sent(&way, 7) && way.hops() == 2);
    assert_eq!(way.passed(DOMAIN).collect::<Vec<_>>(), ["east", "south"]);
    // A former start's entry, and one that somebody made up, are hops and no loop.
    assert!(!signer("east", 9).sent(&way, 7));
    let forged =
        Way::parse(format!("east.{DOMAIN};m=0123456789abcdef, east.{DOMAIN}").as_bytes()).unwrap();
    assert!(!east.sent(&forged, 7) && forged.names(DOMAIN, "east"));
}

#[test]
fn other_cdns_entries_are_read_and_passed_on() {
    let value =
        "foo123.foocdn.example, barcdn.example; trace=\"abcdef\", AnotherCDN; abc=123; def=\"456\"";
    let way = Way::parse(value.as_bytes()).unwrap();
    assert_eq!((way.hops(), way.passed(DOMAIN).count()), (3, 0));
    let on = way.with(&signer("east", 1), 7);
    assert!(on.starts_with(
        "foo123.foocdn.example, barcdn.example; trace=\"abcdef\", anothercdn; abc=123"
    ));
    assert_eq!(Way::parse(b"a,, ,b").unwrap().hops(), 2);
}

#[test]
fn what_cannot_be_read_is_refused() {
    assert_eq!(Way::parse(&vec![b'a'; 60_000]), Err(Fault::TooLong));
    assert_eq!(
        Way::parse(vec!["a"; HOPS_MOST + 1].join(",").as_bytes()),
        Err(Fault::TooManyHops)
    );
    for bad in [&b"a b"[..], b"\xff", b";m=1", b"a\0", b"a;m=\x07", b"a@b"] {
        assert_eq!(Way::parse(bad), Err(Fault::Malformed), "{bad:?}");
    }
}

proptest! {
    #[test]
    fn a_way_that_is_read_is_passed_on_the_same(value in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(way) = Way::parse(&value) {
            let on = way.with(&signer("east", 1), 7);
            if way.hops() < HOPS_MOST {
                let again = Way::parse(on.as_bytes()).unwrap();
                prop_assert_eq!(&again.hops[..way.hops()], &way.hops[..]);
                prop_assert!(signer("east", 1).sent(&again, 7));
            }
        }
    }
}
