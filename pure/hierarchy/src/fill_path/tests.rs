//! Parsing, forwarding and signing of `CDN-Loop` entries.

use super::*;
use proptest::prelude::*;

const DOMAIN: &str = "fill.colour-office.example";

fn signer(name: &str, key: u8) -> PathSigner {
    PathSigner::new(name, DOMAIN, &[key; 32])
}

#[test]
fn a_signer_recognizes_only_its_own_entries() {
    let (east, south) = (signer("east", 1), signer("south", 2));
    let path = FillPath::parse(FillPath::default().append(&east, 7).as_bytes()).unwrap();
    assert!(east.has_signed(&path, 7) && !east.has_signed(&path, 8) && !south.has_signed(&path, 7));
    let path = FillPath::parse(path.append(&south, 7).as_bytes()).unwrap();
    assert!(east.has_signed(&path, 7) && south.has_signed(&path, 7) && path.hops() == 2);
    assert_eq!(
        path.visited_names(DOMAIN).collect::<Vec<_>>(),
        ["east", "south"]
    );
    // An entry from before a restart, and a forged one, count as hops but not as a loop.
    assert!(!signer("east", 9).has_signed(&path, 7));
    let forged =
        FillPath::parse(format!("east.{DOMAIN};m=0123456789abcdef, east.{DOMAIN}").as_bytes())
            .unwrap();
    assert!(!east.has_signed(&forged, 7) && forged.contains(DOMAIN, "east"));
}

#[test]
fn entries_of_other_cdns_are_parsed_and_forwarded() {
    let value =
        "foo123.foocdn.example, barcdn.example; trace=\"abcdef\", AnotherCDN; abc=123; def=\"456\"";
    let path = FillPath::parse(value.as_bytes()).unwrap();
    assert_eq!((path.hops(), path.visited_names(DOMAIN).count()), (3, 0));
    let forwarded = path.append(&signer("east", 1), 7);
    assert!(forwarded.starts_with(
        "foo123.foocdn.example, barcdn.example; trace=\"abcdef\", anothercdn; abc=123"
    ));
    assert_eq!(FillPath::parse(b"a,, ,b").unwrap().hops(), 2);
}

#[test]
fn invalid_values_are_rejected() {
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
    fn a_parsed_path_is_forwarded_unchanged(value in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(path) = FillPath::parse(&value) {
            let forwarded = path.append(&signer("east", 1), 7);
            if path.hops() < MAX_HOPS {
                let reparsed = FillPath::parse(forwarded.as_bytes()).unwrap();
                prop_assert_eq!(&reparsed.hops[..path.hops()], &path.hops[..]);
                prop_assert!(signer("east", 1).has_signed(&reparsed, 7));
            }
        }
    }
}
