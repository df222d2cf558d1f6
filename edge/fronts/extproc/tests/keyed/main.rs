//! Keyed requests over real connections: tokens that are wrong, a ledger that can't be written, and a front that dies.

use common::{script, store, until, Instance};
use foldmux_extproc::check;
use foldmux_extproc::keyed::{unix_ms, Keeper, No};
use foldmux_extproc::serve::block_on;
use foldmux_fakes::source::{Act, Source};
use foldmux_idempotency::table::{Denied, RetryPolicy};
use foldmux_idempotency::token::{KeyHash, SigningKeys, Token};
use foldmux_store::Commit;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

#[path = "../common/mod.rs"]
mod common;
mod ledger;
mod tokens;

const SECRET: &[u8] = b"0123456789abcdef0123456789abcdef";

fn cache() -> Source {
    Source::start(|_| Act::give(100, Duration::ZERO))
}

fn ask(instance: &Instance, key: &str, token: Option<&str>) -> String {
    let mut fields = vec![("idempotency-key".to_string(), key.to_string())];
    fields.extend(token.map(|token| ("x-foldmux-attempt".to_string(), token.to_string())));
    check::check(&instance.address.to_string(), "POST", "/records/1", &fields).unwrap()
}

fn field(told: &str, name: &str) -> String {
    let start = format!("  {name}: ");
    told.lines()
        .find_map(|line| line.strip_prefix(&start))
        .unwrap_or_default()
        .to_string()
}

fn token(class_key: &str, attempt: u8, first: u64, expires: u64) -> Token {
    Token {
        request: KeyHash::of("r"),
        key: KeyHash::of(class_key),
        attempt,
        group: 2,
        first,
        expires,
    }
}
