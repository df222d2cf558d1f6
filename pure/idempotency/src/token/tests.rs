//! Signing, verifying and rotating the keys of attempt tokens.

use super::*;
use proptest::prelude::*;

fn token() -> Token {
    let (request, key) = (KeyHash::of("9b1f03aa5c7e2d41"), KeyHash::of("5c0f"));
    Token {
        request,
        key,
        attempt: 2,
        group: 7,
        first: 1_000,
        expires: 3_000,
    }
}

#[test]
fn a_token_is_accepted_with_its_key_until_it_expires() {
    let keys = SigningKeys::new(1, b"secret");
    let text = keys.sign(&token());
    assert_eq!(
        SigningKeys::new(1, b"secret").verify(2_999, &text),
        Ok(token())
    );
    assert_eq!(
        keys.verify(3_000, &text),
        Err((TokenError::Expired, Some(token())))
    );
    assert_eq!(
        SigningKeys::new(1, b"other").verify(0, &text),
        Err((TokenError::BadSignature, None))
    );
    assert_eq!(
        SigningKeys::new(2, b"secret").verify(0, &text),
        Err((TokenError::UnknownKey, None))
    );
    for bad in ["", "!", &text[1..], &"A".repeat(MAX_TEXT_LEN + 4)] {
        assert_eq!(
            keys.verify(0, bad),
            Err((TokenError::Malformed, None)),
            "{bad}"
        );
    }
}

#[test]
fn a_former_key_is_accepted_for_the_overlap_and_no_longer() {
    let mut keys = SigningKeys::new(1, b"one");
    let text = keys.sign(&Token {
        expires: u64::MAX,
        ..token()
    });
    keys.rotate(100, 50, 2, b"two");
    assert!(keys.verify(149, &text).is_ok());
    assert_eq!(keys.verify(150, &text), Err((TokenError::UnknownKey, None)));
    // A second rotation within the overlap does not extend it.
    keys.rotate(120, 50, 3, b"three");
    assert_eq!(keys.verify(150, &text), Err((TokenError::UnknownKey, None)));
    assert!(keys.verify(160, &keys.sign(&token())).is_ok());
}

#[test]
fn a_key_is_accepted_before_it_signs_and_after_it_is_removed() {
    let token = Token {
        expires: u64::MAX,
        ..token()
    };
    let mut keys = SigningKeys::new(1, b"one");
    keys.replace(0, 50, &[(2, b"two"), (1, b"one")]);
    let by_one = keys.sign(&token);
    assert!(
        SigningKeys::new(1, b"one").verify(0, &by_one).is_ok(),
        "the last key signs"
    );
    assert!(
        keys.verify(0, &SigningKeys::new(2, b"two").sign(&token))
            .is_ok(),
        "another instance already signs with the new key"
    );
    keys.replace(10, 50, &[(1, b"one"), (2, b"two")]);
    assert!(SigningKeys::new(2, b"two")
        .verify(10, &keys.sign(&token))
        .is_ok());
    keys.replace(20, 50, &[(2, b"two")]);
    assert!(keys.verify(69, &by_one).is_ok() && keys.verify(70, &by_one).is_err());
}

proptest! {
    #[test]
    fn a_token_with_a_changed_byte_is_rejected(at in 0usize..BODY_LEN + MAC_LEN, by in 1u8..=255) {
        let keys = SigningKeys::new(1, b"secret");
        let mut bytes = URL_SAFE_NO_PAD.decode(keys.sign(&token())).unwrap();
        bytes[at] ^= by;
        prop_assert!(keys.verify(0, &URL_SAFE_NO_PAD.encode(bytes)).is_err());
    }

    #[test]
    fn any_text_is_rejected_without_a_panic(text in ".{0,160}") {
        prop_assert!(SigningKeys::new(1, b"secret").verify(0, &text).is_err());
    }
}
