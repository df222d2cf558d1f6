//! A new process beside the old one on the same address; the old one is told to leave with requests open. None is lost, what
//! comes later is taken by the new one, and pop caches that are out by hand stay out.

use admin_process::{call, configured, start_in};
use foldmux_fakes::rpc::Said;
use held_attempts::{ask, Attempt, BODY};

#[path = "common/admin_process.rs"]
mod admin_process;
mod common;
#[path = "common/held_attempts.rs"]
mod held_attempts;

/// Requests open at the old process.
const OPEN: u64 = 12;
const OUT: &str = "proxy.cluster_unhealthy:1|g\n";

#[test]
fn requests_open_at_the_old_process_are_answered_and_its_maintenance_state_is_kept() {
    let (file, caches, _journal) = configured("hand-over");
    let tmp = tempfile::tempdir().unwrap();
    let mut old = start_in(&file, None, Some(tmp.path())).unwrap();
    assert_eq!(
        call(old.operator, b"maint-on s-00000003\n"),
        "done s-00000003 is out\n"
    );
    // The old one alone listens: all of these are its.
    let mut open = Vec::new();
    for object in 1..=OPEN {
        let asked = ask(old.serves, "sheet", object);
        open.push((asked, Attempt::next(&caches)));
    }
    let new =
        start_in(&file, Some(old.serves), Some(tmp.path())).expect("a second process beside it");
    assert_eq!(call(new.operator, b"status\n"), "done yes\n");
    assert!(
        call(new.operator, b"stats\n").contains(OUT),
        "it starts with what is out"
    );
    let id = old.child.id().to_string();
    assert!(std::process::Command::new("kill")
        .args(["-TERM", &id])
        .status()
        .unwrap()
        .success());
    let mut lines = std::iter::from_fn(|| old.log.recv_timeout(admin_process::PATIENCE).ok());
    assert!(lines.any(|line| line.contains("draining: ")));
    assert_eq!(call(old.operator, b"status\n"), "done no\n");
    for (place, (asked, attempt)) in open.into_iter().enumerate() {
        attempt.serve();
        assert_eq!(
            asked.said(),
            Some(Said::Served(BODY.to_vec())),
            "request {place} is not lost"
        );
    }
    assert!(lines.any(|line| line.contains("shut down ") && line.contains(", 0 in flight, ")));
    assert!(old.child.wait().unwrap().success());
    // The new one is alone, and takes what comes; what is out stays out until it is brought back.
    for object in 100..100 + OPEN {
        let asked = ask(new.serves, "sheet", object);
        let attempt = Attempt::next(&caches);
        assert!(!attempt.head.contains("s-00000003"), "{}", attempt.head);
        attempt.serve();
        assert_eq!(asked.said(), Some(Said::Served(BODY.to_vec())));
    }
    assert!(call(new.operator, b"stats\n").contains(OUT));
    assert_eq!(
        call(new.operator, b"maint-off s-00000003\n"),
        "done s-00000003 is back\n"
    );
    assert!(call(new.operator, b"stats\n").contains("proxy.cluster_unhealthy:0|g\n"));
    let _ = std::fs::remove_file(file);
}
