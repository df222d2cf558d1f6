//! The journal as the fleet shares it by site: this process's part in it, its reader, and the long poll that it serves. Off
//! unless the operator's file names the stream.

use crate::backoff::Backoff;
use crate::fleet::replica_set::replica_set;
use crate::journal::JournalClient;
use foldmux_event_stream::readers::RelaySink;
use foldmux_event_stream::{serve, StreamReaders};
use foldmux_fleet::Port;
use foldmux_fronts::listen::named;
use foldmux_operator::{Fleet, Slow, Stream, StreamFirst};
use foldmux_relay::{Ask, First, Relay, Setup};
use foldmux_replicas::Peer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The stream that is the journal.
pub const JOURNAL: &str = "journal";
/// The part's byte in frames.
pub const BYTE: u8 = 2;
/// Told to one reader ahead of what it took: some hundred events, as an answer of the journal holds at a busy start.
const AHEAD: u64 = 256;
/// A relay moves for slowness at most once in so long: many leases, and short against a day.
const HOLD: Duration = Duration::from_secs(10);

pub struct Relayed {
    pub desk: Arc<StreamReaders>,
    serve: Option<SocketAddr>,
    /// Connections of hubs and instances: this process's own reader is one too.
    most: usize,
}

impl Relayed {
    /// None where the file does not name the journal. With it the part for the fleet's thread, and where that tells.
    pub fn new(
        said: &Fleet,
        name: &str,
        seed: u64,
    ) -> Result<Option<(Relayed, Relay, RelaySink)>, String> {
        let Some(journal) = said.streams.iter().find(|stream| stream.name == JOURNAL) else {
            return Ok(None);
        };
        let (replicas, drift) = replica_set(said)?;
        let life = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as u64);
        let setup = Setup {
            me: Peer::new(name),
            life,
            places: (said.peers.iter())
                .map(|peer| {
                    (
                        Peer::new(&peer.name),
                        peer.site.split('/').map(Into::into).collect(),
                    )
                })
                .collect(),
            replicas,
            drift,
            lease: said.lease_ms * 1_000,
            streams: vec![stream(journal)],
            readers: journal.readers as usize,
            fed: said.peers.len(),
            hold: HOLD.as_micros() as u64,
            seed,
        };
        let desk = StreamReaders::new(JOURNAL, AHEAD);
        let tells = RelaySink(desk.clone());
        // Until its reader is fed the process reads the source, as one without a fleet does.
        desk.gate.without(true);
        Ok(Some((
            Relayed {
                desk,
                serve: journal.serve,
                most: journal.readers as usize - 1,
            },
            Relay::new(setup, 0),
            tells,
        )))
    }

    /// The part is in service. `journal`: a clone of the one that reads the source, after [`JournalClient::share`].
    pub fn start(&self, port: Port<Ask>, journal: JournalClient, seed: u64) -> Result<(), String> {
        self.desk.begin(port);
        if let Some(on) = self.serve {
            let served = serve::serve(&self.desk, on, self.most);
            let on = served.map_err(|e| format!("stream journal: listening on {on}: {e}"))?;
            tracing::info!("the journal is served to the site on {on}");
        }
        let desk = self.desk.clone();
        named("relayed", 512 * 1024, move || {
            follow(&desk, &journal, Backoff::new(seed))
        })
        .map(drop)
    }
}

fn stream(said: &Stream) -> foldmux_relay::Stream {
    foldmux_relay::Stream {
        name: said.name.as_str().into(),
        slow: match said.slow {
            Slow::All => foldmux_relay::Slow::All,
            Slow::Latest => foldmux_relay::Slow::Latest,
            Slow::Skip => foldmux_relay::Slow::Skip,
        },
        first: match said.first {
            StreamFirst::Whole => First::Whole,
            StreamFirst::Ring => First::Ring,
            StreamFirst::Live => First::Live,
        },
        // The journal counts for each that reads it.
        shared: said.name != JOURNAL,
        patience: said.patience_ms * 1_000,
        window: said.window_ms * 1_000,
        items: said.items as usize,
        bytes: said.kb as usize * 1024,
        keys: said.items as usize,
        ahead: AHEAD,
    }
}

/// Takes what the site's relay tells, for as long as the process runs; the source is read by `journal` itself.
fn follow(desk: &Arc<StreamReaders>, journal: &JournalClient, mut backoff: Backoff) {
    loop {
        if let Ok(mut reading) = desk.read(0) {
            while let Ok(entries) = reading.next(Instant::now() + Duration::from_secs(1)) {
                journal.apply_relayed(&entries);
                // Its own place at the source has no gap.
                if entries.iter().any(|entry| entry.lost.is_some()) {
                    desk.gate.once();
                }
                if !entries.is_empty() {
                    desk.gate.without(false);
                    backoff.well();
                }
                reading.took(reading.after);
                journal.pool.sweep();
            }
        }
        desk.gate.without(true);
        thread::sleep(backoff.failed());
    }
}
