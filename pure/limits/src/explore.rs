//! A bounded search where arithmetic does not settle it: one key's request, its waits, attempts, lost answers and pauses,
//! against an archive that drops repeats for its window. It finds a shortest sequence that runs the key twice, and tells
//! it as a story.
//!
//! The module allows a repeat by the window at the moment at which it decides; a pause after that moves the sending. So
//! what is searched is whether any sequence of ends and pauses lets a repeat come to the archive when it has forgotten.

use crate::account::{Account, Class};
use crate::values::Effective;
use stateright::{Checker, Model, Property};

/// Steps into which the archive's window is divided; time goes on in these.
const STEPS: u64 = 40;
/// States that are looked at, at the most: far over what the bounds on attempts allow.
const STATES: usize = 200_000;

/// What the search goes by, in steps of time.
#[derive(Clone, Debug)]
pub struct Setting {
    step_ms: u64,
    deadline: u64,
    attempt: u64,
    attempts: u64,
    /// The shortest and the longest pause before each attempt.
    pauses: Vec<[u64; 2]>,
    queue_age: u64,
    /// How long the file believes that the archive drops repeats, and how long it does.
    believed: u64,
    window: u64,
    wait: u64,
}

impl Setting {
    pub fn new(account: &Account, class: &Class, values: &Effective) -> Setting {
        let step_ms = (class.window_ms / STEPS).max(1);
        // What is long is taken as a little longer: no sequence is missed for its rounding.
        let steps = |ms: u64| ms.div_ceil(step_ms);
        let attempts = values.attempts.min(account.max_attempts);
        Setting {
            step_ms,
            deadline: steps(values.deadline_ms),
            attempt: steps(if values.attempt_ms > 0 {
                values.attempt_ms
            } else {
                values.deadline_ms
            })
            .max(1),
            attempts,
            pauses: (0..attempts)
                .map(|n| {
                    [
                        steps(values.pause_ms(n, 1.0)),
                        steps(values.pause_ms(n, 0.0)),
                    ]
                })
                .collect(),
            queue_age: steps(values.queue_age_ms),
            believed: values.window_ms / step_ms,
            window: class.window_ms / step_ms,
            wait: steps(values.wait_ms.max(50)).max(1),
        }
    }
}

/// What has come to pass with the key so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: u8,
    /// Attempts of the present request; the client's tries.
    attempt: u8,
    tries: u8,
    /// The first attempt of this request that may have run was sent then.
    sent: Option<u8>,
    /// The archive ran the key then.
    ran: Option<u8>,
    twice: bool,
    over: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The request waits for a place, so long.
    Waits(u8),
    /// The attempt after this pause runs, and its answer is lost after so long.
    Lost {
        pause: u8,
        took: u8,
    },
    /// It is turned away untouched.
    Untouched {
        pause: u8,
    },
    Served {
        pause: u8,
    },
    /// Nothing ran, the client is refused, and comes again.
    Refused,
}

impl Model for Setting {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            attempt: 0,
            tries: 0,
            sent: None,
            ran: None,
            twice: false,
            over: false,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.over || state.twice || state.now as u64 >= self.deadline {
            return;
        }
        if state.attempt == 0 && state.tries == 0 && state.now == 0 && self.queue_age > 0 {
            steps.push(Step::Waits(self.queue_age.min(250) as u8));
        }
        if state.attempt as u64 >= self.attempts {
            return;
        }
        // The module decides before the pause, by the window that it believes.
        let allowed = state
            .sent
            .is_none_or(|sent| ((state.now - sent) as u64) < self.believed);
        if !allowed {
            return;
        }
        let [short, long] = self.pauses[state.attempt as usize];
        let mut pauses = vec![short, long];
        pauses.dedup();
        for pause in pauses {
            let pause = pause.min(250) as u8;
            if state.now as u64 + pause as u64 >= self.deadline {
                continue;
            }
            let mut took = vec![1, self.attempt.div_ceil(2), self.attempt];
            took.dedup();
            steps.extend(took.into_iter().map(|took| Step::Lost {
                pause,
                took: took.min(250) as u8,
            }));
            steps.push(Step::Untouched { pause });
            steps.push(Step::Served { pause });
        }
        if state.attempt > 0 && state.sent.is_none() && state.tries < 3 {
            steps.push(Step::Refused);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = *last;
        let arrives = |state: &mut State, pause: u8| {
            state.now = state.now.saturating_add(pause);
            state.attempt += 1;
        };
        let runs = |state: &mut State| {
            match state.ran {
                // The archive has forgotten the first run.
                Some(ran) if (state.now - ran) as u64 >= self.window => state.twice = true,
                Some(_) => {}
                None => state.ran = Some(state.now),
            }
            state.sent = state.sent.or(Some(state.now));
        };
        match step {
            Step::Waits(wait) => state.now = state.now.saturating_add(wait),
            Step::Lost { pause, took } => {
                arrives(&mut state, pause);
                runs(&mut state);
                state.now = state.now.saturating_add(took);
            }
            Step::Untouched { pause } => {
                arrives(&mut state, pause);
                state.now = state.now.saturating_add(1);
            }
            Step::Served { pause } => {
                arrives(&mut state, pause);
                runs(&mut state);
                state.over = true;
            }
            Step::Refused => {
                state.now = state.now.saturating_add(self.wait.min(250) as u8);
                (state.attempt, state.tries) = (0, state.tries + 1);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("no key runs twice", |_, state: &State| {
            !state.twice
        })]
    }
}

/// What a search came to.
#[derive(Debug)]
pub struct Found {
    /// A shortest sequence, if there is one.
    pub story: Option<Vec<String>>,
    pub states: usize,
}

pub fn second_run(setting: &Setting) -> Found {
    let checker = setting
        .clone()
        .checker()
        .target_state_count(STATES)
        .spawn_bfs()
        .join();
    let states = checker.unique_state_count();
    let story = checker.discovery("no key runs twice").map(|path| {
        let ms = |steps: u64| steps * setting.step_ms;
        let steps: Vec<(State, Option<Step>)> = path.into_vec();
        let mut story = Vec::new();
        for (state, step) in &steps {
            let at = format!("{} ms", ms(state.now as u64));
            let Some(step) = step else { continue };
            story.push(match step {
                Step::Waits(wait) => format!("at {at} the request comes, and waits {} ms for a place", ms(*wait as u64)),
                Step::Lost { pause, took } => format!(
                    "at {at} attempt {} is decided{}; it comes to the archive, and its answer is lost {} ms later",
                    state.attempt + 1,
                    paused(ms(*pause as u64)),
                    ms(*took as u64)
                ),
                Step::Untouched { pause } => format!(
                    "at {at} attempt {} is decided{}, and turned away untouched",
                    state.attempt + 1,
                    paused(ms(*pause as u64))
                ),
                Step::Served { pause } => format!(
                    "at {at} attempt {} is decided{}, and comes to the archive",
                    state.attempt + 1,
                    paused(ms(*pause as u64))
                ),
                Step::Refused => format!("at {at} the client is refused, and comes again"),
            });
        }
        let end = steps.last().map(|(state, _)| *state);
        if let Some(State { ran: Some(ran), .. }) = end {
            story.push(format!(
                "the archive ran the key at {} ms and has forgotten it after {} ms: it runs again",
                ms(ran as u64),
                ms(setting.window)
            ));
        }
        story
    });
    Found { story, states }
}

fn paused(ms: u64) -> String {
    if ms == 0 {
        String::new()
    } else {
        format!(", sent after a pause of {ms} ms")
    }
}

#[cfg(test)]
mod tests;
