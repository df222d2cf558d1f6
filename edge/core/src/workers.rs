//! The pool of worker threads: one thread per open request, up to a maximum, reused until it has been idle for a while.

use crate::open_requests::{OpenRequest, OpenRequests};
use crate::reason::Reason;
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Stack size of a worker thread (bytes); requests and responses are read into pooled buffers, not onto the stack.
const STACK_SIZE: usize = 128 * 1024;
/// How long a thread waits for another job before it ends: long compared to the cost of starting a thread, and short enough
/// that the threads of a burst soon end, as a machine limits the threads of all its processes together.
const IDLE_TIMEOUT: Duration = Duration::from_millis(250);

/// What a worker thread runs.
pub(crate) trait Job: Send + 'static {
    /// Runs the job. A panic ends the job, but not its thread.
    fn run(self);
}

/// A job that could not be started, and why.
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

/// A job for a thread, with the guard that counts it as an open request.
struct Assignment<J> {
    job: J,
    open: OpenRequest,
}

/// A pool of worker threads.
pub(crate) struct WorkerPool<J> {
    open: Arc<OpenRequests>,
    /// The channels of idle threads, one each; the thread that became idle last gets the next job. With hundreds of threads
    /// on a single channel, all would spin for its lock, and on one core the thread that holds it might not run for a
    /// second.
    idle: Mutex<Vec<Sender<Assignment<J>>>>,
}

impl<J: Job> WorkerPool<J> {
    pub(crate) fn new(open: Arc<OpenRequests>) -> Arc<WorkerPool<J>> {
        Arc::new(WorkerPool {
            open,
            idle: Mutex::default(),
        })
    }

    /// Starts the job on an idle thread, or on a new one if none is idle.
    ///
    /// # Errors
    ///
    /// The maximum number of requests is open, or no thread could be started; the job is returned.
    pub(crate) fn start(self: &Arc<Self>, job: J) -> Result<(), NotStarted<J>> {
        let Some(open) = self.open.try_open() else {
            return Err(NotStarted::new(job, Reason::RequestsFull));
        };
        let idle = self.idle().pop();
        // If no thread can be started, only this job is refused; the existing threads keep serving.
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

    /// Removes a thread from the idle list, so that it can end. Returns false if it was assigned a job in the meantime.
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

    /// The loop of a worker thread: runs one job after another until none has arrived for [`IDLE_TIMEOUT`].
    fn serve_jobs(&self, jobs: &Receiver<Assignment<J>>, own: &Sender<Assignment<J>>) {
        loop {
            let Assignment { job, open } = match jobs.recv_timeout(IDLE_TIMEOUT) {
                Ok(assignment) => assignment,
                Err(RecvTimeoutError::Timeout) if !self.retire(own) => continue,
                Err(_) => return,
            };
            // If the job panics, unwinding still drops and releases everything it held.
            let _ = catch_unwind(AssertUnwindSafe(|| job.run()));
            self.idle().push(own.clone());
            drop(open);
        }
    }
}
