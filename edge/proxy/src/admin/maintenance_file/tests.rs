//! The maintenance file under concurrent changes of several processes, and in a directory that doesn't exist.

use super::*;

#[test]
fn no_concurrent_change_is_lost() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("maintenance");
    let start = std::sync::Barrier::new(4);
    std::thread::scope(|scope| {
        for n in 0..4 {
            let (file, start) = (file.clone(), &start);
            scope.spawn(move || {
                // As in separate processes, the file is all that the threads share.
                let stored = MaintenanceFile::new(file);
                start.wait();
                for k in 0..20 {
                    let (set, _) = stored.change(&MaintenanceSet::default(), |set| {
                        set.add(&format!("s-{n}-{k}"), true)
                    });
                    assert!(set.contains(&format!("s-{n}-{k}")));
                    if k % 2 == 1 {
                        stored
                            .change(&set, |set| set.remove(&format!("s-{n}-{}", k - 1), true))
                            .1
                            .unwrap();
                    }
                }
            });
        }
    });
    let set = MaintenanceFile::new(file).read().unwrap();
    assert_eq!(set.len(), 4 * 10);
    assert!(
        (0..4).all(|n| set.contains(&format!("s-{n}-19")) && !set.contains(&format!("s-{n}-18")))
    );
}

#[test]
fn a_set_that_cannot_be_stored_applies_to_this_process() {
    let stored = MaintenanceFile::new("/nowhere/at/all/kept".into());
    let (set, changed) = stored.change(&MaintenanceSet::default(), |set| set.add("s-1", true));
    assert!(set.contains("s-1") && changed == Ok(true) && stored.read().is_none());
    let (set, _) = stored.change(&set, |set| set.add("s-2", true));
    assert!(set.contains("s-1") && set.contains("s-2"));
}
