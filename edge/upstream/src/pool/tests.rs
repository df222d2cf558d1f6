//! What the pool keeps, lends and closes.

use super::*;
use foldmux_http1::reuse::REUSE_DELAY;
use std::io::Write;
use std::net::TcpListener;

const CACHE: CacheId = CacheId(1);
/// Longer than a test takes.
const HOUR: Duration = Duration::from_secs(3_600);

/// Lends and gives back a connection; the other side of it.
fn give_back(pool: &Arc<Pool>, listener: &TcpListener, start: Incarnation) -> TcpStream {
    let mut loan = pool.acquire(CACHE, start, HOUR).unwrap();
    assert!(loan.stream.is_none());
    loan.stream(Duration::from_secs(5)).unwrap();
    loan.reusable = true;
    listener.accept().unwrap().0
}

fn lends_idle(pool: &Arc<Pool>, start: Incarnation) -> bool {
    let loan = pool.acquire(CACHE, start, Duration::ZERO).unwrap();
    loan.stream.is_some()
}

#[test]
fn idle_connections_are_lent_for_one_start_and_only_while_they_are_quiet() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let start = Incarnation {
        started_at: 0,
        address: listener.local_addr().unwrap(),
    };
    let pool = Pool::new(8, Duration::from_secs(60));
    let far = give_back(&pool, &listener, start);
    assert_eq!(pool.count(), (0, 1));
    assert!(lends_idle(&pool, start));
    // Not given back as reusable: closed.
    assert_eq!(pool.count(), (0, 0));
    drop(far);
    let _far = give_back(&pool, &listener, start);
    assert!(!lends_idle(
        &pool,
        Incarnation {
            started_at: 9,
            ..start
        }
    ));
    // Closed by the other side; an answer that nobody asked for.
    for speaks in [false, true] {
        let mut loan = pool.acquire(CACHE, start, HOUR).unwrap();
        let near = loan.stream(Duration::from_secs(5)).unwrap();
        loan.reusable = true;
        drop(loan);
        let mut far = listener.accept().unwrap().0;
        if speaks {
            far.write_all(b"x").unwrap();
        } else {
            far.shutdown(std::net::Shutdown::Both).unwrap();
        }
        near.peek(&mut [0]).unwrap();
        assert!(!lends_idle(&pool, start));
    }
}

#[test]
fn the_pool_bounds_all_connections_and_lets_go_of_what_is_old_or_discarded() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let start = Incarnation {
        started_at: 0,
        address: listener.local_addr().unwrap(),
    };
    let pool = Pool::new(1, Duration::from_secs(60));
    let _far = give_back(&pool, &listener, start);
    // The only place goes to a request for another cache; while that is out there is none.
    let loan = pool.acquire(CacheId(2), start, REUSE_DELAY).unwrap();
    assert_eq!(pool.count(), (1, 0));
    assert!(pool.acquire(CACHE, start, REUSE_DELAY).is_none());
    drop(loan);
    let _far = give_back(&pool, &listener, start);
    pool.discard(CACHE);
    assert_eq!(pool.count(), (0, 0));
    let hasty = Pool::new(1, Duration::ZERO);
    let _far = give_back(&hasty, &listener, start);
    hasty.sweep();
    assert_eq!(hasty.count(), (0, 0));
}

#[test]
fn what_is_out_when_its_cache_drains_is_closed_when_it_comes_home() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let start = Incarnation {
        started_at: 0,
        address: listener.local_addr().unwrap(),
    };
    let pool = Pool::new(8, Duration::from_secs(60));
    let lent = |pool: &Arc<Pool>| {
        let mut loan = pool.acquire(CACHE, start, HOUR).unwrap();
        loan.stream(Duration::from_secs(5)).unwrap();
        loan.reusable = true;
        loan
    };
    let (first, second) = (lent(&pool), lent(&pool));
    drop(first);
    assert_eq!(pool.count(), (1, 1));
    pool.discard(CACHE);
    drop(second);
    assert_eq!(pool.count(), (0, 0), "closed, not kept");
    // It comes back under the same start: what is dialled from then on is kept again.
    drop(lent(&pool));
    assert_eq!(pool.count(), (0, 1));
    pool.sweep();
    assert_eq!(pool.count(), (0, 1));
}

/// The other side of each of three idle connections, in the order in which the pool took them back.
fn three_idle(pool: &Arc<Pool>, listener: &TcpListener, start: Incarnation) -> Vec<TcpStream> {
    let loans: Vec<PooledConnection> = (0..3)
        .map(|_| pool.acquire(CACHE, start, HOUR).unwrap())
        .collect();
    let dialled = loans.into_iter().map(|mut loan| {
        loan.stream(Duration::from_secs(5)).unwrap();
        loan.reusable = true;
        listener.accept().unwrap().0
    });
    dialled.collect()
}

#[test]
fn surplus_behind_a_response_closes_the_servers_idle_connections_and_keeps_no_others() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let start = Incarnation {
        started_at: 0,
        address: listener.local_addr().unwrap(),
    };
    let pool = Pool::new(8, Duration::from_secs(60));
    let _far = three_idle(&pool, &listener, start);
    let mut loan = pool.acquire(CACHE, start, HOUR).unwrap();
    loan.stream(Duration::from_secs(5)).unwrap();
    (loan.reusable, loan.has_surplus) = (false, true);
    drop(loan);
    assert_eq!(pool.count(), (0, 0));
    pool.sweep();
    let _far = give_back(&pool, &listener, start);
    assert_eq!(pool.count(), (0, 0), "also after a sweep");
    // Its next incarnation is another server.
    let next = Incarnation {
        started_at: 9,
        ..start
    };
    let _far = give_back(&pool, &listener, next);
    assert_eq!(pool.count(), (0, 1));
}

#[test]
fn idle_connections_to_caches_that_are_gone_give_their_places_to_whoever_asks() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let start = Incarnation {
        started_at: 0,
        address: listener.local_addr().unwrap(),
    };
    let pool = Pool::new(3, Duration::from_secs(60));
    let far = three_idle(&pool, &listener, start);
    // The cache is gone, and no list has said so: its connections are idle here until somebody wants their places.
    drop((far, listener));
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let live = Incarnation {
        started_at: 0,
        address: other.local_addr().unwrap(),
    };
    let mut loans: Vec<PooledConnection> = (0..3)
        .map(|_| {
            pool.acquire(CacheId(2), live, REUSE_DELAY)
                .expect("a place")
        })
        .collect();
    assert_eq!(pool.count(), (3, 0));
    assert!(loans
        .iter_mut()
        .all(|loan| loan.stream(Duration::from_secs(5)).is_ok()));
    assert!(
        pool.acquire(CacheId(2), live, REUSE_DELAY).is_none(),
        "all places are out"
    );
    loans.truncate(1);
    assert!(
        pool.acquire(CACHE, start, REUSE_DELAY).is_some(),
        "one came back"
    );
}
