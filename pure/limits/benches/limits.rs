//! Benchmarks of finding a request's limits among many routes, admitting and releasing it, and validating a large file.

use foldmux_limits::admission::{AdmissionControl, LimitKey};
use foldmux_limits::concurrency::ConcurrencyLimit;
use foldmux_limits::duplicate_search::{find_duplicate_run, SearchModel};
use foldmux_limits::effective::EffectiveLimits;
use foldmux_limits::lookup::LimitTable;
use foldmux_limits::overrides::LimitOverrides;
use foldmux_limits::resolve::{ClassOverrides, LimitSet, LimitsFile, Located, RouteOverrides};
use foldmux_limits::route_match::RouteMatch;
use foldmux_limits::validation::validate;
use foldmux_limits::Account;

fn main() {
    divan::main();
}

fn file(routes: usize) -> LimitsFile {
    let route = |n: usize| Located {
        at: format!("f.star:{}", n + 3),
        value: RouteOverrides {
            name: format!("r{n}"),
            class: ["mix-video", "formula-card", "mix-record"][n % 3].to_string(),
            matching: RouteMatch {
                zone: Some(format!("zone-{n}")),
                ..RouteMatch::default()
            },
            overrides: LimitOverrides {
                max_attempts: Some(2 + n as u64 % 3),
                retention_rank: Some(2),
                ..LimitOverrides::default()
            },
        },
    };
    let overrides = LimitOverrides {
        concurrency: Some(ConcurrencyLimit::Fixed { max: 1 }),
        ..LimitOverrides::default()
    };
    let classes = vec![Located {
        at: "f.star:1".into(),
        value: ClassOverrides {
            class: "mix-video".to_string(),
            overrides,
        },
    }];
    LimitsFile {
        classes,
        routes: (0..routes).map(route).collect(),
        ..LimitsFile::default()
    }
}

#[divan::bench(args = [1, 20, 200])]
fn resolve(bencher: divan::Bencher, routes: usize) {
    let limits = LimitSet::new(&Account::default(), &file(routes));
    // The last route of the class, so that all before it are compared.
    let zone = format!("zone-{}", (routes - 1) / 3 * 3);
    let table = LimitTable::new(&limits, &zone);
    bencher.bench(|| {
        table
            .find(0, divan::black_box(""), "msgpack")
            .map(|r| r.values.max_attempts)
    });
}

/// As [`resolve`], with routes that differ by their callers, which are compared one by one.
#[divan::bench(args = [1, 20, 200])]
fn resolve_by_caller(bencher: divan::Bencher, routes: usize) {
    let mut file = file(routes);
    for (n, route) in file.routes.iter_mut().enumerate() {
        let caller = Some(format!("spiffe://partner-{n}.example/*"));
        route.value.matching = RouteMatch {
            caller,
            ..RouteMatch::default()
        };
    }
    let table = LimitTable::new(&LimitSet::new(&Account::default(), &file), "zone-0");
    let caller = format!("spiffe://partner-{}.example/front/3", (routes - 1) / 3 * 3);
    bencher.bench(|| {
        table
            .find(0, divan::black_box(&caller), "ext_proc")
            .map(|r| r.values.max_attempts)
    });
}

#[divan::bench]
fn admit_and_release(bencher: divan::Bencher) {
    let limits = LimitSet::new(&Account::default(), &file(1));
    let mut control = AdmissionControl::new(&limits);
    let key = LimitKey::from(&*limits.by_class[1][0]);
    bencher.bench_local(|| {
        control.admit(1, &key, 7);
        control.record_first_attempt(&key);
        control.release(2, &key)
    });
}

#[divan::bench(sample_count = 10)]
fn validate_200_routes(bencher: divan::Bencher) {
    let (account, file) = (Account::default(), file(200));
    bencher.bench(|| {
        let violations = validate(&account, divan::black_box(&file));
        assert!(violations.is_empty(), "{}", violations[0]);
    });
}

/// The search for a second run of a key with the default limits, in states per second.
#[divan::bench(sample_count = 50)]
fn search(bencher: divan::Bencher) {
    let account = Account::default();
    let class = account.class("mix-record").expect("a keyed class");
    let model = SearchModel::new(&account, class, &EffectiveLimits::defaults(&account, class));
    let states = find_duplicate_run(&model).states;
    bencher
        .counter(divan::counter::ItemsCount::new(states))
        .bench(|| find_duplicate_run(divan::black_box(&model)).states);
}
