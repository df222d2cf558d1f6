//! The faults of a run: what caches and the calling proxy do to attempts, the same for the same seed.

use super::LENGTH;
use foldmux_fakes::caller::{Play, Point};
use foldmux_fakes::guarded::Guarded;
use foldmux_fakes::source::{Act, Source};
use foldmux_fakes::unix_ms;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A number that looks like chance, and is the same each time.
pub(super) fn draw(seed: u64, words: &[u64]) -> u64 {
    words.iter().fold(seed ^ 0x9e37_79b9_7f4a_7c15, |x, word| {
        let x = (x ^ word).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x ^ x >> 29
    })
}

/// A cache of a cell, in front of the archive: it runs what comes in time, and fails now and then.
pub(super) fn cache(
    cell: u32,
    archive: Arc<Guarded>,
    late: Arc<AtomicU64>,
    seed: u64,
    slowest: u64,
) -> Source {
    let serial = AtomicU64::new(0);
    Source::start(move |ask| {
        let chance = draw(seed, &[cell as u64, serial.fetch_add(1, Ordering::SeqCst)]) % 100;
        let untouched = Act::Say {
            status: 503,
            fields: "Srv-Untouched: 1\r\n".into(),
        };
        if ask.class != "mix-record" {
            return if chance < 3 {
                untouched
            } else {
                Act::give(LENGTH, Duration::from_millis(1))
            };
        }
        let until = ask
            .field("x-foldmux-good-until-ms")
            .parse::<u64>()
            .unwrap_or(0);
        if unix_ms() > until {
            late.fetch_add(1, Ordering::SeqCst);
            return untouched;
        }
        if chance < 8 {
            return untouched;
        }
        let running = archive.arrive(ask.field("via-token"), cell);
        thread::sleep(Duration::from_millis(chance % slowest));
        drop(running);
        match chance {
            // It ran, and its answer is lost in one of several ways.
            8..=17 => Act::Reset,
            18..=22 => Act::Say {
                status: 500,
                fields: String::new(),
            },
            23..=27 => Act::Cut {
                version: 1,
                length: LENGTH,
                bytes: LENGTH / 3,
            },
            _ => Act::give(LENGTH, Duration::ZERO),
        }
    })
}

/// What the calling proxy does to a request's attempt.
pub(super) fn play(seed: u64, number: u64, attempt: u32) -> Play {
    const POINTS: [Point; 5] = [
        Point::BeforeAnswer,
        Point::BetweenAnswerAndSend,
        Point::DuringSend,
        Point::AfterSend,
        Point::AfterResponseHeaders,
    ];
    let chance = draw(seed, &[number, attempt as u64, 7]);
    let point = POINTS[(chance >> 20) as usize % POINTS.len()];
    match chance % 100 {
        0..=3 => Play {
            leave: Some(point),
            ..Play::default()
        },
        4..=15 => Play {
            reset: Some(point),
            ..Play::default()
        },
        16..=19 => Play {
            slow: Duration::from_millis(120),
            ..Play::default()
        },
        _ => Play::default(),
    }
}
