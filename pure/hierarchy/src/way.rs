//! A fill's way: the nodes it has passed, as it carries them in `CDN-Loop` (RFC 8586). Each entry is a node's id
//! (`NAME.DOMAIN`), with a tag that only that node can have made (`;m=`, HMAC-SHA-256 over its id and the object,
//! by a key of the process's own): so a node tells its own entry from one that somebody else wrote, and its own
//! start from a former one's. Foreign CDNs' entries are passed on and count as hops.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;

/// Longest header that is read, and most hops that a fill may make.
pub const BYTES_MOST: usize = 4_096;
pub const HOPS_MOST: usize = 12;
/// Hex digits of a tag: 64 bits.
const TAG: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Longer than any way that is allowed.
    TooLong,
    TooManyHops,
    Malformed,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::TooLong => write!(f, "CDN-Loop is longer than {BYTES_MOST} bytes"),
            Fault::TooManyHops => write!(f, "CDN-Loop names more than {HOPS_MOST} hops"),
            Fault::Malformed => write!(f, "CDN-Loop can't be read"),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Hop {
    id: String,
    /// All behind the id, as it came: an entry is passed on unchanged.
    rest: String,
}

impl Hop {
    fn tag(&self) -> Option<&str> {
        self.rest.split(';').find_map(|p| p.trim().strip_prefix("m="))
    }
}

/// The nodes that a fill has passed, first to last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Way {
    hops: Vec<Hop>,
}

impl Way {
    /// Reads one header's value, or several values joined by commas. Nothing else is ever loosened: a way that
    /// can't be read is refused, as it can't be known where the fill was.
    pub fn parse(value: &[u8]) -> Result<Way, Fault> {
        if value.len() > BYTES_MOST {
            return Err(Fault::TooLong);
        }
        let text = std::str::from_utf8(value).map_err(|_| Fault::Malformed)?;
        let mut hops = Vec::new();
        for entry in text.split(',').map(|e| e.trim_matches([' ', '\t'])) {
            // An empty element of a list is passed over (RFC 9110, 5.6.1).
            if entry.is_empty() {
                continue;
            }
            if hops.len() == HOPS_MOST {
                return Err(Fault::TooManyHops);
            }
            let end = entry.find([';', ' ', '\t']).unwrap_or(entry.len());
            let (id, rest) = entry.split_at(end);
            let known = |b: u8| b.is_ascii_alphanumeric() || b"-._~:[]!#$%&'*+^`|".contains(&b);
            let printable = |b: u8| (b' '..=b'~').contains(&b) || b == b'\t';
            let rest_fits = rest.trim_start().is_empty() || rest.trim_start().starts_with(';');
            if id.is_empty() || !id.bytes().all(known) || !rest.bytes().all(printable) || !rest_fits {
                return Err(Fault::Malformed);
            }
            hops.push(Hop { id: id.to_ascii_lowercase(), rest: rest.trim().to_string() });
        }
        Ok(Way { hops })
    }

    pub fn hops(&self) -> usize {
        self.hops.len()
    }

    /// The names under a domain that the fill has passed, whoever says so. One that is wrongly there costs the
    /// fill that source and no more.
    pub fn passed<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a str> {
        self.hops.iter().filter_map(move |h| h.id.strip_suffix(domain)?.strip_suffix('.'))
    }

    pub fn names(&self, domain: &str, name: &str) -> bool {
        self.passed(domain).any(|passed| passed == name)
    }

    /// The header's value, with one more entry behind it.
    pub fn with(&self, signer: &Signer, object: u64) -> String {
        let mut value = String::new();
        for hop in &self.hops {
            value.push_str(&hop.id);
            value.push_str(&hop.rest);
            value.push_str(", ");
        }
        value.push_str(&signer.id);
        value.push_str(";m=");
        value.push_str(&signer.tag(object));
        value
    }
}

/// What one start of one node writes on a fill's way, and knows again.
pub struct Signer {
    id: String,
    mac: Hmac<Sha256>,
}

impl Signer {
    /// `key`: random, made at this start.
    pub fn new(name: &str, domain: &str, key: &[u8; 32]) -> Signer {
        let mac = Hmac::new_from_slice(key).expect("any length of key will do");
        Signer { id: format!("{name}.{domain}"), mac }
    }

    fn tag(&self, object: u64) -> String {
        let mut mac = self.mac.clone();
        mac.update(self.id.as_bytes());
        mac.update(&object.to_be_bytes());
        mac.finalize().into_bytes()[..TAG / 2].iter().map(|b| format!("{b:02x}")).collect()
    }

    /// Whether this very start sent the fill on before. Guards against an entry under this node's name that
    /// somebody else wrote, or a former start: that is no loop.
    pub fn sent(&self, way: &Way, object: u64) -> bool {
        let mut own = way.hops.iter().filter(|h| h.id == self.id).filter_map(Hop::tag).peekable();
        own.peek().is_some() && {
            let tag = self.tag(object);
            own.any(|theirs| theirs == tag)
        }
    }
}

#[cfg(test)]
mod tests {
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
        assert!(
            on.starts_with("foo123.foocdn.example, barcdn.example; trace=\"abcdef\", anothercdn; abc=123")
        );
        assert_eq!(Way::parse(b"a,, ,b").unwrap().hops(), 2);
    }

    #[test]
    fn what_cannot_be_read_is_refused() {
        assert_eq!(Way::parse(&vec![b'a'; 60_000]), Err(Fault::TooLong));
        assert_eq!(Way::parse(vec!["a"; HOPS_MOST + 1].join(",").as_bytes()), Err(Fault::TooManyHops));
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
}
