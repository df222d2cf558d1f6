//! Members in virtual time. Every bound here is one that docs/design/members.md states.

mod common;

use common::*;
use foldmux_membership::*;
use foldmux_replicas::Time;

const SEEDS: u64 = 4;

#[test]
fn fifty_join_through_one() {
    let mut worst = 0;
    for seed in 0..SEEDS {
        let mut net = Net::new(50, seed);
        (0..50).for_each(|i| net.start(i, 1_000, &[0]));
        let at = net.until(60 * SECOND, Net::converged).expect("all see all");
        worst = worst.max(at);
        for told in &net.told {
            assert!(
                told.len() == 49 && told.iter().all(|(_, told)| matches!(told, Event::Up(_))),
                "{told:?}"
            );
        }
    }
    println!("50 joined within {} ms", worst / MS);
    assert!(worst <= 5 * SECOND, "{worst}");
}

#[test]
fn contacts_that_start_later_are_found() {
    let mut net = Net::new(3, 1);
    net.start(0, 1, &[1, 2]);
    net.run(60 * SECOND);
    net.start(1, 1, &[]);
    net.start(2, 1, &[1]);
    let at = net
        .until(net.now + 60 * SECOND, Net::converged)
        .expect("found");
    assert!(at <= 60 * SECOND + 4 * net.pace.join(), "{at}");
}

#[test]
fn a_killed_one_is_down_to_all_within_the_bound() {
    let mut worst = 0;
    for seed in 0..SEEDS {
        let mut net = Net::whole(50, seed);
        let killed = net.now;
        net.kill(7);
        let bound = net.pace.told_of_death();
        let down = |net: &Net| net.heard_of(|told| *told == Event::Down(name(7))) == 49;
        let at = net
            .until(killed + bound, down)
            .expect("down within the bound");
        worst = worst.max(at - killed);
        net.run(5 * SECOND);
        for i in net.running() {
            assert_eq!(net.told[i].len(), 1, "only that: {:?}", net.told[i]);
        }
    }
    println!(
        "down to 49 within {} ms, stated {}",
        worst / MS,
        Net::new(50, 0).pace.told_of_death() / MS
    );
}

#[test]
fn a_suspected_one_that_lives_refutes() {
    let mut suspected = 0;
    for seed in 0..SEEDS {
        let mut net = Net::whole(20, seed);
        let pause = 3 * net.pace.suspicion() / 4;
        net.paused.insert(0, net.now + pause);
        net.run(pause);
        if !(1..20).any(|i| suspects(&net, i, 0)) {
            continue;
        }
        suspected += 1;
        net.run(10 * SECOND);
        assert!(
            net.converged() && net.told.iter().all(Vec::is_empty),
            "nobody was told anything"
        );
        let refuted = (1..20)
            .filter(|i| net.seen(*i, 0).unwrap().incarnation > 0)
            .count();
        assert_eq!(refuted, 19, "by incarnation, in the same generation");
        assert_eq!(net.members[0].as_ref().unwrap().counts().returns, 0);
    }
    assert!(suspected * 2 > SEEDS, "{suspected}");
}

fn suspects(net: &Net, i: usize, other: usize) -> bool {
    net.seen(i, other)
        .is_some_and(|seen| seen.state == State::Suspect)
}

#[test]
fn a_restart_under_the_same_name_replaces_the_life_before_at_once() {
    for seed in 0..SEEDS {
        let mut net = Net::whole(20, seed);
        let before = net.now;
        net.start(3, 5_000_000, &[0, 9]);
        let restarted =
            |told: &Event| matches!(told, Event::Restarted(seen) if seen.peer == name(3));
        let at = net.until(before + 10 * SECOND, |net| {
            net.heard_of(restarted) == 19 && net.converged()
        });
        let took = at.expect("all know the new life") - before;
        assert!(took <= 2 * SECOND, "{took}");
        net.run(30 * SECOND);
        assert!(net.converged());
        for i in (0..20).filter(|i| *i != 3) {
            assert_eq!(
                net.told[i].len(),
                1,
                "never down, never back to the older: {:?}",
                net.told[i]
            );
        }
    }
}

/// Six minutes behind its former life: 2^28 microseconds.
#[test]
fn a_restart_with_a_clock_that_was_set_back_comes_in_all_the_same() {
    let mut net = Net::new(10, 5);
    (0..10).for_each(|i| net.start(i, 1_000_000_000, &[0]));
    net.run(10 * SECOND);
    let before = net.now;
    net.start(3, 1_000_000_000 - (1 << 28), &[0]);
    let at = net.until(before + 60 * SECOND, Net::converged).expect("in") - before;
    println!(
        "in after {} ms and {} returns",
        at / MS,
        net.members[3].as_ref().unwrap().counts().returns
    );
    assert!(at <= 10 * SECOND, "{at}");
}

#[test]
fn leaving_is_told_at_once() {
    for (loss, within) in [(0.0, DELAY), (0.2, SECOND)] {
        for seed in 0..SEEDS {
            let mut net = Net::whole(50, seed);
            net.loss = loss;
            let before = net.now;
            net.ask(4, Command::Leave);
            let told = |net: &Net| net.heard_of(|told| *told == Event::Left(name(4))) == 49;
            net.until(before + within, told).expect("told to all");
            net.loss = 0.0;
            net.run(5 * SECOND);
            assert!(net.converged() && net.heard_of(|told| matches!(told, Event::Down(_))) == 0);
            net.ask(4, Command::Join(vec![name(9)]));
            net.until(net.now + 10 * SECOND, Net::converged)
                .expect("it may come again");
        }
    }
}

#[test]
fn a_fifth_lost_takes_few_for_dead() {
    let (mut downs, mut hours) = (0, 0.0);
    for seed in 0..2 {
        let mut net = Net::whole(20, seed);
        net.loss = 0.2;
        net.run(180 * SECOND);
        downs += net
            .told
            .iter()
            .flatten()
            .filter(|(_, told)| matches!(told, Event::Down(_)))
            .count();
        hours += 20.0 * 180.0 / 3600.0;
    }
    println!("{downs} told down in {hours:.0} process hours at 20 percent loss");
    assert!(downs as f64 <= hours, "{downs}");
}

#[test]
fn halves_come_together_again() {
    for seed in 0..4 {
        let mut net = Net::whole(20, seed);
        let (these, those): (Vec<usize>, Vec<usize>) = (0..20).partition(|i| *i < 10);
        net.part(&these, &those);
        net.run(30 * SECOND);
        assert!(
            (0..20).all(|i| alive(&net, i) == 9),
            "each half sees its own"
        );
        net.cut.clear();
        let healed = net.now;
        let at = net
            .until(healed + 60 * SECOND, Net::converged)
            .expect("whole")
            - healed;
        assert!(at <= 10 * net.pace.period() * 3, "{at}");
    }
}

fn alive(net: &Net, i: usize) -> usize {
    net.members[i]
        .as_ref()
        .unwrap()
        .seen()
        .iter()
        .filter(|seen| seen.state.alive())
        .count()
}

#[test]
fn one_that_was_paused_comes_back_and_blames_nobody() {
    for seed in 0..SEEDS {
        let mut net = Net::whole(20, seed);
        let pause: Time = 2 * net.pace.told_of_death();
        net.paused.insert(5, net.now + pause);
        net.run(pause);
        assert_eq!(net.heard_of(|told| *told == Event::Down(name(5))), 19);
        net.until(net.now + 20 * SECOND, Net::converged)
            .expect("back");
        net.run(10 * SECOND);
        assert!(net.told[5].is_empty(), "{:?}", net.told[5]);
    }
}
