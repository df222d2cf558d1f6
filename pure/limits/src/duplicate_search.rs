//! A bounded search for a sequence of events that makes the origin run one idempotency key twice.
//!
//! The router allows a retry by the window at the moment at which it decides, and a backoff after that delays the sending.
//! Whether a retry can then arrive when the origin has forgotten the key depends on queueing, lost responses, pauses and
//! the client's own retries together. Arithmetic does not settle that, so all sequences are searched, shortest first.

use crate::account::{Account, ClassRules};
use crate::effective::EffectiveLimits;
use stateright::{Checker, Model, Property};

/// Ticks into which the origin's window is divided; time in the search advances in these.
const TICKS_PER_WINDOW: u64 = 40;
/// Maximum number of states that are visited: far more than the bounds on attempts allow.
const MAX_STATES: usize = 200_000;
/// Longest single duration that the search represents (ticks); longer ones are cut to it.
const MAX_TICKS: u64 = 250;
/// Maximum number of times that a client comes back after a rejection.
const MAX_CLIENT_RETRIES: u8 = 3;
/// Shortest delay after which a rejected client comes back (ms).
const MIN_RETRY_AFTER_MS: u64 = 50;
const PROPERTY: &str = "no key runs twice";

/// The shortest and the longest pause before an attempt (ticks).
#[derive(Clone, Copy, Debug)]
struct PauseRange {
    shortest: u64,
    longest: u64,
}

/// The limits that the search applies. Times are in ticks and rounded up, except the two windows, which are rounded down.
#[derive(Clone, Debug)]
pub struct SearchModel {
    tick_ms: u64,
    deadline: u64,
    attempt_timeout: u64,
    max_attempts: u64,
    /// By attempt number, from 0.
    pauses: Vec<PauseRange>,
    queue_timeout: u64,
    /// How long after the first attempt the limits allow a retry.
    retry_window: u64,
    /// How long the origin remembers a key.
    origin_window: u64,
    retry_after: u64,
}

impl SearchModel {
    /// Creates the model of one key of a keyed class under these limits.
    pub fn new(account: &Account, class: &ClassRules, values: &EffectiveLimits) -> SearchModel {
        let tick_ms = (class.idempotency_window_ms / TICKS_PER_WINDOW).max(1);
        let ticks = |ms: u64| ms.div_ceil(tick_ms);
        let max_attempts = values.max_attempts.min(account.max_attempts);
        let attempt_timeout_ms = match values.attempt_timeout_ms {
            0 => values.deadline_ms,
            timeout_ms => timeout_ms,
        };
        let backoff = values.backoff();
        let pause_range = |attempt| {
            let (shortest, longest) = backoff.range_ms(attempt);
            PauseRange {
                shortest: ticks(shortest),
                longest: ticks(longest),
            }
        };
        SearchModel {
            tick_ms,
            deadline: ticks(values.deadline_ms),
            attempt_timeout: ticks(attempt_timeout_ms).max(1),
            max_attempts,
            pauses: (0..max_attempts).map(pause_range).collect(),
            queue_timeout: ticks(values.queue_timeout_ms),
            // Rounded down: a window taken for longer than it is would hide a second run.
            retry_window: values.idempotency_window_ms / tick_ms,
            origin_window: class.idempotency_window_ms / tick_ms,
            retry_after: ticks(values.max_retry_after_ms.max(MIN_RETRY_AFTER_MS)).max(1),
        }
    }

    fn ms(&self, ticks: u8) -> u64 {
        ticks as u64 * self.tick_ms
    }

    fn is_start(&self, state: &KeyState) -> bool {
        state.attempts == 0 && state.client_retries == 0 && state.now == 0
    }

    /// Whether the router allows another attempt; it decides before the pause.
    fn attempt_allowed(&self, state: &KeyState) -> bool {
        let within_window = |sent: u8| ((state.now - sent) as u64) < self.retry_window;
        (state.attempts as u64) < self.max_attempts && state.first_sent.is_none_or(within_window)
    }

    /// Adds the possible outcomes of an attempt after this pause.
    fn attempt_events(&self, pause: u8, events: &mut Vec<KeyEvent>) {
        let timeout = self.attempt_timeout;
        let mut durations = vec![1, timeout.div_ceil(2), timeout];
        durations.dedup();
        for duration in durations {
            let duration = saturate(duration);
            events.push(KeyEvent::ResponseLost { pause, duration });
        }
        events.push(KeyEvent::Unprocessed { pause });
        events.push(KeyEvent::Served { pause });
    }

    /// Records that an attempt reaches the origin, which runs the key unless it still remembers it.
    fn reach_origin(&self, state: &mut KeyState) {
        match state.first_run {
            Some(run) if (state.now - run) as u64 >= self.origin_window => state.ran_twice = true,
            Some(_) => {}
            None => state.first_run = Some(state.now),
        }
        state.first_sent = state.first_sent.or(Some(state.now));
    }
}

/// Converts a duration to the form that the search stores, cut to [`MAX_TICKS`].
fn saturate(ticks: u64) -> u8 {
    ticks.min(MAX_TICKS) as u8
}

/// What has happened to one key so far; times are in ticks since the first request's arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyState {
    now: u8,
    /// Attempts of the current request.
    attempts: u8,
    /// Times that the client came back after a rejection.
    client_retries: u8,
    /// When the first attempt of the current request that may have been processed was sent.
    first_sent: Option<u8>,
    /// When the origin ran the key.
    first_run: Option<u8>,
    ran_twice: bool,
    finished: bool,
}

