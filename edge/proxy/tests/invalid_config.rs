//! With an invalid configuration `serve` prints one line per error and exits with status 1, and `check-config` does the same.

use std::process::Output;

mod common;

fn valid_config() -> String {
    let unused_address = "127.0.0.1:9".parse().unwrap();
    common::config(unused_address, unused_address)
}

/// The output of `foldmux COMMAND` with this configuration.
fn run_with_config(command: &str, text: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(&file, text).unwrap();
    let mut command = common::command(&[command]);
    command
        .env("GW_CONFIG", &file)
        .env_remove("GW_OPERATOR")
        .output()
        .expect("the output of the program")
}

fn stderr_lines(output: &Output) -> Vec<String> {
    String::from_utf8(output.stderr.clone())
        .unwrap()
        .lines()
        .map(str::to_string)
        .collect()
}

/// Replaces `original` in the valid configuration once, and returns the errors, which `serve` and `check-config` must agree
/// on.
fn errors_after(original: &str, replacement: &str) -> Vec<String> {
    let valid_config = valid_config();
    assert!(valid_config.contains(original), "{original}");
    let text = valid_config.replacen(original, replacement, 1);
    // `check-config` comes first: `serve` would not exit with a configuration that is accepted by mistake.
    let checked = run_with_config("check-config", &text);
    assert_eq!(
        checked.status.code(),
        Some(1),
        "{replacement}: {:?}",
        stderr_lines(&checked)
    );
    let started = run_with_config("serve", &text);
    assert_eq!(
        started.status.code(),
        Some(1),
        "{replacement}: {:?}",
        stderr_lines(&started)
    );
    assert_eq!(
        stderr_lines(&started),
        stderr_lines(&checked),
        "{replacement}: serve and check-config print the same"
    );
    stderr_lines(&started)
}

#[test]
fn each_kind_of_error_is_one_line_that_names_the_key() {
    let duplicate =
        r#"{"name":"record","slo":1,"hardLimit":1,"idempotency":"free"},{"name":"record""#;
    for (original, replacement, key) in [
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
        (
            "{\"name\":\"record\"",
            duplicate,
            "settings.classes[2].name",
        ),
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
        let lines = errors_after(original, replacement);
        assert_eq!(lines.len(), 1, "{replacement}: {lines:?}");
        assert!(
            lines[0].starts_with(&format!("foldmux: configuration.{key}: ")),
            "{replacement}: {lines:?}"
        );
    }
    // A JSON syntax error has no key to name.
    for (original, replacement) in [
        ("\"fallMultiple\":4.0", "\"fallMultiple\":NaN"),
        ("\"settings\":{", "\"settings\":"),
    ] {
        let lines = errors_after(original, replacement);
        assert!(
            lines.len() == 1 && lines[0].starts_with("foldmux: configuration: "),
            "{lines:?}"
        );
    }
}

#[test]
fn a_duplicate_key_is_rejected_by_name() {
    for (original, replacement, key) in [
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
        let lines = errors_after(original, replacement);
        assert_eq!(lines.len(), 1, "{replacement}: {lines:?}");
        assert!(
            lines[0].contains(&format!("duplicate key \"{key}\" in an object")),
            "{lines:?}"
        );
    }
}

#[test]
fn errors_of_several_kinds_are_one_line_each() {
    let valid_config = valid_config();
    let text = valid_config
        .replace("\"sockets\":1024", "\"sockets\":8")
        .replace("\"name\":\"record\"", "\"name\":\"sheet\"")
        .replace("\"maxAttempts\":4", "\"maxAttempts\":0")
        .replace("\"slo\":20000000", "\"slo\":true")
        .replace("\"seed\":\"1\"", "\"seed\":\"x\"");
    let output = run_with_config("serve", &text);
    let lines = stderr_lines(&output);
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
fn an_empty_file_and_a_truncated_one_are_one_line() {
    let valid_config = valid_config();
    let lengths = (0..valid_config.len()).step_by(valid_config.len() / 8);
    for text in lengths
        .map(|end| &valid_config[..end])
        .chain(["null", "[]", "7"])
    {
        let output = run_with_config("check-config", text);
        let lines = stderr_lines(&output);
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
