//! Changes to the maintenance set, and its stored form.

use super::*;
use proptest::prelude::*;

#[test]
fn two_additions_are_undone_by_one_removal() {
    let mut set = MaintenanceSet::default();
    assert_eq!(set.add("s-1", true), Ok(true));
    assert_eq!(set.add("s-1", true), Ok(false));
    assert_eq!(set.remove("s-1", true), Ok(true));
    assert!(!set.contains("s-1"));
    assert_eq!(set.remove("s-1", true), Ok(false));
}

#[test]
fn an_unknown_id_is_refused() {
    let mut set = MaintenanceSet::default();
    assert_eq!(set.add("s-9", false), Err(MaintenanceError::UnknownCache));
    assert_eq!(
        set.remove("s-9", false),
        Err(MaintenanceError::UnknownCache)
    );
    assert!(set.is_empty());
}

#[test]
fn one_that_is_out_can_be_brought_back_after_it_left_the_list() {
    let mut set = MaintenanceSet::default();
    set.add("s-1", true).unwrap();
    assert_eq!(set.remove("s-1", false), Ok(true));
}

proptest! {
    #[test]
    fn the_stored_form_gives_back_the_same_set(ids in proptest::collection::btree_set("[a-z0-9-]{1,20}", 0..50)) {
        let mut set = MaintenanceSet::default();
        ids.iter().for_each(|id| { set.add(id, true).unwrap(); });
        prop_assert_eq!(MaintenanceSet::parse(&set.render()), set);
    }
}
