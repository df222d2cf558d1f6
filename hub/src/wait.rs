//! Waits for a fetch that is under way, and passes its bytes on as they come.

use crate::book::Waiting;
use crate::flight::{Cursor, Look, Verdict};
use crate::reply::{broken_off, Reply, What, SLOW};
use crate::request_fields::RequestFields;
use crate::tally::add;
use foldmux_http1::io::write_all;
use foldmux_sockets::stream::{arrived, Arrived};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// How often one who waits is looked at: has it left?
const LOOK: Duration = Duration::from_millis(50);

/// Passes a fetch's bytes on as they come. The place in the ledger is given back when `waiting` is dropped.
pub(crate) fn wait_for(
    reply: &Reply,
    fields: &RequestFields,
    waiting: &Waiting,
    until: Instant,
) -> bool {
    let hub = reply.hub;
    let (mut cursor, mut wanted, mut begun) = (Cursor::default(), None, false);
    let mut at = 0;
    loop {
        // Once begun, the time is that of the bytes on their way, not of the one who waits.
        let end = if begun { until + SLOW } else { until };
        match waiting
            .flight
            .look(&mut cursor, end.min(Instant::now() + LOOK))
        {
            Look::Head(meta) => {
                begun = true;
                let what = What::of(fields, &meta);
                let body = match what.head(reply, &meta) {
                    Ok(body) => body,
                    Err(_) => return broken_off(hub),
                };
                let Some(body) = body else { return reply.keep };
                wanted = Some(body);
            }
            Look::Chunks(chunks) => {
                let range = wanted.clone().unwrap_or(0..0);
                for chunk in chunks {
                    let from = range.start.clamp(at, at + chunk.len()) - at;
                    let to = range.end.clamp(at, at + chunk.len()) - at;
                    at += chunk.len();
                    if from < to
                        && write_all(
                            reply.stream,
                            &[&chunk[from..to]],
                            end.max(Instant::now() + LOOK),
                        )
                        .is_err()
                    {
                        return broken_off(hub);
                    }
                }
                if at >= range.end {
                    add(&hub.tally.served);
                    return reply.keep;
                }
            }
            Look::Whole => {
                add(&hub.tally.served);
                return reply.keep;
            }
            // The length told in the head shows that it is not whole.
            Look::BrokenOff => return broken_off(hub),
            Look::Ended(verdict) => return reply.verdict(verdict),
            Look::Late if Instant::now() < end => {
                if gone(reply.stream) {
                    return broken_off(hub);
                }
            }
            Look::Late if begun => return broken_off(hub),
            Look::Late => return reply.verdict(Verdict::Late),
        }
    }
}

/// Whether the other side has closed. Guards against fetches that go on for those who left.
fn gone(stream: &TcpStream) -> bool {
    arrived(stream) == Arrived::End
}
