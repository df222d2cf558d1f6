//! Counts since the start, as `GET /v2/state` tells them.

use std::fmt::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! tally {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        #[derive(Default)]
        pub struct Tally {
            $($(#[$doc])* pub $name: AtomicU64,)*
        }

        impl Tally {
            /// One `name value` a line.
            pub fn lines(&self) -> String {
                let mut text = String::new();
                $(let _ = writeln!(text, "{} {}", stringify!($name), self.$name.load(Ordering::Relaxed));)*
                text
            }
        }
    };
}

tally! {
    /// Fills and writes taken; by how they ended.
    asked, served, not_modified, missing, refused, failed, late, broken_off, malformed,
    hits, writes,
    /// Fetches sent to sources; of them, to the archive.
    fetches, archive_fetches,
    /// Fills that had this hub on their way; sources left out for being on a fill's way; sources that found a loop.
    loops_found, loops_avoided, loops_told,
    /// Answers from a copy older than the fill's bound, not passed on.
    too_old,
    /// Sources passed over because they are cold and have been given enough.
    cold_held_back,
    connections_refused,
    /// Purges that the journal told of.
    purges,
}

pub fn add(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}
