//! Tokens: carried by each attempt that a caller makes, so that any instance can decide on a retry of it.
//!
//! A token is 55 bytes of fields and a MAC (HMAC-SHA-256, truncated to 16 bytes), in URL-safe base64. Signing keys are
//! rotated in service: tokens of a former key stay valid for an overlap.

use crate::Millis;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use std::fmt;

const VERSION: u8 = 1;
/// Length of the fields before the MAC, and of the MAC (bytes).
const BODY_LEN: usize = 1 + 1 + 16 + 16 + 1 + 4 + 8 + 8;
const MAC_LEN: usize = 16;
/// Maximum length of a text that is decoded (bytes).
pub const MAX_TEXT_LEN: usize = 128;

/// A hash of an idempotency key or a request id: the first 16 bytes of SHA-256, from which the text can't be recovered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyHash(pub [u8; 16]);

impl KeyHash {
    /// Hashes a text.
    pub fn of(text: &str) -> KeyHash {
        let mut hash = [0; 16];
        hash.copy_from_slice(&Sha256::digest(text.as_bytes())[..16]);
        KeyHash(hash)
    }
}

/// The contents of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// The request; unique over all instances.
    pub request: KeyHash,
    /// The idempotency key; zeros where the request has none.
    pub key: KeyHash,
    /// The attempt's number, from 0.
    pub attempt: u8,
    /// The group of caches that drops duplicates of the key.
    pub group: u32,
    /// Issue time of the key's first attempt that may have been executed.
    pub first: Millis,
    /// Time until which the attempt may be sent.
    pub expires: Millis,
}

/// The reason why a token is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenError {
    /// It can't be decoded.
    Malformed,
    /// Its signing key is unknown here, or no longer accepted.
    UnknownKey,
    /// The MAC does not match.
    BadSignature,
    /// It has expired.
    Expired,
}

impl fmt::Display for TokenError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            TokenError::Malformed => "the token can't be read",
            TokenError::UnknownKey => "the token's key is not known here",
            TokenError::BadSignature => "the token was not made here",
            TokenError::Expired => "the token's time is over",
        })
    }
}

struct SigningKey {
    number: u8,
    mac: Hmac<Sha256>,
    /// Time from which its tokens are rejected; `None` for no end.
    until: Option<Millis>,
}

/// The key that signs, and other keys whose tokens are accepted.
pub struct SigningKeys {
    keys: Vec<SigningKey>,
}

impl SigningKeys {
    /// Creates a set of a single key. `number` identifies the key in its tokens, and must be the same at all instances.
    pub fn new(number: u8, secret: &[u8]) -> SigningKeys {
        let mut keys = SigningKeys { keys: Vec::new() };
        keys.rotate(0, 0, number, secret);
        keys
    }

    /// Adds the key that signs from now on. Tokens of the former keys are accepted for another `overlap` milliseconds.
    pub fn rotate(&mut self, now: Millis, overlap: Millis, number: u8, secret: &[u8]) {
        self.keys
            .retain(|key| key.number != number && key.until.is_none_or(|until| now < until));
        for key in &mut self.keys {
            key.until = Some(key.until.unwrap_or(now.saturating_add(overlap)));
        }
        let mac = Hmac::new_from_slice(secret).expect("HMAC accepts keys of any length");
        self.keys.insert(
            0,
            SigningKey {
                number,
                mac,
                until: None,
            },
        );
    }

    /// Replaces the keys. The last one signs, and tokens of all are accepted without an end, so that a key can be
    /// distributed to all instances before any of them signs with it. Tokens of removed keys are accepted for another
    /// `overlap` milliseconds.
    pub fn replace(&mut self, now: Millis, overlap: Millis, keys: &[(u8, &[u8])]) {
        for (number, secret) in keys {
            self.rotate(now, overlap, *number, secret);
        }
        for key in &mut self.keys {
            if keys.iter().any(|(number, _)| *number == key.number) {
                key.until = None;
            }
        }
    }

    /// Encodes a token and signs it with the last key.
    pub fn sign(&self, token: &Token) -> String {
        let key = &self.keys[0];
        let mut bytes = Vec::with_capacity(BODY_LEN + MAC_LEN);
        bytes.extend_from_slice(&[VERSION, key.number]);
        bytes.extend_from_slice(&token.request.0);
        bytes.extend_from_slice(&token.key.0);
        bytes.push(token.attempt);
        bytes.extend_from_slice(&token.group.to_be_bytes());
        bytes.extend_from_slice(&token.first.to_be_bytes());
        bytes.extend_from_slice(&token.expires.to_be_bytes());
        let mut mac = key.mac.clone();
        mac.update(&bytes);
        bytes.extend_from_slice(&mac.finalize().into_bytes()[..MAC_LEN]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Verifies and decodes a token.
    ///
    /// # Errors
    ///
    /// Returns the reason if the token is rejected; an expired token comes with its contents, which are authentic.
    pub fn verify(&self, now: Millis, text: &str) -> Result<Token, (TokenError, Option<Token>)> {
        let malformed = (TokenError::Malformed, None);
        if text.len() > MAX_TEXT_LEN {
            return Err(malformed);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| malformed)?;
        if bytes.len() != BODY_LEN + MAC_LEN || bytes[0] != VERSION {
            return Err(malformed);
        }
        let (body, received_mac) = bytes.split_at(BODY_LEN);
        let key = self
            .keys
            .iter()
            .find(|key| key.number == body[1] && key.until.is_none_or(|until| now < until));
        let key = key.ok_or((TokenError::UnknownKey, None))?;
        let mut mac = key.mac.clone();
        mac.update(body);
        // The library compares in constant time.
        mac.verify_truncated_left(received_mac)
            .map_err(|_| (TokenError::BadSignature, None))?;
        let hash_at = |at: usize| KeyHash(body[at..at + 16].try_into().expect("16 bytes"));
        let u64_at = |at: usize| u64::from_be_bytes(body[at..at + 8].try_into().expect("8 bytes"));
        let token = Token {
            request: hash_at(2),
            key: hash_at(18),
            attempt: body[34],
            group: u32::from_be_bytes(body[35..39].try_into().expect("4 bytes")),
            first: u64_at(39),
            expires: u64_at(47),
        };
        if token.expires <= now {
            return Err((TokenError::Expired, Some(token)));
        }
        Ok(token)
    }
}

#[cfg(test)]
mod tests;
