//! Classes across reloads. The module knows a class by its place in one list; a request keeps the place that it came
//! with. So the list only grows: a class that a new file adds, or whose rules it changes, gets a new place; one that
//! the file drops keeps its place for the requests that are open under it, and its name is no longer taken.

/// Most places: past this, a file that would add more is refused and the settings in service stay.
pub const MOST: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Classes<C> {
    /// Every class ever taken, at its place.
    all: Vec<(String, C)>,
    /// The names that clients may use now, and the place of each.
    named: Vec<(String, usize)>,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Refused {
    NoClass,
    Twice(String),
    Nameless,
    TooMany,
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refused::NoClass => write!(f, "settings: no class"),
            Refused::Twice(name) => write!(f, "settings: class {name:?} is named twice"),
            Refused::Nameless => write!(f, "settings: a class has no name"),
            Refused::TooMany => write!(f, "settings: more than {MOST} classes since the start"),
        }
    }
}

impl<C: Clone + PartialEq> Classes<C> {
    pub fn new(first: Vec<(String, C)>) -> Result<Classes<C>, Refused> {
        let mut classes = Classes { all: Vec::new(), named: Vec::new() };
        classes.take(first)?;
        Ok(classes)
    }

    /// Takes a file's classes, or changes nothing.
    pub fn take(&mut self, new: Vec<(String, C)>) -> Result<(), Refused> {
        if new.is_empty() {
            return Err(Refused::NoClass);
        }
        for (k, (name, _)) in new.iter().enumerate() {
            if name.is_empty() {
                return Err(Refused::Nameless);
            }
            if new[..k].iter().any(|(other, _)| other == name) {
                return Err(Refused::Twice(name.clone()));
            }
        }
        let mut all = self.all.clone();
        let mut named = Vec::with_capacity(new.len());
        for (name, class) in new {
            let same = self.named.iter().find(|(n, _)| *n == name).map(|(_, at)| *at);
            let place = match same.filter(|at| all[*at].1 == class) {
                Some(at) => at,
                None => {
                    all.push((name.clone(), class));
                    all.len() - 1
                }
            };
            named.push((name, place));
        }
        if all.len() > MOST {
            return Err(Refused::TooMany);
        }
        (self.all, self.named) = (all, named);
        Ok(())
    }

    /// Every class at its place, for the module.
    pub fn all(&self) -> impl Iterator<Item = &C> {
        self.all.iter().map(|(_, class)| class)
    }

    /// The names in service and their places.
    pub fn named(&self) -> &[(String, usize)] {
        &self.named
    }

    pub fn place(&self, name: &str) -> Option<usize> {
        self.named.iter().find(|(n, _)| n == name).map(|(_, at)| *at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn file(classes: &[(&str, u32)]) -> Vec<(String, u32)> {
        classes.iter().map(|(name, rule)| (name.to_string(), *rule)).collect()
    }

    #[test]
    fn a_class_added_changed_and_dropped_keeps_the_places_of_open_requests() {
        let mut classes = Classes::new(file(&[("a", 1), ("b", 2)])).unwrap();
        let (a, b) = (classes.place("a").unwrap(), classes.place("b").unwrap());
        classes.take(file(&[("a", 1), ("b", 3), ("c", 4)])).unwrap();
        assert_eq!(classes.place("a"), Some(a), "the same rules, the same place");
        let b2 = classes.place("b").unwrap();
        assert_ne!(b2, b, "other rules, another place");
        assert_eq!(classes.all().nth(b), Some(&2), "open requests of b keep theirs");
        classes.take(file(&[("b", 3), ("c", 4)])).unwrap();
        assert_eq!(classes.place("a"), None);
        assert_eq!(classes.all().nth(a), Some(&1));
    }

    #[test]
    fn a_file_that_is_refused_changes_nothing() {
        let mut classes = Classes::new(file(&[("a", 1)])).unwrap();
        let before = classes.clone();
        assert_eq!(classes.take(vec![]), Err(Refused::NoClass));
        assert_eq!(classes.take(file(&[("a", 1), ("a", 2)])), Err(Refused::Twice("a".into())));
        assert_eq!(classes.take(file(&[("", 1)])), Err(Refused::Nameless));
        assert_eq!(classes, before);
    }

    proptest! {
        #[test]
        fn places_only_grow_within_the_bound_and_names_point_at_their_rules(
            files in proptest::collection::vec(proptest::collection::btree_map("[a-d]", 0u32..4, 1..4), 1..40)
        ) {
            let mut classes: Option<Classes<u32>> = None;
            for f in files {
                let new: Vec<(String, u32)> = f.into_iter().collect();
                let before = classes.clone();
                let taken = match classes.as_mut() {
                    None => Classes::new(new.clone()).map(|c| classes = Some(c)),
                    Some(c) => c.take(new.clone()),
                };
                let now = classes.as_ref().unwrap();
                prop_assert!(now.all().count() <= MOST);
                if let (Some(before), Ok(())) = (&before, &taken) {
                    prop_assert!(before.all().zip(now.all()).all(|(a, b)| a == b), "places only grow");
                }
                if taken.is_ok() {
                    for (name, rule) in &new {
                        prop_assert_eq!(now.all().nth(now.place(name).unwrap()), Some(rule));
                    }
                } else {
                    prop_assert_eq!(Some(now), before.as_ref());
                }
            }
        }
    }
}
