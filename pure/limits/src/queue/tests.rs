//! The queue for capacity, short and overloaded.

use super::*;

fn push(queue: &mut AdmissionQueue, since: TimestampUs, id: u64) -> bool {
    queue.push(QueuedRequest { id, since })
}

#[test]
fn a_short_queue_is_served_in_order_and_an_overloaded_one_expires_sooner() {
    let mut queue = AdmissionQueue::new(3, 100);
    assert!(
        push(&mut queue, 0, 1)
            && push(&mut queue, 0, 2)
            && push(&mut queue, 10, 3)
            && !push(&mut queue, 10, 4)
    );
    assert_eq!((queue.pop(20), queue.expire(99)), (Some(1), vec![]));
    assert_eq!(queue.expire(100), [2]);
    queue.remove(3);
    assert!(queue.is_empty());
    // Each waits long: after a whole timeout of that, half of it is the bound.
    for turn in 0..4u64 {
        push(&mut queue, turn * 60, turn);
        assert_eq!(queue.pop(turn * 60 + 60), Some(turn));
    }
    push(&mut queue, 300, 9);
    assert_eq!(queue.expire(350), [9]);
    // One that did not wait long shows that the queue is short again.
    push(&mut queue, 400, 10);
    assert_eq!(queue.pop(401), Some(10));
    push(&mut queue, 410, 11);
    assert_eq!((queue.expire(470), queue.expire(510)), (vec![], vec![11]));
}
