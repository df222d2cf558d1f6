//! SIGHUP changes classes while requests of the old ones are open: an open request keeps the rules with which it arrived, a
//! new one follows the new rules, and the index of an old class is never given to another one.

use admin_process::{send_command, start, write_config, AdminProcess};
use foldmux_fakes::rpc::Said;
use held_attempts::{send_request, Attempt, BODY};
use std::net::TcpListener;
use std::path::PathBuf;

#[path = "common/admin_process.rs"]
mod admin_process;
mod common;
#[path = "common/held_attempts.rs"]
mod held_attempts;

/// A running proxy with its configuration file and the listener of its caches.
struct ReloadTest {
    proxy: AdminProcess,
    file: PathBuf,
    valid_config: String,
    caches: TcpListener,
    _journal: TcpListener,
}

impl Drop for ReloadTest {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

impl ReloadTest {
    fn new(name: &str) -> ReloadTest {
        let (file, caches, journal) = write_config(name);
        let valid_config = std::fs::read_to_string(&file).unwrap();
        ReloadTest {
            proxy: start(&file, None).unwrap(),
            file,
            valid_config,
            caches,
            _journal: journal,
        }
    }

    /// Reloads with `original` replaced in the valid configuration, and returns the log line; the reload must succeed.
    fn reload_with(&self, original: &str, replacement: &str) -> String {
        assert!(self.valid_config.contains(original), "{original}");
        let log_line = self.proxy.reload(
            &self.file,
            &self.valid_config.replace(original, replacement),
        );
        assert!(log_line.contains("reload: classes "), "{log_line}");
        log_line
    }

    fn next_attempt(&self) -> Attempt {
        Attempt::accept(&self.caches)
    }

    fn send(&self, class: &str, object: u64) -> held_attempts::PendingResponse {
        send_request(self.proxy.client_address, class, object)
    }

    /// Asserts that a request of this class is retried and served after a first attempt that may have run.
    fn assert_retried(&self, class: &str, object: u64) {
        let request = self.send(class, object);
        self.next_attempt().close_without_response();
        self.next_attempt().serve();
        assert_eq!(
            request.wait(),
            Some(Said::Served(BODY.to_vec())),
            "{class} is retried"
        );
    }

