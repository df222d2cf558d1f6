//! One decision of each sort, at 60 hubs and 2,000 locations.

use foldmux_hierarchy::ledger::{Arrival, Key, Ledger, Limits, Turn, Want};
use foldmux_hierarchy::tree::{Draft, Kind, Proposed, Tree};
use foldmux_hierarchy::way::{Signer, Way};
use std::hint::black_box;

fn main() {
    divan::main();
}

fn tree() -> Tree {
    let node = |name: String, kind, parents: Vec<String>| Proposed {
        name,
        kind,
        parents,
    };
    let mut nodes = vec![node("archive".into(), Kind::Archive, vec![])];
    nodes.extend((0..60).map(|h| node(format!("hub-{h}"), Kind::Hub, vec!["archive".into()])));
    let parents = |l: usize| vec![format!("hub-{}", l % 60), format!("hub-{}", (l + 7) % 60)];
    nodes.extend((0..2_000).map(|l| node(format!("office-{l}"), Kind::Location, parents(l))));
    Tree::check(&Draft {
        epoch: 1,
        nodes,
        ..Draft::default()
    })
    .expect("a sound tree")
}

#[divan::bench]
fn next_hop_of_a_hub(bencher: divan::Bencher) {
    let tree = tree();
    let hub = tree.find("hub-31").expect("there");
    let mut object = 0;
    bencher.bench_local(|| {
        object += 1;
        black_box(tree.next(hub, object, |_| true))
    });
}

#[divan::bench]
fn shield_of_an_object(bencher: divan::Bencher) {
    let tree = tree();
    let mut object = 0;
    bencher.bench_local(|| {
        object += 1;
        black_box(tree.shield(object))
    });
}

#[divan::bench]
fn want_join_and_leave(bencher: divan::Bencher) {
    let present = tree().stamp();
    let mut ledger = Ledger::new(Limits {
        fetches: 20_000,
        waits: 40_000,
        lease: 1_000_000,
        attempts: 3,
    });
    let want = |object| Want {
        key: Key {
            class: 0,
            object,
            part: 0,
        },
        arrival: Arrival::BEGINS,
        present,
        born_after: 0,
        until: u64::MAX,
    };
    for object in 0..10_000 {
        ledger.want(0, want(object));
    }
    let mut object = 0;
    bencher.bench_local(|| {
        object = (object + 7) % 10_000;
        match ledger.want(1, want(object)) {
            Turn::Join(_, wait) => black_box(ledger.leave(wait)),
            _ => unreachable!("all are under way"),
        }
    });
}

#[divan::bench]
fn a_way_read_checked_and_passed_on(bencher: divan::Bencher) {
    let signer = Signer::new("hub-31", "fill.example", &[7; 32]);
    let first = Way::default().with(&Signer::new("hub-2", "fill.example", &[8; 32]), 5);
    bencher.bench_local(|| {
        let way = Way::parse(first.as_bytes()).expect("a way");
        assert!(!signer.sent(&way, 5));
        black_box(way.with(&signer, 5))
    });
}
