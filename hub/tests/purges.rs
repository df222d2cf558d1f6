//! A purge that is told while a fetch goes from one failed source to the next.

use common::{Rig, THREE, WIDE};
use foldmux_fakes::source::{Act, Source};
use foldmux_fakes::unix_ms;
use foldmux_hub::state::Hub;
use std::sync::{Arc, Mutex};
use std::time::Duration;

mod common;

const OBJECT: u64 = 7;

/// Guards against the next attempt of a fetch accepting a copy from before a purge that was told since the fetch began.
#[test]
fn the_next_attempt_of_a_fetch_takes_no_copy_from_before_a_purge_told_since() {
    let hub: Arc<Mutex<Option<Arc<Hub>>>> = Arc::default();
    let purged = hub.clone();
    let archive = Source::start(move |ask| match ask.before {
        0 => {
            let hub = purged.lock().unwrap();
            hub.as_ref().unwrap().purge(Some(OBJECT), unix_ms());
            Act::Reset
        }
        _ => Act::give(100, Duration::ZERO),
    });
    let rig = Rig::new(archive, &THREE[..1], WIDE);
    *hub.lock().unwrap() = Some(rig.hub("east").hub.clone());
    assert_eq!(rig.get("east", OBJECT, "").status, 200);
    let log = rig.archive.asked.log();
    assert_eq!(log.len(), 2);
    let ages: Vec<&str> = log.iter().map(|ask| ask.field("x-max-age-ms")).collect();
    assert!(ages[0].is_empty() && !ages[1].is_empty(), "{ages:?}");
}
