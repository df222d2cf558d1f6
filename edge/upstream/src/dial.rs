//! How long one dial is waited for before it is begun anew.

use std::io;
use std::time::Duration;

/// How a dial's time is shared by its tries, in eighths. A connection whose first packet was lost comes up a second
/// later or never, and a new one most likely at once; each try is longer than the one before, for a far or busy cache.
const TRIES: [u32; 3] = [1, 2, 5];

/// Dials, and dials anew where nothing has come up early. All tries together take `time_out`.
pub(crate) fn dial<T>(
    time_out: Duration,
    mut connect: impl FnMut(Duration) -> io::Result<T>,
) -> io::Result<T> {
    let mut ended = Err(io::ErrorKind::TimedOut.into());
    for eighths in TRIES {
        ended = connect((time_out * eighths / 8).max(Duration::from_nanos(1)));
        if !ended.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::TimedOut) {
            break;
        }
    }
    ended
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_dial_that_comes_up_late_is_begun_anew_within_its_time_and_a_refused_one_is_not() {
        let late = || io::Error::from(io::ErrorKind::TimedOut);
        let ms = Duration::from_millis;
        let mut tries = Vec::new();
        let second = dial(ms(400), |part| {
            tries.push(part);
            if tries.len() == 2 {
                Ok(7)
            } else {
                Err(late())
            }
        });
        assert_eq!((second.unwrap(), &tries[..]), (7, &[ms(50), ms(100)][..]));
        let mut all = Duration::ZERO;
        let never = dial::<()>(ms(400), |part| {
            all += part;
            Err(late())
        });
        assert_eq!((never.unwrap_err().kind(), all), (io::ErrorKind::TimedOut, ms(400)));
        let mut count = 0;
        let refused = dial::<()>(ms(400), |_| {
            count += 1;
            Err(io::ErrorKind::ConnectionRefused.into())
        });
        assert_eq!((refused.unwrap_err().kind(), count), (io::ErrorKind::ConnectionRefused, 1));
    }
}
