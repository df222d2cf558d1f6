//! SIGHUP changes classes while requests are open under the old ones: each open request ends by the rules that it came
//! with, each new one by the new, and no place of an old class is ever another's.

use admin_process::{call, configured, start, AdminProcess};
use foldmux_fakes::rpc::Said;
use held_attempts::{ask, Attempt, BODY};
use std::net::TcpListener;
use std::path::PathBuf;

#[path = "common/admin_process.rs"]
mod admin_process;
mod common;
#[path = "common/held_attempts.rs"]
mod held_attempts;

struct Place {
    running: AdminProcess,
    file: PathBuf,
    good: String,
    caches: TcpListener,
    _journal: TcpListener,
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

impl Place {
    fn new(name: &str) -> Place {
        let (file, caches, journal) = configured(name);
        let good = std::fs::read_to_string(&file).unwrap();
        Place {
            running: start(&file, None).unwrap(),
            file,
            good,
            caches,
            _journal: journal,
        }
    }

    /// Reloads with one text in the place of another; returns once the program has taken it.
    fn take(&self, is: &str, becomes: &str) -> String {
        assert!(self.good.contains(is), "{is}");
        let said = self
            .running
            .reload(&self.file, &self.good.replace(is, becomes));
        assert!(said.contains("reload: classes "), "{said}");
        said
    }

    fn attempt(&self) -> Attempt {
        Attempt::next(&self.caches)
    }

    fn asks(&self, class: &str, object: u64) -> held_attempts::PendingResponse {
        ask(self.running.serves, class, object)
    }

    /// A request of this class whose first attempt may have run is tried again, and served.
    fn is_repeated(&self, class: &str, object: u64) {
        let asked = self.asks(class, object);
        self.attempt().cut();
        self.attempt().serve();
        assert_eq!(
            asked.said(),
            Some(Said::Served(BODY.to_vec())),
            "{class} is repeated"
        );
    }

