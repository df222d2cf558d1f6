//! Faults of the machine while the program starts, hears signals and leaves: it comes up, and goes in order.

use fault_injection::start_under;

mod common;
#[path = "common/fault_injection.rs"]
mod fault_injection;
#[path = "common/test_proxy.rs"]
mod test_proxy;

const ONE: u64 = 0x1111_0000_0000_0001;

#[test]
fn a_start_without_threads_for_a_moment_comes_up() {
    for skip in 0..6 {
        let proxy = start_under(&format!("thread error=EAGAIN skip={skip} count=20"));
        let mut client = proxy.client();
        assert!(client.is_well());
        assert_eq!(proxy.injected(), 20, "{skip}");
    }
}

#[test]
fn signals_are_heard_although_the_calls_that_bring_them_fail() {
    for error in ["EINTR", "ENOBUFS", "ENOMEM"] {
        let mut proxy = start_under(&format!("recv role=other error={error} every=2"));
        let mut client = proxy.client();
        let config = proxy.config.clone();
        for n in 0..3 {
            assert!(proxy.program.reload(&config).contains("classes"), "{error}");
            proxy.answers_two(&mut client, ONE + 2 * n);
        }
        proxy.leave();
        drop(client);
        proxy.ends_well();
        assert!(proxy.injected() >= 1, "{error}");
    }
}
