//! The functions that take the place of the C library's. Each asks the schedule, then makes the system call.
//!
//! # Safety
//!
//! Each has the contract of the function that it stands for: its caller vouches for the pointers, which go to the kernel
//! unchanged.
#![allow(clippy::missing_safety_doc)]

use crate::roles;
use crate::schedule::{Call, Effect, Role};
use crate::state::effect;
use libc::{c_int, c_long, c_void, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::mem::transmute;

type Body = extern "C" fn(*mut c_void) -> *mut c_void;
type Create = unsafe extern "C" fn(
    *mut libc::pthread_t,
    *const libc::pthread_attr_t,
    Body,
    *mut c_void,
) -> c_int;

const NANOSECONDS: i64 = 1_000_000_000;

/// Sets the error number; what a failed call returns.
unsafe fn failed(error: c_int) -> c_int {
    *libc::__errno_location() = error;
    -1
}

/// The error with which the schedule has this call fail.
fn failure(call: Call, role: Role) -> Option<c_int> {
    match effect(call, role) {
        Some(Effect::Fail(error)) => Some(error),
        _ => None,
    }
}

#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, to: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match effect(Call::Recv, roles::of(fd)) {
        Some(Effect::Fail(error)) => return failed(error) as ssize_t,
        Some(Effect::Short) => length.min(1),
        _ => length,
    };
    let none = std::ptr::null_mut::<c_void>();
    libc::syscall(libc::SYS_recvfrom, fd, to, length, flags, none, none) as ssize_t
}

#[no_mangle]
pub unsafe extern "C" fn send(
    fd: c_int,
    from: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let length = match effect(Call::Send, roles::of(fd)) {
        Some(Effect::Fail(error)) => return failed(error) as ssize_t,
        Some(Effect::Short) => length.min(1),
        _ => length,
    };
    let none = std::ptr::null_mut::<c_void>();
    libc::syscall(libc::SYS_sendto, fd, from, length, flags, none, 0) as ssize_t
}

#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    peer: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(error) = failure(Call::Accept, Role::Other) {
        return failed(error);
    }
    let accepted = libc::syscall(libc::SYS_accept4, fd, peer, length, flags) as c_int;
    roles::set(accepted, Role::Client);
    accepted
}

#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(error) = failure(Call::Socket, Role::Other) {
        return failed(error);
    }
    let made = libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int;
    roles::set(made, Role::Other);
    made
}

#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, peer: *const sockaddr, length: socklen_t) -> c_int {
    roles::set(fd, Role::Server);
    if let Some(error) = failure(Call::Connect, Role::Server) {
        return failed(error);
    }
    libc::syscall(libc::SYS_connect, fd, peer, length) as c_int
}

#[no_mangle]
pub unsafe extern "C" fn setsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    if let Some(error) = failure(Call::SetSockOpt, roles::of(fd)) {
        return failed(error);
    }
    libc::syscall(libc::SYS_setsockopt, fd, level, name, value, length) as c_int
}

#[no_mangle]
pub unsafe extern "C" fn shutdown(fd: c_int, how: c_int) -> c_int {
    if let Some(error) = failure(Call::Shutdown, roles::of(fd)) {
        return failed(error);
    }
    libc::syscall(libc::SYS_shutdown, fd, how) as c_int
}

#[no_mangle]
pub unsafe extern "C" fn poll(
    set: *mut libc::pollfd,
    count: libc::nfds_t,
    time_out: c_int,
) -> c_int {
    if let Some(error) = failure(Call::Poll, Role::Other) {
        return failed(error);
    }
    // Not every machine has the system call `poll`.
    let time = timespec {
        tv_sec: (time_out / 1_000).into(),
        tv_nsec: c_long::from(time_out % 1_000) * 1_000_000,
    };
    let time = if time_out < 0 {
        std::ptr::null()
    } else {
        &raw const time
    };
    libc::syscall(
        libc::SYS_ppoll,
        set,
        count,
        time,
        std::ptr::null::<c_void>(),
        0,
    ) as c_int
}

#[no_mangle]
pub unsafe extern "C" fn pthread_create(
    thread: *mut libc::pthread_t,
    attributes: *const libc::pthread_attr_t,
    body: Body,
    argument: *mut c_void,
) -> c_int {
    if let Some(error) = failure(Call::Thread, Role::Other) {
        return error;
    }
    let next = libc::dlsym(libc::RTLD_NEXT, c"pthread_create".as_ptr());
    if next.is_null() {
        return libc::EAGAIN;
    }
    transmute::<*mut c_void, Create>(next)(thread, attributes, body, argument)
}

#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, to: *mut timespec) -> c_int {
    let result = libc::syscall(libc::SYS_clock_gettime, clock, to) as c_int;
    if result != 0 || clock != libc::CLOCK_REALTIME {
        return result;
    }
    if let Some(Effect::Step(by_ms)) = effect(Call::Clock, Role::Other) {
        let now = &mut *to;
        let total = now.tv_sec * NANOSECONDS + now.tv_nsec + by_ms * 1_000_000;
        now.tv_sec = total.div_euclid(NANOSECONDS);
        now.tv_nsec = total.rem_euclid(NANOSECONDS);
    }
    result
}
