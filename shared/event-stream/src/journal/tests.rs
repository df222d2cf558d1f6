//! Unit tests of `journal`.

use super::*;

fn parse(text: &str) -> Result<EventBatch, String> {
    simd_json::serde::from_slice(&mut text.as_bytes().to_vec()).map_err(|e| e.to_string())
}

const GOOD: &str = r#"{"name":"s-1","address":"10.1.0.9:7001","zone":"east","type":"std","group":2,"status":"ready","weight":4,"since_ms":12}"#;

#[test]
fn an_undecodable_endpoint_is_skipped_by_itself() {
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
    for endpoint in bad {
        let text = format!(
            r#"{{"pos":2,"entries":[{{"pos":1,"hosts":{{"index":3,"snapshot":true,"endpoints":[{GOOD},{endpoint},{GOOD}]}}}},{{"pos":2,"expire":{{"set":4,"stamp":9}}}}]}}"#
        );
        let batch = parse(&text).expect(endpoint);
        let hosts = batch.entries[0].hosts.as_ref().unwrap();
        assert!(
            hosts.snapshot && hosts.endpoints.iter().all(|e| e.name == "s-1"),
            "{endpoint}"
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
        assert_eq!(batch.entries[1].expire.as_ref().unwrap().set, Some(4));
    }
}

#[test]
fn an_undecodable_event_keeps_its_number_and_a_truncated_response_is_an_error() {
    for content in [
        r#""hosts":5"#,
        r#""hosts":null"#,
        r#""expire":{"set":-1,"stamp":9}"#,
        r#""expire":{"name":"a"}"#,
    ] {
        let batch = parse(&format!(
            r#"{{"pos":2,"entries":[{{"pos":1,{content}}},{{"pos":2}}]}}"#
        ))
        .expect(content);
        assert_eq!(
            batch.entries.iter().map(|e| e.pos).collect::<Vec<_>>(),
            [1, 2]
        );
        assert!(batch.entries[0].hosts.is_none() && batch.entries[0].expire.is_none());
    }
    let response =
        format!(r#"{{"pos":1,"entries":[{{"pos":1,"hosts":{{"endpoints":[{GOOD}]}}}}]}}"#);
    assert!(parse(&response).is_ok());
    let fractional = parse(&response.replace("\"weight\":4", "\"weight\":1.5")).unwrap();
    assert_eq!(
        fractional.entries[0].hosts.as_ref().unwrap().endpoints[0].weight,
        1.5
    );
    for length in 1..response.len() {
        assert!(
            parse(&response[..length]).is_err(),
            "{}",
            &response[..length]
        );
    }
}
