//! The external processor in the program: both proxies retry, instances are killed and come back, and at the archive no
//! key runs twice (the scenario of `make demo-extproc`); set up by the operator's file, re-keyed by SIGHUP, left by SIGTERM.

use common::{command, config, start_with};
use foldmux_demo::extproc::{run, Trial};
use std::net::TcpListener;
use std::path::Path;

mod common;

#[test]
fn no_key_runs_twice_and_no_answer_is_lost_over_cancels_resets_and_kills() {
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

/// A caller that loses its tokens on the way to the other instance: the archive must be seen to count what comes of it,
/// or its noughts elsewhere say nothing.
#[test]
fn the_audit_counts_what_runs_twice_and_beside_a_running_one_where_a_fault_is_planted() {
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

fn script(keys: &str, ledger: &Path) -> String {
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
fn it_is_set_up_by_the_file_asked_by_the_command_re_keyed_and_left() {
    let folder = tempfile::tempdir().unwrap();
    let (file, ledger) = (folder.path().join("o.star"), folder.path().join("ledger"));
    let write = |keys: &str| std::fs::write(&file, script(keys, &ledger)).unwrap();
    let key = |n: u32| {
        format!("token_key(number = {n}, secret = \"{n}123456789abcdef0123456789abcdef\")\n")
    };
    write(&key(1));
    let cache = TcpListener::bind("127.0.0.1:0").unwrap();
    let text = config(cache.local_addr().unwrap(), cache.local_addr().unwrap());
    let operator = file.display().to_string();
    let (mut program, [_, processor]) = start_with(&text, &["--operator", &operator]);
    let at = processor.expect("an external processor").to_string();
    let check = |arguments: &[&str]| {
        let out = command(&[&["extproc-check", &at], arguments].concat())
            .output()
            .unwrap();
        String::from_utf8(if out.status.success() {
            out.stdout
        } else {
            out.stderr
        })
        .unwrap()
    };
    let told = check(&["--path", "/cards/helsinki-blue"]);
    assert!(
        told.starts_with("placed\n") && told.contains("  :path: /v2/q/sheet/"),
        "{told}"
    );
    let record = [
        "--method",
        "POST",
        "--path",
        "/records/1f",
        "--header",
        "Idempotency-Key: k",
    ];
    let told = check(&record);
    let token = told
        .lines()
        .find_map(|line| line.trim().strip_prefix("x-foldmux-attempt: "))
        .expect("a token");
    // Both keys are known, and the new one signs: the former one's token is still believed.
    write(&(key(1) + &key(2)));
    program.signal("-HUP");
    assert!(program.line("token keys").contains("2 signs"));
    let shown = format!("x-foldmux-attempt:{token}");
    let told = check(&[&record[..], &["--header", &shown]].concat());
    assert!(
        told.starts_with("answered 503") && told.contains("may be running"),
        "{told}"
    );
    // A file that can't be used changes nothing.
    std::fs::write(&file, "ext_proc(").unwrap();
    program.signal("-HUP");
    assert!(program.line("token keys").contains("all stays as it was"));
    // Two processes on one ledger would not know of each other's attempts.
    write(&key(1));
    std::fs::write(folder.path().join("c.json"), &text).unwrap();
    let mut second = command(&["serve", "--operator", &operator]);
    let out = second
        .env("GW_CONFIG", folder.path().join("c.json"))
        .output()
        .unwrap();
    let told = String::from_utf8_lossy(&out.stderr);
    assert!(
        !out.status.success() && told.contains("external processor: ledger: "),
        "{told}"
    );
    program.signal("-TERM");
    assert!(program
        .line("external processor: placed")
        .contains("all streams ended: true"));
    assert!(program.ended().success());
    assert!(
        check(&["--path", "/cards/x"]).contains(&at),
        "nobody serves there any more"
    );
}
