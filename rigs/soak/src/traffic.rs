//! Stand-in caches that answer as the seed says, well or badly, and record each attempt.

use crate::plan::Dice;
use crate::record::{Attempt, Record};
use foldmux_fakes::server::Server;
use foldmux_fakes::source::{carry_out, read_ask, Act, Ask};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest that a cache stays silent.
const SILENCE: Duration = Duration::from_secs(2);
/// A client's id that can't be read counts as this.
const UNKNOWN: u64 = 0;

/// How long the part of an object is (bytes): the same from every cache.
pub fn length(object: u64) -> usize {
    100 + (object % 20_000) as usize
}

/// A cache that records its attempts; of a hundred it hangs at so many.
pub fn cache(seed: u64, hangs: u64, record: Arc<Record>) -> Server {
    Server::start(move |stream| while one(stream, seed, hangs, &record) {})
}

fn one(stream: &TcpStream, seed: u64, hangs: u64, record: &Record) -> bool {
    let Some(ask) = read_ask(stream) else {
        return false;
    };
    let id = u64::from_str_radix(ask.field("via-id"), 16).unwrap_or(UNKNOWN);
    let wait = Duration::from_millis(ask.field("via-wait").parse().unwrap_or(0));
    let mut dice = Dice::new(seed ^ id, 1);
    let after = Duration::from_millis(dice.number(0, 60));
    let act = if dice.chance(hangs) {
        Act::Silence(SILENCE)
    } else {
        act(&mut dice, &ask)
    };
    // A request that is given up while it is worked on ends there.
    let kept = !closes(stream, after) && carry_out(stream, &ask, act);
    record.attempt(Attempt {
        id,
        at: ask.at,
        wait,
        until: Instant::now(),
    });
    kept
}

fn act(dice: &mut Dice, ask: &Ask) -> Act {
    let length = length(ask.object);
    let untouched = |status| Act::Say {
        status,
        fields: "Srv-Untouched: 1\r\n".to_string(),
    };
    match dice.number(0, 100) {
        0..5 => Act::Say {
            status: 500,
            fields: String::new(),
        },
        5..9 => untouched(503),
        9..11 => Act::Say {
            status: 404,
            fields: String::new(),
        },
        11..14 => Act::Reset,
        14..16 => Act::Cut {
            version: 1,
            length,
            bytes: length / 2,
        },
        _ => Act::give(length, Duration::ZERO),
    }
}

/// Whether the other side closes within this time.
fn closes(stream: &TcpStream, time: Duration) -> bool {
    let _ = stream.set_read_timeout(Some(time.max(Duration::from_millis(1))));
    matches!(stream.peek(&mut [0]), Ok(0))
}
