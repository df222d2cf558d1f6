//! One fetch, from its first source to its end, in one function on a thread of its own: chosen, asked, passed on as
//! it comes, and sent once more elsewhere where a source fails, for all who wait.

use crate::book::{Fill, Target};
use crate::exchange::{exchange, End};
use crate::flight::Verdict;
use crate::state::Hub;
use crate::tally::add;
use foldmux_hierarchy::health::AttemptOutcome;
use foldmux_hierarchy::in_flight::AfterFailure;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

/// How often the archive, for which there is no other, may fail one fetch.
const ARCHIVE_TRIES: usize = 2;

/// The life of a fetch.
pub fn fetch(hub: &Hub, fill: &Fill, mut attempt: u32) {
    let (mut tried, mut verdict, mut archive_tries): (Vec<Arc<str>>, _, _) = (Vec::new(), None, 0);
    loop {
        let target = match hub.book.choose(hub.now(), fill, &tried, &hub.tally) {
            Ok(target) => target,
            Err(none_left) => {
                hub.book
                    .done(fill, attempt, Some(verdict.unwrap_or(none_left)));
                return;
            }
        };
        add(&hub.tally.fetches);
        if target.choice.archive {
            add(&hub.tally.archive_fetches);
        }
        // Guards against a fault in one try leaving all who wait without an end.
        let ended = catch_unwind(AssertUnwindSafe(|| {
            ask(hub, fill, &target, attempt, &tried)
        }));
        let (end, since) = ended.unwrap_or((End::Failed, None));
        fill.flight.release(attempt);
        let word = match end {
            End::Whole | End::Missing => Some(AttemptOutcome::Served),
            End::Full | End::Loop | End::TooOld | End::Lacks => Some(AttemptOutcome::Rejected),
            End::Unreached => Some(AttemptOutcome::Unreached),
            End::Failed => Some(AttemptOutcome::Failed),
            End::Off => None,
        };
        word.iter().for_each(|word| {
            hub.book
                .hear(hub.now(), hub.unix_ms(), &target.choice.name, *word, since)
        });
        verdict = match end {
            End::Whole => {
                hub.book.done(fill, attempt, None);
                return;
            }
            End::Missing => {
                hub.book.done(fill, attempt, Some(Verdict::Missing));
                return;
            }
            End::Off => return,
            End::Full => Some(Verdict::Full),
            End::Loop => {
                add(&hub.tally.loops_told);
                Some(Verdict::Loop)
            }
            End::TooOld => {
                add(&hub.tally.too_old);
                Some(Verdict::Failed)
            }
            End::Unreached | End::Failed | End::Lacks => Some(Verdict::Failed),
        };
        archive_tries += target.choice.archive as usize;
        if !target.choice.archive || archive_tries >= ARCHIVE_TRIES || end == End::Full {
            tried.push(target.choice.name.clone());
        }
        tracing::debug!(source = %target.choice.name, ?end, object = %format_args!("{:016x}", fill.key.object), "a try failed");
        match hub
            .book
            .failed(hub.now(), fill, attempt, verdict.unwrap_or(Verdict::Failed))
        {
            AfterFailure::Retry(next) => attempt = next,
            AfterFailure::GiveUp | AfterFailure::Stale => return,
        }
    }
}

/// One try at one source; whatever it held is given back when this returns.
fn ask(
    hub: &Hub,
    fill: &Fill,
    target: &Target,
    attempt: u32,
    tried: &[Arc<str>],
) -> (End, Option<u64>) {
    // A source that has nodes above it may need their leases before it answers.
    let lease = hub.lease * (1 + target.choice.height as u32);
    let idle = hub.links.idle(target.address);
    let reused = idle.is_some();
    let first = match idle.map_or_else(|| hub.links.dial(target.address, lease), Ok) {
        Ok(stream) => stream,
        Err(_) => return (End::Unreached, None),
    };
    let (end, told) = exchange(hub, fill, target, attempt, tried, &first, lease);
    if reused && end == End::Unreached {
        // An idle connection that the source closed meanwhile: a read may be sent again, on a new one.
        return match hub.links.dial(target.address, lease) {
            Ok(second) => exchange(hub, fill, target, attempt, tried, &second, lease),
            Err(_) => (End::Unreached, None),
        };
    }
    (end, told)
}
