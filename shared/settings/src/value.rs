//! What a JSON value may be read as.

use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::net::SocketAddr;

/// Read from one JSON value, without conversion.
pub trait Read: Sized {
    /// What has to stand there, for the line that says that it doesn't.
    fn expected() -> String;
    fn read(value: &OwnedValue) -> Option<Self>;
}

macro_rules! read {
    ($type:ty, $expected:expr, $read:expr) => {
        impl Read for $type {
            fn expected() -> String {
                $expected.to_string()
            }

            fn read(value: &OwnedValue) -> Option<$type> {
                #[allow(clippy::redundant_closure_call)]
                $read(value)
            }
        }
    };
}

read!(u64, "a whole number from 0 on", |value: &OwnedValue| value
    .as_u64());
read!(
    u32,
    "a whole number from 0 to 4294967295",
    |value: &OwnedValue| value.as_u32()
);
read!(usize, "a whole number from 0 on", |value: &OwnedValue| {
    value.as_usize()
});
read!(i64, "a whole number", |value: &OwnedValue| value.as_i64());
read!(f64, "a number", |value: &OwnedValue| value
    .cast_f64()
    .filter(|number| number.is_finite()));
read!(bool, "true or false", |value: &OwnedValue| value.as_bool());
read!(String, "a text", |value: &OwnedValue| value
    .as_str()
    .map(str::to_string));
read!(
    SocketAddr,
    "an address with a port",
    |value: &OwnedValue| value.as_str()?.parse().ok()
);

impl<T: Read> Read for Vec<T> {
    fn expected() -> String {
        format!("a list, each {}", T::expected())
    }

    fn read(value: &OwnedValue) -> Option<Vec<T>> {
        value.as_array()?.iter().map(T::read).collect()
    }
}
