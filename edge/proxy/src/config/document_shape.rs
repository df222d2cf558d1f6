//! Which keys a configuration has, and of which types. A file that is read while in service must have every key of the one
//! before it: one that was cut short or edited by mistake would otherwise replace settings by defaults.

use super::document::DOCUMENT_NAME;
use comparison::Comparison;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::BTreeMap;

mod comparison;

/// Keys that a sound file may lack: a class has a stretch or not, a deployment prices its fleet or not, and the admin interface's
/// address may come from the environment.
const OPTIONAL_KEYS: [&str; 3] = ["aimStretch", "fleet", "operator"];
/// Keys that a new class may lack besides: keyed classes need them, which the settings' decoder checks.
const KEYED_CLASS_KEYS: [&str; 2] = ["group", "repeatWindow"];
/// Of the optional keys, those that a file may lack although the one in service has them. Nothing reads them.
const REMOVABLE_KEYS: [&str; 1] = ["fleet"];
/// Keys whose lists differ from file to file: events.
const OPAQUE_KEYS: [&str; 1] = ["known"];

/// The keys and types of one value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentShape {
    /// Null, or values of more than one type.
    Any,
    /// True or false.
    Flag,
    /// A number.
    Number,
    /// A text.
    Text,
    /// A list.
    List(ListShape),
    /// An object, by its keys.
    Object(BTreeMap<String, KeyShape>),
}

/// What a later file may have under a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyShape {
    shape: DocumentShape,
    is_required: bool,
}

/// The keys and types of a list's elements.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListShape {
    length: usize,
    /// What all elements have in common; a new element must have it, too.
    common: Option<Box<DocumentShape>>,
    /// The elements that have a name. One that stays keeps all of its keys.
    named: BTreeMap<ElementIdentity, DocumentShape>,
}

/// Tells the elements of a list apart. A class whose rule for retries changes needs other keys, and counts as a new one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ElementIdentity {
    name: String,
    idempotency: Option<String>,
}

impl ElementIdentity {
    /// The identity of an element, if it has a name.
    fn of(element: &OwnedValue) -> Option<ElementIdentity> {
        let text = |key: &str| Some(element.get(key)?.as_str()?.to_string());
        Some(ElementIdentity {
            name: text("name")?,
            idempotency: text("idempotency"),
        })
    }
}

impl DocumentShape {
    /// The shape of a value.
    pub fn of(value: &OwnedValue) -> DocumentShape {
        if let Some(object) = value.as_object() {
            let keys = object
                .iter()
                .map(|(key, value)| (key.clone(), KeyShape::of(key, value)));
            return DocumentShape::Object(keys.collect());
        }
        if let Some(list) = value.as_array() {
            return DocumentShape::List(ListShape::of(list));
        }
        match value.value_type() {
            ValueType::Bool => DocumentShape::Flag,
            ValueType::String => DocumentShape::Text,
            ValueType::Null => DocumentShape::Any,
            _ => DocumentShape::Number,
        }
    }

    /// The shape of an object, whose lists may have any elements: these are not looked at.
    fn without_elements(value: &OwnedValue) -> DocumentShape {
        let Some(object) = value.as_object() else {
            return DocumentShape::of(value);
        };
        let keys = object.iter().map(|(key, value)| {
            let key_shape = match value.is_array() {
                true => KeyShape::any_list(),
                false => KeyShape::of(key, value),
            };
            (key.clone(), key_shape)
        });
        DocumentShape::Object(keys.collect())
    }

    /// What `document` lacks of this shape, a line each: a key that is missing or null, a value of another type, or elements of a
    /// list by class or zone.
    pub fn faults_in(&self, document: &OwnedValue) -> Vec<String> {
        let mut comparison = Comparison::new(self, document);
        comparison.compare(self, DOCUMENT_NAME, document);
        comparison.into_faults()
    }

