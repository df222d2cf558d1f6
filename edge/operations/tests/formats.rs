//! The text of the maintenance file, against a fixture.

use foldmux_operations::maintenance::MaintenanceSet;

#[test]
fn the_text_of_the_maintenance_file_stays() {
    let file = include_str!("formats/maintenance.txt");
    let mut set = MaintenanceSet::default();
    for id in ["s-7", "s-12", "cache-b.east"] {
        set.add(id, true).unwrap();
    }
    assert_eq!(set.render(), file);
    assert_eq!(MaintenanceSet::parse(file), set);
    assert_eq!(MaintenanceSet::parse(file).render(), file);
}