    /// A request of this class whose first attempt may have run has failed.
    fn is_not_repeated(&self, class: &str, object: u64) {
        let asked = self.asks(class, object);
        self.attempt().cut();
        assert!(
            matches!(asked.said(), Some(Said::Failed(_))),
            "{class} is not repeated"
        );
    }
}

const FREE: &str = r#""idempotency":"free""#;
const ONCE: &str = r#""idempotency":"single_shot""#;
const SHEET: &str = r#"{"name":"sheet","slo":20000000,"hardLimit":30000000,"#;

#[test]
fn an_open_request_of_a_class_that_becomes_single_shot_is_still_repeated_and_a_new_one_is_not() {
    let place = Place::new("once");
    let open = place.asks("sheet", 1);
    let first = place.attempt();
    place.take(FREE, ONCE);
    first.cut();
    place.attempt().serve();
    assert_eq!(open.said(), Some(Said::Served(BODY.to_vec())));
    place.is_not_repeated("sheet", 2);
}

#[test]
fn an_open_request_of_a_class_that_becomes_free_is_not_repeated_and_a_new_one_is() {
    let place = Place::new("free");
    place.take(FREE, ONCE);
    let open = place.asks("sheet", 1);
    let first = place.attempt();
    place.take(FREE, FREE);
    first.cut();
    assert!(matches!(open.said(), Some(Said::Failed(_))));
    place.is_repeated("sheet", 2);
}

#[test]
fn an_open_request_keeps_its_deadline_and_a_new_one_has_the_new() {
    let place = Place::new("deadline");
    let open = place.asks("sheet", 1);
    let first = place.attempt();
    place.take(
        SHEET,
        &SHEET.replace("\"hardLimit\":30000000", "\"hardLimit\":300000"),
    );
    // A new one ends by itself, long before its client would give it up; the open one is waited for beyond that.
    let new = place.asks("sheet", 2);
    let second = place.attempt();
    assert!(!matches!(new.said(), Some(Said::Served(_)) | None));
    second.cut();
    first.serve();
    assert_eq!(open.said(), Some(Said::Served(BODY.to_vec())));
}

#[test]
fn classes_that_swap_their_rules_and_their_order_leave_open_requests_theirs() {
    let place = Place::new("swap");
    let sheet = place.asks("sheet", 1);
    let first = place.attempt();
    let record = place.asks("record", 2);
    let second = place.attempt();
    // `record` becomes single-shot and comes first, `sheet` keyed and second, beside one more.
    let classes_from = place.good.find("\"classes\":[").unwrap();
    let classes_to = classes_from + place.good[classes_from..].find("],").unwrap();
    let swapped = r#""classes":[{"name":"record","slo":9000000,"hardLimit":9000000,"idempotency":"single_shot"},
        {"name":"more","slo":9000000,"hardLimit":9000000,"idempotency":"free"},
        {"name":"sheet","slo":9000000,"hardLimit":9000000,"idempotency":"single_shot"}"#;
    place.take(&place.good[classes_from..classes_to], swapped);
    // Both may be repeated as they were: a free one anywhere, a keyed one within its group and window.
    for (attempt, asked, class) in [(first, sheet, "sheet"), (second, record, "record")] {
        attempt.cut();
        let again = place.attempt();
        assert!(
            again.head.contains(&format!("/v2/q/{class}/")),
            "{}",
            again.head
        );
        again.serve();
        assert_eq!(asked.said(), Some(Said::Served(BODY.to_vec())), "{class}");
    }
    place.is_not_repeated("record", 5);
    place.is_not_repeated("sheet", 6);
    place.is_repeated("more", 7);
}

#[test]
fn a_class_that_is_dropped_and_comes_again_serves_its_open_request_and_new_ones() {
    let place = Place::new("dropped");
    let open = place.asks("sheet", 1);
    let first = place.attempt();
    place.take("{\"name\":\"sheet\",", "{\"name\":\"other\",");
    assert!(
        matches!(place.asks("sheet", 2).said(), Some(Said::Failed(_))),
        "no such class now"
    );
    place.is_repeated("other", 3);
    place.take(FREE, ONCE);
    place.is_not_repeated("sheet", 4);
    first.cut();
    place.attempt().serve();
    assert_eq!(
        open.said(),
        Some(Said::Served(BODY.to_vec())),
        "the open one is free as it was"
    );
}

/// Which member is a parent follows from the settings: a former deployment's parent must not be asked for fills.
#[test]
fn settings_without_parents_leave_no_fill_to_a_former_parent() {
    let place = Place::new("parents");
    let asked = place.asks("sheet", 1);
    let before = place.attempt();
    assert!(
        before.head.contains("X-Fill-From: s-00000002"),
        "{}",
        before.head
    );
    before.serve();
    assert!(asked.said().is_some());
    place.take(
        "\"midKind\":1,\"siblings\":\"any\"",
        "\"midKind\":-1,\"siblings\":\"none\"",
    );
    for object in 2..8 {
        let asked = place.asks("sheet", object);
        let after = place.attempt();
        assert!(!after.head.contains("s-00000002"), "{}", after.head);
        after.serve();
        assert!(asked.said().is_some());
    }
}

#[test]
fn two_signals_at_once_and_a_file_that_is_half_written_end_with_the_whole_file() {
    let place = Place::new("twice");
    let half = &place.good[..place.good.len() / 2];
    let said = place.running.reload(&place.file, half);
    assert!(said.ends_with("all stays as it was"), "{said}");
    let whole = place
        .good
        .replace(FREE, ONCE)
        .replace("\"name\":\"record\"", "\"name\":\"receipt\"");
    std::fs::write(&place.file, whole).unwrap();
    let id = place.running.child.id().to_string();
    for _ in 0..2 {
        assert!(std::process::Command::new("kill")
            .args(["-HUP", &id])
            .status()
            .unwrap()
            .success());
    }
    // Both may be taken as one; a third shows that all before it are over.
    assert!(std::process::Command::new("kill")
        .args(["-HUP", &id])
        .status()
        .unwrap()
        .success());
    let mut lines =
        std::iter::from_fn(|| place.running.log.recv_timeout(admin_process::PATIENCE).ok());
    assert!(lines.any(|line| line.contains("reload: classes sheet, receipt")));
    place.is_not_repeated("sheet", 1);
    assert!(
        matches!(place.asks("record", 2).said(), Some(Said::Failed(_))),
        "no such class now"
    );
}

#[test]
fn another_deployments_file_is_refused_as_a_whole_with_a_line_for_each_reason() {
    let place = Place::new("foreign");
    let foreign = place
        .good
        .replace(
            "\"dcs\":[\"hub\",\"edge\"]",
            "\"dcs\":[\"edge\",\"hub\",\"yard\"],\"rack\":{\"row\":[1,null]}",
        )
        .replace(
            "\"kinds\":[\"box\",\"parent\",\"origin\"]",
            "\"kinds\":[\"parent\",\"box\",\"origin\"]",
        )
        .replace("\"locality\":1", "\"locality\":0")
        .replace("\"name\":\"sheet\"", "\"name\":\"berth\"");
    let said = place.running.reload(&place.file, &foreign);
    for key in ["settings.dcs", "settings.kinds", "settings.locality"] {
        assert_eq!(
            said.matches(&format!("configuration.{key}: ")).count(),
            1,
            "{key}: {said}"
        );
    }
    assert!(
        said.contains("WARN") && said.ends_with("all stays as it was"),
        "{said}"
    );
    let stats = call(place.running.operator, b"stats\n");
    assert!(
        stats.contains("proxy.conf_invalid:1|c\n") && !stats.contains("berth"),
        "{stats}"
    );
    assert!(
        matches!(place.asks("berth", 1).said(), Some(Said::Failed(_))),
        "no such class"
    );
    place.is_repeated("sheet", 2);
}

#[test]
fn what_a_reload_does_not_take_is_named() {
    let place = Place::new("named");
    let said = place.take("\"sockets\":1024", "\"sockets\":2048");
    assert!(said.ends_with("; from the next start: limits"), "{said}");
    let said = place.take(
        "\"dialTimeout\":400000,\"keepalive\":15000000",
        "\"dialTimeout\":50000,\"keepalive\":1000000",
    );
    assert!(
        said.ends_with("start: settings.limits.dialTimeout, settings.limits.keepalive"),
        "{said}"
    );
    let said = place.take("\"seed\":\"1\"", "\"seed\":\"2\"");
    assert!(said.ends_with("; from the next start: seed"), "{said}");
    assert!(!place.take(FREE, ONCE).contains("next start"));
}
