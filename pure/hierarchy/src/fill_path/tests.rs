//! Writing, reading and signing `CDN-Loop` entries.

use super::*;
use proptest::prelude::*;

const DOMAIN: &str = "fill.colour-office.example";

fn signer(name: &str, key: u8) -> PathSigner {
    PathSigner::new(name, DOMAIN, &[key; 32])
}

#[test]
fn a_node_knows_its_own_entry_and_no_other() {
    let (east, south) = (signer("east", 1), signer("south", 2));
    let path = FillPath::parse(FillPath::default().append(&east, 7).as_bytes()).unwrap();
    assert!(east.has_signed(&path, 7) && !east.has_signed(&path, 8) && !south.has_signed(&path, 7));
    let path = FillPath::parse(path.append(&south, 7).as_bytes()).unwrap();
    assert!(east.has_signed(&path, 7) && south.has_signed(&path, 7) && path.hops() == 2);
    assert_eq!(
        path.visited_names(DOMAIN).collect::<Vec<_>>(),
        ["east", "south"]
    );
    // A former start's entry, and one that somebody made up, are hops and no loop.
    assert!(!signer("east", 9).has_signed(&path, 7));
    let forged =
        FillPath::parse(format!("east.{DOMAIN};m=0123456789abcdef, east.{DOMAIN}").as_bytes())
            .unwrap();
    assert!(!east.has_signed(&forged, 7) && forged.contains(DOMAIN, "east"));
}

#[test]
fn other_cdns_entries_are_read_and_passed_on() {
    let value =
        "foo123.foocdn.example, barcdn.example; trace=\"abcdef\", AnotherCDN; abc=123; def=\"456\"";
    let path = FillPath::parse(value.as_bytes()).unwrap();
    assert_eq!((path.hops(), path.visited_names(DOMAIN).count()), (3, 0));
    let on = path.append(&signer("east", 1), 7);
    assert!(on.starts_with(
        "foo123.foocdn.example, barcdn.example; trace=\"abcdef\", anothercdn; abc=123"
    ));
    assert_eq!(FillPath::parse(b"a,, ,b").unwrap().hops(), 2);
}

#[test]
fn what_cannot_be_read_is_refused() {
    assert_eq!(
        FillPath::parse(&vec![b'a'; 60_000]),
        Err(PathError::TooLong)
    );
    assert_eq!(
        FillPath::parse(vec!["a"; MAX_HOPS + 1].join(",").as_bytes()),
        Err(PathError::TooManyHops)
    );
    for bad in [&b"a b"[..], b"\xff", b";m=1", b"a\0", b"a;m=\x07", b"a@b"] {
        assert_eq!(FillPath::parse(bad), Err(PathError::Malformed), "{bad:?}");
    }
}

proptest! {
    #[test]
    fn a_way_that_is_read_is_passed_on_the_same(value in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(path) = FillPath::parse(&value) {
            let on = path.append(&signer("east", 1), 7);
            if path.hops() < MAX_HOPS {
                let again = FillPath::parse(on.as_bytes()).unwrap();
                prop_assert_eq!(&again.hops[..path.hops()], &path.hops[..]);
                prop_assert!(signer("east", 1).has_signed(&again, 7));
            }
        }
    }
}
