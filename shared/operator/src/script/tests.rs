use super::evaluate;
use foldmux_hierarchy::tree::NodeKind;

const TREE: &str = r#"
hierarchy(epoch = 4, domain = "fill.example")
archive("archive", address = "127.0.0.1:7100")
hub("south", parents = ["archive"], address = "127.0.0.1:7101", fills_per_s = 200)
hub("east", parents = ["south", "archive"], address = "127.0.0.1:7102")
for office in ["porvoo", "kotka"]:
    location(office, parents = ["east", "south"])
"#;

fn faults(text: &str) -> Vec<String> {
    evaluate("a.star", text.to_string()).expect_err(text)
}

#[test]
fn a_sound_file_is_evaluated_into_values() {
    let more =
        "relay(memory_mb = 8, writes = [\"mix-record\"])\ndns(zone = \"r.example.\", udp = \"127.0.0.1:0\")";
    let operator = evaluate("a.star", format!("{TREE}{more}")).unwrap();
    let hierarchy = operator.hierarchy.unwrap();
    assert_eq!(
        (
            hierarchy.tree.epoch(),
            hierarchy.names(NodeKind::Location).len()
        ),
        (4, 2)
    );
    assert_eq!(hierarchy.nodes["south"].fills_per_s, 200.0);
    let relay = operator.relay.unwrap();
    assert_eq!(
        (relay.memory_mb, relay.lease_ms, relay.writes),
        (8, 500, vec!["mix-record".to_string()])
    );
    assert_eq!(operator.dns.unwrap().lease_ms, 2_000);
    let empty = evaluate("a.star", "x = 1".into()).unwrap();
    assert!(empty.hierarchy.is_none() && empty.relay.is_none() && empty.dns.is_none());
}

#[test]
fn what_is_wrong_is_told_with_file_line_and_reason() {
    let of = |text: &str| faults(&format!("{TREE}{text}"));
    for (text, told) in [
        (
            "hub(\"west\", parents = [\"north\"])",
            "a.star:8: west names the parent north, which is not in the tree",
        ),
        (
            "location(\"porvoo\", parents = [\"east\"])",
            "a.star:8: node porvoo is declared twice",
        ),
        (
            "hierarchy(epoch = 5, domain = \"fill.example\")",
            "a.star:8: hierarchy is set twice",
        ),
        ("relay(lease_ms = 0)", "a.star:8: lease_ms: lower than 10"),
        ("relay(memory = 3)", "a.star:8: "),
        (
            "hub(\"west\", parents = [\"archive\"], address = \"west\")",
            "a.star:8: address: \"west\" is no address",
        ),
        (
            "dns(zone = \"r.example.\")",
            "a.star:8: none of udp, tcp and tls is set",
        ),
        (
            "dns(zone = \"r.\", udp = \"127.0.0.1:0\", lease_ms = -1)",
            "a.star:8: lease_ms: -1 is negative",
        ),
        (
            "ext_proc(listen = \"10.0.0.1:9\")\nask(\"a\", path = \"/{object}\")",
            "a.star:8: 10.0.0.1:9 is no loopback address",
        ),
        (
            "ext_proc(listen = \"127.0.0.1:9\")",
            "a.star:8: asks: length is lower than 1",
        ),
        ("ask(\"a\", path = \"x\")", "a.star:8: path: "),
        (
            "ask(\"a\", path = \"/x\")",
            "a.star: ask, token_key and ledger need an ext_proc",
        ),
        (
            "ledger(\"l\", durable = \"no\")",
            "a.star:8: durable: \"no\" is none of",
        ),
        (
            "token_key(number = 1, secret = \"short\")",
            "a.star:8: secret: ",
        ),
        (
            "ext_proc(listen = \"127.0.0.1:9\", good_for_ms = 300)\nask(\"a\", path = \"/x\")",
            "a.star:8: good_for_ms: ",
        ),
        (
            "ext_proc(listen = \"127.0.0.1:9\")\nask(\"a\", path = \"/x\")\nledger(\"l\")",
            "a.star:8: a ledger without a token_key",
        ),
        ("open(\"/etc/passwd\")", "a.star:8: "),
        ("load(\"b.star\", \"b\")", "a.star:8: "),
        ("x = 1 +", "a.star:8: "),
    ] {
        let faults = of(text);
        assert!(faults[0].starts_with(told), "{text}: {faults:?}");
        assert!(faults.iter().all(|f| !f.contains('\n')));
    }
    let cycle = TREE.replace(
        "[\"archive\"], address = \"127.0.0.1:7101\"",
        "[\"east\"], address = \"127.0.0.1:7101\"",
    );
    assert!(
        faults(&cycle)[0].contains("the parents form a cycle"),
        "{:?}",
        faults(&cycle)
    );
    assert_eq!(
        faults("hub(\"a\", parents = [])"),
        ["a.star:1: a is in no hierarchy: call hierarchy(…)"]
    );
    assert_eq!(faults("\nrelay()"), ["a.star: a relay needs a hierarchy"]);
    let unplaced = TREE.replace(", address = \"127.0.0.1:7102\"", "") + "relay()";
    assert_eq!(
        faults(&unplaced),
        ["a.star:5: east has no address, and relays must reach it"]
    );
}

#[test]
fn a_script_is_bounded_in_steps_memory_and_depth() {
    let told = faults("for i in range(1000000000):\n    pass");
    assert!(told[0].contains("tick"), "{told:?}");
    let told = faults("x = []\nfor i in range(1000000):\n    x.append('ab' * 1000)");
    assert!(told[0].contains("Heap memory"), "{told:?}");
    let told = faults("def f():\n    f()\nf()");
    assert!(told[0].contains("stack"), "{told:?}");
}
