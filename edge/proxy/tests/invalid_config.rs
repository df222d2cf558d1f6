//! A configuration that can't be used ends the start with one plain line for each fault and a code that is not 0, and
//! `check-config` says the same.

use std::process::Output;

mod common;

fn good() -> String {
    let nowhere = "127.0.0.1:9".parse().unwrap();
    common::config(nowhere, nowhere)
}

/// What the program says of this text, started by `command`.
fn ran(command: &str, text: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(&file, text).unwrap();
    let mut command = common::command(&[command]);
    command
        .env("GW_CONFIG", &file)
        .env_remove("GW_OPERATOR")
        .output()
        .expect("the program")
}

fn lines(output: &Output) -> Vec<String> {
    String::from_utf8(output.stderr.clone())
        .unwrap()
        .lines()
        .map(str::to_string)
        .collect()
}

/// One text in the place of another, and what is said of it.
fn said(is: &str, becomes: &str) -> Vec<String> {
    let good = good();
    assert!(good.contains(is), "{is}");
    let text = good.replacen(is, becomes, 1);
    // This first: what it takes by mistake, `serve` would serve with for ever.
    let checked = ran("check-config", &text);
    assert_eq!(
        checked.status.code(),
        Some(1),
        "{becomes}: {:?}",
        lines(&checked)
    );
    let started = ran("serve", &text);
    assert_eq!(
        started.status.code(),
        Some(1),
        "{becomes}: {:?}",
        lines(&started)
    );
    assert_eq!(
        lines(&started),
        lines(&checked),
        "{becomes}: both say the same"
    );
    lines(&started)
}

#[test]
fn each_kind_of_fault_is_one_plain_line() {
    let twice = r#"{"name":"record","slo":1,"hardLimit":1,"idempotency":"free"},{"name":"record""#;
    for (is, becomes, key) in [
        ("\"listen\":", "\"lisen\":", "listen"),
        (
            "\"listen\":\"127.0.0.1:0\"",
            "\"listen\":\"here\"",
            "listen",
        ),
        ("\"journal\":\"127.0.0.1:9\"", "\"journal\":9", "journal"),
        ("\"seed\":\"1\"", "\"seed\":\"1ffffffffffffffff\"", "seed"),
        ("\"seed\":\"1\"", "\"seed\":\"one\"", "seed"),
        ("\"seed\":\"1\"", "\"seed\":1", "seed"),
        ("\"sockets\":1024", "\"sockets\":8", "limits.sockets"),
        (
            "\"sockets\":1024",
            "\"sockets\":18446744073709551615",
            "limits.sockets",
        ),
        ("\"memory_mb\":192", "\"memory_mb\":1", "limits.memory_mb"),
        (
            "\"memory_mb\":192",
            "\"memory_mb\":18446744073709551615",
            "limits.memory_mb",
        ),
        ("\"memory_mb\":192,", "", "limits.memory_mb"),
        ("\"known\":{", "\"known\":7,\"knownOnce\":{", "known"),
        (
            "\"settings\":{",
            "\"settings\":[],\"settingsOnce\":{",
            "settings",
        ),
        ("\"settings\":{", "\"settingsOnce\":{", "settings"),
        ("\"locality\":1", "\"locality\":2", "settings.locality"),
        (
            "\"originKind\":2",
            "\"originKind\":3",
            "settings.domain.originKind",
        ),
        ("\"midKind\":1", "\"midKind\":3", "settings.domain.midKind"),
        ("{\"name\":\"record\"", twice, "settings.classes[2].name"),
        (
            "\"name\":\"record\"",
            "\"name\":\"\"",
            "settings.classes[1].name",
        ),
        ("\"name\":\"record\",", "", "settings.classes[1].name"),
        (
            "\"hardLimit\":30000000",
            "\"hardLimit\":0",
            "settings.classes[0].hardLimit",
        ),
        (
            "\"hardLimit\":30000000",
            "\"hardLimit\":18446744073709551615",
            "settings.classes[0].hardLimit",
        ),
        ("\"slo\":20000000", "\"slo\":-1", "settings.classes[0].slo"),
        (
            "\"idempotency\":\"free\"",
            "\"idempotency\":\"maybe\"",
            "settings.classes[0].idempotency",
        ),
        (
            "\"maxAttempts\":4",
            "\"maxAttempts\":0",
            "settings.limits.maxAttempts",
        ),
        (
            "\"fallMultiple\":4.0",
            "\"fallMultiple\":\"NaN\"",
            "settings.rules.fallMultiple",
        ),
    ] {
        let lines = said(is, becomes);
        assert_eq!(lines.len(), 1, "{becomes}: {lines:?}");
        assert!(
            lines[0].starts_with(&format!("foldmux: configuration.{key}: ")),
            "{becomes}: {lines:?}"
        );
    }
    // Where JSON itself is broken, there is no key to name.
    for (is, becomes) in [
        ("\"fallMultiple\":4.0", "\"fallMultiple\":NaN"),
        ("\"settings\":{", "\"settings\":"),
    ] {
        let lines = said(is, becomes);
        assert!(
            lines.len() == 1 && lines[0].starts_with("foldmux: configuration: "),
            "{lines:?}"
        );
    }
}

#[test]
fn a_key_that_stands_twice_in_one_object_is_refused_by_name() {
    for (is, becomes, key) in [
        (
            "\"locality\":1",
            "\"locality\":1,\"locality\":0",
            "locality",
        ),
        ("\"seed\":\"1\"", "\"seed\":\"1\",\"seed\":\"1\"", "seed"),
        (
            "\"name\":\"record\"",
            "\"name\":\"record\",\"slo\":1",
            "slo",
        ),
    ] {
        let lines = said(is, becomes);
        assert_eq!(lines.len(), 1, "{becomes}: {lines:?}");
        assert!(
            lines[0].contains(&format!("duplicate key \"{key}\" in an object")),
            "{lines:?}"
        );
    }
}

#[test]
fn faults_of_several_kinds_are_a_line_each() {
    let good = good();
    let text = good
        .replace("\"sockets\":1024", "\"sockets\":8")
        .replace("\"name\":\"record\"", "\"name\":\"sheet\"")
        .replace("\"maxAttempts\":4", "\"maxAttempts\":0")
        .replace("\"slo\":20000000", "\"slo\":true")
        .replace("\"seed\":\"1\"", "\"seed\":\"x\"");
    let output = ran("serve", &text);
    let lines = lines(&output);
    assert_eq!(
        (output.status.code(), lines.len()),
        (Some(1), 6),
        "{lines:?}"
    );
    assert!(
        lines
            .iter()
            .all(|line| line.starts_with("foldmux: configuration.")),
        "{lines:?}"
    );
}

#[test]
fn an_empty_file_and_one_that_is_cut_off_anywhere_are_one_line() {
    let good = good();
    let places = (0..good.len()).step_by(good.len() / 8);
    for text in places.map(|end| &good[..end]).chain(["null", "[]", "7"]) {
        let output = ran("check-config", text);
        let lines = lines(&output);
        assert_eq!(
            (output.status.code(), lines.len()),
            (Some(1), 1),
            "{text}: {lines:?}"
        );
        assert!(
            lines[0].starts_with("foldmux: configuration: "),
            "{text}: {lines:?}"
        );
    }
}
