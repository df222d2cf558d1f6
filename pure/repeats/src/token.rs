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
        self.held.retain(|held| held.number != number && held.until.is_none_or(|until| now < until));
        for held in &mut self.held {
            held.until = Some(held.until.unwrap_or(now.saturating_add(overlap)));
        }
        let mac = Hmac::new_from_slice(secret).expect("any length of key will do");
        self.held.insert(0, Held { number, mac, until: None });
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
        let held = self.held.iter().find(|h| h.number == body[1] && h.until.is_none_or(|until| now < until));
        let held = held.ok_or((Bad::Foreign, None))?;
        let mut mac = held.mac.clone();
        mac.update(body);
        // In constant time, as the library does it.
        mac.verify_truncated_left(theirs).map_err(|_| (Bad::Forged, None))?;
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
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn token() -> Token {
        let (request, key) = (Mark::of("9b1f03aa5c7e2d41"), Mark::of("5c0f"));
        Token { request, key, attempt: 2, group: 7, first: 1_000, expires: 3_000 }
    }

    #[test]
    fn a_token_is_read_by_whoever_has_its_key_until_its_time_is_over() {
        let keys = Keys::new(1, b"secret");
        let text = keys.sign(&token());
        assert_eq!(Keys::new(1, b"secret").read(2_999, &text), Ok(token()));
        assert_eq!(keys.read(3_000, &text), Err((Bad::Expired, Some(token()))));
        assert_eq!(Keys::new(1, b"other").read(0, &text), Err((Bad::Forged, None)));
        assert_eq!(Keys::new(2, b"secret").read(0, &text), Err((Bad::Foreign, None)));
        for bad in ["", "!", &text[1..], &"A".repeat(TEXT_MOST + 4)] {
            assert_eq!(keys.read(0, bad), Err((Bad::Malformed, None)), "{bad}");
        }
    }

    #[test]
    fn a_former_key_is_believed_for_the_overlap_and_no_longer() {
        let mut keys = Keys::new(1, b"one");
        let text = keys.sign(&Token { expires: u64::MAX, ..token() });
        keys.change(100, 50, 2, b"two");
        assert!(keys.read(149, &text).is_ok());
        assert_eq!(keys.read(150, &text), Err((Bad::Foreign, None)));
        // A second change in the overlap does not make it longer.
        keys.change(120, 50, 3, b"three");
        assert_eq!(keys.read(150, &text), Err((Bad::Foreign, None)));
        assert!(keys.read(160, &keys.sign(&token())).is_ok());
    }

    #[test]
    fn a_key_is_known_before_it_signs_and_believed_after_it_is_gone() {
        let token = Token { expires: u64::MAX, ..token() };
        let mut keys = Keys::new(1, b"one");
        keys.set(0, 50, &[(2, b"two"), (1, b"one")]);
        let by_one = keys.sign(&token);
        assert!(Keys::new(1, b"one").read(0, &by_one).is_ok(), "the last of the file signs");
        assert!(keys.read(0, &Keys::new(2, b"two").sign(&token)).is_ok(), "another instance was quicker");
        keys.set(10, 50, &[(1, b"one"), (2, b"two")]);
        assert!(Keys::new(2, b"two").read(10, &keys.sign(&token)).is_ok());
        keys.set(20, 50, &[(2, b"two")]);
        assert!(keys.read(69, &by_one).is_ok() && keys.read(70, &by_one).is_err());
    }

    proptest! {
        #[test]
        fn any_changed_byte_is_no_token(at in 0usize..BODY + MAC, by in 1u8..=255) {
            let keys = Keys::new(1, b"secret");
            let mut bytes = URL_SAFE_NO_PAD.decode(keys.sign(&token())).unwrap();
            bytes[at] ^= by;
            prop_assert!(keys.read(0, &URL_SAFE_NO_PAD.encode(bytes)).is_err());
        }

        #[test]
        fn any_text_is_read_or_refused(text in ".{0,160}") {
            prop_assert!(Keys::new(1, b"secret").read(0, &text).is_err());
        }
    }
}
