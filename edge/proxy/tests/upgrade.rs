//! A new process starts beside the old one on the same address, and the old one gets SIGTERM with requests open: none is
//! lost, the new process serves later ones, and pop caches in maintenance stay so.

use admin_process::{send_command, start_with_tmpdir, write_config};
use foldmux_fakes::rpc::Said;
use held_attempts::{send_request, Attempt, BODY};

#[path = "common/admin_process.rs"]
mod admin_process;
mod common;
#[path = "common/held_attempts.rs"]
mod held_attempts;

/// The number of requests that are open at the old process.
const OPEN_REQUESTS: u64 = 12;
/// The statistic with one pop cache out of service.
const ONE_IN_MAINTENANCE: &str = "proxy.cluster_unhealthy:1|g\n";

#[test]
fn requests_open_at_the_old_process_are_answered_and_its_maintenance_state_is_kept() {
    let (file, caches, _journal) = write_config("upgrade");
    let tmp = tempfile::tempdir().unwrap();
    let mut old = start_with_tmpdir(&file, None, Some(tmp.path())).unwrap();
    assert_eq!(
        send_command(old.admin_address, b"maint-on s-00000003\n"),
        "done s-00000003 is out\n"
    );
    // Only the old process listens, so that it accepts all of these.
    let mut open = Vec::new();
    for object in 1..=OPEN_REQUESTS {
        let request = send_request(old.client_address, "sheet", object);
        open.push((request, Attempt::accept(&caches)));
    }
    let new = start_with_tmpdir(&file, Some(old.client_address), Some(tmp.path()))
        .expect("a second process beside it");
    assert_eq!(send_command(new.admin_address, b"status\n"), "done yes\n");
    assert!(
        send_command(new.admin_address, b"stats\n").contains(ONE_IN_MAINTENANCE),
        "the new process knows which cache is in maintenance"
    );
    let id = old.child.id().to_string();
    assert!(std::process::Command::new("kill")
        .args(["-TERM", &id])
        .status()
        .unwrap()
        .success());
    let mut lines = std::iter::from_fn(|| old.log.recv_timeout(admin_process::TEST_TIMEOUT).ok());
    assert!(lines.any(|line| line.contains("draining: ")));
    assert_eq!(send_command(old.admin_address, b"status\n"), "done no\n");
    for (index, (request, attempt)) in open.into_iter().enumerate() {
        attempt.serve();
        assert_eq!(
            request.wait(),
            Some(Said::Served(BODY.to_vec())),
            "request {index} is not lost"
        );
    }
    assert!(lines.any(|line| line.contains("shut down ") && line.contains(", 0 in flight, ")));
    assert!(old.child.wait().unwrap().success());
    // The new process now serves alone; the cache in maintenance stays so until it is brought back.
    for object in 100..100 + OPEN_REQUESTS {
        let request = send_request(new.client_address, "sheet", object);
        let attempt = Attempt::accept(&caches);
        assert!(!attempt.head.contains("s-00000003"), "{}", attempt.head);
        attempt.serve();
        assert_eq!(request.wait(), Some(Said::Served(BODY.to_vec())));
    }
    assert!(send_command(new.admin_address, b"stats\n").contains(ONE_IN_MAINTENANCE));
    assert_eq!(
        send_command(new.admin_address, b"maint-off s-00000003\n"),
        "done s-00000003 is back\n"
    );
    assert!(send_command(new.admin_address, b"stats\n").contains("proxy.cluster_unhealthy:0|g\n"));
    let _ = std::fs::remove_file(file);
}
