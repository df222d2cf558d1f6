//! Each text file under exchanges/ is played against the program; what it sent is kept beside it.

mod common;

#[test]
fn recorded_exchanges() {
    insta::glob!("exchanges/*.txt", |path| {
        // Shown where a read in it fails.
        println!("{}", path.display());
        insta::assert_snapshot!(common::play(&std::fs::read_to_string(path).unwrap()));
    });
}

#[test]
fn a_bad_configuration_is_one_plain_line_for_each_fault() {
    let missing = common::command(&["check-config", "--config", "/nonexistent"])
        .output()
        .unwrap();
    let file = std::env::temp_dir().join(format!("foldmux-bad-{}", std::process::id()));
    // Without `listen`, `limits` and `settings`; with a `listen` that is no address, without the two others.
    for (text, faults) in [("", 1), ("{}", 3), ("{\"listen\":5}", 3), ("\u{0}", 1)] {
        std::fs::write(&file, text).unwrap();
        let out = common::command(&["serve"])
            .env("GW_CONFIG", &file)
            .output()
            .unwrap();
        for (out, faults) in [(&missing, 1), (&out, faults)] {
            let error = String::from_utf8(out.stderr.clone()).unwrap();
            assert!(!out.status.success(), "{text:?}: {error}");
            assert!(
                error.lines().all(|line| line.starts_with("foldmux: ")),
                "{text:?}: {error}"
            );
            assert_eq!(error.trim_end().lines().count(), faults, "{error}");
        }
    }
    std::fs::remove_file(&file).unwrap();
}
