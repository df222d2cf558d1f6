//! The operators' days by the program itself: the admin interface, and a new version beside the old one.

use admin_process::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

#[path = "common/admin_process.rs"]
mod admin_process;
mod common;

#[test]
fn the_operator_line_answers_each_call_and_a_bad_line_costs_only_itself() {
    let (file, _caches, _journal) = configured("line");
    let running = start(&file, None).unwrap();
    let at = running.operator;
    // One that never sends a whole call holds no one else up.
    let mut silent = TcpStream::connect(at).unwrap();
    silent.write_all(b"sta").unwrap();
    assert_eq!(call(at, b"status\n"), "done yes\n");
    let stats = call(at, b"stats\n");
    for figure in [
        "proxy.answered.sheet:0|c",
        "proxy.sends.record:0|c",
        "proxy.current:0|g",
        "proxy.cluster_size:3|g",
    ] {
        assert!(
            stats.lines().any(|line| line == figure),
            "{figure} in {stats}"
        );
    }
    assert!(stats.ends_with("proxy.conf_invalid:0|c\nend\n"), "{stats}");
    assert!(call(at, b"reboot\n").starts_with("error no call"));
    assert!(call(at, b"maint-on s-0000cafe\n").starts_with("error no pop cache"));
    assert!(
        call(at, &[b'x'; 10_000]).starts_with("error"),
        "a line too long, not yet ended"
    );
    // Two calls out, one call back; and the connection goes on after a fault.
    let stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    (&stream)
        .write_all(b"maint-on s-00000001\nmaint-on s-00000001\nnonsense\nstats\n")
        .unwrap();
    let mut reader = BufReader::new(stream);
    let mut lines = Vec::new();
    while lines.last().map(String::as_str) != Some("end") {
        let mut line = String::new();
        assert!(reader.read_line(&mut line).unwrap() > 0, "{lines:?}");
        lines.push(line.trim_end().to_string());
    }
    assert_eq!(
        &lines[..3],
        [
            "done s-00000001 is out",
            "done s-00000001 is out",
            "error no call \"nonsense\"; calls: status, stats, maint-on ID, maint-off ID"
        ]
    );
    assert!(
        lines.contains(&"proxy.cluster_unhealthy:1|g".to_string()),
        "{lines:?}"
    );
    assert_eq!(
        call(at, b"maint-off s-00000001\n"),
        "done s-00000001 is back\n"
    );
    assert!(call(at, b"stats\n").contains("proxy.cluster_unhealthy:0|g\n"));
    silent.write_all(b"tus\n").unwrap();
    let mut answer = [0; 9];
    silent.set_read_timeout(Some(PATIENCE)).unwrap();
    silent.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"done yes\n");
    drop(running);
    let _ = std::fs::remove_file(file);
}