/// An event in the life of one key; durations are in ticks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyEvent {
    /// The request waits in the queue.
    Queued {
        /// How long it waits.
        duration: u8,
    },
    /// An attempt is processed, and its response is lost.
    ResponseLost {
        /// The pause before the attempt.
        pause: u8,
        /// Time from sending the attempt to the next decision.
        duration: u8,
    },
    /// An attempt is rejected before it is processed.
    Unprocessed {
        /// The pause before the attempt.
        pause: u8,
    },
    /// An attempt is processed, and its response arrives.
    Served {
        /// The pause before the attempt.
        pause: u8,
    },
    /// No attempt can have been processed, the request is rejected, and the client comes back.
    Rejected,
}

impl Model for SearchModel {
    type State = KeyState;
    type Action = KeyEvent;

    fn init_states(&self) -> Vec<KeyState> {
        vec![KeyState {
            now: 0,
            attempts: 0,
            client_retries: 0,
            first_sent: None,
            first_run: None,
            ran_twice: false,
            finished: false,
        }]
    }

    fn actions(&self, state: &KeyState, events: &mut Vec<KeyEvent>) {
        if state.finished || state.ran_twice || state.now as u64 >= self.deadline {
            return;
        }
        if self.is_start(state) && self.queue_timeout > 0 {
            let duration = saturate(self.queue_timeout);
            events.push(KeyEvent::Queued { duration });
        }
        if !self.attempt_allowed(state) {
            return;
        }
        let range = self.pauses[state.attempts as usize];
        let mut pauses = vec![range.shortest, range.longest];
        pauses.dedup();
        for pause in pauses {
            let pause = saturate(pause);
            let sent = state.now as u64 + pause as u64;
            if sent < self.deadline {
                self.attempt_events(pause, events);
            }
        }
        let unprocessed = state.attempts > 0 && state.first_sent.is_none();
        if unprocessed && state.client_retries < MAX_CLIENT_RETRIES {
            events.push(KeyEvent::Rejected);
        }
    }

    fn next_state(&self, last: &KeyState, event: KeyEvent) -> Option<KeyState> {
        let mut state = *last;
        match event {
            KeyEvent::Queued { duration } => state.advance(duration),
            KeyEvent::ResponseLost { pause, duration } => {
                state.send_attempt(pause);
                self.reach_origin(&mut state);
                state.advance(duration);
            }
            KeyEvent::Unprocessed { pause } => {
                state.send_attempt(pause);
                state.advance(1);
            }
            KeyEvent::Served { pause } => {
                state.send_attempt(pause);
                self.reach_origin(&mut state);
                state.finished = true;
            }
            KeyEvent::Rejected => {
                state.advance(saturate(self.retry_after));
                state.attempts = 0;
                state.client_retries += 1;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let runs_once = |_: &SearchModel, state: &KeyState| !state.ran_twice;
        vec![Property::always(PROPERTY, runs_once)]
    }
}

impl KeyState {
    fn advance(&mut self, ticks: u8) {
        self.now = self.now.saturating_add(ticks);
    }

    fn send_attempt(&mut self, pause: u8) {
        self.advance(pause);
        self.attempts += 1;
    }
}

/// The result of a search.
#[derive(Debug)]
pub struct SearchResult {
    /// A shortest sequence that runs the key twice, with one sentence per event; `None` if there is none.
    pub trace: Option<Vec<String>>,
    /// Number of distinct states that were visited.
    pub states: usize,
}

/// Searches for a shortest sequence of events that runs a key twice.
pub fn find_duplicate_run(model: &SearchModel) -> SearchResult {
    let checker = model
        .clone()
        .checker()
        .target_state_count(MAX_STATES)
        .spawn_bfs()
        .join();
    let trace = checker.discovery(PROPERTY);
    SearchResult {
        trace: trace.map(|path| describe_trace(model, &path.into_vec())),
        states: checker.unique_state_count(),
    }
}

fn describe_trace(model: &SearchModel, steps: &[(KeyState, Option<KeyEvent>)]) -> Vec<String> {
    let mut trace: Vec<String> = steps
        .iter()
        .filter_map(|(state, event)| Some(describe_event(model, state, (*event)?)))
        .collect();
    let first_run = steps.last().and_then(|(state, _)| state.first_run);
    if let Some(run) = first_run {
        trace.push(format!(
            "the archive ran the key at {} ms and has forgotten it after {} ms: it runs again",
            model.ms(run),
            model.origin_window * model.tick_ms
        ));
    }
    trace
}

fn describe_event(model: &SearchModel, state: &KeyState, event: KeyEvent) -> String {
    let at = format!("at {} ms", model.ms(state.now));
    let attempt = |pause| {
        let number = state.attempts + 1;
        format!(
            "{at} attempt {number} is decided{}",
            describe_pause(model.ms(pause))
        )
    };
    match event {
        KeyEvent::Queued { duration } => {
            let wait_ms = model.ms(duration);
            format!("{at} the request arrives and is queued for {wait_ms} ms")
        }
        KeyEvent::ResponseLost { pause, duration } => format!(
            "{}; it reaches the archive, and its response is lost {} ms later",
            attempt(pause),
            model.ms(duration)
        ),
        KeyEvent::Unprocessed { pause } => {
            format!("{}, and rejected before it is processed", attempt(pause))
        }
        KeyEvent::Served { pause } => format!("{}, and reaches the archive", attempt(pause)),
        KeyEvent::Rejected => format!("{at} the client is rejected and comes back"),
    }
}

fn describe_pause(pause_ms: u64) -> String {
    if pause_ms == 0 {
        String::new()
    } else {
        format!(", sent after a pause of {pause_ms} ms")
    }
}

#[cfg(test)]
mod tests;
