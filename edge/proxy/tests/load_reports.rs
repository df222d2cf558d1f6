//! Load reports and their settings: a response is served whatever it reports; settings without a required field fail the
//! start with one line per error, and leave the old settings in service at a reload.

use foldmux_fakes::rpc::{Said, Terminal};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

mod common;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const REPORT_SETTINGS: &str =
    r#""report":{"how":"answers","names":["util","inflight","x0","x1"]},"charges":{"probe":0.01},"#;

/// The standard configuration with load reports and probes enabled.
fn config_with_reports(cache: SocketAddr, journal: SocketAddr) -> String {
    let config = common::config(cache, journal);
    let config = config.replace(
        r#""settings":{"#,
        &format!(r#""settings":{{{REPORT_SETTINGS}"#),
    );
    let config = config.replace(
        r#""limits":{"maxAttempts""#,
        r#""limits":{"probes":true,"maxAttempts""#,
    );
    assert!(
        config.contains("Attempts") && config.contains("probes") && config.contains("x0"),
        "{config}"
    );
    config
}

/// Starts a cache that gives requests these responses in order, and doesn't respond to probes.
fn start_cache(responses: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let responses = Arc::new(Mutex::new(responses.into_iter()));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let responses = responses.clone();
            thread::spawn(move || serve(&stream, &mut || responses.lock().unwrap().next()));
        }
    });
    address
}

fn serve(stream: &TcpStream, next: &mut dyn FnMut() -> Option<String>) {
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    while let Some(first) = lines.next() {
        if lines.by_ref().all(|line| !line.is_empty()) {
            return;
        }
        if first.starts_with("GET /v2/q/") {
            let Some(response) = next() else { return };
            let _ = (&mut &*stream).write_all(response.as_bytes());
        }
    }
}

#[test]
fn responses_are_served_whatever_they_report_and_an_unanswered_probe_blocks_nothing() {
    let long = "x".repeat(9_000);
    let many = "util:0.5;".repeat(900);
    let reports = [
        "Srv-Load: inflight:7;util:0.61;x0:0.4;x1:1.5",
        "Srv-Load: util:NaN;inflight:inf;x0:-3;x1:1e99",
        "Srv-Load: util:0.1;util:0.9",
        "Srv-Load: moon:1;;;:::=;util",
        "Srv-Load:",
        "Srv-Load: util:0.1\r\nSrv-Load: util:0.9",
        &format!("Srv-Load: util:{long}"),
        &format!("Srv-Load: {many}"),
        "X-Other: 1",
    ];
    let response = |n: usize, report: &str| {
        let body = format!("part {n}");
        format!(
            "HTTP/1.1 200 OK\r\n{report}\r\nETag: {n}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let responses = reports
        .iter()
        .enumerate()
        .map(|(n, report)| response(n, report))
        .collect();
    let journal = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_proxy, address) = common::start(&config_with_reports(
        start_cache(responses),
        journal.local_addr().unwrap(),
    ));
    let mut client = Terminal::connect(address, TEST_TIMEOUT).unwrap();
    for n in 0..reports.len() {
        let fields = BTreeMap::from([
            ("i", format!("{:016x}", 77 + n)),
            ("d", "20000".to_string()),
            ("o", format!("{:016x}", 5 + n)),
            ("nth", "0".to_string()),
            ("batch", "1".to_string()),
            ("m", "10".to_string()),
        ]);
        let outcome = client.ask("sheet", &fields, b"").unwrap();
        assert_eq!(
            outcome,
            Said::Served(format!("part {n}").into_bytes()),
            "{n}"
        );
    }
}

/// A running proxy and its configuration file; both are removed on drop.
struct ProxyProcess(Child, std::path::PathBuf);

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_file(&self.1);
    }
}

/// Starts the proxy with this configuration, its log piped.
fn start_proxy(name: &str, text: &str) -> ProxyProcess {
    let file = std::env::temp_dir().join(format!("foldmux-reports-{name}-{}", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let mut command = common::command(&["serve"]);
    let child = command
        .env("GW_CONFIG", &file)
        .env_remove("TMPDIR")
        .stderr(Stdio::piped())
        .spawn();
    ProxyProcess(child.expect("a running proxy"), file)
}

/// Configurations that lack a required field or have one of the wrong type, each with the field's name.
fn invalid_configs(valid: &str) -> Vec<(&'static str, String)> {
    let without = |key: &'static str| {
        (
            key,
            valid.replace(&format!("\"{key}\""), &format!("\"{key}Once\"")),
        )
    };
    let mut all: Vec<_> = [
        "balancers",
        "locality",
        "classes",
        "maxAttempts",
        "rules",
        "originKind",
        "slo",
    ]
    .map(without)
    .into();
    all.push((
        "probe",
        valid.replace(r#""probe":0.01"#, r#""probe":"dear""#),
    ));
    all.push(("names", valid.replace(r#""names":["#, r#""names":[7,"#)));
    assert!(
        all.iter().all(|(_, text)| text != valid),
        "each differs from the valid one"
    );
    all
}

fn config() -> (String, TcpListener, TcpListener) {
    let [cache, journal] = [0; 2].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    (
        config_with_reports(cache.local_addr().unwrap(), journal.local_addr().unwrap()),
        cache,
        journal,
    )
}

#[test]
fn invalid_settings_fail_the_start_with_one_line_per_error_that_names_the_key() {
    let (valid, ..) = config();
    for (key, text) in invalid_configs(&valid) {
        let mut process = start_proxy(key, &text);
        let mut output = String::new();
        process
            .0
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut output)
            .unwrap();
        assert!(!process.0.wait().unwrap().success(), "{key}");
        // One line per error: without `slo` both classes are invalid.
        let errors = if key == "slo" { 2 } else { 1 };
        assert_eq!(output.trim_end().lines().count(), errors, "{key}: {output}");
        assert!(
            output
                .lines()
                .all(|line| line.starts_with("foldmux: configuration")),
            "{key}: {output}"
        );
        assert!(
            output.lines().all(|line| line.contains(key)),
            "{key} is named: {output}"
        );
    }
}

#[test]
fn unknown_keys_are_ignored_and_an_invalid_reload_leaves_the_old_settings() {
    let (valid, _cache, _journal) = config();
    let with_unknown_keys = valid.replace(
        r#""settings":{"#,
        r#""settings":{"moonPhase":{"at":[1,null]},"rack":"b","#,
    );
    assert_ne!(with_unknown_keys, valid);
    let mut process = start_proxy("reload", &with_unknown_keys);
    let mut lines = BufReader::new(process.0.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let mut line = |words: &str| {
        lines
            .find(|line| line.contains(words))
            .expect("a line in the log")
    };
    let address = line(" is listening on ");
    let address: SocketAddr = address
        .split_once(" is listening on ")
        .unwrap()
        .1
        .trim()
        .parse()
        .unwrap();
    for (key, text) in invalid_configs(&valid) {
        std::fs::write(&process.1, &text).unwrap();
        let id = process.0.id().to_string();
        assert!(std::process::Command::new("kill")
            .args(["-HUP", &id])
            .status()
            .unwrap()
            .success());
        let output = line("reload: ");
        assert!(
            output.contains("WARN") && output.ends_with("all stays as it was"),
            "{key}: {output}"
        );
    }
    assert!(
        Terminal::connect(address, TEST_TIMEOUT)
            .unwrap()
            .well()
            .unwrap(),
        "the proxy is still well"
    );
}
