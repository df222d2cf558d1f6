//! The threads of requests: as many as were ever open at once, up to a bound, each used again.

use crate::core::{Claim, Core, Job, Work};
use crate::cover::{self, Hold};
use crate::inquiry::{Answer, Inquiry, Reply};
use crate::request::serve;
use crate::slot::Slot;
use crate::tally::End;
use crossbeam_channel::{bounded, Sender};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::thread;

/// Stack of a request's thread: its bytes are in pooled buffers.
const STACK: usize = 128 * 1024;

impl Core {
    /// Starts a request, or sheds it at once where the program is full.
    pub fn start(self: &Arc<Core>, inquiry: Inquiry, slot: Arc<Slot>, reply: Box<dyn Reply>) {
        // Guards against a request under the id of an open one: a cache would take them for one request.
        let Some(claim) = Claim::on(self, inquiry.via) else {
            self.tally.end(Some(&inquiry.class_name), End::Failed);
            return reply.answer(Answer::Failed);
        };
        if let Some(job) = self.give(Job { _claim: claim, inquiry, slot, work: Work::Client(reply) }) {
            if let Work::Client(reply) = job.work {
                self.shed(&job.inquiry.class_name, reply);
            }
        }
    }

    /// Starts a request that was taken over; false where the program is full: then it is let go.
    pub fn start_taken(self: &Arc<Core>, inquiry: Inquiry, slot: Arc<Slot>, hold: Box<dyn Hold>) -> bool {
        let Some(claim) = Claim::on(self, inquiry.via) else { return false };
        self.give(Job { _claim: claim, inquiry, slot, work: Work::Taken(hold) }).is_none()
    }

    /// Gives a thread the job, or the job back where there is no room for it.
    fn give(self: &Arc<Core>, job: Job) -> Option<Job> {
        let refused = if self.open.fetch_add(1, Ordering::SeqCst) >= self.most {
            Some(job)
        } else {
            let idle = self.idle().pop();
            match idle.map(Ok).unwrap_or_else(|| self.spawn()) {
                Ok(thread) => thread.send(job).err().map(|e| e.0),
                // The machine gives no more threads; those that there are serve on.
                Err(_) => Some(job),
            }
        };
        if refused.is_some() {
            self.open.fetch_sub(1, Ordering::SeqCst);
        }
        refused
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Sender<Job>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// One more thread: there are as many as requests were ever open at once.
    fn spawn(self: &Arc<Core>) -> std::io::Result<Sender<Job>> {
        let core = self.clone();
        let (sender, jobs) = bounded(1);
        let own = sender.clone();
        let thread = thread::Builder::new().name("request".into()).stack_size(STACK);
        thread.spawn(move || {
            for job in jobs {
                let Job { _claim, inquiry, slot, work } = job;
                // Guards against a fault in one request ending the thread: its drops have given all back.
                let _ = catch_unwind(AssertUnwindSafe(|| match work {
                    Work::Client(reply) => serve(&core, inquiry, &slot, reply),
                    Work::Taken(hold) => cover::finish(&core, inquiry, &slot, &*hold),
                }));
                core.idle().push(own.clone());
                core.open.fetch_sub(1, Ordering::SeqCst);
            }
        })?;
        Ok(sender)
    }
}
