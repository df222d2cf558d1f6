//! Compares a document with the shape of the one in service.

use super::{DocumentShape, KeyShape, ListShape};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::BTreeMap;

/// What a document lacks of a shape.
pub(super) struct Comparison {
    /// A list by class may be shorter by so many elements.
    dropped_classes: usize,
    faults: Vec<String>,
}

impl Comparison {
    /// A comparison of `document` with `shape`, which are both those of whole configurations.
    pub(super) fn new(shape: &DocumentShape, document: &OwnedValue) -> Comparison {
        let classes = document
            .get("settings")
            .and_then(|settings| settings.get("classes")?.as_array())
            .map_or(0, Vec::len);
        Comparison {
            dropped_classes: classes_of(shape).saturating_sub(classes),
            faults: Vec::new(),
        }
    }

    pub(super) fn into_faults(self) -> Vec<String> {
        self.faults
    }

    /// Notes what `value`, which stands at `path`, lacks of `shape`.
    pub(super) fn compare(&mut self, shape: &DocumentShape, path: &str, value: &OwnedValue) {
        match (shape, value.as_object(), value.as_array()) {
            (DocumentShape::Any, ..) => {}
            (DocumentShape::Object(keys), Some(_), _) => self.compare_keys(keys, path, value),
            (DocumentShape::List(list), _, Some(elements)) => {
                self.compare_elements(list, path, elements);
            }
            (DocumentShape::Flag, ..) if value.is_bool() => {}
            (DocumentShape::Number, ..) if value.is_number() => {}
            (DocumentShape::Text, ..) if value.is_str() => {}
            _ => self.note(
                path,
                format_args!("it is not {}, as in service", shape.noun()),
            ),
        }
    }

    fn compare_keys(&mut self, keys: &BTreeMap<String, KeyShape>, path: &str, object: &OwnedValue) {
        for (key, expected) in keys {
            let path = format!("{path}.{key}");
            match object.get(key.as_str()) {
                Some(value) if !value.is_null() => self.compare(&expected.shape, &path, value),
                // What was null in service says nothing.
                _ if expected.shape == DocumentShape::Any => {}
                None if !expected.is_required => {}
                _ => self.note(&path, "missing, and in service it is there"),
            }
        }
    }

    fn compare_elements(&mut self, list: &ListShape, path: &str, elements: &[OwnedValue]) {
        if list.is_indexed() && elements.len() + self.dropped_classes < list.length {
            let (count, in_service) = (elements.len(), list.length);
            self.note(
                path,
                format_args!("it has {count} elements, and in service {in_service}"),
            );
        }
        for (place, element) in elements.iter().enumerate() {
            if let Some(shape) = list.shape_of(element) {
                self.compare(shape, &format!("{path}[{place}]"), element);
            }
        }
    }

    fn note(&mut self, path: &str, what: impl std::fmt::Display) {
        self.faults.push(format!("{path}: {what}"));
    }
}

/// Number of classes of a configuration.
fn classes_of(shape: &DocumentShape) -> usize {
    match shape
        .key("settings")
        .and_then(|settings| settings.key("classes"))
    {
        Some(DocumentShape::List(list)) => list.length,
        _ => 0,
    }
}
