//! Plays each script under `exchanges/` against the proxy and compares the transcript with its snapshot under `snapshots/`.

mod common;

#[test]
fn recorded_exchanges() {
    insta::glob!("exchanges/*.txt", |path| {
        // Names the script in the output of a test that panics in it.
        println!("{}", path.display());
        insta::assert_snapshot!(common::play_script(&std::fs::read_to_string(path).unwrap()));
    });
}

#[test]
fn an_invalid_configuration_prints_one_line_per_error() {
    let missing = common::command(&["check-config", "--config", "/nonexistent"])
        .output()
        .unwrap();
    let file = std::env::temp_dir().join(format!("foldmux-bad-{}", std::process::id()));
    // Each text with its number of errors: `{}` lacks `listen`, `limits` and `settings`; a `listen` that is no address
    // counts as one.
    for (text, errors) in [("", 1), ("{}", 3), ("{\"listen\":5}", 3), ("\u{0}", 1)] {
        std::fs::write(&file, text).unwrap();
        let output = common::command(&["serve"])
            .env("GW_CONFIG", &file)
            .output()
            .unwrap();
        for (output, errors) in [(&missing, 1), (&output, errors)] {
            let error = String::from_utf8(output.stderr.clone()).unwrap();
            assert!(!output.status.success(), "{text:?}: {error}");
            assert!(
                error.lines().all(|line| line.starts_with("foldmux: ")),
                "{text:?}: {error}"
            );
            assert_eq!(error.trim_end().lines().count(), errors, "{error}");
        }
    }
    std::fs::remove_file(&file).unwrap();
}
