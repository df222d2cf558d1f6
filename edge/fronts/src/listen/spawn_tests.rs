//! Threads where the machine has none left.

use super::*;

fn none_left() -> io::Error {
    io::Error::from(io::ErrorKind::WouldBlock)
}

#[test]
fn a_thread_is_asked_for_again_while_the_machine_has_none_left() {
    let mut tries = 0;
    let spawned = again_while_none_are_left(Duration::from_secs(30), || {
        tries += 1;
        if tries < 4 {
            Err(none_left())
        } else {
            Ok(tries)
        }
    });
    assert_eq!(spawned.unwrap(), 4);
}

#[test]
fn it_ends_with_the_error_where_no_thread_comes_back_and_at_once_where_it_is_another() {
    let ended = again_while_none_are_left(Duration::ZERO, || Err::<(), _>(none_left()));
    assert_eq!(ended.unwrap_err().kind(), io::ErrorKind::WouldBlock);
    let mut tries = 0;
    let refused = again_while_none_are_left(Duration::from_secs(30), || {
        tries += 1;
        Err::<(), _>(io::Error::from(io::ErrorKind::PermissionDenied))
    });
    assert_eq!(
        (refused.unwrap_err().kind(), tries),
        (io::ErrorKind::PermissionDenied, 1)
    );
}

#[test]
fn what_a_thread_was_to_run_outlives_a_spawn_that_failed_and_runs_once() {
    let runs = Arc::new(Mutex::new(0));
    let counted = runs.clone();
    let body = Mutex::new(Some(move || *counted.lock().unwrap() += 1));
    run_once(&body);
    run_once(&body);
    assert_eq!(*runs.lock().unwrap(), 1);
}
