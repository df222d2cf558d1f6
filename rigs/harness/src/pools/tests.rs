//! Which pool a request takes its slot from.

use super::*;

#[test]
fn a_fill_holds_a_slot_of_its_source_else_of_where_it_goes() {
    let pools = Pools::new(vec![("archive".into(), 4), ("cache".into(), 2)], 2);
    let of = |asked, fill| pools.of(asked, fill);
    // Four boxes, the parent, the origin.
    assert_eq!(
        [of("cache", "s-00000006"), of("cache", "s-00000005")],
        [Some("archive"), Some("cache")]
    );
    assert_eq!(
        [of("cache", ""), of("hub", ""), of("archive", "")],
        [Some("cache"), None, Some("archive")]
    );
}
