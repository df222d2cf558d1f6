//! The short form of `make fuzz`: the corpus, and one turn of each target.

use foldmux_fuzz::{replay, targets, turn};

#[test]
fn each_target_reads_its_corpus_and_one_turn_of_new_inputs_as_its_oracle_does() {
    let targets = targets();
    let ran: Vec<_> = std::thread::scope(|scope| {
        let one = |target| scope.spawn(move || (replay(target), turn(target, 29)));
        let all: Vec<_> = targets.iter().map(one).collect();
        all.into_iter().map(|ran| ran.join().unwrap()).collect()
    });
    for (target, (replayed, turned)) in targets.iter().zip(ran) {
        assert!(replayed.is_ok(), "{}: {replayed:?}", target.name);
        assert!(turned.is_ok(), "{}: {turned:?}", target.name);
    }
}

#[test]
fn an_oracle_can_tell_a_difference() {
    // A call of which one byte more is read than there is, and a frame under another key, are what the checks look for.
    assert!(foldmux_fuzz::json::feed(br#"{"pos":1,"entries":[]}"#).is_ok());
    let seen = std::panic::catch_unwind(|| {
        let wrong: foldmux_fuzz::Check = |bytes| {
            if bytes.len() > 3 {
                Err("long".into())
            } else {
                Ok(())
            }
        };
        let target = foldmux_fuzz::Target {
            name: "planted",
            draw: foldmux_fuzz::drawn,
            check: wrong,
            turn: 64,
        };
        turn(&target, 1)
    });
    let (bytes, why) = seen.unwrap().unwrap_err();
    assert_eq!(
        (bytes, why.contains("long")),
        (vec![0; 4], true),
        "found, and shrunk to the least"
    );
}
