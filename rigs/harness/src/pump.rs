//! Carries a line's bytes, one thread for each way of a connection.

use crate::line::{Shared, STACK};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of one piece, and so the most that a way holds back itself; the rest waits in the kernel's buffers.
const PIECE: usize = 16 * 1024;
const DIAL: Duration = Duration::from_secs(5);

/// Dials and carries until one end is gone, or the line breaks the connection.
pub(crate) fn pass(
    shared: &Arc<Shared>,
    number: u64,
    dialler: Option<usize>,
    near: TcpStream,
    target: SocketAddr,
) {
    let one = |way| One {
        shared: shared.clone(),
        number,
        dialler,
        way,
    };
    // Nothing comes up at the other side while the way there is cut.
    if !one(0).open() {
        return;
    }
    let Ok(far) = TcpStream::connect_timeout(&target, DIAL) else {
        return;
    };
    let end = far.local_addr().ok();
    if let (Some(end), Some(_)) = (end, dialler) {
        shared.who.passes(end, dialler);
    }
    let both = (near.try_clone(), far.try_clone());
    if let ((Ok(near_too), Ok(far_too)), true) = (both, shared.dialled(number, &far)) {
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let back = one(1);
        let back = thread::Builder::new()
            .stack_size(STACK)
            .spawn(move || back.carry(far_too, near_too));
        if let Ok(back) = back {
            one(0).carry(near, far);
            let _ = back.join();
        }
    }
    end.iter().for_each(|end| shared.who.passes(*end, None));
}

/// One way of a connection.
struct One {
    shared: Arc<Shared>,
    number: u64,
    dialler: Option<usize>,
    way: usize,
}

impl One {
    /// Waits out a cut; false where the connection is no more.
    fn open(&self) -> bool {
        let state = self.shared.state();
        let shut = |s: &mut crate::line::State| {
            !s.over && s.is_held(self.number) && s.now(self.dialler, self.way).1
        };
        let state = self
            .shared
            .changed
            .wait_while(state, shut)
            .unwrap_or_else(PoisonError::into_inner);
        !state.over && state.is_held(self.number)
    }

    /// Waits until what came then may go on.
    fn late(&self, came: Instant) -> bool {
        let mut state = self.shared.state();
        loop {
            let left = (came + state.now(self.dialler, self.way).0)
                .saturating_duration_since(Instant::now());
            if left.is_zero() || state.over || !state.is_held(self.number) {
                return !state.over && state.is_held(self.number);
            }
            let waited = self.shared.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn carry(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut piece = vec![0; PIECE];
        loop {
            let n = from.read(&mut piece).unwrap_or(0);
            if !(self.late(Instant::now()) && self.open()) {
                return;
            }
            if n == 0 {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            let (keep, again) = self.spoil(n);
            let torn = keep < n;
            let repeated = &piece[n - again.min(n)..n];
            let sent = to.write_all(&piece[..keep]).and_then(|()| match torn {
                true => Ok(()),
                false => to.write_all(repeated),
            });
            if sent.is_err() || torn {
                self.shared.state().drop_connection(self.number);
                self.shared.changed.notify_all();
                return;
            }
        }
    }

    /// How much of this piece goes on, and how much is sent twice, as the rules for all and for this dialler say. Each is done once.
    fn spoil(&self, n: usize) -> (usize, usize) {
        let (mut state, mut keep, mut again) = (self.shared.state(), n, 0);
        let keys = [None, self.dialler];
        let of = if self.dialler.is_some() {
            &keys[..]
        } else {
            &keys[..1]
        };
        for key in of {
            let rule = state.rule(*key);
            again = again.max(std::mem::take(&mut rule.again[self.way]));
            match rule.tear[self.way] {
                Some(left) if left < n => {
                    rule.tear[self.way] = None;
                    keep = keep.min(left);
                }
                Some(left) => rule.tear[self.way] = Some(left - n),
                None => {}
            }
        }
        (keep, again)
    }
}
