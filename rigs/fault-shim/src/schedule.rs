//! Which calls fail, how, and when: one rule a line, read once when the process starts.
//!
//! `recv role=client error=ENOBUFS every=3 skip=2 count=10 from_ms=0 until_ms=60000`: of the calls of `recv` on connections
//! that clients opened, the first two pass, then each third fails with ENOBUFS, ten times at most, in the first 60 s of the
//! process. `effect=short` in place of `error` has a read or write take one byte. `clock step_ms=-3600000 from_ms=500` steps
//! the clock of the day (CLOCK_REALTIME) back by an hour half a second after the start. Lines that begin with `#` are
//! comments.

use std::sync::atomic::{AtomicU64, Ordering};

/// The calls that can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Accept,
    Socket,
    Connect,
    Recv,
    Send,
    SetSockOpt,
    Shutdown,
    Poll,
    Thread,
    Clock,
}

/// Whose descriptor a call is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Role {
    /// Neither of the others, or none at all.
    Other,
    /// A connection that was accepted.
    Client,
    /// A connection that the process opened.
    Server,
}

/// What a rule does to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It fails with this error number, and is not made.
    Fail(i32),
    /// It is made for one byte.
    Short,
    /// The clock shows so much more (ms).
    Step(i64),
}

/// One line of a schedule.
#[derive(Debug)]
pub struct Rule {
    pub call: Call,
    pub role: Option<Role>,
    pub effect: Effect,
    every: u64,
    skip: u64,
    count: u64,
    from_ms: u64,
    until_ms: u64,
    seen: AtomicU64,
    done: AtomicU64,
}

impl Rule {
    /// Whether it takes effect on this call, `at_ms` after the start of the process. Counts the call.
    pub fn strikes(&self, call: Call, role: Role, at_ms: u64) -> bool {
        let meant = self.call == call && self.role.is_none_or(|meant| meant == role);
        if !meant || at_ms < self.from_ms || at_ms >= self.until_ms {
            return false;
        }
        let number = self.seen.fetch_add(1, Ordering::Relaxed) + 1;
        let due = number > self.skip && (number - self.skip).is_multiple_of(self.every);
        due && self.done.fetch_add(1, Ordering::Relaxed) < self.count
    }
}

/// The rules of a schedule, or the first line that can't be used.
pub fn parse(text: &str) -> Result<Vec<Rule>, String> {
    let lines = text
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty() && !line.starts_with('#'));
    lines
        .map(|line| rule(line).ok_or_else(|| format!("not a rule: {line}")))
        .collect()
}

fn rule(line: &str) -> Option<Rule> {
    let mut words = line.split_whitespace();
    let call = call(words.next()?)?;
    let (seen, done) = (AtomicU64::new(0), AtomicU64::new(0));
    let none = Effect::Step(0);
    let (every, skip, count, from_ms, until_ms) = (1, 0, u64::MAX, 0, u64::MAX);
    let mut rule = Rule {
        call,
        role: None,
        effect: none,
        every,
        skip,
        count,
        from_ms,
        until_ms,
        seen,
        done,
    };
    for word in words {
        let (key, value) = word.split_once('=')?;
        match key {
            "role" => rule.role = Some(role(value)?),
            "error" => rule.effect = Effect::Fail(error(value)?),
            "effect" if value == "short" => rule.effect = Effect::Short,
            "step_ms" => rule.effect = Effect::Step(value.parse().ok()?),
            "every" => rule.every = value.parse().ok().filter(|every| *every > 0)?,
            "skip" => rule.skip = value.parse().ok()?,
            "count" => rule.count = value.parse().ok()?,
            "from_ms" => rule.from_ms = value.parse().ok()?,
            "until_ms" => rule.until_ms = value.parse().ok()?,
            _ => return None,
        }
    }
    // A rule that changes nothing is a mistake.
    (rule.effect != none).then_some(rule)
}

fn call(name: &str) -> Option<Call> {
    Some(match name {
        "accept" => Call::Accept,
        "socket" => Call::Socket,
        "connect" => Call::Connect,
        "recv" => Call::Recv,
        "send" => Call::Send,
        "setsockopt" => Call::SetSockOpt,
        "shutdown" => Call::Shutdown,
        "poll" => Call::Poll,
        "thread" => Call::Thread,
        "clock" => Call::Clock,
        _ => return None,
    })
}

fn role(name: &str) -> Option<Role> {
    Some(match name {
        "client" => Role::Client,
        "server" => Role::Server,
        "other" => Role::Other,
        _ => return None,
    })
}

fn error(name: &str) -> Option<i32> {
    Some(match name {
        "EINTR" => libc::EINTR,
        "EAGAIN" => libc::EAGAIN,
        "ENOMEM" => libc::ENOMEM,
        "ENOBUFS" => libc::ENOBUFS,
        "EMFILE" => libc::EMFILE,
        "ENFILE" => libc::ENFILE,
        "EPROTO" => libc::EPROTO,
        "EPIPE" => libc::EPIPE,
        "ENOTCONN" => libc::ENOTCONN,
        "ECONNABORTED" => libc::ECONNABORTED,
        "ECONNREFUSED" => libc::ECONNREFUSED,
        "ECONNRESET" => libc::ECONNRESET,
        "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
        "ENETUNREACH" => libc::ENETUNREACH,
        "EHOSTUNREACH" => libc::EHOSTUNREACH,
        "ETIMEDOUT" => libc::ETIMEDOUT,
        _ => return None,
    })
}