    /// Asserts that a request of this class fails after a first attempt that may have run.
    fn assert_not_retried(&self, class: &str, object: u64) {
        let request = self.send(class, object);
        self.next_attempt().close_without_response();
        assert!(
            matches!(request.wait(), Some(Said::Failed(_))),
            "{class} is not retried"
        );
    }
}

const FREE: &str = r#""idempotency":"free""#;
const SINGLE_SHOT: &str = r#""idempotency":"single_shot""#;
const SHEET: &str = r#"{"name":"sheet","slo":20000000,"hardLimit":30000000,"#;

#[test]
fn an_open_request_is_still_retried_after_its_class_becomes_single_shot_and_a_new_one_is_not() {
    let test = ReloadTest::new("once");
    let open = test.send("sheet", 1);
    let first = test.next_attempt();
    test.reload_with(FREE, SINGLE_SHOT);
    first.close_without_response();
    test.next_attempt().serve();
    assert_eq!(open.wait(), Some(Said::Served(BODY.to_vec())));
    test.assert_not_retried("sheet", 2);
}

#[test]
fn an_open_request_is_not_retried_after_its_class_becomes_free_and_a_new_one_is() {
    let test = ReloadTest::new("free");
    test.reload_with(FREE, SINGLE_SHOT);
    let open = test.send("sheet", 1);
    let first = test.next_attempt();
    test.reload_with(FREE, FREE);
    first.close_without_response();
    assert!(matches!(open.wait(), Some(Said::Failed(_))));
    test.assert_retried("sheet", 2);
}

#[test]
fn an_open_request_keeps_its_deadline_and_a_new_one_has_the_new_deadline() {
    let test = ReloadTest::new("deadline");
    let open = test.send("sheet", 1);
    let first = test.next_attempt();
    test.reload_with(
        SHEET,
        &SHEET.replace("\"hardLimit\":30000000", "\"hardLimit\":300000"),
    );
    // The new request ends by its deadline, long before its client's timeout; the open one outlives it.
    let new = test.send("sheet", 2);
    let second = test.next_attempt();
    assert!(!matches!(new.wait(), Some(Said::Served(_)) | None));
    second.close_without_response();
    first.serve();
    assert_eq!(open.wait(), Some(Said::Served(BODY.to_vec())));
}

#[test]
fn open_requests_keep_their_rules_when_classes_swap_rules_and_order() {
    let test = ReloadTest::new("swap");
    let sheet = test.send("sheet", 1);
    let first = test.next_attempt();
    let record = test.send("record", 2);
    let second = test.next_attempt();
    // `record` and `sheet` become single-shot and swap their order, with a new class between them.
    let classes_from = test.valid_config.find("\"classes\":[").unwrap();
    let classes_to = classes_from + test.valid_config[classes_from..].find("],").unwrap();
    let swapped = r#""classes":[{"name":"record","slo":9000000,"hardLimit":9000000,"idempotency":"single_shot"},
        {"name":"more","slo":9000000,"hardLimit":9000000,"idempotency":"free"},
        {"name":"sheet","slo":9000000,"hardLimit":9000000,"idempotency":"single_shot"}"#;
    test.reload_with(&test.valid_config[classes_from..classes_to], swapped);
    // Both may be retried by their old rules: a free request anywhere, a keyed one within its group and window.
    for (attempt, request, class) in [(first, sheet, "sheet"), (second, record, "record")] {
        attempt.close_without_response();
        let again = test.next_attempt();
        assert!(
            again.head.contains(&format!("/v2/q/{class}/")),
            "{}",
            again.head
        );
        again.serve();
        assert_eq!(request.wait(), Some(Said::Served(BODY.to_vec())), "{class}");
    }
    test.assert_not_retried("record", 5);
    test.assert_not_retried("sheet", 6);
    test.assert_retried("more", 7);
}

#[test]
fn a_class_that_is_removed_and_added_again_serves_its_open_request_and_new_ones() {
    let test = ReloadTest::new("dropped");
    let open = test.send("sheet", 1);
    let first = test.next_attempt();
    test.reload_with("{\"name\":\"sheet\",", "{\"name\":\"other\",");
    assert!(
        matches!(test.send("sheet", 2).wait(), Some(Said::Failed(_))),
        "no such class now"
    );
    test.assert_retried("other", 3);
    test.reload_with(FREE, SINGLE_SHOT);
    test.assert_not_retried("sheet", 4);
    first.close_without_response();
    test.next_attempt().serve();
    assert_eq!(
        open.wait(),
        Some(Said::Served(BODY.to_vec())),
        "the open request is retried by its old rules"
    );
}

/// The settings determine which members are parents: after a reload without parents none may be the source of a fill.
#[test]
fn after_a_reload_without_parents_no_fill_comes_from_a_former_parent() {
    let test = ReloadTest::new("parents");
    let request = test.send("sheet", 1);
    let before = test.next_attempt();
    assert!(
        before.head.contains("X-Fill-From: s-00000002"),
        "{}",
        before.head
    );
    before.serve();
    assert!(request.wait().is_some());
    test.reload_with(
        "\"midKind\":1,\"siblings\":\"any\"",
        "\"midKind\":-1,\"siblings\":\"none\"",
    );
    for object in 2..8 {
        let request = test.send("sheet", object);
        let after = test.next_attempt();
        assert!(!after.head.contains("s-00000002"), "{}", after.head);
        after.serve();
        assert!(request.wait().is_some());
    }
}

#[test]
fn two_signals_at_once_and_a_truncated_file_end_with_the_complete_file() {
    let test = ReloadTest::new("twice");
    let truncated = &test.valid_config[..test.valid_config.len() / 2];
    let log_line = test.proxy.reload(&test.file, truncated);
    assert!(log_line.ends_with("all stays as it was"), "{log_line}");
    let complete = test
        .valid_config
        .replace(FREE, SINGLE_SHOT)
        .replace("\"name\":\"record\"", "\"name\":\"receipt\"");
    std::fs::write(&test.file, complete).unwrap();
    let id = test.proxy.child.id().to_string();
    for _ in 0..2 {
        assert!(std::process::Command::new("kill")
            .args(["-HUP", &id])
            .status()
            .unwrap()
            .success());
    }
    // Two signals may be handled as one; the reload of a third shows that the earlier ones are done.
    assert!(std::process::Command::new("kill")
        .args(["-HUP", &id])
        .status()
        .unwrap()
        .success());
    let mut lines = std::iter::from_fn(|| {
        test.proxy
            .log
            .recv_timeout(admin_process::TEST_TIMEOUT)
            .ok()
    });
    assert!(lines.any(|line| line.contains("reload: classes sheet, receipt")));
    test.assert_not_retried("sheet", 1);
    assert!(
        matches!(test.send("record", 2).wait(), Some(Said::Failed(_))),
        "no such class now"
    );
}

#[test]
fn a_configuration_of_another_deployment_is_rejected_with_every_reason() {
    let test = ReloadTest::new("foreign");
    let foreign = test
        .valid_config
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
    let log_line = test.proxy.reload(&test.file, &foreign);
    for key in ["settings.dcs", "settings.kinds", "settings.locality"] {
        assert_eq!(
            log_line.matches(&format!("configuration.{key}: ")).count(),
            1,
            "{key}: {log_line}"
        );
    }
    assert!(
        log_line.contains("WARN") && log_line.ends_with("all stays as it was"),
        "{log_line}"
    );
    let stats = send_command(test.proxy.admin_address, b"stats\n");
    assert!(
        stats.contains("proxy.conf_invalid:1|c\n") && !stats.contains("berth"),
        "{stats}"
    );
    assert!(
        matches!(test.send("berth", 1).wait(), Some(Said::Failed(_))),
        "no such class"
    );
    test.assert_retried("sheet", 2);
}

#[test]
fn a_reload_names_the_keys_that_apply_only_after_a_restart() {
    let test = ReloadTest::new("named");
    let log_line = test.reload_with("\"sockets\":1024", "\"sockets\":2048");
    assert!(
        log_line.ends_with("; from the next start: limits"),
        "{log_line}"
    );
    let log_line = test.reload_with(
        "\"dialTimeout\":400000,\"keepalive\":15000000",
        "\"dialTimeout\":50000,\"keepalive\":1000000",
    );
    assert!(
        log_line.ends_with("start: settings.limits.dialTimeout, settings.limits.keepalive"),
        "{log_line}"
    );
    let log_line = test.reload_with("\"seed\":\"1\"", "\"seed\":\"2\"");
    assert!(
        log_line.ends_with("; from the next start: seed"),
        "{log_line}"
    );
    assert!(!test.reload_with(FREE, SINGLE_SHOT).contains("next start"));
}
