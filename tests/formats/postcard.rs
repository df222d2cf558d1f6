//! Fixtures of formats that are encoded with postcard, where the order of fields and variants is the format.

#[path = "bytes.rs"]
mod bytes;

use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;

/// As [`bytes::check`], with each value's postcard encoding.
pub fn check<T: Debug + Serialize + DeserializeOwned>(path: &str, values: &[(&str, T)]) {
    bytes::check(
        path,
        values,
        |value| ::postcard::to_allocvec(value).expect("the value can be encoded"),
        |bytes| match ::postcard::take_from_bytes(bytes) {
            Ok((value, [])) => value,
            other => panic!(
                "not one whole value: {:?}",
                other.map(|(_, rest)| rest.len())
            ),
        },
    );
}
