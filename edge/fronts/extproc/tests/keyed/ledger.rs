//! A ledger that can't be written, opened or read, and a front that dies.

use crate::*;

#[test]
fn a_ledger_that_can_t_be_written_refuses_keyed_requests_with_a_reason_and_others_go_on() {
    let folder = tempfile::tempdir().unwrap();
    let cache = cache();
    let fails = Arc::new(AtomicBool::new(false));
    let opener = foldmux_store::failing(&folder.path().join("ledger"), fails.clone());
    let instance = Instance::start(
        &script("", ""),
        opener,
        &[cache.address(); 2],
        cache.address(),
    );
    assert!(ask(&instance, "a", None).starts_with("placed"));
    fails.store(true, Ordering::SeqCst);
    for _ in 0..3 {
        let told = ask(&instance, "b", None);
        assert!(
            told.starts_with("answered 503") && told.contains("can't be written"),
            "{told}"
        );
        assert!(
            told.contains("nothing ran") && !field(&told, "retry-after").is_empty(),
            "{told}"
        );
        let sheet = check::check(&instance.address.to_string(), "GET", "/cards/x", &[]).unwrap();
        assert!(sheet.starts_with("placed"), "{sheet}");
    }
    fails.store(false, Ordering::SeqCst);
    // It was never handed out: the first attempt is still to be made.
    assert!(ask(&instance, "b", None).starts_with("placed"));
    instance.settled();
}

fn copied(from: &Path, to: &Path) {
    std::fs::copy(from.join("ledger"), to.join("ledger")).unwrap();
}

#[test]
fn a_front_that_comes_back_refuses_what_may_have_run() {
    let folder = tempfile::tempdir().unwrap();
    let cache = cache();
    let first = Instance::start(
        &script("", ""),
        store(folder.path()),
        &[cache.address(); 2],
        cache.address(),
    );
    assert!(ask(&first, "a", None).starts_with("placed"));
    // As the disk was between the answer and its outcome: whatever the first still writes is not in this one.
    let left = tempfile::tempdir().unwrap();
    copied(folder.path(), left.path());
    drop(first);
    let again = Instance::start(
        &script("", ""),
        store(left.path()),
        &[cache.address(); 2],
        cache.address(),
    );
    let told = ask(&again, "a", None);
    assert!(
        told.starts_with("answered 503") && told.contains("may be running until"),
        "{told}"
    );
    assert!(ask(&again, "b", None).starts_with("placed"), "others go on");
    again.settled();
}

#[test]
fn what_was_written_and_never_told_is_refused_as_well_after_a_crash() {
    let folder = tempfile::tempdir().unwrap();
    let rule = RetryPolicy {
        idempotency_window: 10_000,
        max_attempts: 4,
        send_window: 200,
        max_run_time: 1_500,
        retention: 60_000,
    };
    let keeper = |folder: &Path| {
        let keys: [(u8, &[u8]); 1] = [(1, SECRET)];
        Arc::new(Keeper::start(Some((store(folder), Commit::Group)), 10, &keys, 0, 60_000).unwrap())
    };
    let first = keeper(folder.path());
    let left = tempfile::tempdir().unwrap();
    block_on(async {
        let mut grip = first.ask(KeyHash::of("record/a"), rule, None).unwrap();
        grip.hand(KeyHash::of("r"), 2).await.unwrap();
        // Killed here: written, and no answer went out.
        copied(folder.path(), left.path());
        drop(grip);
    })
    .unwrap();
    let again = keeper(left.path());
    assert!(matches!(
        again.ask(KeyHash::of("record/a"), rule, None),
        Err(No::Ledger(Denied::InFlight { .. }))
    ));
    // The one that lived on knows that it was never told.
    assert!(first.ask(KeyHash::of("record/a"), rule, None).is_ok());
}

#[test]
fn a_ledger_that_can_t_be_opened_yet_refuses_keyed_requests_and_others_go_on() {
    let folder = tempfile::tempdir().unwrap();
    let cache = cache();
    // A disk that is read-only: nothing can be written, so the file can't be opened for it.
    let fails = Arc::new(AtomicBool::new(true));
    let opener = foldmux_store::failing(&folder.path().join("ledger"), fails.clone());
    let instance = Instance::start(
        &script("", ""),
        opener,
        &[cache.address(); 2],
        cache.address(),
    );
    let told = ask(&instance, "a", None);
    assert!(
        told.starts_with("answered 503") && told.contains("can't be read yet; nothing ran"),
        "{told}"
    );
    let sheet = check::check(&instance.address.to_string(), "GET", "/cards/x", &[]).unwrap();
    assert!(sheet.starts_with("placed"), "{sheet}");
    fails.store(false, Ordering::SeqCst);
    until("the ledger is there", || {
        ask(&instance, "a", None).starts_with("placed")
    });
    instance.settled();
}

#[test]
fn a_full_ledger_refuses_and_forgets_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let cache = cache();
    let small = script("", "ledger(\"unused\", entries = 2)");
    let instance = Instance::start(
        &small,
        store(folder.path()),
        &[cache.address(); 2],
        cache.address(),
    );
    assert!(
        ask(&instance, "a", None).starts_with("placed")
            && ask(&instance, "b", None).starts_with("placed")
    );
    let told = ask(&instance, "c", None);
    assert!(
        told.starts_with("answered 503") && told.contains("is full; nothing ran"),
        "{told}"
    );
    assert!(
        ask(&instance, "a", None).contains("may be running"),
        "still known"
    );
    instance.settled();
}

/// Writes straight into the ledger's file, as damage or another version would have.
fn written(folder: &Path, key: &[u8], value: &[u8]) {
    let store = foldmux_store::Store::start(store(folder), Commit::Each, |_| Ok(())).unwrap();
    let (told, done) = std::sync::mpsc::channel();
    store.put(
        key,
        value,
        Box::new(move |result| told.send(result).unwrap()),
    );
    done.recv().unwrap().unwrap();
}

#[test]
fn an_entry_that_can_t_be_read_fences_its_key_off_and_a_key_of_no_known_form_refuses_the_start() {
    let folder = tempfile::tempdir().unwrap();
    written(
        folder.path(),
        &KeyHash::of("record/damaged").0,
        b"\x09 of a later version",
    );
    let cache = cache();
    {
        let instance = Instance::start(
            &script("", ""),
            store(folder.path()),
            &[cache.address(); 2],
            cache.address(),
        );
        let told = ask(&instance, "damaged", None);
        assert!(told.starts_with("answered 50"), "{told}");
        assert!(
            told.contains("can't be read") && told.contains("may have run"),
            "{told}"
        );
        assert!(ask(&instance, "other", None).starts_with("placed"));
        instance.settled();
    }
    written(folder.path(), b"short", b"whatever");
    let secret = [(1, SECRET)];
    let refused = Keeper::start(
        Some((store(folder.path()), Commit::Group)),
        10,
        &secret,
        0,
        60_000,
    )
    .err();
    assert_eq!(
        refused.as_deref(),
        Some("a key of 5 bytes, and 16 are its own")
    );
}