    /// What is true of both: keys that only one has are not required.
    fn common(self, other: DocumentShape) -> DocumentShape {
        use DocumentShape::{Any, List, Object};
        match (self, other) {
            (Object(keys), Object(others)) => Object(common_keys(keys, others)),
            (List(list), List(other)) => List(list.common(other)),
            (shape, other) if shape == other => shape,
            _ => Any,
        }
    }

    /// This shape, of which an element that is new may lack some keys.
    fn for_new_element(mut self) -> DocumentShape {
        if let DocumentShape::Object(keys) = &mut self {
            for (key, value) in keys {
                let may_lack = is_optional(key) || KEYED_CLASS_KEYS.contains(&key.as_str());
                value.is_required &= !may_lack;
            }
        }
        self
    }

    /// What stands under a key of an object.
    fn key(&self, key: &str) -> Option<&DocumentShape> {
        match self {
            DocumentShape::Object(keys) => keys.get(key).map(|value| &value.shape),
            _ => None,
        }
    }

    fn noun(&self) -> &'static str {
        match self {
            DocumentShape::Any => "a value",
            DocumentShape::Flag => "true or false",
            DocumentShape::Number => "a number",
            DocumentShape::Text => "a text",
            DocumentShape::List(_) => "a list",
            DocumentShape::Object(_) => "an object",
        }
    }
}

impl KeyShape {
    fn of(key: &str, value: &OwnedValue) -> KeyShape {
        let shape_of = match OPAQUE_KEYS.contains(&key) {
            true => DocumentShape::without_elements,
            false => DocumentShape::of,
        };
        KeyShape {
            shape: shape_of(value),
            is_required: !REMOVABLE_KEYS.contains(&key),
        }
    }

    /// A list of any elements.
    fn any_list() -> KeyShape {
        KeyShape {
            shape: DocumentShape::List(ListShape::default()),
            is_required: true,
        }
    }

    fn common(self, other: KeyShape) -> KeyShape {
        KeyShape {
            shape: self.shape.common(other.shape),
            is_required: self.is_required && other.is_required,
        }
    }

    fn not_required(self) -> KeyShape {
        KeyShape {
            is_required: false,
            ..self
        }
    }
}

impl ListShape {
    fn of(list: &[OwnedValue]) -> ListShape {
        let shapes: Vec<DocumentShape> = list.iter().map(DocumentShape::of).collect();
        let elements = list.iter().zip(&shapes);
        let named = elements
            .filter_map(|(element, shape)| Some((ElementIdentity::of(element)?, shape.clone())))
            .collect();
        let common = shapes.into_iter().reduce(DocumentShape::common);
        ListShape {
            length: list.len(),
            common: common.map(|shape| Box::new(shape.for_new_element())),
            named,
        }
    }

    fn common(self, other: ListShape) -> ListShape {
        let common = match (self.common, other.common) {
            (Some(shape), Some(other)) => Some(Box::new(shape.common(*other))),
            _ => None,
        };
        ListShape {
            length: self.length.min(other.length),
            common,
            named: BTreeMap::new(),
        }
    }

    /// What the element must have.
    fn shape_of(&self, element: &OwnedValue) -> Option<&DocumentShape> {
        ElementIdentity::of(element)
            .and_then(|identity| self.named.get(&identity))
            .or(self.common.as_deref())
    }

    /// Whether the list has one element for each class or zone. Names and objects may all go.
    fn is_indexed(&self) -> bool {
        matches!(
            self.common.as_deref(),
            Some(DocumentShape::Flag | DocumentShape::Number)
        )
    }
}

/// Whether a sound file may lack a key.
pub(super) fn is_optional(key: &str) -> bool {
    OPTIONAL_KEYS.contains(&key)
}

/// The keys of both; those that only one has are not required.
fn common_keys(
    mut keys: BTreeMap<String, KeyShape>,
    others: BTreeMap<String, KeyShape>,
) -> BTreeMap<String, KeyShape> {
    for (key, value) in &mut keys {
        value.is_required &= others.contains_key(key);
    }
    for (key, other) in others {
        let common = match keys.remove(&key) {
            Some(value) => value.common(other),
            None => other.not_required(),
        };
        keys.insert(key, common);
    }
    keys
}
