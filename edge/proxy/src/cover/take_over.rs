//! Runs the requests that this process takes over. Each runs like a client's request, and its answer is stored for a client
//! that retries.

use super::class_policies::ReplicatedClasses;
use super::client::{TakenOverRequest, TakeoverClient};
use super::owned_record::ReplicatedRecord;
use foldmux_core::{ClientRequest, Core};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Starts a request that was taken over. Returns whether it could be started; else its record is released, and the next in
/// line takes it over.
pub fn start_request(
    core: &Arc<Core>,
    classes: &ReplicatedClasses,
    client: &Arc<TakeoverClient>,
    taken_over: TakenOverRequest,
) -> bool {
    let TakenOverRequest {
        key,
        record,
        proof,
        lease,
    } = taken_over;
    let Some(class) = classes.get(&record.request.class) else {
        return false;
    };
    let (arrived_at, original) = (Instant::now(), &record.request);
    let owned_record = ReplicatedRecord::new(
        client,
        *class,
        key,
        &record,
        proof,
        lease,
        arrived_at + Duration::from_micros(record.time_left),
    );
    let body = match &original.body {
        None => None,
        Some(bytes) => {
            let Some(mut buffer) = core.buffers.acquire_for_request_body(bytes.len()) else {
                return false;
            };
            buffer[..bytes.len()].copy_from_slice(bytes);
            Some((buffer, bytes.len()))
        }
    };
    let text = |text: &Option<Arc<str>>| text.as_deref().map(str::to_string);
    let request = ClientRequest {
        // A new id: the former owner's request may still be open at a cache.
        via_id: RandomState::new().build_hasher().finish(),
        class: classes.index(&original.class),
        class_name: original.class.clone(),
        object: original.object,
        part: original.part,
        group: original.group,
        size_kb: original.size as f64 / 1_000.0,
        token: text(&original.token),
        etag: text(&original.got),
        body,
        arrived_at,
        budget: Duration::from_micros(record.time_left),
        front: "takeover",
        caller: "".into(),
        required_group: foldmux_core::records::OwnedRecord::required_group(&owned_record),
    };
    let cancel = core.new_cancel_handle();
    core.start_taken_over(request, cancel, Box::new(owned_record))
}
