//! The pop caches that an operator took out by hand. A set: a second `maint-on` changes nothing, one `maint-off`
//! brings it back. Kept as text, one id a line, so that a new version beside the old one starts with it.

use std::collections::BTreeSet;

/// Most ids held: far beyond any list of pop caches, so that a caller can't grow it without end.
pub const MOST: usize = 4096;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Maintenance {
    out: BTreeSet<String>,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Refused {
    Unknown,
    Full,
}

impl Maintenance {
    /// Takes `id` out, where `known`; whether the set changed.
    pub fn on(&mut self, id: &str, known: bool) -> Result<bool, Refused> {
        if self.out.contains(id) {
            return Ok(false);
        }
        if !known {
            return Err(Refused::Unknown);
        }
        if self.out.len() >= MOST {
            return Err(Refused::Full);
        }
        Ok(self.out.insert(id.to_string()))
    }

    /// Brings `id` back; one that is out is always known. Whether the set changed.
    pub fn off(&mut self, id: &str, known: bool) -> Result<bool, Refused> {
        match self.out.remove(id) {
            true => Ok(true),
            false if known => Ok(false),
            false => Err(Refused::Unknown),
        }
    }

    pub fn holds(&self, id: &str) -> bool {
        self.out.contains(id)
    }

    pub fn len(&self) -> usize {
        self.out.len()
    }

    pub fn is_empty(&self) -> bool {
        self.out.is_empty()
    }

    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.out.iter().map(String::as_str)
    }

    /// The form on disk.
    pub fn render(&self) -> String {
        self.out.iter().map(|id| format!("{id}\n")).collect()
    }

    /// From the form on disk. A file cut off in its last line loses that line alone; blank lines are passed
    /// over; what is beyond `MOST` is left out.
    pub fn parse(text: &str) -> Maintenance {
        let ids = text
            .lines()
            .map(str::trim)
            .filter(|id| !id.is_empty() && !id.contains(char::is_whitespace));
        Maintenance {
            out: ids.take(MOST).map(str::to_string).collect(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn two_calls_out_are_undone_by_one_call_back() {
        let mut held = Maintenance::default();
        assert_eq!(held.on("s-1", true), Ok(true));
        assert_eq!(held.on("s-1", true), Ok(false));
        assert_eq!(held.off("s-1", true), Ok(true));
        assert!(!held.holds("s-1"));
        assert_eq!(held.off("s-1", true), Ok(false));
    }

    #[test]
    fn an_unknown_id_gets_a_no() {
        let mut held = Maintenance::default();
        assert_eq!(held.on("s-9", false), Err(Refused::Unknown));
        assert_eq!(held.off("s-9", false), Err(Refused::Unknown));
        assert!(held.is_empty());
    }

    #[test]
    fn one_that_is_out_can_be_brought_back_after_it_left_the_list() {
        let mut held = Maintenance::default();
        held.on("s-1", true).unwrap();
        assert_eq!(held.off("s-1", false), Ok(true));
    }

    proptest! {
        #[test]
        fn the_form_on_disk_gives_back_the_same_set(ids in proptest::collection::btree_set("[a-z0-9-]{1,20}", 0..50)) {
            let mut held = Maintenance::default();
            ids.iter().for_each(|id| { held.on(id, true).unwrap(); });
            prop_assert_eq!(Maintenance::parse(&held.render()), held);
        }
    }
}
