//! Whether each object of a document has each of its keys once. Guards against a value that stands twice, of which only
//! one would be taken without a word.

use serde::de::{Error, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::collections::HashSet;
use std::fmt;

/// A value none of whose objects repeats a key; nothing of it is kept.
pub(super) struct Unique;

impl<'de> Deserialize<'de> for Unique {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Unique, D::Error> {
        deserializer.deserialize_any(Keys)
    }
}

struct Keys;

impl<'de> Visitor<'de> for Keys {
    type Value = Unique;

    fn expecting(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str("any value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Unique, A::Error> {
        let mut seen = HashSet::new();
        while let Some(key) = map.next_key::<String>()? {
            map.next_value::<Unique>()?;
            if let Some(twice) = seen.replace(key) {
                return Err(A::Error::custom(format_args!(
                    "key {twice:?} stands twice in one object"
                )));
            }
        }
        Ok(Unique)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Unique, A::Error> {
        while list.next_element::<Unique>()?.is_some() {}
        Ok(Unique)
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<Unique, E> {
        Ok(Unique)
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<Unique, E> {
        Ok(Unique)
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<Unique, E> {
        Ok(Unique)
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<Unique, E> {
        Ok(Unique)
    }

    fn visit_str<E: Error>(self, _: &str) -> Result<Unique, E> {
        Ok(Unique)
    }

    fn visit_unit<E: Error>(self) -> Result<Unique, E> {
        Ok(Unique)
    }
}
