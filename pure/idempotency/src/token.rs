//! Tokens: what an attempt that somebody else makes carries, so that any instance can judge a repeat of it. 58 bytes
//! and a MAC (HMAC-SHA-256, 16 bytes of it), in base64 for URLs. Keys change in service: a former key is good until
//! its time is over, so that tokens that are out stay readable.

use crate::Millis;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use std::fmt;

const VERSION: u8 = 1;
/// Bytes before the MAC, and of it.
const BODY: usize = 1 + 1 + 16 + 16 + 1 + 4 + 8 + 8;
const MAC: usize = 16;
/// Longest token that is read at all.
pub const TEXT_MOST: usize = 128;

/// What stands for a key or an id: nothing of it can be read back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Mark(pub [u8; 16]);

impl Mark {
    pub fn of(text: &str) -> Mark {
        let mut mark = [0; 16];
        mark.copy_from_slice(&Sha256::digest(text.as_bytes())[..16]);
        Mark(mark)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    pub request: Mark,
    pub key: Mark,
    pub attempt: u8,
    /// The group of caches that drops the key's repeats.
    pub group: u32,
    /// When the key's first attempt was handed out, and until when this one may be sent.
    pub first: Millis,
    pub expires: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    Malformed,
    /// By a key that is not known here, or not any more.
    Foreign,
    Forged,
    Expired,
}

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Bad::Malformed => "the token can't be read",
            Bad::Foreign => "the token's key is not known here",
            Bad::Forged => "the token was not made here",
            Bad::Expired => "the token's time is over",
        })
    }
}

struct Held {
    number: u8,
    mac: Hmac<Sha256>,
    until: Option<Millis>,
}

/// The key that signs, and former ones that are still believed.
pub struct Keys {
    held: Vec<Held>,
}

impl Keys {
    /// `number` names the key in its tokens: the same at all instances.
    pub fn new(number: u8, secret: &[u8]) -> Keys {
        let mut keys = Keys { held: Vec::new() };
        keys.change(0, 0, number, secret);
        keys
    }

    /// From now on another key signs; what the former ones signed is believed for `overlap` more.
    pub fn change(&mut self, now: Millis, overlap: Millis, number: u8, secret: &[u8]) {
        self.held
            .retain(|held| held.number != number && held.until.is_none_or(|until| now < until));
        for held in &mut self.held {
            held.until = Some(held.until.unwrap_or(now.saturating_add(overlap)));
        }
        let mac = Hmac::new_from_slice(secret).expect("any length of key will do");
        self.held.insert(
            0,
            Held {
                number,
                mac,
                until: None,
            },
        );
    }

    /// The keys of a file that was read again: the last of them signs, and all are believed without an end, so that a
    /// key can be known everywhere before it signs anywhere. Those that are no longer there are believed for `overlap`.
    pub fn set(&mut self, now: Millis, overlap: Millis, keys: &[(u8, &[u8])]) {
        for (number, secret) in keys {
            self.change(now, overlap, *number, secret);
        }
        for held in &mut self.held {
            if keys.iter().any(|(number, _)| *number == held.number) {
                held.until = None;
            }
        }
    }

    pub fn sign(&self, token: &Token) -> String {
        let held = &self.held[0];
        let mut bytes = Vec::with_capacity(BODY + MAC);
        bytes.extend_from_slice(&[VERSION, held.number]);
        bytes.extend_from_slice(&token.request.0);
        bytes.extend_from_slice(&token.key.0);
        bytes.push(token.attempt);
        bytes.extend_from_slice(&token.group.to_be_bytes());
        bytes.extend_from_slice(&token.first.to_be_bytes());
        bytes.extend_from_slice(&token.expires.to_be_bytes());
        let mut mac = held.mac.clone();
        mac.update(&bytes);
        bytes.extend_from_slice(&mac.finalize().into_bytes()[..MAC]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// The token, if one of these keys signed it. One whose time is over is told apart, and what it says is true.
    pub fn read(&self, now: Millis, text: &str) -> Result<Token, (Bad, Option<Token>)> {
        let malformed = (Bad::Malformed, None);
        if text.len() > TEXT_MOST {
            return Err(malformed);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| malformed)?;
        if bytes.len() != BODY + MAC || bytes[0] != VERSION {
            return Err(malformed);
        }
        let (body, theirs) = bytes.split_at(BODY);
        let held = self
            .held
            .iter()
            .find(|h| h.number == body[1] && h.until.is_none_or(|until| now < until));
        let held = held.ok_or((Bad::Foreign, None))?;
        let mut mac = held.mac.clone();
        mac.update(body);
        // In constant time, as the library does it.
        mac.verify_truncated_left(theirs)
            .map_err(|_| (Bad::Forged, None))?;
        let mark = |at: usize| Mark(body[at..at + 16].try_into().expect("16 bytes"));
        let long = |at: usize| u64::from_be_bytes(body[at..at + 8].try_into().expect("8 bytes"));
        let token = Token {
            request: mark(2),
            key: mark(18),
            attempt: body[34],
            group: u32::from_be_bytes(body[35..39].try_into().expect("4 bytes")),
            first: long(39),
            expires: long(47),
        };
        if token.expires <= now {
            return Err((Bad::Expired, Some(token)));
        }
        Ok(token)
    }
}

#[cfg(test)]
mod tests;
