//! Periodic work: ends overdue requests and decays the usual numbers of ready servers.

use super::requests::Request;
use super::Router;
use crate::interface::{Action, RequestId, Time};

/// Time between two runs (us).
const HOUSEKEEPING_INTERVAL_US: Time = 25_000;
/// Identifies the timer of the next run.
pub(super) const HOUSEKEEPING_TOKEN: u32 = 1;

impl Router {
    pub(super) fn start_housekeeping_timer(&self, out: &mut Vec<Action>) {
        out.push(Action::StartTimer {
            after: HOUSEKEEPING_INTERVAL_US,
            token: HOUSEKEEPING_TOKEN,
        });
    }

    pub(super) fn on_housekeeping(&mut self, now: Time, out: &mut Vec<Action>) {
        self.start_housekeeping_timer(out);
        self.end_overdue_requests(now, out);
        self.decay_usual_ready(HOUSEKEEPING_INTERVAL_US);
    }

    /// Ends the requests whose attempts were not reported as timed out by the deadline: each client must get a result
    /// within the response slack.
    fn end_overdue_requests(&mut self, now: Time, out: &mut Vec<Action>) {
        let slack = self.settings.response_slack / 2;
        let is_overdue =
            |request: &Request| !request.response_started && now >= request.deadline + slack;
        let overdue: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| is_overdue(request))
            .map(|(&id, _)| id)
            .collect();
        for id in overdue {
            self.give_up(id, out);
        }
    }
}
