//! Admission, waiting and a change of the table in service.

use super::*;
use crate::table::{Draft, Said};
use crate::values::{Budget, Layer};
use crate::Account;
use proptest::prelude::*;

fn table(places: u64, queue: u64, class: &str) -> Table {
    let layer = Layer {
        concurrency: Some(Concurrency::Fixed { most: places }),
        queue: Some(queue),
        queue_age_ms: Some(100),
        budget: Some("b".into()),
        ..Layer::default()
    };
    let budget = Budget {
        name: "b".into(),
        percent: 10.0,
        burst: 2,
        parent: None,
    };
    let said = |value| Said {
        at: "f:1".to_string(),
        value,
    };
    let draft = Draft {
        classes: vec![Said {
            at: "f:2".into(),
            value: (class.to_string(), layer),
        }],
        budgets: vec![said(budget)],
        ..Draft::default()
    };
    Table::new(&Account::default(), &draft)
}

#[test]
fn places_are_given_in_turn_and_budgets_bound_repeats() {
    let table = table(1, 2, "mix-video");
    let mut gate = Gate::new(&table);
    let at = place(&table.by_class[0][0]);
    let answers: Vec<Admitted> = (0..4).map(|id| gate.admit(0, &at, id)).collect();
    assert_eq!(
        answers,
        [
            Admitted::Now,
            Admitted::Waits,
            Admitted::Waits,
            Admitted::Refused
        ]
    );
    assert_eq!((gate.ended(10, &at), gate.sizes()), (Some(1), [1, 1]));
    gate.left(&at, 2);
    assert_eq!((gate.ended(20, &at), gate.sizes()), (None, [0, 0]));
    assert!(gate.again(&at) && gate.again(&at) && !gate.again(&at));
    (0..10).for_each(|_| gate.first(&at));
    assert!(gate.again(&at));
    // Another class has no bounds.
    let other = place(&table.by_class[1][0]);
    assert!((0..100).all(|id| gate.admit(0, &other, id) == Admitted::Now && gate.again(&other)));
}

#[test]
fn a_flood_of_one_class_takes_no_place_of_another() {
    let layers = ["formula-card", "mix-record"].map(|class| {
        let concurrency = Some(Concurrency::Fixed { most: 5 });
        Said {
            at: "f:1".to_string(),
            value: (
                class.to_string(),
                Layer {
                    concurrency,
                    ..Layer::default()
                },
            ),
        }
    });
    let draft = Draft {
        classes: layers.to_vec(),
        ..Draft::default()
    };
    let table = Table::new(&Account::default(), &draft);
    let mut gate = Gate::new(&table);
    let [card, record] = [1, 2].map(|class| place(&table.by_class[class][0]));
    let refused = (0..1_000)
        .filter(|id| gate.admit(0, &card, *id) == Admitted::Refused)
        .count();
    assert_eq!(refused, 995);
    assert!((0..5).all(|id| gate.admit(0, &record, 5_000 + id) == Admitted::Now));
}

#[test]
fn another_table_keeps_who_is_open_and_who_waits() {
    let before = table(1, 4, "mix-video");
    let mut gate = Gate::new(&before);
    let at = place(&before.by_class[0][0]);
    (0..4).for_each(|id| {
        gate.admit(0, &at, id);
    });
    // Two places, and one in the line.
    let (gone, admitted) = gate.swap(5, &table(2, 1, "mix-video"));
    assert_eq!(
        (gone, admitted, gate.sizes()),
        (vec![2, 3], vec![1], [2, 0])
    );
    assert_eq!(gate.admit(5, &at, 9), Admitted::Waits);
    // The lane is gone from the table: its requests end in it.
    let (gone, _) = gate.swap(6, &table(2, 1, "mix-record"));
    assert_eq!((gone, gate.sizes()), (vec![9], [2, 0]));
    assert_eq!(
        (gate.ended(7, &at), gate.ended(8, &at), gate.sizes()),
        (None, None, [0, 0])
    );
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Ask,
    End,
    Wait(u8),
    Swap(u8, u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Ask),
        3 => Just(Step::End),
        2 => any::<u8>().prop_map(Step::Wait),
        1 => (1u8..5, 0u8..5).prop_map(|(places, queue)| Step::Swap(places, queue)),
    ];
    proptest::collection::vec(step, 0..200)
}

proptest! {
    /// Whatever is asked, ended, let go and swapped: each request has one end, no more are open than there are places
    /// (but for those that were open before), and all is given back.
    #[test]
    fn every_place_is_given_back_and_no_one_waits_for_ever(steps in steps()) {
        let mut now = 0;
        let mut most = 2;
        let first = table(2, 3, "mix-video");
        let mut gate = Gate::new(&first);
        let at = place(&first.by_class[0][0]);
        let (mut open, mut waits, mut next) = (Vec::new(), Vec::new(), 0u64);
        for step in steps {
            match step {
                Step::Ask => {
                    next += 1;
                    match gate.admit(now, &at, next) {
                        Admitted::Now => open.push(next),
                        Admitted::Waits => waits.push(next),
                        Admitted::Refused => {}
                    }
                }
                Step::End if open.is_empty() => {}
                Step::End => {
                    open.pop();
                    if let Some(id) = gate.ended(now, &at) {
                        prop_assert!(waits.contains(&id));
                        waits.retain(|w| *w != id);
                        open.push(id);
                    }
                }
                Step::Wait(ms) => {
                    now += ms as u64 * 1_000;
                    let over = gate.expired(now);
                    prop_assert!(over.iter().all(|id| waits.contains(id)));
                    waits.retain(|w| !over.contains(w));
                }
                Step::Swap(places, queue) => {
                    let (gone, admitted) = gate.swap(now, &table(places as u64, queue as u64, "mix-video"));
                    most = places as usize;
                    waits.retain(|w| !gone.contains(w) && !admitted.contains(w));
                    open.extend(admitted);
                }
            }
            prop_assert_eq!(gate.sizes(), [open.len() as u64, waits.len() as u64]);
            prop_assert!(waits.is_empty() || open.len() >= most);
        }
        while open.pop().is_some() {
            open.extend(gate.ended(now, &at));
        }
        prop_assert_eq!(gate.sizes(), [0, 0]);
    }
}
