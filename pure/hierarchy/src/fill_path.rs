//! The path of a fill: the nodes that it has passed, as it carries them in `CDN-Loop` (RFC 8586).
//!
//! Each entry is a node's id (`NAME.DOMAIN`) with a tag that only that node can have made (`;m=`, HMAC-SHA-256 over its id
//! and the object, by a key of the process's own). So a node tells its own entry from one that somebody else wrote, and
//! from one that it wrote before it restarted. Entries of foreign CDNs are forwarded unchanged and count as hops.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;

/// Longest header that is read.
pub const MAX_HEADER_BYTES: usize = 4_096;
/// Hops that a fill may make at the most.
pub const MAX_HOPS: usize = 12;
/// Hex digits of a tag: 64 bits.
const TAG_DIGITS: usize = 16;

/// Why a path is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathError {
    /// Over [`MAX_HEADER_BYTES`].
    TooLong,
    /// Over [`MAX_HOPS`].
    TooManyHops,
    /// Not a list of ids and parameters.
    Malformed,
}

impl std::error::Error for PathError {}

impl fmt::Display for PathError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            PathError::TooLong => write!(f, "CDN-Loop is longer than {MAX_HEADER_BYTES} bytes"),
            PathError::TooManyHops => write!(f, "CDN-Loop names more than {MAX_HOPS} hops"),
            PathError::Malformed => write!(f, "CDN-Loop can't be read"),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Hop {
    id: String,
    /// All behind the id, as it came: an entry is forwarded unchanged.
    parameters: String,
}

impl Hop {
    fn tag(&self) -> Option<&str> {
        self.parameters
            .split(';')
            .find_map(|p| p.trim().strip_prefix("m="))
    }
}

/// The nodes that a fill has passed, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FillPath {
    hops: Vec<Hop>,
}

impl FillPath {
    /// Reads the value of the header, or of several joined by commas.
    ///
    /// # Errors
    ///
    /// Where it can't be read: it is not known then where the fill was.
    pub fn parse(value: &[u8]) -> Result<FillPath, PathError> {
        if value.len() > MAX_HEADER_BYTES {
            return Err(PathError::TooLong);
        }
        let text = std::str::from_utf8(value).map_err(|_| PathError::Malformed)?;
        let mut hops = Vec::new();
        for entry in text.split(',').map(|e| e.trim_matches([' ', '\t'])) {
            // An empty element of a list is ignored (RFC 9110, 5.6.1).
            if entry.is_empty() {
                continue;
            }
            if hops.len() == MAX_HOPS {
                return Err(PathError::TooManyHops);
            }
            let end = entry.find([';', ' ', '\t']).unwrap_or(entry.len());
            let (id, parameters) = entry.split_at(end);
            let known = |b: u8| b.is_ascii_alphanumeric() || b"-._~:[]!#$%&'*+^`|".contains(&b);
            let printable = |b: u8| (b' '..=b'~').contains(&b) || b == b'\t';
            let separated =
                parameters.trim_start().is_empty() || parameters.trim_start().starts_with(';');
            if id.is_empty()
                || !id.bytes().all(known)
                || !parameters.bytes().all(printable)
                || !separated
            {
                return Err(PathError::Malformed);
            }
            hops.push(Hop {
                id: id.to_ascii_lowercase(),
                parameters: parameters.trim().to_string(),
            });
        }
        Ok(FillPath { hops })
    }

    /// Entries of the path.
    pub fn hops(&self) -> usize {
        self.hops.len()
    }

    /// The names under a domain that the path has, whoever wrote them. One that is wrongly there costs the fill that
    /// source and no more.
    pub fn visited_names<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a str> {
        self.hops
            .iter()
            .filter_map(move |h| h.id.strip_suffix(domain)?.strip_suffix('.'))
    }

    /// Whether the path has a name under a domain.
    pub fn contains(&self, domain: &str, name: &str) -> bool {
        self.visited_names(domain).any(|visited| visited == name)
    }

    /// The header's value, with an entry of the signer added.
    pub fn append(&self, signer: &PathSigner, object: u64) -> String {
        let mut value = String::new();
        for hop in &self.hops {
            value.push_str(&hop.id);
            value.push_str(&hop.parameters);
            value.push_str(", ");
        }
        value.push_str(&signer.id);
        value.push_str(";m=");
        value.push_str(&signer.tag(object));
        value
    }
}

/// Signs the entries of one process, and recognises them.
pub struct PathSigner {
    id: String,
    mac: Hmac<Sha256>,
}

impl PathSigner {
    /// `key` is random, and new for each process.
    pub fn new(name: &str, domain: &str, key: &[u8; 32]) -> PathSigner {
        let mac = Hmac::new_from_slice(key).expect("any length of key will do");
        PathSigner {
            id: format!("{name}.{domain}"),
            mac,
        }
    }

    fn tag(&self, object: u64) -> String {
        let mut mac = self.mac.clone();
        mac.update(self.id.as_bytes());
        mac.update(&object.to_be_bytes());
        mac.finalize().into_bytes()[..TAG_DIGITS / 2]
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect()
    }

    /// Whether this process forwarded the fill before. An entry under this node's name that somebody else wrote, or this
    /// node before it restarted, is no loop.
    pub fn has_signed(&self, path: &FillPath, object: u64) -> bool {
        let mut own = path
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
