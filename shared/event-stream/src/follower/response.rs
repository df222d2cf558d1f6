//! Decodes a response event by event, as it arrives: its length is not bounded by a buffer.

use crate::journal::Entry;
use serde::de::{DeserializeSeed, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::Deserializer;
use serde_json::value::RawValue;
use std::fmt;
use std::io::Read;

/// Takes each event of a response, with the length of its text in bytes. False ends the decoding.
pub(super) type OnEntry<'a> = dyn FnMut(Entry, usize) -> bool + 'a;

/// Decodes a batch of events. Returns the number of the last event that the batch tells of, or 0.
///
/// # Errors
///
/// Returns an error if the text is no batch of events, can't be read, or `on_entry` ended the decoding.
pub(super) fn read_batch(
    reader: impl Read,
    on_entry: &mut OnEntry<'_>,
) -> Result<u64, serde_json::Error> {
    let mut deserializer = serde_json::Deserializer::from_reader(reader);
    let position = deserializer.deserialize_map(BatchVisitor { on_entry })?;
    deserializer.end()?;
    Ok(position)
}

struct BatchVisitor<'a, 'b> {
    on_entry: &'a mut OnEntry<'b>,
}

impl<'de> Visitor<'de> for BatchVisitor<'_, '_> {
    type Value = u64;

    fn expecting(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str("a batch of events")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<u64, A::Error> {
        let (mut position, mut has_entries) = (None, false);
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "pos" if position.is_some() => return Err(A::Error::duplicate_field("pos")),
                "pos" => position = Some(map.next_value::<u64>()?),
                "entries" if has_entries => return Err(A::Error::duplicate_field("entries")),
                "entries" => {
                    has_entries = true;
                    map.next_value_seed(Entries {
                        on_entry: &mut *self.on_entry,
                    })?;
                }
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(position.unwrap_or(0))
    }
}

struct Entries<'a, 'b> {
    on_entry: &'a mut OnEntry<'b>,
}

impl<'de> DeserializeSeed<'de> for Entries<'_, '_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for Entries<'_, '_> {
    type Value = ();

    fn expecting(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str("a list of events")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        while let Some(text) = list.next_element::<Box<RawValue>>()? {
            let length = text.get().len();
            let mut bytes = String::from(Box::<str>::from(text)).into_bytes();
            let entry = simd_json::serde::from_slice(&mut bytes).map_err(A::Error::custom)?;
            if !(self.on_entry)(entry, length) {
                return Err(A::Error::custom("the events are of no use"));
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
