//! A journal relayed by site, by real processes: cuts of each kind, and a source that starts again.

#[path = "common/relayed.rs"]
mod relayed;

use foldmux_harness::line::Way;
use relayed::{heard, purges, readers, relayed, settled, sound, SOON};

#[test]
fn a_site_cut_from_the_source_hears_all_once_the_cut_is_healed() {
    let fleet = relayed(6, 2, "");
    let readers = readers(&fleet, 1);
    for way in [Way::Both, Way::There, Way::Back] {
        let cut = fleet.of_site(0);
        cut.iter()
            .for_each(|process| fleet.cut_news(*process, Some(way)));
        purges(&fleet, 20);
        // Those of the other site.
        heard(&fleet, &readers, 3);
        cut.iter()
            .for_each(|process| fleet.cut_news(*process, None));
        heard(&fleet, &readers, 6);
    }
    settled(&fleet, 2);
    sound(&fleet);
}

#[test]
fn one_relay_cut_from_the_source_says_so_and_another_takes_its_place() {
    let fleet = relayed(6, 2, "");
    let readers = readers(&fleet, 1);
    let relay = fleet.relay(0).unwrap();
    fleet.cut_news(relay, Some(Way::Both));
    purges(&fleet, 20);
    // All of both sites, the cut one's too: it is fed by another.
    heard(&fleet, &readers, 6);
    fleet.cut_news(relay, None);
    heard(&fleet, &readers, 6);
    settled(&fleet, 2);
    sound(&fleet);
}

#[test]
fn sites_cut_from_each_other_go_on_each_by_itself() {
    let fleet = relayed(6, 2, "");
    let readers = readers(&fleet, 1);
    let pairs = || {
        fleet
            .of_site(0)
            .into_iter()
            .flat_map(|a| fleet.of_site(1).into_iter().map(move |b| (a, b)))
    };
    for way in [Way::Both, Way::There] {
        pairs().for_each(|(a, b)| fleet.cut(a, b, way));
        purges(&fleet, 60);
        heard(&fleet, &readers, 6);
        pairs().for_each(|(a, b)| fleet.heal(a, b));
        heard(&fleet, &readers, 6);
    }
    settled(&fleet, 2);
    sound(&fleet);
}

#[test]
fn a_relay_that_is_heard_no_more_and_hears_on_costs_a_stream_and_no_promise() {
    let fleet = relayed(6, 2, "");
    let readers = readers(&fleet, 1);
    let relay = fleet.relay(0).unwrap();
    let others: Vec<usize> = (0..fleet.size()).filter(|n| *n != relay).collect();
    for way in [Way::There, Way::Back] {
        others
            .iter()
            .for_each(|other| fleet.cut(relay, *other, way));
        purges(&fleet, 60);
        heard(&fleet, &readers, 6);
        others.iter().for_each(|other| fleet.heal(relay, *other));
        heard(&fleet, &readers, 6);
    }
    settled(&fleet, 2);
    sound(&fleet);
}

#[test]
fn a_source_that_starts_again_at_1_is_read_on() {
    let fleet = relayed(4, 2, "");
    let readers = readers(&fleet, 1);
    purges(&fleet, 30);
    heard(&fleet, &readers, 4);
    for _ in 0..2 {
        fleet.restart_source();
        heard(&fleet, &readers, 4);
        purges(&fleet, 5);
        heard(&fleet, &readers, 4);
    }
    settled(&fleet, 2);
    sound(&fleet);
}

#[test]
fn half_of_the_fleet_is_stopped_while_the_source_starts_again() {
    let fleet = relayed(4, 2, "");
    let readers = readers(&fleet, 1);
    purges(&fleet, 10);
    (0..2).for_each(|process| fleet.pause(process).unwrap());
    fleet.restart_source();
    purges(&fleet, 3);
    (0..2).for_each(|process| fleet.wake(process).unwrap());
    let last = fleet.journal().last();
    assert!(readers.reached(4, last, SOON));
    heard(&fleet, &readers, 4);
    sound(&fleet);
}
