//! The external processor as a process: both proxies retry, instances are killed and restarted, and no key runs twice at the
//! archive (the scenario of `make demo-extproc`); also its setup by the operator's file, a change of its token keys at SIGHUP,
//! and SIGTERM.

use common::{command, config, start_with_args};
use foldmux_demo::extproc::{run, Trial};
use std::net::TcpListener;
use std::path::Path;

mod common;

#[test]
fn no_key_runs_twice_and_no_response_is_lost_across_cancels_resets_and_kills() {
    let folder = tempfile::tempdir().unwrap();
    let trial = Trial {
        requests: 10_000,
        seed: 8,
        slowest: 12,
        forgets: false,
    };
    let report = run(
        Path::new(env!("CARGO_BIN_EXE_foldmux")),
        folder.path(),
        trial,
    )
    .unwrap();
    assert!(report.sound(), "{report}\n{report:?}");
}

/// A planted fault: the caller drops its tokens on the way to the other instance. The archive must count the keys that then
/// run twice; otherwise a count of 0 in the other test would prove nothing.
#[test]
fn the_audit_counts_repeated_and_concurrent_runs_under_a_planted_fault() {
    let folder = tempfile::tempdir().unwrap();
    let trial = Trial {
        requests: 4_000,
        seed: 8,
        slowest: 50,
        forgets: true,
    };
    let report = run(
        Path::new(env!("CARGO_BIN_EXE_foldmux")),
        folder.path(),
        trial,
    )
    .unwrap();
    assert!(
        report.together > 0 && report.doubles > 0 && !report.sound(),
        "{report}\n{report:?}"
    );
}

fn operator_file(keys: &str, ledger: &Path) -> String {
    format!(
        r#"
ext_proc(listen = "127.0.0.1:0", good_for_ms = 100)
ask("sheet", path = "/cards/{{name}}", rewrite = True)
ask("record", method = "POST", path = "/records/{{object}}", key = "idempotency-key")
{keys}
ledger("{}")
"#,
        ledger.display()
    )
}

#[test]
fn the_processor_starts_from_the_operators_file_takes_new_token_keys_and_shuts_down() {
    let folder = tempfile::tempdir().unwrap();
    let (file, ledger) = (folder.path().join("o.star"), folder.path().join("ledger"));
    let write = |keys: &str| std::fs::write(&file, operator_file(keys, &ledger)).unwrap();
    let key = |n: u32| {
        format!("token_key(number = {n}, secret = \"{n}123456789abcdef0123456789abcdef\")\n")
    };
    write(&key(1));
    let cache = TcpListener::bind("127.0.0.1:0").unwrap();
    let text = config(cache.local_addr().unwrap(), cache.local_addr().unwrap());
    let operator = file.display().to_string();
    let (mut proxy, [_, processor]) = start_with_args(&text, &["--operator", &operator]);
    let processor_address = processor.expect("an external processor").to_string();
    let check = |arguments: &[&str]| {
        let out = command(&[&["extproc-check", &processor_address], arguments].concat())
            .output()
            .unwrap();
        String::from_utf8(if out.status.success() {
            out.stdout
        } else {
            out.stderr
        })
        .unwrap()
    };
    let output = check(&["--path", "/cards/helsinki-blue"]);
    assert!(
        output.starts_with("placed\n") && output.contains("  :path: /v2/q/sheet/"),
        "{output}"
    );
    let record = [
        "--method",
        "POST",
        "--path",
        "/records/1f",
        "--header",
        "Idempotency-Key: k",
    ];
    let output = check(&record);
    let token = output
        .lines()
        .find_map(|line| line.trim().strip_prefix("x-foldmux-attempt: "))
        .expect("a token");
    // Both keys are in the file and the new one signs: a token signed with the old key is still valid.
    write(&(key(1) + &key(2)));
    proxy.signal("-HUP");
    assert!(proxy.wait_for_log("token keys").contains("2 signs"));
    let token_header = format!("x-foldmux-attempt:{token}");
    let output = check(&[&record[..], &["--header", &token_header]].concat());
    assert!(
        output.starts_with("answered 503") && output.contains("may be running"),
        "{output}"
    );
    // An invalid file changes nothing.
    std::fs::write(&file, "ext_proc(").unwrap();
    proxy.signal("-HUP");
    assert!(proxy
        .wait_for_log("token keys")
        .contains("all stays as it was"));
    // A second process on the same ledger is rejected: neither would know of the other's attempts.
    write(&key(1));
    std::fs::write(folder.path().join("c.json"), &text).unwrap();
    let mut second = command(&["serve", "--operator", &operator]);
    let out = second
        .env("GW_CONFIG", folder.path().join("c.json"))
        .output()
        .unwrap();
    let output = String::from_utf8_lossy(&out.stderr);
    assert!(
        !out.status.success() && output.contains("external processor: ledger: "),
        "{output}"
    );
    proxy.signal("-TERM");
    assert!(proxy
        .wait_for_log("external processor: placed")
        .contains("all streams ended: true"));
    assert!(proxy.wait().success());
    assert!(
        check(&["--path", "/cards/x"]).contains(&processor_address),
        "no processor listens there any more"
    );
}
