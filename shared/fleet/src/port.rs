//! What is asked of a part, from any thread, and where its answers go.

use crossbeam_channel::{Sender, TrySendError};
use std::any::Any;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

/// Where a part's answers and news go. It is called on the fleet's thread and must not wait.
pub trait Sink<T>: Send {
    fn told(&self, told: T);

    /// The part is out of service: nothing that is still owed will come.
    fn gone(&self) {}
}

impl<T: Send> Sink<T> for Sender<T> {
    /// What finds no room is dropped.
    fn told(&self, told: T) {
        let _ = self.try_send(told);
    }
}

impl<T> Sink<T> for Box<dyn Sink<T>> {
    fn told(&self, told: T) {
        (**self).told(told);
    }

    fn gone(&self) {
        (**self).gone();
    }
}

/// Why an ask was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The queue is full.
    Full,
    /// The part is out of service, or the fleet has ended.
    Gone,
}

/// What the fleet's thread is asked to do.
pub(crate) enum Job {
    Ask { part: u8, ask: Box<dyn Any + Send> },
    End,
}

/// One part, as others ask it.
pub struct Port<A> {
    pub(crate) part: u8,
    pub(crate) jobs: Sender<Job>,
    pub(crate) state: Arc<State>,
    pub(crate) kind: std::marker::PhantomData<fn(A)>,
}

#[derive(Default)]
pub(crate) struct State {
    pub gone: AtomicBool,
    pub full: AtomicU64,
}

impl<A> Clone for Port<A> {
    fn clone(&self) -> Port<A> {
        let Port {
            part,
            jobs,
            state,
            kind,
        } = self;
        Port {
            part: *part,
            jobs: jobs.clone(),
            state: state.clone(),
            kind: *kind,
        }
    }
}

impl<A: Send + 'static> Port<A> {
    /// Never waits.
    pub fn ask(&self, ask: A) -> Result<(), Refused> {
        if self.state.gone.load(Ordering::Acquire) {
            return Err(Refused::Gone);
        }
        match self.jobs.try_send(Job::Ask {
            part: self.part,
            ask: Box::new(ask),
        }) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) => {
                self.state.full.fetch_add(1, Ordering::Relaxed);
                Err(Refused::Full)
            }
            Err(TrySendError::Disconnected(_)) => Err(Refused::Gone),
        }
    }

    /// Asks that found the queue full.
    pub fn refused(&self) -> u64 {
        self.state.full.load(Ordering::Relaxed)
    }
}
