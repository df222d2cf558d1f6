//! The bytes of stored attempts and of tokens, against fixtures.

#[path = "../../../tests/formats/bytes.rs"]
mod fixtures;

use foldmux_idempotency::table::Entry;
use foldmux_idempotency::token::{KeyHash, SigningKeys, Token};

fn path(file: &str) -> String {
    format!("{}/tests/formats/{file}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn the_bytes_of_stored_entries_stay() {
    let entry = |in_flight, ran| Entry {
        attempt: 3,
        in_flight,
        running_until: 1_764_576_000_301,
        may_have_run: ran,
        request: KeyHash([0x11; 16]),
        group: 302,
        issued_at: 1_764_576_000_303,
        evict_at: 1_764_576_000_304,
    };
    let ran = Some((1_764_576_000_305, 306));
    fixtures::check(
        &path("entries.hex"),
        &[
            ("in flight", entry(true, None)),
            ("in flight, an earlier one may have run", entry(true, ran)),
            ("never ran", entry(false, None)),
            ("may have run", entry(false, ran)),
        ],
        |entry| entry.to_bytes().to_vec(),
        |bytes| Entry::from_bytes(bytes).expect("an entry"),
    );
}

#[test]
fn the_bytes_of_hashes_stay() {
    fixtures::check(
        &path("hashes.hex"),
        &[("key-1", KeyHash::of("key-1"))],
        |mark| mark.0.to_vec(),
        |bytes| KeyHash(bytes.try_into().expect("16 bytes")),
    );
}

#[test]
fn the_text_of_tokens_stays() {
    let token = Token {
        request: KeyHash([0x21; 16]),
        key: KeyHash([0x22; 16]),
        attempt: 4,
        group: 401,
        first: 1_764_576_000_402,
        expires: 1_764_576_000_403,
    };
    let keys = SigningKeys::new(7, b"secret");
    fixtures::text::check(
        &path("tokens.txt"),
        &[("key 7", token)],
        |token| keys.sign(token),
        |text| keys.verify(0, text).expect("a token that is signed"),
    );
}
