//! One stream for each site, by real processes: a relay that is killed, stopped, leaves; none that reads; many that come back.

#[path = "common/relayed.rs"]
mod relayed;

use foldmux_harness::line::Way;
use relayed::{heard, purges, readers, relayed, settled, sound, PATIENT, WAIT};
use std::time::Duration;

#[test]
fn each_site_reads_the_journal_once_and_its_readers_hear_all_in_order() {
    let fleet = relayed(6, 2, PATIENT);
    let readers = readers(&fleet, 3);
    let before = fleet.journal().cost();
    purges(&fleet, 20);
    heard(&fleet, &readers, 18);
    let after = fleet.journal().cost();
    // Two streams make some 42 polls; each process by itself, 126. A starved one reads by itself for a while.
    let (polls, beyond) = (after.1 - before.1, sound(&fleet).streams_beyond);
    println!("{polls} polls for 21 purges, at most {beyond} streams beyond one a site");
    assert!(polls < 110, "{polls} polls for 21 purges");
    settled(&fleet, 2);
}

#[test]
fn a_relay_killed_in_the_middle_of_a_message_leaves_no_gap() {
    let fleet = relayed(6, 2, "");
    let readers = readers(&fleet, 2);
    let relay = fleet.relay(0).unwrap();
    // The piece in which the next news goes to one that it feeds is torn.
    let others: Vec<usize> = fleet
        .of_site(0)
        .into_iter()
        .filter(|n| *n != relay)
        .collect();
    others.iter().for_each(|other| {
        [(relay, *other, Way::There), (*other, relay, Way::Back)]
            .into_iter()
            .for_each(|(from, to, way)| {
                fleet
                    .line(from, to)
                    .iter()
                    .for_each(|line| line.tear(way, 40))
            });
    });
    fleet.journal().purge();
    fleet.kill(relay);
    purges(&fleet, 30);
    heard(&fleet, &readers, 12);
    settled(&fleet, 2);
    fleet.restart(relay).unwrap();
    heard(&fleet, &readers, 12);
    settled(&fleet, 2);
    sound(&fleet);
}

#[test]
fn a_relay_stopped_and_woken_tells_nobody_a_number_twice() {
    let fleet = relayed(6, 2, "");
    let readers = readers(&fleet, 2);
    let relay = fleet.relay(0).unwrap();
    fleet.pause(relay).unwrap();
    purges(&fleet, 100);
    // Those of the others; the stopped one's own hear once it is woken, or elsewhere.
    heard(&fleet, &readers, 10);
    fleet.wake(relay).unwrap();
    purges(&fleet, 30);
    heard(&fleet, &readers, 12);
    settled(&fleet, 2);
    sound(&fleet);
}

#[test]
fn all_relays_leave_at_once_and_others_go_on() {
    let fleet = relayed(6, 2, "");
    let readers = readers(&fleet, 2);
    let relays = settled(&fleet, 2);
    std::thread::scope(|scope| {
        relays
            .iter()
            .for_each(|relay| drop(scope.spawn(|| fleet.leave(*relay).unwrap())));
        purges(&fleet, 60);
    });
    heard(&fleet, &readers, 12);
    assert!(settled(&fleet, 2).iter().all(|now| !relays.contains(now)));
    sound(&fleet);
}

#[test]
fn a_purge_that_races_a_handover_comes_to_all() {
    let fleet = relayed(6, 2, "");
    let readers = readers(&fleet, 2);
    for _ in 0..2 {
        let relay = fleet.relay(0).unwrap();
        std::thread::scope(|scope| {
            let leaves = scope.spawn(|| fleet.leave(relay).unwrap());
            while !leaves.is_finished() {
                purges(&fleet, 1);
            }
        });
        heard(&fleet, &readers, 12);
        fleet.restart(relay).unwrap();
        fleet.well(relay).unwrap();
        settled(&fleet, 2);
    }
    heard(&fleet, &readers, 12);
    sound(&fleet);
}

#[test]
fn a_stream_with_one_reader_is_one_stream() {
    let fleet = relayed(3, 1, "");
    let readers = fleet.readers(1).unwrap();
    fleet.begin(&readers, 1, 2, WAIT);
    heard(&fleet, &readers, 1);
    purges(&fleet, 20);
    heard(&fleet, &readers, 1);
    assert_eq!(
        fleet.streams(1, Duration::ZERO).map(|open| open.len()),
        Ok(1)
    );
    sound(&fleet);
}

#[test]
fn many_readers_of_one_relay_come_back_in_one_moment() {
    let fleet = relayed(3, 1, "");
    let readers = fleet.readers(2).unwrap();
    let relay = fleet.relay(0).unwrap();
    let many = 1_000;
    (0..many).for_each(|n| fleet.begin(&readers, n, relay, Duration::from_secs(5)));
    heard(&fleet, &readers, many as usize);
    let before = readers.look(|heard| heard.connected);
    readers.break_all();
    heard(&fleet, &readers, many as usize);
    assert!(
        readers.look(|heard| heard.connected) >= before + many,
        "all came back"
    );
    assert_eq!(
        fleet
            .streams(1, Duration::from_secs(5))
            .map(|open| open.len()),
        Ok(1)
    );
    sound(&fleet);
}
