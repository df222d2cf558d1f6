//! The order of stream events, and streams open at the source.

use crate::*;

#[test]
fn numbers_come_in_order_once_and_with_no_gap_untold() {
    let news = [sent(1, 1), sent(1, 2), sent(1, 3), sent(1, 4), sent(2, 1)];
    let with = |heard: &[Event]| broken(&[&news[..], heard].concat());
    let gap = |from, to| Event::Gap {
        stream: "news".into(),
        reader: 7,
        epoch: 1,
        from,
        to,
    };
    let whole = |number| Event::Snapshot {
        stream: "news".into(),
        reader: 7,
        epoch: 1,
        number,
    };
    assert_eq!(
        with(&[
            heard(7, 1, 2),
            heard(7, 1, 3),
            heard(7, 1, 4),
            heard(7, 2, 1)
        ]),
        []
    );
    assert_eq!(with(&[heard(7, 1, 1), gap(2, 3), heard(7, 1, 4)]), []);
    assert_eq!(with(&[heard(7, 1, 1), whole(3), heard(7, 1, 4)]), []);
    assert_eq!(with(&[heard(7, 1, 1), heard(8, 1, 1)]), [], "two readers");
    assert_eq!(
        with(&[heard(7, 1, 2), heard(7, 1, 2)]),
        [("numbers twice or out of order", 1)]
    );
    assert_eq!(
        with(&[heard(7, 1, 2), heard(7, 1, 1)]),
        [("numbers twice or out of order", 1)]
    );
    assert_eq!(
        with(&[heard(7, 2, 1), heard(7, 1, 4)]),
        [("numbers twice or out of order", 1)]
    );
    assert_eq!(
        with(&[heard(7, 1, 3), whole(2)]),
        [("numbers twice or out of order", 1)]
    );
    assert_eq!(
        with(&[heard(7, 1, 9)]),
        [("numbers twice or out of order", 1)],
        "never sent"
    );
    assert_eq!(
        with(&[heard(7, 1, 1), heard(7, 1, 3)]),
        [("gaps untold", 1)]
    );
    assert_eq!(
        with(&[heard(7, 1, 1), gap(3, 3), heard(7, 1, 4)]),
        [("gaps untold", 1)],
        "told too late"
    );
}

#[test]
fn streams_at_the_source_are_compared_with_the_sites_that_have_readers() {
    let site = |n: usize| format!("site{n}");
    let joined = |n: usize| Event::Joined {
        stream: "news".into(),
        site: site(n),
        reader: n as u64,
    };
    let opened = |n: usize| Event::Opened {
        stream: "news".into(),
        site: site(n),
    };
    let closed = |n: usize| Event::Closed {
        stream: "news".into(),
        site: site(n),
    };
    let even = [
        joined(0),
        joined(1),
        opened(0),
        opened(1),
        closed(0),
        opened(0),
    ];
    assert_eq!(verdict(&even).streams_beyond, 0);
    let handover = [joined(0), opened(0), opened(0), closed(0)];
    assert_eq!(verdict(&handover).streams_beyond, 1);
    assert_eq!(verdict(&[opened(0)]).streams_beyond, 1, "for nobody");
}
