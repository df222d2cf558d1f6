//! Unit tests of `words`.

use super::*;

fn feed(text: &str) -> Result<EventBatch, String> {
    simd_json::serde::from_slice(&mut text.as_bytes().to_vec()).map_err(|e| e.to_string())
}

const GOOD: &str = r#"{"name":"s-1","address":"10.1.0.9:7001","zone":"east","type":"std","group":2,"status":"ready","weight":4,"since_ms":12}"#;

#[test]
fn a_line_that_cannot_be_read_costs_itself_alone() {
    let bad = [
        "7",
        "null",
        "[]",
        "{}",
        r#"{"name":"s-2"}"#,
        r#"{"name":5,"status":"ready"}"#,
        r#"{"name":"s-2","status":"ready","address":"nowhere"}"#,
        r#"{"name":"s-2","status":"ready","address":"10.1.0.9:70010"}"#,
        r#"{"name":"s-2","status":"ready","group":-1}"#,
        r#"{"name":"s-2","status":"ready","group":70000}"#,
        r#"{"name":"s-2","status":"ready","since_ms":-4}"#,
        r#"{"name":"s-2","status":"ready","weight":"heavy"}"#,
    ];
    for line in bad {
        let text = format!(
            r#"{{"pos":2,"entries":[{{"pos":1,"hosts":{{"index":3,"snapshot":true,"endpoints":[{GOOD},{line},{GOOD}]}}}},{{"pos":2,"expire":{{"set":4,"stamp":9}}}}]}}"#
        );
        let feed = feed(&text).expect(line);
        let hosts = feed.entries[0].hosts.as_ref().unwrap();
        assert!(
            hosts.snapshot && hosts.endpoints.iter().all(|e| e.name == "s-1"),
            "{line}"
        );
        let first = &hosts.endpoints[0];
        assert_eq!(
            (
                hosts.endpoints.len(),
                first.group,
                first.weight,
                first.since_ms
            ),
            (2, 2, 4.0, 12)
        );
        assert_eq!(first.address, Some("10.1.0.9:7001".parse().unwrap()));
        assert_eq!(feed.entries[1].expire.as_ref().unwrap().set, Some(4));
    }
}

#[test]
fn an_event_whose_words_cannot_be_read_keeps_its_number_and_an_answer_cut_short_is_none() {
    for said in [
        r#""hosts":5"#,
        r#""hosts":null"#,
        r#""expire":{"set":-1,"stamp":9}"#,
        r#""expire":{"name":"a"}"#,
    ] {
        let read = feed(&format!(
            r#"{{"pos":2,"entries":[{{"pos":1,{said}}},{{"pos":2}}]}}"#
        ))
        .expect(said);
        assert_eq!(
            read.entries.iter().map(|e| e.pos).collect::<Vec<_>>(),
            [1, 2]
        );
        assert!(read.entries[0].hosts.is_none() && read.entries[0].expire.is_none());
    }
    let whole = format!(r#"{{"pos":1,"entries":[{{"pos":1,"hosts":{{"endpoints":[{GOOD}]}}}}]}}"#);
    assert!(feed(&whole).is_ok());
    let part = feed(&whole.replace("\"weight\":4", "\"weight\":1.5")).unwrap();
    assert_eq!(
        part.entries[0].hosts.as_ref().unwrap().endpoints[0].weight,
        1.5
    );
    for cut in 1..whole.len() {
        assert!(feed(&whole[..cut]).is_err(), "{}", &whole[..cut]);
    }
}
