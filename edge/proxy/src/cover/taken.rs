//! Works that this process was handed: each is run as any request, with its answer kept for whoever comes again.

use super::hold::Held;
use super::line::Line;
use super::rules::Classes;
use foldmux_core::clock::span;
use foldmux_core::{Core, Inquiry};
use foldmux_takeover::{Key, Lease, Proof, Record};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::sync::Arc;
use std::time::Instant;

pub struct Taken {
    pub key: Key,
    pub record: Record,
    pub proof: Proof,
    pub lease: Lease,
}

/// Whether it was begun; else its hold was dropped, and the next in line goes on.
pub fn begin(core: &Arc<Core>, classes: &Classes, line: &Arc<Line>, taken: Taken) -> bool {
    let Taken {
        key,
        record,
        proof,
        lease,
    } = taken;
    let Some(class) = classes.get(&record.work.class) else {
        return false;
    };
    let (arrived, work) = (Instant::now(), &record.work);
    let hold = Held::new(
        line,
        *class,
        key,
        &record,
        proof,
        lease,
        arrived + span(record.left),
    );
    let body = match &work.body {
        None => None,
        Some(bytes) => {
            let Some(mut lease) = core
                .buffers
                .lease_for_body()
                .filter(|lease| bytes.len() <= lease.len())
            else {
                return false;
            };
            lease[..bytes.len()].copy_from_slice(bytes);
            Some((lease, bytes.len()))
        }
    };
    let text = |text: &Option<Arc<str>>| text.as_deref().map(str::to_string);
    let inquiry = Inquiry {
        // Of this process alone: the lost one's request may be open at a cache still.
        via: RandomState::new().build_hasher().finish(),
        class: classes.place(&work.class),
        class_name: work.class.clone(),
        object: work.object,
        part: work.part,
        group: work.group,
        size_kb: work.size as f64 / 1_000.0,
        token: text(&work.token),
        got: text(&work.got),
        body,
        arrived,
        budget: record.left,
        front: "takeover",
        caller: "".into(),
        within: foldmux_core::cover::Hold::within(&hold),
    };
    let slot = core.slot();
    core.start_taken(inquiry, slot, Box::new(hold))
}
