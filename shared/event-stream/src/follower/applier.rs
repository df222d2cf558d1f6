//! Which events of a response are applied: those that follow the ones already applied, or all of a service that numbers its
//! events anew.

use super::connections::Poll;
use super::error::PollError;
use super::sink::EventSink;
use crate::journal::{Entry, EventBatch};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Whether a response had events that were not applied yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum News {
    Applied,
    Nothing,
}

/// Applies responses to the sink, in order and without gaps.
pub(super) struct Applier<S> {
    pub(super) sink: S,
    /// The last response ended before an event that was already applied when it was requested: it was outdated, or the
    /// service renumbers its events. The next poll requests all events from 1 on another connection.
    restart: bool,
    /// Number of the last event that was applied, for the threads that decode responses.
    applied: Arc<AtomicU64>,
}

impl<S: EventSink> Applier<S> {
    pub(super) fn new(sink: S) -> Applier<S> {
        Applier {
            applied: Arc::new(AtomicU64::new(sink.position())),
            sink,
            restart: false,
        }
    }

    /// Number of the last event that was applied, kept up to date.
    pub(super) fn applied(&self) -> Arc<AtomicU64> {
        self.applied.clone()
    }

    /// Whether the next poll requests all events.
    pub(super) fn needs_restart(&self) -> bool {
        self.restart
    }

    /// Number of the event after which the next poll requests events.
    pub(super) fn position(&self) -> u64 {
        match self.restart {
            true => 0,
            false => self.sink.position(),
        }
    }

    /// Applies a part of a response.
    ///
    /// # Errors
    ///
    /// Returns an error if the events don't follow those already applied.
    pub(super) fn apply_part(&mut self, entries: &[Entry]) -> Result<News, PollError> {
        let applied = self.sink.position();
        if !self.sink.apply(entries) {
            return Err(PollError::Gap { after: applied });
        }
        self.publish_position();
        match self.sink.position() > applied {
            true => Ok(News::Applied),
            false => Ok(News::Nothing),
        }
    }

    /// Applies a complete response to a poll.
    ///
    /// # Errors
    ///
    /// Returns an error if the events don't follow those already applied.
    pub(super) fn apply(&mut self, poll: &Poll, batch: &EventBatch) -> Result<News, PollError> {
        if poll.is_restart && self.restart {
            return self.apply_restart(batch);
        }
        let (last, applied) = (batch.last_position(), self.sink.position());
        if last < poll.position {
            self.restart = true;
            return Err(PollError::Outdated {
                last,
                applied: poll.position,
            });
        }
        match self.apply_part(&batch.entries)? {
            News::Nothing if last > applied => Err(PollError::Gap { after: applied }),
            news => Ok(news),
        }
    }

    /// Applies all events from 1 on, if the batch has them.
    fn apply_restart(&mut self, batch: &EventBatch) -> Result<News, PollError> {
        if batch.last_position() == 0 {
            // The service has restarted and has no events yet. The endpoint list stays until it has.
            return Ok(News::Nothing);
        }
        self.restart = false;
        let applied = self.sink.position();
        if !self.sink.apply_restart(batch) {
            return Err(PollError::Gap { after: 0 });
        }
        self.publish_position();
        let position = self.sink.position();
        if position < applied {
            tracing::warn!(
                "journal service: events are renumbered; the last one is {position}, was {applied}"
            );
        }
        Ok(News::Applied)
    }

    fn publish_position(&self) {
        self.applied.store(self.sink.position(), Ordering::Relaxed);
    }
}
