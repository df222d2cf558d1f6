//! The threads that make fetches: used again, ended when idle, replaced where they die or hang.

use crate::book::Fill;
use crate::fetch;
use crate::flight::Verdict;
use crate::state::Hub;
use crossbeam_channel::{bounded, Sender};
use foldmux_hierarchy::in_flight::AfterFailure;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Stack of a thread that reads a connection or makes a fetch: bytes are on the heap.
pub(crate) const STACK: usize = 160 * 1024;
/// A thread that has no fetch for so long ends.
const IDLE_THREAD: Duration = Duration::from_secs(5);

/// Gives a fetch to a thread that is idle, or to a new one; where there is none to be had, all who wait are told
/// at once. The ledger bounds the fetches, and so the threads.
pub(crate) fn fetch(hub: &Arc<Hub>, fill: Fill, attempt: u32) {
    hub.fills
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .insert(fill.id, fill.clone());
    let job = (fill.clone(), attempt);
    let idler = idle(hub).pop();
    let Some(job) = idler.map_or(Some(job.clone()), |idle| {
        idle.send(job).err().map(|back| back.0)
    }) else {
        return;
    };
    let (own, (sender, jobs)) = (hub.clone(), bounded(1));
    let body = move || {
        let mut next = Some(job);
        while let Some((fill, attempt)) = next.take() {
            let end = Ended(&own, fill.id);
            // Guards against a fault in one fetch ending the thread: who waits goes on by the ledger's lease.
            let _ = catch_unwind(AssertUnwindSafe(|| fetch::fetch(&own, &fill, attempt)));
            drop(end);
            idle(&own).push(sender.clone());
            next = jobs.recv_timeout(IDLE_THREAD).ok();
            if next.is_none() {
                let listed = idle(&own)
                    .extract_if(.., |idle| idle.same_channel(&sender))
                    .count()
                    > 0;
                // Guards against a job that was on its way as the wait ended: who took this thread off the list
                // is about to send it.
                next = if listed {
                    None
                } else {
                    jobs.recv_timeout(IDLE_THREAD).ok()
                };
            }
        }
    };
    if thread::Builder::new()
        .name("fetch".into())
        .stack_size(STACK)
        .spawn(body)
        .is_err()
    {
        let _ = Ended(hub, fill.id);
        hub.book.done(&fill, attempt, Some(Verdict::Full));
    }
}

fn idle(hub: &Hub) -> MutexGuard<'_, Vec<Sender<(Fill, u32)>>> {
    hub.idle.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Fetches whose thread died or hangs go on with another; former trees whose time is over go.
pub(crate) fn sweep(hub: &Arc<Hub>) {
    let now = hub.now();
    for (id, attempt) in hub.book.lapsed(now) {
        let fill = hub
            .fills
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&id)
            .cloned();
        let Some(fill) = fill else { continue };
        if let AfterFailure::Retry(next) = hub.book.failed(now, &fill, attempt, Verdict::Late) {
            fetch(hub, fill, next);
        }
    }
    hub.book
        .look(now)
        .into_iter()
        .for_each(|address| hub.links.close(address));
}

/// The end of a fetch's thread, however it ends.
struct Ended<'a>(&'a Hub, foldmux_hierarchy::in_flight::FetchId);

impl Drop for Ended<'_> {
    fn drop(&mut self) {
        self.0
            .fills
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&self.1);
    }
}
