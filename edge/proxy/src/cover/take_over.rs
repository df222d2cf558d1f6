//! Works that this process was handed: each is run as any request, with its answer kept for whoever comes again.

use super::class_policies::ReplicatedClasses;
use super::client::{TakenOverRequest, TakeoverClient};
use super::owned_record::ReplicatedRecord;
use foldmux_core::{ClientRequest, Core};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Whether it was begun; else its hold was dropped, and the next in line goes on.
pub fn begin(
    core: &Arc<Core>,
    classes: &ReplicatedClasses,
    client: &Arc<TakeoverClient>,
    taken: TakenOverRequest,
) -> bool {
    let TakenOverRequest {
        key,
        record,
        proof,
        lease,
    } = taken;
    let Some(class) = classes.get(&record.request.class) else {
        return false;
    };
    let (arrived, work) = (Instant::now(), &record.request);
    let hold = ReplicatedRecord::new(
        client,
        *class,
        key,
        &record,
        proof,
        lease,
        arrived + Duration::from_micros(record.time_left),
    );
    let body = match &work.body {
        None => None,
        Some(bytes) => {
            let Some(mut lease) = core
                .buffers
                .acquire_for_request_body()
                .filter(|lease| bytes.len() <= lease.len())
            else {
                return false;
            };
            lease[..bytes.len()].copy_from_slice(bytes);
            Some((lease, bytes.len()))
        }
    };
    let text = |text: &Option<Arc<str>>| text.as_deref().map(str::to_string);
    let request = ClientRequest {
        // Of this process alone: the lost one's request may be open at a cache still.
        via_id: RandomState::new().build_hasher().finish(),
        class: classes.place(&work.class),
        class_name: work.class.clone(),
        object: work.object,
        part: work.part,
        group: work.group,
        size_kb: work.size as f64 / 1_000.0,
        token: text(&work.token),
        etag: text(&work.got),
        body,
        arrived_at: arrived,
        budget: Duration::from_micros(record.time_left),
        front: "takeover",
        caller: "".into(),
        required_group: foldmux_core::records::OwnedRecord::required_group(&hold),
    };
    let cancel = core.new_cancel_handle();
    core.start_taken_over(request, cancel, Box::new(hold))
}
