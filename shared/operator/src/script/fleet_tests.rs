use super::evaluate;
use crate::values::{PoolBy, Slow, Unclaimed, Uncovered};

const FLEET: &str = r#"
fleet(listen = "127.0.0.1:7300", key_file = "/run/fleet.key", lease_ms = 500, drift_percent = 1.0)
for n in range(4):
    peer("n%d" % n, address = "127.0.0.1:%d" % (7301 + n), site = "helsinki")
[seat("n%d" % n) for n in range(3)]
cover("mix-record", uncovered = "refuse", unclaimed = "let_go", keep_ms = 3000)
stream("journal", slow = "skip")
pool("archive", slots = 64, by = "class")
weight("studio", 3.0)
"#;

#[test]
fn a_fleet_is_evaluated_into_values_and_is_off_where_it_is_not_called() {
    let fleet = evaluate("a.star", FLEET.to_string())
        .unwrap()
        .fleet
        .unwrap();
    assert_eq!(
        (fleet.peers.len(), fleet.seats.len(), fleet.lease_ms),
        (4, 3, 500)
    );
    assert_eq!(fleet.peer("n2").unwrap().address.port(), 7303);
    let cover = &fleet.covers[0].value;
    assert_eq!(
        (cover.uncovered, cover.unclaimed),
        (Uncovered::Refuse, Unclaimed::LetGo)
    );
    assert_eq!(
        (fleet.streams[0].slow, fleet.pools[0].by),
        (Slow::Skip, PoolBy::Class)
    );
    assert_eq!(fleet.weights, [("studio".to_string(), 3.0)]);
    let classes = ["mix-video".to_string()];
    let unknown = fleet.unknown(&classes).collect::<Vec<_>>();
    assert_eq!(
        unknown,
        ["a.star:6: cover names the class mix-record, which the settings do not have"]
    );
    assert_eq!(evaluate("a.star", "x = 1".into()).unwrap().fleet, None);
}

#[test]
fn what_is_wrong_with_a_fleet_is_told_once_with_its_line() {
    let with = |text: &str| FLEET.to_string() + text;
    let instead = |old: &str, new: &str| FLEET.replace(old, new);
    for (text, told) in [
        (
            instead("range(3)", "range(2)"),
            "a.star:2: 2 seats, and three at least",
        ),
        (
            instead("lease_ms = 500", "lease_ms = 60"),
            "a.star:2: lease_ms: 60 is too short: 58 ms are sure",
        ),
        (
            instead("drift_percent = 1.0", "drift_percent = 30.0"),
            "a.star:2: drift_percent: 30 is not within",
        ),
        (
            instead("key_file = \"/run/fleet.key\"", "key_file = \"\""),
            "a.star:2: key_file: ",
        ),
        (
            instead("127.0.0.1:%d", "127.0.0.%d:0"),
            "a.star:4: address: \"127.0.0.7301:0\" is no address",
        ),
        (
            instead("\"127.0.0.1:%d\" % (7301 + n)", "\"127.0.0.1:0\""),
            "a.star:4: address: 127.0.0.1:0 has no port",
        ),
        (
            instead("(7301 + n)", "7301"),
            "a.star:4: another peer has the address 127.0.0.1:7301",
        ),
        (
            with("fleet(listen = \"127.0.0.1:1\", key_file = \"k\")"),
            "a.star:10: fleet is set twice",
        ),
        (with("seat(\"n9\")"), "a.star:10: seat n9 is no peer"),
        (with("seat(\"n1\")"), "a.star:10: seat n1 is there twice"),
        (
            with("peer(\"n1\", address = \"127.0.0.1:1\", site = \"a\")"),
            "a.star:10: peer n1 is there twice",
        ),
        (
            with("peer(\"n9\", address = \"127.0.0.1:1\", site = \"a//b\")"),
            "a.star:10: site: \"a//b\" is no site",
        ),
        (
            with("cover(\"mix-record\")"),
            "a.star:10: cover mix-record is there twice",
        ),
        (
            with("cover(\"b\", uncovered = \"no\")"),
            "a.star:10: uncovered: \"no\" is none of run, refuse",
        ),
        (
            with("stream(\"journal\")"),
            "a.star:10: stream journal is there twice",
        ),
        (
            with("stream(\"b\", patience_ms = 0)"),
            "a.star:10: patience_ms: lower than 3",
        ),
        (
            with("pool(\"archive\", slots = 1)"),
            "a.star:10: pool archive is there twice",
        ),
        (
            with("pool(\"b\", slots = 0)"),
            "a.star:10: slots: lower than 1",
        ),
        (
            with("weight(\"studio\", 1.0)"),
            "a.star:10: weight studio is there twice",
        ),
        (
            with("weight(\"b\", -1.0)"),
            "a.star:10: weight: -1 is not within",
        ),
        (
            "seat(\"n1\")".to_string(),
            "a.star: peer, seat, cover, stream, pool and weight need a fleet",
        ),
    ] {
        let faults = evaluate("a.star", text.clone()).expect_err(&text);
        assert!(faults[0].starts_with(told), "{text}: {faults:?}");
        assert!(faults.iter().all(|fault| !fault.contains('\n')));
    }
}
