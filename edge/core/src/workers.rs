//! The threads of requests: as many as are open at once, up to a bound, each used again for a while.

use crate::open_requests::{OpenRequest, OpenRequests};
use crate::reason::Reason;
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Stack of a request's thread (bytes); what it reads is in pooled buffers.
const STACK_SIZE: usize = 128 * 1024;
/// How long a thread waits for another job before it ends: long compared to what starting a thread costs, and short enough
/// that the threads of a burst are given back, as a machine bounds the threads of all its processes together.
const IDLE_TIMEOUT: Duration = Duration::from_millis(250);

/// What a worker thread runs.
pub(crate) trait Job: Send + 'static {
    /// Runs the job. A panic ends the job, and not its thread.
    fn run(self);
}

/// A job that no thread took, and why.
pub(crate) struct NotStarted<J> {
    pub(crate) job: Box<J>,
    pub(crate) reason: Reason,
}

impl<J> NotStarted<J> {
    fn new(job: J, reason: Reason) -> NotStarted<J> {
        let job = Box::new(job);
        NotStarted { job, reason }
    }
}

/// A job on its way to a thread, with its place among the open requests.
struct Assignment<J> {
    job: J,
    open: OpenRequest,
}

/// A pool of worker threads.
pub(crate) struct WorkerPool<J> {
    open: Arc<OpenRequests>,
    /// Threads that wait for a job, each at a channel of its own; the last to finish is the first to go on. Hundreds of
    /// threads at one channel would spin in turn for its lock, and on one core the thread that holds it might not run for
    /// a second.
    idle: Mutex<Vec<Sender<Assignment<J>>>>,
}

impl<J: Job> WorkerPool<J> {
    pub(crate) fn new(open: Arc<OpenRequests>) -> Arc<WorkerPool<J>> {
        Arc::new(WorkerPool {
            open,
            idle: Mutex::default(),
        })
    }

    /// Gives the job to a thread, or back where there is no room for it.
    pub(crate) fn start(self: &Arc<Self>, job: J) -> Result<(), NotStarted<J>> {
        let Some(open) = self.open.enter() else {
            return Err(NotStarted::new(job, Reason::RequestsFull));
        };
        let idle = self.idle().pop();
        // Where the machine gives no more threads, those that there are serve on.
        let Ok(thread) = idle.map_or_else(|| self.spawn(), Ok) else {
            return Err(NotStarted::new(job, Reason::NoThread));
        };
        thread
            .send(Assignment { job, open })
            .map_err(|unsent| NotStarted::new(unsent.0.job, Reason::NoThread))
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Sender<Assignment<J>>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a thread off the idle ones, so that it can end; false if it was given a job meanwhile.
    fn retire(&self, thread: &Sender<Assignment<J>>) -> bool {
        let mut idle = self.idle();
        let index = idle.iter().position(|other| other.same_channel(thread));
        index.map(|index| idle.remove(index)).is_some()
    }

    fn spawn(self: &Arc<Self>) -> io::Result<Sender<Assignment<J>>> {
        let pool = self.clone();
        let (sender, jobs) = bounded(1);
        let own = sender.clone();
        thread::Builder::new()
            .name("request".into())
            .stack_size(STACK_SIZE)
            .spawn(move || pool.serve_jobs(&jobs, &own))?;
        Ok(sender)
    }

    /// The life of a worker thread: one job after the other, until none has come for a while.
    fn serve_jobs(&self, jobs: &Receiver<Assignment<J>>, own: &Sender<Assignment<J>>) {
        loop {
            let Assignment { job, open } = match jobs.recv_timeout(IDLE_TIMEOUT) {
                Ok(assignment) => assignment,
                Err(RecvTimeoutError::Timeout) if !self.retire(own) => continue,
                Err(_) => return,
            };
            // A job's drops give back all that it held, also where it panics.
            let _ = catch_unwind(AssertUnwindSafe(|| job.run()));
            self.idle().push(own.clone());
            drop(open);
        }
    }
}
