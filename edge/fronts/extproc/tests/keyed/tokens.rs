//! Tokens that are wrong, and repeats that are bound to their group.

use crate::*;

#[test]
fn forged_foreign_expired_replayed_and_other_tokens_are_refused_and_counted() {
    let folder = tempfile::tempdir().unwrap();
    let cache = cache();
    let instance = Instance::start(
        &script("", ""),
        store(folder.path()),
        &[cache.address(); 2],
        cache.address(),
    );
    let (now, keys) = (unix_ms(), SigningKeys::new(1, SECRET));
    let sound = keys.sign(&token("record/k", 0, now, now + 20_000));
    let mut spoilt = sound.clone().into_bytes();
    spoilt[40] = if spoilt[40] == b'A' { b'B' } else { b'A' };
    let spoilt = String::from_utf8(spoilt).unwrap();
    let foreign = SigningKeys::new(9, SECRET).sign(&token("record/k", 0, now, now + 20_000));
    let old = keys.sign(&token("record/k", 0, now - 200_000, now - 100_000));
    for (text, why) in [
        (spoilt.as_str(), "the token was not made here"),
        (foreign.as_str(), "the token's key is not known here"),
        (old.as_str(), "the token's time is over"),
        ("x", "the token can't be read"),
    ] {
        let told = ask(&instance, "k", Some(text));
        assert!(
            told.starts_with("answered 400") && told.contains(why),
            "{told}"
        );
    }
    let told = ask(&instance, "other", Some(&sound));
    assert!(
        told.starts_with("answered 400") && told.contains("another key"),
        "{told}"
    );
    // An attempt out there may be running; then one was followed by another, and the former comes again.
    let told = ask(&instance, "k", Some(&sound));
    assert!(
        told.starts_with("answered 503") && told.contains("may be running"),
        "{told}"
    );
    let (past, first) = (now - 29_000, now - 30_000);
    let late = keys.sign(&token("record/k2", 0, first, past));
    let told = ask(&instance, "k2", Some(&late));
    assert!(told.starts_with("placed"), "{told}");
    let told = ask(&instance, "k2", Some(&late));
    assert!(
        told.starts_with("answered 504") && told.contains("followed by another; may have run"),
        "{told}"
    );
    let counts = &instance.serving.front.keeper.counts;
    let of = [
        &counts.forged,
        &counts.foreign,
        &counts.expired,
        &counts.malformed,
        &counts.replayed,
        &counts.running,
    ];
    assert_eq!(of.map(|n| n.load(Ordering::SeqCst)), [1; 6]);
    instance.settled();
}

#[test]
fn a_repeat_goes_to_its_group_alone_and_after_the_window_nowhere() {
    let folder = tempfile::tempdir().unwrap();
    let caches = [cache(), cache()];
    let places = [caches[0].address(), caches[1].address()];
    let instance = Instance::start(&script("", ""), store(folder.path()), &places, places[0]);
    let (now, keys) = (unix_ms(), SigningKeys::new(1, SECRET));
    for n in 0..12 {
        // Cells count from 0, groups from 1: cell 2 is group 3, and the second cache's.
        let key = format!("g{n}");
        let shown = Token {
            group: 3,
            ..token(&format!("record/{key}"), 0, now - 30_000, now - 29_000)
        };
        let told = ask(&instance, &key, Some(&keys.sign(&shown)));
        assert_eq!(
            field(&told, "x-foldmux-cache"),
            places[1].to_string(),
            "{told}"
        );
    }
    let shown = Token {
        group: 3,
        ..token("record/w", 0, now - 61_000, now - 50_000)
    };
    let told = ask(&instance, "w", Some(&keys.sign(&shown)));
    assert!(
        told.starts_with("answered 504") && told.contains("a repeat would run again"),
        "{told}"
    );
    let shown = Token {
        group: 77,
        ..token("record/n", 0, now - 30_000, now - 29_000)
    };
    let told = ask(&instance, "n", Some(&keys.sign(&shown)));
    assert!(
        told.starts_with("answered 50") && told.contains("may have run"),
        "no cache of its group: {told}"
    );
    instance.settled();
}
