//! Idle connections to pop caches, parents and the origin. The pool owns a connection while it is idle and an
//! attempt owns it while it is out; `give_back` is the one place where it comes home.

use crate::core::members::Start;
use foldmux::interface::CacheId;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

pub struct Pool {
    idle: Mutex<Idle>,
    most: usize,
    /// Under the time after which the other side closes: a request must not cross that.
    keep: Duration,
}

#[derive(Default)]
struct Idle {
    by_cache: HashMap<CacheId, Vec<Kept>>,
    count: usize,
}

struct Kept {
    stream: Arc<TcpStream>,
    start: Start,
    since: Instant,
}

impl Pool {
    pub fn new(most: usize, keep_alive: Duration) -> Arc<Pool> {
        Arc::new(Pool { idle: Mutex::default(), most, keep: keep_alive * 4 / 5 })
    }

    fn idle(&self) -> MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The connection last used, if one to this start of the cache is alive.
    pub fn take(&self, cache: CacheId, start: Start) -> Option<Arc<TcpStream>> {
        loop {
            let kept = {
                let mut idle = self.idle();
                let kept = idle.by_cache.get_mut(&cache)?.pop()?;
                idle.count -= 1;
                kept
            };
            if kept.start == start && kept.since.elapsed() < self.keep && alive(&kept.stream) {
                return Some(kept.stream);
            }
        }
    }

    /// Keeps a connection whose answer was read to its end; closes it where the pool is full.
    pub fn give_back(&self, cache: CacheId, start: Start, stream: Arc<TcpStream>) {
        let mut idle = self.idle();
        self.drop_old(&mut idle);
        if idle.count < self.most {
            idle.count += 1;
            idle.by_cache.entry(cache).or_default().push(Kept { stream, start, since: Instant::now() });
        }
    }

    /// Closes what was idle too long: called with each return, and now and then when nothing returns.
    pub fn sweep(&self) {
        self.drop_old(&mut self.idle());
    }

    fn drop_old(&self, idle: &mut Idle) {
        idle.by_cache.values_mut().for_each(|kept| kept.retain(|k| k.since.elapsed() < self.keep));
        idle.by_cache.retain(|_, kept| !kept.is_empty());
        idle.count = idle.by_cache.values().map(Vec::len).sum();
    }

    /// The cache drains, is gone, started anew or moved.
    pub fn discard(&self, cache: CacheId) {
        let mut idle = self.idle();
        idle.count -= idle.by_cache.remove(&cache).map_or(0, |kept| kept.len());
    }

    pub fn count(&self) -> usize {
        self.idle().count
    }
}

/// Guards against a connection that the other side closed, or spoke on, while it was idle.
fn alive(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    let quiet = matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
    quiet && stream.set_nonblocking(false).is_ok()
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Write;
    use std::net::TcpListener;

    const CACHE: CacheId = CacheId(1);

    fn pair(listener: &TcpListener) -> (Arc<TcpStream>, TcpStream, Start) {
        let address = listener.local_addr().unwrap();
        let near = TcpStream::connect(address).unwrap();
        (Arc::new(near), listener.accept().unwrap().0, Start { boot: 0, address })
    }

    #[test]
    fn idle_connections_are_kept_for_one_start_and_only_while_they_are_quiet() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let pool = Pool::new(2, Duration::from_secs(60));
        let (near, _far, start) = pair(&listener);
        pool.give_back(CACHE, start, near);
        assert!(pool.take(CACHE, start).is_some());
        assert!(pool.take(CACHE, start).is_none());
        // Another start of the cache; closed by the other side; an answer that nobody asked for.
        let (near, _far, start) = pair(&listener);
        pool.give_back(CACHE, start, near);
        assert!(pool.take(CACHE, Start { boot: 9, ..start }).is_none());
        let (near, far, start) = pair(&listener);
        drop(far);
        near.peek(&mut [0]).unwrap();
        pool.give_back(CACHE, start, near);
        assert!(pool.take(CACHE, start).is_none());
        let (near, mut far, start) = pair(&listener);
        far.write_all(b"x").unwrap();
        near.peek(&mut [0]).unwrap();
        pool.give_back(CACHE, start, near);
        assert!(pool.take(CACHE, start).is_none());
        assert_eq!(pool.count(), 0);
    }

    #[test]
    fn the_pool_is_bounded_and_lets_go_of_what_is_old_or_discarded() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let pool = Pool::new(1, Duration::from_secs(60));
        let pairs = [pair(&listener), pair(&listener)];
        for (near, _, start) in &pairs {
            pool.give_back(CACHE, *start, near.clone());
        }
        assert_eq!(pool.count(), 1);
        pool.discard(CACHE);
        assert_eq!(pool.count(), 0);
        let hasty = Pool::new(1, Duration::ZERO);
        hasty.give_back(CACHE, pairs[0].2, pairs[0].0.clone());
        hasty.sweep();
        assert_eq!(hasty.count(), 0);
    }
}
