//! Classes across reloads. The module knows a class by its place in one list; a request keeps the place that it came
//! with. A class that a new file adds, or whose rules it changes, gets another place; one that the file drops keeps its
//! place for as long as anyone holds it, an open request or a front that may still name it. After that the next new
//! class takes the place.

use std::sync::Arc;

/// Most places: past this, a file that would add more is refused and the settings in service stay.
pub const MOST: usize = 64;

/// One class at its place. Whoever may still use the place holds a clone of it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Held<C> {
    name: String,
    class: C,
    place: Arc<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Classes<C> {
    /// The class at each place, in service or not.
    all: Vec<Held<C>>,
    /// The places of the names that clients may use now, as the file orders them.
    named: Vec<usize>,
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
            Refused::TooMany => {
                write!(
                    f,
                    "settings: more than {MOST} classes in service or with open requests"
                )
            }
        }
    }
}

impl<C: Clone + PartialEq> Classes<C> {
    pub fn new(first: Vec<(String, C)>) -> Result<Classes<C>, Refused> {
        let mut classes = Classes {
            all: Vec::new(),
            named: Vec::new(),
        };
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
        let same = |(name, class): &(String, C)| {
            self.all
                .iter()
                .position(|held| held.name == *name && held.class == *class)
        };
        let kept: Vec<Option<usize>> = new.iter().map(same).collect();
        let free = |at: &usize| {
            let held = Arc::strong_count(&self.all[*at].place) > 1;
            !held && !self.named.contains(at) && !kept.contains(&Some(*at))
        };
        let mut free = (0..self.all.len()).filter(free).chain(self.all.len()..MOST);
        let places = kept.iter().map(|kept| kept.or_else(|| free.next()));
        let places: Vec<usize> = places.collect::<Option<_>>().ok_or(Refused::TooMany)?;
        for ((name, class), &at) in new.into_iter().zip(&places) {
            if at == self.all.len() {
                self.all.push(Held {
                    name,
                    class,
                    place: Arc::new(at),
                });
            } else {
                (self.all[at].name, self.all[at].class) = (name, class);
            }
        }
        self.named = places;
        Ok(())
    }

    /// Every class at its place, for the module.
    pub fn all(&self) -> impl Iterator<Item = &C> {
        self.all.iter().map(|held| &held.class)
    }

    /// The classes in service: name, place, rules. A clone of the place holds it.
    pub fn named(&self) -> impl Iterator<Item = (&str, &Arc<usize>, &C)> {
        self.named
            .iter()
            .map(|at| &self.all[*at])
            .map(|held| (&*held.name, &held.place, &held.class))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn file(classes: &[(&str, u32)]) -> Vec<(String, u32)> {
        classes
            .iter()
            .map(|(name, rule)| (name.to_string(), *rule))
            .collect()
    }

    fn place(classes: &Classes<u32>, name: &str) -> Option<Arc<usize>> {
        classes
            .named()
            .find(|named| named.0 == name)
            .map(|named| named.1.clone())
    }

    #[test]
    fn a_class_added_changed_and_dropped_keeps_the_places_of_open_requests() {
        let mut classes = Classes::new(file(&[("a", 1), ("b", 2)])).unwrap();
        let (a, b) = (place(&classes, "a").unwrap(), place(&classes, "b").unwrap());
        classes.take(file(&[("a", 1), ("b", 3), ("c", 4)])).unwrap();
        assert_eq!(
            place(&classes, "a"),
            Some(a.clone()),
            "the same rules, the same place"
        );
        assert_ne!(
            place(&classes, "b"),
            Some(b.clone()),
            "other rules, another place"
        );
        assert_eq!(
            classes.all().nth(*b),
            Some(&2),
            "open requests of b keep theirs"
        );
        classes.take(file(&[("b", 3), ("c", 4)])).unwrap();
        assert_eq!(place(&classes, "a"), None);
        assert_eq!(classes.all().nth(*a), Some(&1));
    }

    #[test]
    fn retunes_without_end_are_taken_as_places_come_free_when_no_request_holds_them() {
        let mut classes = Classes::new(file(&[("a", 0), ("b", 0), ("c", 0)])).unwrap();
        let held = place(&classes, "a").unwrap();
        for n in 1..1_000 {
            classes
                .take(file(&[("a", n), ("b", n), ("c", n)]))
                .expect("a place is free");
        }
        assert_eq!(
            classes.all().nth(*held),
            Some(&0),
            "an open request keeps its class"
        );
        assert!(
            classes.all().count() <= 7,
            "three in service, three that were, one held"
        );
    }

    #[test]
    fn places_that_are_all_held_refuse_a_new_class_until_one_is_given_back() {
        let mut classes = Classes::new(file(&[("a", 0)])).unwrap();
        let mut held = vec![place(&classes, "a").unwrap()];
        for n in 1..MOST as u32 {
            classes.take(file(&[("a", n)])).unwrap();
            held.push(place(&classes, "a").unwrap());
        }
        let before = classes.clone();
        assert_eq!(classes.take(file(&[("a", 900)])), Err(Refused::TooMany));
        assert_eq!(classes, before);
        drop(before);
        held.remove(5);
        assert_eq!(classes.take(file(&[("a", 900)])), Ok(()));
        assert_eq!(place(&classes, "a").as_deref(), Some(&5));
    }

    #[test]
    fn a_file_that_is_refused_changes_nothing() {
        let mut classes = Classes::new(file(&[("a", 1)])).unwrap();
        let before = classes.clone();
        assert_eq!(classes.take(vec![]), Err(Refused::NoClass));
        assert_eq!(
            classes.take(file(&[("a", 1), ("a", 2)])),
            Err(Refused::Twice("a".into()))
        );
        assert_eq!(classes.take(file(&[("", 1)])), Err(Refused::Nameless));
        assert_eq!(classes, before);
    }

    proptest! {
        /// Requests come and end between files, in any order.
        #[test]
        fn a_held_place_keeps_its_class_and_names_point_at_their_rules(
            steps in proptest::collection::vec(
                (proptest::collection::btree_map("[a-d]", 0u32..4, 1..4), 0usize..4, 0usize..4), 1..60)
        ) {
            let mut classes = Classes::new(file(&[("a", 0)])).unwrap();
            let mut open: Vec<(Arc<usize>, u32)> = Vec::new();
            for (new, come, end) in steps {
                let new: Vec<(String, u32)> = new.into_iter().collect();
                let taken = classes.take(new.clone());
                prop_assert!(classes.all().count() <= MOST);
                // A place is needed for what is named now, what was named before, and what is open.
                prop_assert!(taken.is_ok() || open.len() + 6 > MOST);
                if taken.is_ok() {
                    prop_assert_eq!(classes.named().map(|(name, _, rule)| (name.to_string(), *rule)).collect::<Vec<_>>(), new);
                }
                let mut places: Vec<usize> = classes.named().map(|named| **named.1).collect();
                places.sort_unstable();
                places.dedup();
                prop_assert_eq!(places.len(), classes.named().count(), "no two names at one place");
                open.extend(classes.named().map(|(_, place, rule)| (place.clone(), *rule)).take(come));
                open.drain(..end.min(open.len()));
                for (place, rule) in &open {
                    prop_assert_eq!(classes.all().nth(**place), Some(rule), "an open request keeps its class");
                }
            }
        }
    }
}
