//! What limits cost: a request's values out of many routes, a place taken and given back, the check of a large file.

use foldmux_limits::check::check;
use foldmux_limits::explore::{second_run, Setting};
use foldmux_limits::gate::{place, Gate};
use foldmux_limits::standing::Standing;
use foldmux_limits::table::{Draft, Match, Route, Said, Table};
use foldmux_limits::values::{Concurrency, Effective, Layer};
use foldmux_limits::Account;

fn main() {
    divan::main();
}

fn draft(routes: usize) -> Draft {
    let route = |n: usize| Said {
        at: format!("f.star:{}", n + 3),
        value: Route {
            name: format!("r{n}"),
            class: ["mix-video", "formula-card", "mix-record"][n % 3].to_string(),
            matching: Match {
                zone: Some(format!("zone-{n}")),
                ..Match::default()
            },
            layer: Layer {
                attempts: Some(2 + n as u64 % 3),
                keep: Some(2),
                ..Layer::default()
            },
        },
    };
    let places = Layer {
        concurrency: Some(Concurrency::Fixed { most: 1 }),
        ..Layer::default()
    };
    let classes = vec![Said {
        at: "f.star:1".into(),
        value: ("mix-video".to_string(), places),
    }];
    Draft {
        classes,
        routes: (0..routes).map(route).collect(),
        ..Draft::default()
    }
}

#[divan::bench(args = [1, 20, 200])]
fn resolve(bencher: divan::Bencher, routes: usize) {
    let table = Table::new(&Account::default(), &draft(routes));
    // The last route of the class: all before it are looked at.
    let zone = format!("zone-{}", (routes - 1) / 3 * 3);
    let standing = Standing::new(&table, &zone);
    bencher.bench(|| {
        standing
            .find(0, divan::black_box(""), "msgpack")
            .map(|r| r.values.attempts)
    });
}

/// As [`resolve`], where the routes differ by their callers: these are looked at one by one.
#[divan::bench(args = [1, 20, 200])]
fn resolve_by_caller(bencher: divan::Bencher, routes: usize) {
    let mut draft = draft(routes);
    for (n, said) in draft.routes.iter_mut().enumerate() {
        let caller = Some(format!("spiffe://partner-{n}.example/*"));
        said.value.matching = Match {
            caller,
            ..Match::default()
        };
    }
    let standing = Standing::new(&Table::new(&Account::default(), &draft), "zone-0");
    let caller = format!("spiffe://partner-{}.example/front/3", (routes - 1) / 3 * 3);
    bencher.bench(|| {
        standing
            .find(0, divan::black_box(&caller), "ext_proc")
            .map(|r| r.values.attempts)
    });
}

#[divan::bench]
fn admit_and_end(bencher: divan::Bencher) {
    let table = Table::new(&Account::default(), &draft(1));
    let mut gate = Gate::new(&table);
    let at = place(&table.by_class[1][0]);
    bencher.bench_local(|| {
        gate.admit(1, &at, 7);
        gate.first(&at);
        gate.ended(2, &at)
    });
}

#[divan::bench(sample_count = 10)]
fn check_200_routes(bencher: divan::Bencher) {
    let (account, draft) = (Account::default(), draft(200));
    bencher.bench(|| {
        let faults = check(&account, divan::black_box(&draft));
        assert!(faults.is_empty(), "{}", faults[0]);
    });
}

/// The search for a second run of a key, with today's values; states a second.
#[divan::bench(sample_count = 50)]
fn search(bencher: divan::Bencher) {
    let account = Account::default();
    let class = account.class("mix-record").expect("a keyed class");
    let setting = Setting::new(&account, class, &Effective::today(&account, class));
    let states = second_run(&setting).states;
    bencher
        .counter(divan::counter::ItemsCount::new(states))
        .bench(|| second_run(divan::black_box(&setting)).states);
}
