//! Unit tests of `items`.

use super::*;

fn entry(text: &str) -> Entry {
    simd_json::serde::from_slice(&mut text.as_bytes().to_vec()).unwrap()
}

#[test]
fn events_become_items_and_the_same_events_again() {
    let list = entry(
        r#"{"pos":1,"hosts":{"index":7,"snapshot":true,"endpoints":[
            {"name":"s-1","address":"10.1.0.9:7001","zone":"east","type":"std","group":2,"status":"ready","weight":4},
            {"name":"s-2","status":"gone"}]}}"#,
    );
    let purge = entry(r#"{"pos":2,"expire":{"set":17,"stamp":1764576000480}}"#);
    let mut log = ItemLog::default();
    [&list, &purge]
        .into_iter()
        .for_each(|entry| log.add_entry(entry));
    let (epoch, items) = log.take_pending();
    let numbered: Vec<_> = items
        .iter()
        .map(|i| (i.number, i.key.as_deref(), i.deleted))
        .collect();
    assert_eq!(
        numbered,
        [
            (1, Some("s-1"), false),
            (2, Some("s-2"), true),
            (3, None, false)
        ]
    );
    let events: Vec<Event> = items
        .into_iter()
        .map(|item| Event::Item { epoch, item })
        .collect();
    let decoded = entries_of(40, &events);
    assert_eq!(
        decoded.iter().map(|e| e.pos).collect::<Vec<_>>(),
        [40, 41, 42]
    );
    let first = decoded[0].hosts.as_ref().unwrap();
    assert_eq!((first.index, first.endpoints[0].weight), (7, 4.0));
    assert_eq!(decoded[2].expire.as_ref().unwrap().set, Some(17));
    // Another full list starts another epoch.
    log.add_entry(&list);
    let (next, items) = log.take_pending();
    assert!(next != epoch && items[0].number == 1);
}
