//! The journal relayed by site: the relay state machine of this process, its own subscription, and the long
//! poll that it serves to the site. Off unless the operator's file names the stream.

use crate::backoff::Backoff;
use crate::fleet::replica_set::replica_set;
use crate::journal::JournalClient;
use foldmux_event_stream::readers::RelaySink;
use foldmux_event_stream::{serve, StreamReaders};
use foldmux_fleet::Port;
use foldmux_fronts::listen::named;
use foldmux_operator::{Fleet, Slow, Stream, StreamFirst};
use foldmux_relay::{Command, Relay, RelayConfig, StartPosition};
use foldmux_replicas::Peer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The name of the journal's stream.
pub const JOURNAL: &str = "journal";
/// The number of the relay's state machine in frames.
pub const PART: u8 = 2;
/// Most events that one subscriber may be sent beyond those it acknowledged. A response of the journal holds
/// some hundred at a busy start.
const MAX_EVENTS_AHEAD: u64 = 256;
/// The least time for which a relay keeps its role before it gives it up for slowness.
const MIN_RELAY_TENURE: Duration = Duration::from_secs(10);

/// The relay of the journal in this process.
pub struct JournalRelay {
    /// Its subscribers in this process and at the site.
    pub readers: Arc<StreamReaders>,
    serve_address: Option<SocketAddr>,
    /// Most connections of hubs and instances; this process's own subscription counts as one more.
    max_connections: usize,
}

impl JournalRelay {
    /// The relay, its state machine for the fleet's thread and the sink of its notifications; `None` where
    /// the file does not name the journal.
    ///
    /// # Errors
    ///
    /// Where the file's replicas can't be used.
    pub fn new(
        config: &Fleet,
        name: &str,
        seed: u64,
    ) -> Result<Option<(JournalRelay, Relay, RelaySink)>, String> {
        let Some(journal) = config.streams.iter().find(|stream| stream.name == JOURNAL) else {
            return Ok(None);
        };
        let (replicas, drift) = replica_set(config)?;
        let incarnation = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as u64);
        let relay_config = RelayConfig {
            own: Peer::new(name),
            incarnation,
            locations: (config.peers.iter())
                .map(|peer| {
                    (
                        Peer::new(&peer.name),
                        peer.site.split('/').map(Into::into).collect(),
                    )
                })
                .collect(),
            replicas,
            drift,
            lease: config.lease_ms * 1_000,
            streams: vec![stream(journal)],
            max_readers: journal.readers as usize,
            max_followers: config.peers.len(),
            min_tenure: MIN_RELAY_TENURE.as_micros() as u64,
            seed,
        };
        let readers = StreamReaders::new(JOURNAL, MAX_EVENTS_AHEAD);
        let sink = RelaySink(readers.clone());
        // Until its subscription has events, the process reads the source like one without a fleet.
        readers.gate.set_awaiting_events(true);
        Ok(Some((
            JournalRelay {
                readers,
                serve_address: journal.serve,
                max_connections: journal.readers as usize - 1,
            },
            Relay::new(relay_config, 0),
            sink,
        )))
    }

    /// Starts the subscription and the long poll. `journal`: a clone of the client that reads the source, after
    /// [`JournalClient::share`].
    ///
    /// # Errors
    ///
    /// Where a thread or a socket can't be had.
    pub fn start(
        &self,
        port: Port<Command>,
        journal: JournalClient,
        seed: u64,
    ) -> Result<(), String> {
        self.readers.attach(port);
        if let Some(on) = self.serve_address {
            let served = serve::serve(&self.readers, on, self.max_connections);
            let on = served.map_err(|e| format!("stream journal: listening on {on}: {e}"))?;
            tracing::info!("the journal is served to the site on {on}");
        }
        let readers = self.readers.clone();
        named("relayed", 512 * 1024, move || {
            follow(&readers, &journal, Backoff::new(seed))
        })
        .map(drop)
    }
}

fn stream(config: &Stream) -> foldmux_relay::StreamConfig {
    foldmux_relay::StreamConfig {
        name: config.name.as_str().into(),
        slow_readers: match config.slow {
            Slow::All => foldmux_relay::SlowReaderPolicy::Disconnect,
            Slow::Latest => foldmux_relay::SlowReaderPolicy::Conflate,
            Slow::Skip => foldmux_relay::SlowReaderPolicy::Skip,
        },
        start: match config.first {
            StreamFirst::Whole => StartPosition::Snapshot,
            StreamFirst::Ring => StartPosition::Buffered,
            StreamFirst::Live => StartPosition::Live,
        },
        // The journal numbers events for each reader by itself.
        shared_numbering: config.name != JOURNAL,
        silence_timeout: config.patience_ms * 1_000,
        snapshot_window: config.window_ms * 1_000,
        max_items: config.items as usize,
        max_bytes: config.kb as usize * 1024,
        max_keys: config.items as usize,
        max_unacknowledged: MAX_EVENTS_AHEAD,
    }
}

/// Applies the events of the site's relay for as long as the process runs. The source itself is read by the
/// client's own thread.
fn follow(readers: &Arc<StreamReaders>, journal: &JournalClient, mut backoff: Backoff) {
    loop {
        if let Ok(mut subscription) = readers.subscribe(0) {
            while let Ok(entries) = subscription.receive(Instant::now() + Duration::from_secs(1)) {
                journal.apply_relayed(&entries);
                // What is missing from the relayed stream is available at the source.
                if entries.iter().any(|entry| entry.lost.is_some()) {
                    readers.gate.request_one_read();
                }
                if !entries.is_empty() {
                    readers.gate.set_awaiting_events(false);
                    backoff.reset();
                }
                subscription.acknowledge(subscription.position);
                journal.pool.sweep();
            }
        }
        readers.gate.set_awaiting_events(true);
        thread::sleep(backoff.next_delay());
    }
}
