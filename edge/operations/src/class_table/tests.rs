//! Slots of classes across reloads.

use super::*;
use proptest::prelude::*;

fn file(classes: &[(&str, u32)]) -> Vec<(String, u32)> {
    classes
        .iter()
        .map(|(name, rule)| (name.to_string(), *rule))
        .collect()
}

fn slot_of(classes: &ClassTable<u32>, name: &str) -> Option<Arc<usize>> {
    classes
        .in_service()
        .find(|entry| entry.name == name)
        .map(|entry| entry.slot.clone())
}

#[test]
fn a_class_added_changed_and_dropped_keeps_the_slots_of_open_requests() {
    let mut classes = ClassTable::new(file(&[("a", 1), ("b", 2)])).unwrap();
    let (a, b) = (
        slot_of(&classes, "a").unwrap(),
        slot_of(&classes, "b").unwrap(),
    );
    classes
        .replace(file(&[("a", 1), ("b", 3), ("c", 4)]))
        .unwrap();
    assert_eq!(
        slot_of(&classes, "a"),
        Some(a.clone()),
        "the same rules, the same slot"
    );
    assert_ne!(
        slot_of(&classes, "b"),
        Some(b.clone()),
        "other rules, another slot"
    );
    assert_eq!(
        classes.slots().nth(*b),
        Some(&2),
        "requests of b in flight keep theirs"
    );
    classes.replace(file(&[("b", 3), ("c", 4)])).unwrap();
    assert_eq!(slot_of(&classes, "a"), None);
    assert_eq!(classes.slots().nth(*a), Some(&1));
}

#[test]
fn reloads_without_end_are_taken_as_slots_come_free_when_no_request_holds_them() {
    let mut classes = ClassTable::new(file(&[("a", 0), ("b", 0), ("c", 0)])).unwrap();
    let held = slot_of(&classes, "a").unwrap();
    for n in 1..1_000 {
        classes
            .replace(file(&[("a", n), ("b", n), ("c", n)]))
            .expect("a slot is free");
    }
    assert_eq!(
        classes.slots().nth(*held),
        Some(&0),
        "an open request keeps its class"
    );
    assert!(
        classes.slots().count() <= 7,
        "three in service, three that were, one held"
    );
}

#[test]
fn slots_that_are_all_held_refuse_a_new_class_until_one_is_given_back() {
    let mut classes = ClassTable::new(file(&[("a", 0)])).unwrap();
    let mut held = vec![slot_of(&classes, "a").unwrap()];
    for n in 1..MAX_SLOTS as u32 {
        classes.replace(file(&[("a", n)])).unwrap();
        held.push(slot_of(&classes, "a").unwrap());
    }
    let before = classes.clone();
    assert_eq!(
        classes.replace(file(&[("a", 900)])),
        Err(ClassTableError::NoFreeSlot)
    );
    assert_eq!(classes, before);
    drop(before);
    held.remove(5);
    assert_eq!(classes.replace(file(&[("a", 900)])), Ok(()));
    assert_eq!(slot_of(&classes, "a").as_deref(), Some(&5));
}

#[test]
fn a_file_that_is_refused_changes_nothing() {
    let mut classes = ClassTable::new(file(&[("a", 1)])).unwrap();
    let before = classes.clone();
    assert_eq!(classes.replace(vec![]), Err(ClassTableError::NoClass));
    assert_eq!(
        classes.replace(file(&[("a", 1), ("a", 2)])),
        Err(ClassTableError::Duplicate("a".into()))
    );
    assert_eq!(
        classes.replace(file(&[("", 1)])),
        Err(ClassTableError::Unnamed)
    );
    assert_eq!(classes, before);
}

proptest! {
    /// Requests come and end between files, in any order.
    #[test]
    fn a_held_slot_keeps_its_class_and_names_point_at_their_rules(
        steps in proptest::collection::vec(
            (proptest::collection::btree_map("[a-d]", 0u32..4, 1..4), 0usize..4, 0usize..4), 1..60)
    ) {
        let mut classes = ClassTable::new(file(&[("a", 0)])).unwrap();
        let mut open: Vec<(Arc<usize>, u32)> = Vec::new();
        for (new, come, end) in steps {
            let new: Vec<(String, u32)> = new.into_iter().collect();
            let replaced = classes.replace(new.clone());
            prop_assert!(classes.slots().count() <= MAX_SLOTS);
            // A slot is needed for what is named now, what was named before, and what is open.
            prop_assert!(replaced.is_ok() || open.len() + 6 > MAX_SLOTS);
            if replaced.is_ok() {
                prop_assert_eq!(classes.in_service().map(|entry| (entry.name.clone(), entry.class)).collect::<Vec<_>>(), new);
            }
            let mut slots: Vec<usize> = classes.in_service().map(|entry| *entry.slot).collect();
            slots.sort_unstable();
            slots.dedup();
            prop_assert_eq!(slots.len(), classes.in_service().count(), "no two names in one slot");
            open.extend(classes.in_service().map(|entry| (entry.slot.clone(), entry.class)).take(come));
            open.drain(..end.min(open.len()));
            for (slot, rule) in &open {
                prop_assert_eq!(classes.slots().nth(**slot), Some(rule), "an open request keeps its class");
            }
        }
    }
}
