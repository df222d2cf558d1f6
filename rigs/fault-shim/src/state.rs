//! The schedule of this process, when the process started, and the trace of what was done.

use crate::schedule::{parse, Call, Effect, Role, Rule};
use std::fs::File;
use std::io::Write;
use std::sync::OnceLock;

/// The variable that names the schedule's file.
const SCHEDULE: &str = "FOLDMUX_FAULTS";
/// The variable that names the file for the trace.
const TRACE: &str = "FOLDMUX_FAULT_TRACE";
/// The code with which a process ends whose schedule can't be used.
const UNUSABLE: i32 = 99;

struct State {
    rules: Vec<Rule>,
    started_ms: u64,
    trace: Option<File>,
}

static STATE: OnceLock<State> = OnceLock::new();

/// What the schedule does to this call; the first rule that strikes counts.
pub(crate) fn effect(call: Call, role: Role) -> Option<Effect> {
    let state = STATE.get_or_init(State::read);
    if state.rules.is_empty() {
        return None;
    }
    let at_ms = monotonic_ms().saturating_sub(state.started_ms);
    let rule = state
        .rules
        .iter()
        .find(|rule| rule.strikes(call, role, at_ms))?;
    if let (Some(mut trace), true) = (state.trace.as_ref(), call != Call::Clock) {
        let line = format!("{at_ms} ms {call:?} {role:?} {:?}\n", rule.effect);
        let _ = trace.write_all(line.as_bytes());
    }
    Some(rule.effect)
}

impl State {
    fn read() -> State {
        let text = std::env::var_os(SCHEDULE).map(std::fs::read_to_string);
        let rules = match text.map(|text| {
            text.map_err(|e| e.to_string())
                .and_then(|text| parse(&text))
        }) {
            None => Vec::new(),
            Some(Ok(rules)) => rules,
            Some(Err(why)) => {
                eprintln!("fault shim: {why}");
                std::process::exit(UNUSABLE);
            }
        };
        let trace = std::env::var_os(TRACE);
        let trace =
            trace.and_then(|path| File::options().create(true).append(true).open(path).ok());
        State {
            rules,
            started_ms: monotonic_ms(),
            trace,
        }
    }
}

/// The monotonic clock, past the hooks.
fn monotonic_ms() -> u64 {
    let mut now = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // Safety: the kernel writes one timespec, which lives on this stack.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &raw mut now) };
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}