#[test]
fn a_new_version_listens_beside_the_old_one_on_the_same_address() {
    let (file, _caches, _journal) = configured("beside");
    let tmp = std::env::temp_dir().join(format!("foldmux-days-tmp-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let old = start_in(&file, None, Some(&tmp)).unwrap();
    assert!(call(old.operator, b"maint-on s-00000002\n").starts_with("done"));
    let new = start_in(&file, Some(old.serves), Some(&tmp))
        .expect("a second process on the same address");
    assert_eq!(new.serves, old.serves);
    assert_eq!(call(new.operator, b"status\n"), "done yes\n");
    // What was out before the new one started is out there too, and what the new one takes out is out for both.
    assert!(call(new.operator, b"stats\n").contains("proxy.cluster_unhealthy:1|g\n"));
    assert!(call(new.operator, b"maint-on s-00000001\n").starts_with("done"));
    assert!(call(old.operator, b"stats\n").contains("proxy.cluster_unhealthy:2|g\n"));
    assert!(call(new.operator, b"maint-off s-00000002\n").starts_with("done"));
    assert!(call(old.operator, b"stats\n").contains("proxy.cluster_unhealthy:1|g\n"));
    // The old one leaves on SIGTERM, saying no from then on, and the new one goes on taking clients.
    let id = old.child.id().to_string();
    assert!(std::process::Command::new("kill")
        .args(["-TERM", &id])
        .status()
        .unwrap()
        .success());
    let left = std::iter::from_fn(|| old.log.recv_timeout(PATIENCE).ok())
        .find(|l| l.contains("shut down "));
    assert!(left.is_some());
    for _ in 0..20 {
        TcpStream::connect(new.serves).expect("the new one takes clients");
    }
    let _ = std::fs::remove_file(file);
    let _ = std::fs::remove_dir_all(tmp);
}

#[test]
fn a_broken_file_at_sighup_leaves_the_settings_whole_and_is_counted() {
    let (file, caches, journal) = configured("retune");
    let running = start(&file, None).unwrap();
    let good = common::config(caches.local_addr().unwrap(), journal.local_addr().unwrap());
    let hup = |text: &str| running.reload(&file, text);
    let broken = [
        String::new(),
        good[..good.len() / 2].to_string(),
        good.replace("\"listen\"", "\"lisen\""),
        good.replace("\"hardLimit\":30000000", "\"hardLimit\":0"),
        good.replace("\"maxAttempts\":4", "\"maxAttempts\":0"),
    ];
    for text in &broken {
        let said = hup(text);
        assert!(said.ends_with("all stays as it was"), "{text}");
        assert!(
            said.contains("WARN"),
            "staff who filter at WARN must see it: {said}"
        );
    }
    let stats = call(running.operator, b"stats\n");
    assert!(
        stats.contains("proxy.conf_invalid:5|c\n") && stats.contains("proxy.conf_loaded:0|c\n"),
        "{stats}"
    );
    assert!(!stats.contains(".video:"), "{stats}");
    // A class added, and the changed rules of another, from one good file on.
    let added = good.replace(
        r#"{"name":"sheet","slo":20000000,"hardLimit":30000000,"#,
        r#"{"name":"video","slo":20000000,"hardLimit":30000000,"idempotency":"free"},{"name":"sheet","slo":10000000,"hardLimit":20000000,"#,
    );
    let said = hup(&added.replace("\"passOn\":[false,true]", "\"passOn\":[false,false,true]"));
    assert!(said.contains("classes video, sheet, record"), "{said}");
    let stats = call(running.operator, b"stats\n");
    assert!(
        stats.contains("proxy.answered.video:0|c\n") && stats.contains("proxy.conf_loaded:1|c\n"),
        "{stats}"
    );
    assert_eq!(call(running.operator, b"status\n"), "done yes\n");
    drop(running);
    let _ = std::fs::remove_file(file);
}

#[test]
fn a_configuration_without_a_journal_service_is_taken_at_sighup_as_at_the_start() {
    let (file, caches, journal) = configured("nowhere");
    let whole = common::config(caches.local_addr().unwrap(), journal.local_addr().unwrap());
    let named = format!("\"journal\":\"{}\",", journal.local_addr().unwrap());
    let without = whole.replace(&named, "");
    assert_ne!(without, whole);
    std::fs::write(&file, &without).unwrap();
    let running = start(&file, None).unwrap();
    assert_eq!(call(running.operator, b"status\n"), "done yes\n");
    let said = running.reload(&file, &without);
    assert!(
        said.ends_with("no journal service: the list stays as it is"),
        "{said}"
    );
    // Named at a later reload, it is asked from then on.
    let said = running.reload(&file, &whole);
    assert!(said.contains("the journal service is at"), "{said}");
    let (mut asks, _) = journal.accept().unwrap();
    let mut begin = [0; 12];
    asks.read_exact(&mut begin).unwrap();
    assert_eq!(&begin, b"GET /journal");
    let stats = call(running.operator, b"stats\n");
    assert!(
        stats.contains("proxy.conf_loaded:2|c\nproxy.conf_invalid:0|c\n"),
        "{stats}"
    );
    drop(running);
    let _ = std::fs::remove_file(file);
}

#[test]
fn seventy_retunes_of_a_changing_class_are_all_taken() {
    let (file, caches, journal) = configured("seventy");
    let running = start(&file, None).unwrap();
    let good = common::config(caches.local_addr().unwrap(), journal.local_addr().unwrap());
    for n in 1..=70 {
        let other = good.replace(
            "\"hardLimit\":30000000",
            &format!("\"hardLimit\":{}", 30_000_000 + n),
        );
        assert_ne!(other, good);
        let said = running.reload(&file, &other);
        assert!(said.contains("classes sheet, record"), "retune {n}: {said}");
    }
    drop(running);
    let _ = std::fs::remove_file(file);
}
