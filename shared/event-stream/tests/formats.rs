//! The JSON of the journal's responses and of relayed items, against fixtures.

#[path = "../../../tests/formats/text.rs"]
mod fixtures;

use foldmux_event_stream::items::{entries_of, ItemLog};
use foldmux_event_stream::journal::{Endpoint, Entry, EventBatch, Expire, Hosts, Lost};
use foldmux_relay::{Event, Item};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;

fn check<T: Debug + Serialize + DeserializeOwned>(file: &str, values: &[(&str, T)]) {
    fixtures::check(
        &format!("{}/tests/formats/{file}", env!("CARGO_MANIFEST_DIR")),
        values,
        |value| simd_json::serde::to_string(value).expect("the value can be encoded"),
        |text| {
            simd_json::serde::from_slice(&mut text.as_bytes().to_vec())
                .expect("the text can be read")
        },
    );
}

fn hosts() -> Hosts {
    let full = Endpoint {
        name: "s-1".into(),
        address: Some("10.1.0.9:7001".parse().unwrap()),
        zone: "east".into(),
        kind: "std".into(),
        group: 301,
        status: "ready".into(),
        weight: 1.5,
        since_ms: 302,
    };
    let gone = Endpoint {
        name: "s-2".into(),
        address: None,
        status: "gone".into(),
        ..full.clone()
    };
    Hosts {
        index: 303,
        snapshot: true,
        endpoints: vec![full, gone],
    }
}

fn expire(name: Option<&str>, set: Option<u32>) -> Entry {
    Entry {
        pos: 304,
        expire: Some(Expire {
            name: name.map(Into::into),
            set,
            stamp: 305,
        }),
        ..Entry::default()
    }
}

fn listed() -> Entry {
    Entry {
        pos: 306,
        hosts: Some(hosts()),
        ..Entry::default()
    }
}

#[test]
fn the_encoding_of_entries_is_stable() {
    let lost = |to| Entry {
        pos: 307,
        lost: Some(Lost { from: 308, to }),
        ..Entry::default()
    };
    check(
        "entries.txt",
        &[
            ("endpoints", listed()),
            ("purge of a name", expire(Some("a"), None)),
            ("purge of a set", expire(None, Some(309))),
            ("lost", lost(Some(310))),
            ("lost, without an end", lost(None)),
        ],
    );
}

#[test]
fn the_encoding_of_responses_is_stable() {
    let batch = EventBatch {
        pos: 311,
        entries: vec![listed(), expire(Some("a"), Some(312))],
    };
    check("answers.txt", &[("answer", batch)]);
}

#[test]
fn the_encoding_of_items_is_stable() {
    let mut log = ItemLog::default();
    log.add_entry(&listed());
    log.add_entry(&expire(Some("a"), Some(313)));
    let (epoch, items) = log.take_pending();
    let text = |item: &Item| String::from_utf8(item.bytes.to_vec()).expect("JSON");
    let names = ["endpoint", "endpoint that is gone", "purge"];
    let named: Vec<_> = names.into_iter().zip(items.iter().map(text)).collect();
    fixtures::check(
        concat!(env!("CARGO_MANIFEST_DIR"), "/tests/formats/items.txt"),
        &named,
        String::clone,
        str::to_string,
    );
    let item = |item: Item| Event::Item { epoch, item };
    let events: Vec<Event> = items.into_iter().map(item).collect();
    let relayed: Vec<_> = names.into_iter().zip(entries_of(314, &events)).collect();
    check("relayed_entries.txt", &relayed);
}
