//! The path of a fill: the nodes that it has passed, as listed in its `CDN-Loop` header (RFC 8586).
//!
//! Each entry is a node's id (`NAME.DOMAIN`) with a tag that only that process can compute (`;m=`, a truncated HMAC-SHA-256
//! over its id and the object, under a key of the process). So a process distinguishes its own entries from forged ones, and
//! from those of its node before a restart. Entries of other CDNs are forwarded with their parameters unchanged, and count
//! as hops.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;

/// Maximum length of the header that is accepted.
pub const MAX_HEADER_BYTES: usize = 4_096;
/// Maximum number of entries in the header.
pub const MAX_HOPS: usize = 12;
/// Number of hex digits of a tag, which has 64 bits.
const TAG_DIGITS: usize = 16;

/// The reason for which a path is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathError {
    /// The header is longer than [`MAX_HEADER_BYTES`].
    TooLong,
    /// The header has more than [`MAX_HOPS`] entries.
    TooManyHops,
    /// The header is not a list of ids with parameters.
    Malformed,
}

impl std::error::Error for PathError {}

impl fmt::Display for PathError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            PathError::TooLong => write!(f, "CDN-Loop is longer than {MAX_HEADER_BYTES} bytes"),
            PathError::TooManyHops => write!(f, "CDN-Loop has more than {MAX_HOPS} entries"),
            PathError::Malformed => write!(f, "CDN-Loop is malformed"),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Hop {
    id: String,
    /// The text after the id, kept as received so that it can be forwarded unchanged.
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
    /// Parses the value of the header, or the values of several headers joined by commas.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is too long, has too many entries or is malformed. The nodes that the fill has passed
    /// are unknown then.
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
            let id_byte = |b: u8| b.is_ascii_alphanumeric() || b"-._~:[]!#$%&'*+^`|".contains(&b);
            let printable = |b: u8| (b' '..=b'~').contains(&b) || b == b'\t';
            let separated =
                parameters.trim_start().is_empty() || parameters.trim_start().starts_with(';');
            if id.is_empty()
                || !id.bytes().all(id_byte)
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

    /// The number of entries of the path.
    pub fn hops(&self) -> usize {
        self.hops.len()
    }

    /// The names of the entries under a domain; their tags are not checked. A forged entry only excludes that node as a source
    /// of the fill.
    pub fn visited_names<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a str> {
        self.hops
            .iter()
            .filter_map(move |h| h.id.strip_suffix(domain)?.strip_suffix('.'))
    }

    /// Whether the path has an entry for this name under this domain; its tag is not checked.
    pub fn contains(&self, domain: &str, name: &str) -> bool {
        self.visited_names(domain).any(|visited| visited == name)
    }

    /// The value of the header to forward: this path with the signer's entry appended.
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

/// Signs the entries of one process, and recognizes them.
pub struct PathSigner {
    id: String,
    mac: Hmac<Sha256>,
}

impl PathSigner {
    /// Creates the signer of the node `name` under `domain`. The key must be random and unique to the process.
    pub fn new(name: &str, domain: &str, key: &[u8; 32]) -> PathSigner {
        let mac = Hmac::new_from_slice(key).expect("HMAC accepts keys of any length");
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

    /// Whether this process has forwarded the fill before, which means a loop. Forged entries under this node's name, and
    /// those from before a restart of this node, do not count.
    pub fn has_signed(&self, path: &FillPath, object: u64) -> bool {
        let mut own_tags = path
            .hops
            .iter()
            .filter(|h| h.id == self.id)
            .filter_map(Hop::tag)
            .peekable();
        own_tags.peek().is_some() && {
            let tag = self.tag(object);
            own_tags.any(|own_tag| own_tag == tag)
        }
    }
}

#[cfg(test)]
mod tests;
