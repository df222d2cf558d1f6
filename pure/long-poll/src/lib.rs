//! When the polls of a long poll start, how long they wait, and which of them are given up.
//!
//! A service that is slow and a connection that is silent look the same until an answer comes. So a poll that is
//! overdue is not given up: another poll is started beside it (a hedge), and whichever is answered first counts. At
//! almost any time one poll waits at the service for the next event. So a slow service is heard as late as it answers,
//! and a silent connection delays an event by one poll.
//!
//! [`PollSchedule`] tells which polls are in flight, when the next one is due, and which are obsolete.
//!
//! The crate does no I/O, reads no clock (times are passed in, as spans since an origin that the caller chooses), and
//! draws no random numbers.
#![warn(missing_docs)]

mod schedule;
mod wait;

pub use schedule::{PollId, PollSchedule, ScheduleConfig, Started};
pub use wait::WaitRange;
