//! The threads of requests: as many as are open at once, up to a bound, each used again for a while.

use crate::core::{Claim, Core, Job, Work};
use crate::cover::{self, Hold};
use crate::history::History;
use crate::inquiry::{Answer, Inquiry, Reply};
use crate::reasons::Reason;
use crate::request::serve;
use crate::slot::Slot;
use crate::tally::End;
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Stack of a request's thread: its bytes are in pooled buffers.
const STACK: usize = 128 * 1024;
/// How long a thread waits for another request before it ends. Some thousand times what starting one costs, and short
/// enough that a burst's threads are given back: a machine bounds the threads of all its processes together. Where requests
/// come more seldom than this, each has a thread of its own.
const IDLE: Duration = Duration::from_millis(250);

/// A job for which there is no thread.
struct NotGiven {
    job: Box<Job>,
    reason: Reason,
}

impl Core {
    /// Starts a request, or sheds it at once where the program is full.
    pub fn start(self: &Arc<Core>, inquiry: Inquiry, slot: Arc<Slot>, reply: Box<dyn Reply>) {
        // Guards against a request under the id of an open one: a cache would take them for one request.
        let Some(claim) = Claim::on(self, inquiry.via) else {
            self.count_end(&inquiry, End::Failed(Reason::IdInUse), &History::default());
            return reply.answer(Answer::Failed);
        };
        let given = self.give(Job {
            _claim: claim,
            inquiry,
            slot,
            work: Work::Client(reply),
        });
        if let Err(NotGiven { job, reason }) = given {
            if let Work::Client(reply) = job.work {
                self.shed(&job.inquiry, reason, reply);
            }
        }
    }

    /// Starts a request that was taken over; false where the program is full: then it is let go.
    pub fn start_taken(
        self: &Arc<Core>,
        inquiry: Inquiry,
        slot: Arc<Slot>,
        hold: Box<dyn Hold>,
    ) -> bool {
        let Some(claim) = Claim::on(self, inquiry.via) else {
            return false;
        };
        self.give(Job {
            _claim: claim,
            inquiry,
            slot,
            work: Work::Taken(hold),
        })
        .is_ok()
    }

    /// Gives a thread the job, or the job back where there is no room for it.
    fn give(self: &Arc<Core>, job: Job) -> Result<(), NotGiven> {
        let given = if self.open.fetch_add(1, Ordering::SeqCst) >= self.most {
            Err(NotGiven {
                job: Box::new(job),
                reason: Reason::RequestsFull,
            })
        } else {
            let idle = self.idle().pop();
            match idle.map(Ok).unwrap_or_else(|| self.spawn()) {
                Ok(thread) => thread.send(job).map_err(|e| NotGiven {
                    job: Box::new(e.0),
                    reason: Reason::NoThread,
                }),
                // The machine gives no more threads; those that there are serve on.
                Err(_) => Err(NotGiven {
                    job: Box::new(job),
                    reason: Reason::NoThread,
                }),
            }
        };
        if given.is_err() {
            self.open.fetch_sub(1, Ordering::SeqCst);
        }
        given
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Sender<Job>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a thread off the idle ones, so that it can end; false where it was given a job meanwhile.
    fn retire(&self, thread: &Sender<Job>) -> bool {
        let mut idle = self.idle();
        let place = idle.iter().position(|other| other.same_channel(thread));
        place.map(|at| idle.remove(at)).is_some()
    }

    /// One more thread, where none is idle.
    fn spawn(self: &Arc<Core>) -> std::io::Result<Sender<Job>> {
        let core = self.clone();
        let (sender, jobs) = bounded(1);
        let own = sender.clone();
        let thread = thread::Builder::new()
            .name("request".into())
            .stack_size(STACK);
        thread.spawn(move || core.serve_jobs(&jobs, &own))?;
        Ok(sender)
    }

    /// The life of a request's thread: one job after the other, until none has come for a while.
    fn serve_jobs(&self, jobs: &Receiver<Job>, own: &Sender<Job>) {
        loop {
            match jobs.recv_timeout(IDLE) {
                Ok(job) => self.serve_job(job),
                Err(RecvTimeoutError::Timeout) if !self.retire(own) => continue,
                Err(_) => return,
            }
            self.idle().push(own.clone());
            self.open.fetch_sub(1, Ordering::SeqCst);
        }
    }

    fn serve_job(&self, job: Job) {
        let Job {
            _claim,
            inquiry,
            slot,
            work,
        } = job;
        // Guards against a fault in one request ending the thread: its drops have given all back.
        let _ = catch_unwind(AssertUnwindSafe(|| match work {
            Work::Client(reply) => serve(self, inquiry, &slot, reply),
            Work::Taken(hold) => cover::finish(self, inquiry, &slot, &*hold),
        }));
    }
}
