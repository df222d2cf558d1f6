//! The search for a second run of a key.

use super::*;

fn found(change: impl Fn(&mut Effective)) -> Found {
    let account = Account::default();
    let class = account.class("mix-record").unwrap();
    let mut values = Effective::today(&account, class);
    change(&mut values);
    second_run(&Setting::new(&account, class, &values))
}

#[test]
fn today_s_values_run_no_key_twice() {
    let found = found(|_| ());
    assert!(found.story.is_none() && found.states > 100, "{found:?}");
}

#[test]
fn a_pause_that_moves_a_repeat_past_the_window_is_found_and_told() {
    let found = found(|values| {
        (values.backoff_ms, values.backoff_most_ms, values.attempt_ms) = (900, 900, 700);
    });
    let story = found.story.expect("a second run");
    assert!(
        story.last().unwrap().ends_with("it runs again"),
        "{story:#?}"
    );
    assert!(
        story
            .iter()
            .any(|line| line.contains("sent after a pause of")),
        "{story:#?}"
    );
    // A shortest one: two lost attempts and the one too late, and no more.
    assert!(story.len() <= 5, "{story:#?}");
}
