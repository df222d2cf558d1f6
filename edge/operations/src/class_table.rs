//! Classes across reloads. The router knows a class by its slot in one list, and a request keeps the slot that it came
//! with. A class that a new file adds, or whose rules it changes, gets another slot; one that the file drops keeps its
//! slot for as long as anyone holds it: a request in flight, or a front that may still name it. After that the slot is
//! free for the next new class.

use std::fmt;
use std::sync::Arc;

/// Most slots. A file that needs more is refused, and the classes in service stay.
pub const MAX_SLOTS: usize = 64;

/// One class in its slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassEntry<C> {
    /// The name by which clients ask for it.
    pub name: String,
    /// Its rules.
    pub class: C,
    /// Its slot. Whoever may still use the slot holds a clone of this.
    pub slot: Arc<usize>,
}

/// The classes in service, and those that requests in flight still hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassTable<C> {
    /// The class in each slot, in service or not.
    slots: Vec<ClassEntry<C>>,
    /// The slots of the classes in service, as the file orders them.
    in_service: Vec<usize>,
}

/// Why a file's classes can't be taken.
#[derive(Debug, PartialEq, Eq)]
pub enum ClassTableError {
    /// The file has no class.
    NoClass,
    /// Two classes have this name.
    Duplicate(String),
    /// A class has no name.
    Unnamed,
    /// More than [`MAX_SLOTS`] slots would be in use.
    NoFreeSlot,
}

impl fmt::Display for ClassTableError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClassTableError::NoClass => write!(out, "settings: no class"),
            ClassTableError::Duplicate(name) => {
                write!(out, "settings: class {name:?} is named twice")
            }
            ClassTableError::Unnamed => write!(out, "settings: a class has no name"),
            ClassTableError::NoFreeSlot => write!(
                out,
                "settings: more than {MAX_SLOTS} classes in service or with open requests"
            ),
        }
    }
}

impl std::error::Error for ClassTableError {}

impl<C: Clone + PartialEq> ClassTable<C> {
    /// The table of the first file: each name with its rules.
    ///
    /// # Errors
    ///
    /// Where the classes can't be taken.
    pub fn new(classes: Vec<(String, C)>) -> Result<ClassTable<C>, ClassTableError> {
        let mut table = ClassTable {
            slots: Vec::new(),
            in_service: Vec::new(),
        };
        table.replace(classes)?;
        Ok(table)
    }

    /// Puts a file's classes in service in place of those that are.
    ///
    /// # Errors
    ///
    /// Where the classes can't be taken; then nothing changes.
    pub fn replace(&mut self, classes: Vec<(String, C)>) -> Result<(), ClassTableError> {
        check_names(&classes)?;
        let slots = self.assign_slots(&classes)?;
        for ((name, class), &slot) in classes.into_iter().zip(&slots) {
            self.put(slot, name, class);
        }
        self.in_service = slots;
        Ok(())
    }

    /// A slot for each class: its present one where its rules are the same, else a free one.
    fn assign_slots(&self, classes: &[(String, C)]) -> Result<Vec<usize>, ClassTableError> {
        let present: Vec<Option<usize>> = classes
            .iter()
            .map(|(name, class)| self.slot_of(name, class))
            .collect();
        let is_free = |slot: &usize| {
            let held = Arc::strong_count(&self.slots[*slot].slot) > 1;
            !held && !self.in_service.contains(slot) && !present.contains(&Some(*slot))
        };
        let used = self.slots.len();
        let mut free = (0..used).filter(is_free).chain(used..MAX_SLOTS);
        present
            .iter()
            .map(|slot| {
                slot.or_else(|| free.next())
                    .ok_or(ClassTableError::NoFreeSlot)
            })
            .collect()
    }

    fn slot_of(&self, name: &str, class: &C) -> Option<usize> {
        self.slots
            .iter()
            .position(|entry| entry.name == name && entry.class == *class)
    }

    fn put(&mut self, slot: usize, name: String, class: C) {
        match self.slots.get_mut(slot) {
            Some(entry) => (entry.name, entry.class) = (name, class),
            None => self.slots.push(ClassEntry {
                name,
                class,
                slot: Arc::new(slot),
            }),
        }
    }

    /// The class in every slot, in service or not, as the router takes them.
    pub fn slots(&self) -> impl Iterator<Item = &C> {
        self.slots.iter().map(|entry| &entry.class)
    }

    /// The classes in service, as the file orders them.
    pub fn in_service(&self) -> impl Iterator<Item = &ClassEntry<C>> {
        self.in_service.iter().map(|slot| &self.slots[*slot])
    }
}

fn check_names<C>(classes: &[(String, C)]) -> Result<(), ClassTableError> {
    if classes.is_empty() {
        return Err(ClassTableError::NoClass);
    }
    for (index, (name, _)) in classes.iter().enumerate() {
        if name.is_empty() {
            return Err(ClassTableError::Unnamed);
        }
        if classes[..index].iter().any(|(other, _)| other == name) {
            return Err(ClassTableError::Duplicate(name.clone()));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
