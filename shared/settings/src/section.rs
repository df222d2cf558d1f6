//! One object of a configuration, read key by key. Whatever can't be used is noted under the path of its key, and reading
//! goes on: a document with five faults is told of all five, a line each.

use crate::value::Read;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::cell::RefCell;

/// What is noted while a document is read: all that is wrong with it, one plain line each, and where defaults stand in.
#[derive(Debug, Default)]
pub struct Faults {
    lines: RefCell<Vec<String>>,
    /// The paths of keys that were read and are missing, in the order in which they were read.
    defaulted: RefCell<Vec<String>>,
}

impl Faults {
    /// Notes what is wrong at `path`. The first fault of a path is told: others follow from it.
    pub fn note(&self, path: &str, what: impl std::fmt::Display) {
        let mut lines = self.lines.borrow_mut();
        let start = format!("{path}: ");
        if !lines.iter().any(|line| line.starts_with(&start)) {
            lines.push(format!("{start}{what}"));
        }
    }

    fn note_default(&self, path: String) {
        let mut defaulted = self.defaulted.borrow_mut();
        if !defaulted.contains(&path) {
            defaulted.push(path);
        }
    }

    /// The paths of the keys for which defaults stand in.
    pub fn defaulted(&self) -> Vec<String> {
        self.defaulted.borrow().clone()
    }

    pub fn into_lines(self) -> Vec<String> {
        self.lines.into_inner()
    }
}

/// An object, where it stands in the document, and where its faults are noted.
pub struct Section<'a> {
    path: String,
    /// None where it is missing: of its keys none is there.
    object: Option<&'a OwnedValue>,
    faults: &'a Faults,
}

impl<'a> Section<'a> {
    /// A whole document; `path` is what it is called.
    pub fn new(path: &str, document: &'a OwnedValue, faults: &'a Faults) -> Section<'a> {
        let section = Section {
            path: path.to_string(),
            object: None,
            faults,
        };
        section.of(path.to_string(), document)
    }

    fn of(&self, path: String, value: &'a OwnedValue) -> Section<'a> {
        let object = value.is_object().then_some(value);
        if object.is_none() {
            self.faults.note(&path, "it is no object");
        }
        Section {
            path,
            object,
            faults: self.faults,
        }
    }

    fn path_of(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }

    /// Notes a fault of the value under `key`.
    pub fn fault(&self, key: &str, what: impl std::fmt::Display) {
        self.faults.note(&self.path_of(key), what);
    }

    /// Whether there is an object here.
    pub fn is_there(&self) -> bool {
        self.object.is_some()
    }

    /// The value under `key`, where there is one; null is none.
    pub fn get(&self, key: &str) -> Option<&'a OwnedValue> {
        self.object
            .and_then(|object| object.get(key))
            .filter(|value| !value.is_null())
    }

    /// The value under `key`; where there is none, a default stands in, which is noted.
    pub fn get_or_default(&self, key: &str) -> Option<&'a OwnedValue> {
        let value = self.get(key);
        if value.is_none() && self.is_there() {
            self.faults.note_default(self.path_of(key));
        }
        value
    }

    /// A value that may be left out; one that is there has to be of its type.
    pub fn optional<T: Read>(&self, key: &str) -> Option<T> {
        let value = self.get_or_default(key)?;
        let read = T::read(value);
        if read.is_none() {
            self.fault(key, format_args!("it is not {}", T::expected()));
        }
        read
    }

    /// Notes where nothing stands under `key`. Where the whole section is missing, that is its one fault.
    pub fn expect(&self, key: &str) {
        if self.is_there() && self.get(key).is_none() {
            self.fault(key, "missing");
        }
    }

    /// A value that has to be there.
    pub fn required<T: Read + Default>(&self, key: &str) -> T {
        self.expect(key);
        self.optional(key).unwrap_or_default()
    }

    /// An object that has to be there; where it is missing, that is its one fault.
    pub fn section(&self, key: &str) -> Section<'a> {
        self.expect(key);
        self.optional_section(key)
    }

    /// An object that may be left out.
    pub fn optional_section(&self, key: &str) -> Section<'a> {
        let path = self.path_of(key);
        match self.get_or_default(key) {
            Some(value) => self.of(path, value),
            None => Section {
                path,
                object: None,
                faults: self.faults,
            },
        }
    }

    /// A list of objects that may be left out.
    pub fn sections(&self, key: &str) -> Vec<Section<'a>> {
        let Some(value) = self.get_or_default(key) else {
            return Vec::new();
        };
        let Some(list) = value.as_array() else {
            self.fault(key, "it is no list");
            return Vec::new();
        };
        let path = self.path_of(key);
        list.iter()
            .enumerate()
            .map(|(place, value)| self.of(format!("{path}[{place}]"), value))
            .collect()
    }
}
