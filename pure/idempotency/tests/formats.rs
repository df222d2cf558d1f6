//! The stored bytes of entries and hashes and the text of tokens, compared with fixtures.

#[path = "../../../tests/formats/bytes.rs"]
mod fixtures;

use foldmux_idempotency::table::Entry;
use foldmux_idempotency::token::{KeyHash, SigningKeys, Token};

fn path(file: &str) -> String {
    format!("{}/tests/formats/{file}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn stored_entries_keep_their_bytes() {
    let entry = |in_flight, first_run| Entry {
        attempt: 3,
        in_flight,
        running_until: 1_764_576_000_301,
        may_have_run: first_run,
        request: KeyHash([0x11; 16]),
        group: 302,
        issued_at: 1_764_576_000_303,
        evict_at: 1_764_576_000_304,
    };
    let first_run = Some((1_764_576_000_305, 306));
    fixtures::check(
        &path("entries.hex"),
        &[
            ("in flight", entry(true, None)),
            (
                "in flight, an earlier one may have run",
                entry(true, first_run),
            ),
            ("never ran", entry(false, None)),
            ("may have run", entry(false, first_run)),
        ],
        |entry| entry.to_bytes().to_vec(),
        |bytes| Entry::from_bytes(bytes).expect("a valid entry"),
    );
}

#[test]
fn hashes_keep_their_bytes() {
    fixtures::check(
        &path("hashes.hex"),
        &[("key-1", KeyHash::of("key-1"))],
        |hash| hash.0.to_vec(),
        |bytes| KeyHash(bytes.try_into().expect("16 bytes")),
    );
}

#[test]
fn tokens_keep_their_text() {
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
        |text| keys.verify(0, text).expect("a signed token"),
    );
}
