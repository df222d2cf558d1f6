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
        self.rest
            .split(';')
            .find_map(|p| p.trim().strip_prefix("m="))
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
            if id.is_empty() || !id.bytes().all(known) || !rest.bytes().all(printable) || !rest_fits
            {
                return Err(Fault::Malformed);
            }
            hops.push(Hop {
                id: id.to_ascii_lowercase(),
                rest: rest.trim().to_string(),
            });
        }
        Ok(Way { hops })
    }

    pub fn hops(&self) -> usize {
        self.hops.len()
    }

    /// The names under a domain that the fill has passed, whoever says so. One that is wrongly there costs the
    /// fill that source and no more.
    pub fn passed<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a str> {
        self.hops
            .iter()
            .filter_map(move |h| h.id.strip_suffix(domain)?.strip_suffix('.'))
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
        Signer {
            id: format!("{name}.{domain}"),
            mac,
        }
    }

    fn tag(&self, object: u64) -> String {
        let mut mac = self.mac.clone();
        mac.update(self.id.as_bytes());
        mac.update(&object.to_be_bytes());
        mac.finalize().into_bytes()[..TAG / 2]
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect()
    }

    /// Whether this very start sent the fill on before. Guards against an entry under this node's name that
    /// somebody else wrote, or a former start: that is no loop.
    pub fn sent(&self, way: &Way, object: u64) -> bool {
        let mut own = way
            .hops
            .iter()
            .filter(|h| h.id == self.id)
            .filter_map(Hop::tag)
            .peekable();
        own.peek().is_some() && {
            let tag = self.tag(object);
            own.any(|theirs| theirs == tag)
        }
    }
}

#[cfg(test)]
mod tests;
