//! One decision of each kind, with 60 hubs and 2,000 locations.

use foldmux_hierarchy::fill_path::{FillPath, PathSigner};
use foldmux_hierarchy::in_flight::{
    Admission, FetchKey, FetchLimits, FetchRequest, FetchTable, FillContext,
};
use foldmux_hierarchy::tree::{NodeKind, ProposedNode, Tree, TreeDraft};
use std::hint::black_box;

fn main() {
    divan::main();
}

fn tree() -> Tree {
    let node = |name: String, kind, parents: Vec<String>| ProposedNode {
        name,
        kind,
        parents,
    };
    let mut nodes = vec![node("archive".into(), NodeKind::Archive, vec![])];
    nodes.extend((0..60).map(|h| node(format!("hub-{h}"), NodeKind::Hub, vec!["archive".into()])));
    let parents = |l: usize| vec![format!("hub-{}", l % 60), format!("hub-{}", (l + 7) % 60)];
    nodes.extend((0..2_000).map(|l| node(format!("office-{l}"), NodeKind::Location, parents(l))));
    Tree::validate(&TreeDraft {
        epoch: 1,
        nodes,
        ..TreeDraft::default()
    })
    .expect("a valid tree")
}

#[divan::bench]
fn next_hop_of_a_hub(bencher: divan::Bencher) {
    let tree = tree();
    let hub = tree.find("hub-31").expect("the hub is in the tree");
    let mut object = 0;
    bencher.bench_local(|| {
        object += 1;
        black_box(tree.next_hops(hub, object, |_| true))
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
fn request_follow_and_leave(bencher: divan::Bencher) {
    let version = tree().version();
    let mut table = FetchTable::new(FetchLimits {
        fetches: 20_000,
        waiters: 40_000,
        lease_us: 1_000_000,
        attempts: 3,
    });
    let request = |object| FetchRequest {
        key: FetchKey {
            class: 0,
            object,
            part: 0,
        },
        context: FillContext::LOCAL,
        version,
        min_birth: 0,
        deadline: u64::MAX,
    };
    for object in 0..10_000 {
        table.request(0, request(object));
    }
    let mut object = 0;
    bencher.bench_local(|| {
        object = (object + 7) % 10_000;
        match table.request(1, request(object)) {
            Admission::Follow(_, waiter) => black_box(table.leave(waiter)),
            _ => unreachable!("fetches for all objects are in flight"),
        }
    });
}

#[divan::bench]
fn a_path_parsed_checked_and_forwarded(bencher: divan::Bencher) {
    let signer = PathSigner::new("hub-31", "fill.example", &[7; 32]);
    let first = FillPath::default().append(&PathSigner::new("hub-2", "fill.example", &[8; 32]), 5);
    bencher.bench_local(|| {
        let path = FillPath::parse(first.as_bytes()).expect("a valid path");
        assert!(!signer.has_signed(&path, 5));
        black_box(path.append(&signer, 5))
    });
}
