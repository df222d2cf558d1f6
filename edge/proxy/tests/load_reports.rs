//! Reports and settings by the program itself: an answer is served whatever it reports; settings that lack what all have end
//! the start with one line, and a reload with the old ones whole.

use foldmux_fakes::rpc::{Said, Terminal};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

mod common;

const PATIENCE: Duration = Duration::from_secs(20);
const FIELDS: &str =
    r#""report":{"how":"answers","names":["util","inflight","x0","x1"]},"charges":{"probe":0.01},"#;

/// The configuration with reports and probes, as a deployment with both says it.
fn reporting(cache: SocketAddr, journal: SocketAddr) -> String {
    let whole = common::config(cache, journal);
    let told = whole.replace(r#""settings":{"#, &format!(r#""settings":{{{FIELDS}"#));
    let told = told.replace(
        r#""limits":{"maxAttempts""#,
        r#""limits":{"probes":true,"maxAttempts""#,
    );
    assert!(
        told.contains("Attempts") && told.contains("probes") && told.contains("x0"),
        "{told}"
    );
    told
}

/// A cache whose answers to requests are these, one after the other; a probe gets none.
fn cache(answers: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answers = Arc::new(Mutex::new(answers.into_iter()));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let answers = answers.clone();
            thread::spawn(move || serve(&stream, &mut || answers.lock().unwrap().next()));
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
            let Some(answer) = next() else { return };
            let _ = (&mut &*stream).write_all(answer.as_bytes());
        }
    }
}

#[test]
fn an_answer_is_served_whole_whatever_it_reports_and_a_probe_without_end_holds_nothing_up() {
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
    let answer = |n: usize, report: &str| {
        let body = format!("part {n}");
        format!(
            "HTTP/1.1 200 OK\r\n{report}\r\nETag: {n}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let answers = reports
        .iter()
        .enumerate()
        .map(|(n, report)| answer(n, report))
        .collect();
    let journal = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_program, serves) =
        common::start(&reporting(cache(answers), journal.local_addr().unwrap()));
    let mut client = Terminal::connect(serves, PATIENCE).unwrap();
    for n in 0..reports.len() {
        let fields = BTreeMap::from([
            ("i", format!("{:016x}", 77 + n)),
            ("d", "20000".to_string()),
            ("o", format!("{:016x}", 5 + n)),
            ("nth", "0".to_string()),
            ("batch", "1".to_string()),
            ("m", "10".to_string()),
        ]);
        let said = client.ask("sheet", &fields, b"").unwrap();
        assert_eq!(said, Said::Served(format!("part {n}").into_bytes()), "{n}");
    }
}

struct Ran(Child, std::path::PathBuf);

impl Drop for Ran {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_file(&self.1);
    }
}

/// The program on a file with this text, its log piped.
fn run(name: &str, text: &str) -> Ran {
    let file = std::env::temp_dir().join(format!("foldmux-reports-{name}-{}", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let mut command = common::command(&["serve"]);
    let child = command
        .env("GW_CONFIG", &file)
        .env_remove("TMPDIR")
        .stderr(Stdio::piped())
        .spawn();
    Ran(child.expect("the program"), file)
}

/// Settings that lack a field which all deployments have, or say one in a way that none does.
fn faulty(good: &str) -> Vec<(&'static str, String)> {
    let without = |key: &'static str| {
        (
            key,
            good.replace(&format!("\"{key}\""), &format!("\"{key}Once\"")),
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
        good.replace(r#""probe":0.01"#, r#""probe":"dear""#),
    ));
    all.push(("names", good.replace(r#""names":["#, r#""names":[7,"#)));
    assert!(all.iter().all(|(_, text)| text != good), "each differs");
    all
}

fn whole() -> (String, TcpListener, TcpListener) {
    let [cache, journal] = [0; 2].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    (
        reporting(cache.local_addr().unwrap(), journal.local_addr().unwrap()),
        cache,
        journal,
    )
}

#[test]
fn settings_without_what_all_deployments_say_end_the_start_with_one_clear_line() {
    let (good, ..) = whole();
    for (key, text) in faulty(&good) {
        let mut ran = run(key, &text);
        let mut said = String::new();
        ran.0
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut said)
            .unwrap();
        assert!(!ran.0.wait().unwrap().success(), "{key}");
        // One line for each place where it is faulty: both classes lack `slo` then.
        let places = if key == "slo" { 2 } else { 1 };
        assert_eq!(said.trim_end().lines().count(), places, "{key}: {said}");
        assert!(
            said.lines()
                .all(|line| line.starts_with("foldmux: configuration")),
            "{key}: {said}"
        );
        assert!(
            said.lines().all(|line| line.contains(key)),
            "{key} is named: {said}"
        );
    }
}

#[test]
fn what_no_deployment_says_is_passed_over_and_a_faulty_reload_leaves_the_old_settings_whole() {
    let (good, _cache, _journal) = whole();
    let more = good.replace(
        r#""settings":{"#,
        r#""settings":{"moonPhase":{"at":[1,null]},"rack":"b","#,
    );
    assert_ne!(more, good);
    let mut ran = run("reload", &more);
    let mut lines = BufReader::new(ran.0.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let mut line = |words: &str| {
        lines
            .find(|line| line.contains(words))
            .expect("a line in the log")
    };
    let serves = line(" is listening on ");
    let serves: SocketAddr = serves
        .split_once(" is listening on ")
        .unwrap()
        .1
        .trim()
        .parse()
        .unwrap();
    for (key, text) in faulty(&good) {
        std::fs::write(&ran.1, &text).unwrap();
        let id = ran.0.id().to_string();
        assert!(std::process::Command::new("kill")
            .args(["-HUP", &id])
            .status()
            .unwrap()
            .success());
        let said = line("reload: ");
        assert!(
            said.contains("WARN") && said.ends_with("all stays as it was"),
            "{key}: {said}"
        );
    }
    assert!(
        Terminal::connect(serves, PATIENCE).unwrap().well().unwrap(),
        "it serves on as it did"
    );
}
