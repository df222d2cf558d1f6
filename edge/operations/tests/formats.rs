//! The text of the maintenance file, against a fixture.

use foldmux_operations::maintenance::Maintenance;

#[test]
fn the_text_of_the_maintenance_file_stays() {
    let file = include_str!("formats/maintenance.txt");
    let mut set = Maintenance::default();
    for id in ["s-7", "s-12", "cache-b.east"] {
        set.on(id, true).unwrap();
    }
    assert_eq!(set.render(), file);
    assert_eq!(Maintenance::parse(file), set);
    assert_eq!(Maintenance::parse(file).render(), file);
}
