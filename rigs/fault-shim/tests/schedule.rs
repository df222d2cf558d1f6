//! A schedule strikes the calls that it names, as often as it says, and one that can't be used is refused.

use foldmux_fault_shim::schedule::{parse, Call, Effect, Role, Rule};

fn one(text: &str) -> Rule {
    let mut rules = parse(text).unwrap();
    assert_eq!(rules.len(), 1);
    rules.remove(0)
}

fn struck(rule: &Rule, calls: u64) -> Vec<u64> {
    (1..=calls)
        .filter(|_| rule.strikes(Call::Recv, Role::Client, 5))
        .collect()
}

#[test]
fn a_rule_strikes_each_so_many_th_call_after_those_it_skips() {
    let rule = one("# a comment\n\nrecv role=client error=ENOBUFS every=3 skip=2 count=2");
    assert_eq!(rule.effect, Effect::Fail(libc::ENOBUFS));
    assert_eq!(struck(&rule, 20), [5, 8]);
}

#[test]
fn a_rule_strikes_in_its_time_and_on_its_role_and_call_alone() {
    let rule = one("recv role=client effect=short from_ms=5 until_ms=6");
    assert!(
        !rule.strikes(Call::Recv, Role::Client, 4) && !rule.strikes(Call::Recv, Role::Client, 6)
    );
    assert!(
        !rule.strikes(Call::Recv, Role::Server, 5) && !rule.strikes(Call::Send, Role::Client, 5)
    );
    assert!(rule.strikes(Call::Recv, Role::Client, 5));
    assert!(one("thread error=EAGAIN").strikes(Call::Thread, Role::Other, 0));
}

#[test]
fn a_line_that_is_no_rule_is_refused_by_its_text() {
    for line in [
        "recv",
        "recv error=EWHAT",
        "flush error=EINTR",
        "recv error=EINTR every=0",
        "recv x",
    ] {
        assert_eq!(parse(line).unwrap_err(), format!("not a rule: {line}"));
    }
}
