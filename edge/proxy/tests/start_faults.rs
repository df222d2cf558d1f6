//! Failing system calls while the proxy starts, receives signals and shuts down: it starts, reloads and exits cleanly.

use fault_injection::start_with_faults;

mod common;
#[path = "common/fault_injection.rs"]
mod fault_injection;
#[path = "common/test_proxy.rs"]
mod test_proxy;

const OBJECT: u64 = 0x1111_0000_0000_0001;

#[test]
fn a_start_succeeds_if_threads_cannot_be_created_for_a_while() {
    for skip in 0..6 {
        let proxy = start_with_faults(&format!("thread error=EAGAIN skip={skip} count=20"));
        let mut client = proxy.client();
        assert!(client.is_well());
        assert_eq!(proxy.injected_faults(), 20, "{skip}");
    }
}

#[test]
fn signals_are_handled_although_the_calls_that_read_them_fail() {
    for error in ["EINTR", "ENOBUFS", "ENOMEM"] {
        let mut proxy = start_with_faults(&format!("recv role=other error={error} every=2"));
        let mut client = proxy.client();
        let config = proxy.config.clone();
        for n in 0..3 {
            assert!(proxy.process.reload(&config).contains("classes"), "{error}");
            proxy.assert_serves_two_requests(&mut client, OBJECT + 2 * n);
        }
        proxy.start_drain();
        drop(client);
        proxy.assert_clean_exit();
        assert!(proxy.injected_faults() >= 1, "{error}");
    }
}
