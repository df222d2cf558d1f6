//! Faults of the machine while the program starts, hears signals and leaves: it comes up, and goes in order.

use faults::start_under;

mod common;
#[path = "common/faults.rs"]
mod faults;
#[path = "common/steps.rs"]
mod steps;

const ONE: u64 = 0x1111_0000_0000_0001;

#[test]
fn a_start_without_threads_for_a_moment_comes_up() {
    for skip in 0..6 {
        let rig = start_under(&format!("thread error=EAGAIN skip={skip} count=20"));
        let mut client = rig.client();
        assert!(client.is_well());
        assert_eq!(rig.injected(), 20, "{skip}");
    }
}

#[test]
fn signals_are_heard_although_the_calls_that_bring_them_fail() {
    for error in ["EINTR", "ENOBUFS", "ENOMEM"] {
        let mut rig = start_under(&format!("recv role=other error={error} every=2"));
        let mut client = rig.client();
        let config = rig.config.clone();
        for n in 0..3 {
            assert!(rig.program.reload(&config).contains("classes"), "{error}");
            rig.answers_two(&mut client, ONE + 2 * n);
        }
        rig.leave();
        drop(client);
        rig.ends_well();
        assert!(rig.injected() >= 1, "{error}");
    }
}
