//! What a reader makes of a served journal: news in order, a whole that tells some again, a gap told, one untold.

use foldmux_event_stream::journal::{Entry, EventBatch, Expire, Hosts, Lost};
use foldmux_harness::check::{read, Verdict};
use foldmux_harness::news::{object, PURGES};
use foldmux_harness::place::Place;
use foldmux_harness::record::{Event, Line};

fn purge(number: u64) -> Entry {
    let expire = Expire {
        name: Some(format!("{:016x}", object(1, number))),
        set: None,
        stamp: 1,
    };
    Entry {
        expire: Some(expire),
        ..Entry::default()
    }
}

fn whole() -> Entry {
    let hosts = Hosts {
        index: 1,
        snapshot: true,
        endpoints: Vec::new(),
    };
    Entry {
        hosts: Some(hosts),
        ..Entry::default()
    }
}

fn lost() -> Entry {
    Entry {
        lost: Some(Lost { from: 1, to: None }),
        ..Entry::default()
    }
}

/// One answer, numbered from 1, of a source that told ten purges.
fn judged(entries: Vec<Entry>) -> Verdict {
    let entries: Vec<Entry> = entries
        .into_iter()
        .zip(1..)
        .map(|(e, pos)| Entry { pos, ..e })
        .collect();
    let feed = EventBatch {
        pos: entries.len() as u64,
        entries,
    };
    let mut events = vec![Event::Sent {
        stream: PURGES.into(),
        epoch: 1,
        number: 10,
    }];
    events.extend(Place::new(1).take(&feed).0);
    read(
        &events
            .into_iter()
            .map(|event| Line { at: 0, event })
            .collect::<Vec<_>>(),
    )
}

#[test]
fn a_whole_may_tell_again_in_order_and_nothing_else_may() {
    assert!(judged(vec![
        whole(),
        purge(1),
        purge(2),
        whole(),
        purge(1),
        purge(2),
        purge(3)
    ])
    .sound());
    assert_eq!(
        judged(vec![whole(), purge(1), purge(2), purge(2)]).numbers_twice,
        1
    );
    assert_eq!(
        judged(vec![purge(1), purge(2), whole(), purge(2), purge(1)]).numbers_twice,
        1
    );
}

#[test]
fn what_is_missing_is_a_break_unless_it_was_told() {
    assert_eq!(judged(vec![whole(), purge(1), purge(4)]).gaps_untold, 1);
    let told = judged(vec![whole(), purge(1), lost(), whole(), purge(4)]);
    assert_eq!((told.gaps_untold, told.gaps), (0, 1));
}
