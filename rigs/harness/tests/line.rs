//! The line: what it does to one way, and that it does it to nobody else.

use foldmux_harness::line::{Line, Way};
use foldmux_harness::who::Who;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(20);

struct Ends {
    line: Line,
    near: TcpStream,
    far: TcpStream,
}

fn ends() -> Ends {
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let line = Line::to("test", target.local_addr().unwrap(), &Who::default());
    let near = TcpStream::connect(line.address).unwrap();
    let far = target.accept().unwrap().0;
    for end in [&near, &far] {
        end.set_read_timeout(Some(PATIENCE)).unwrap();
    }
    Ends { line, near, far }
}

fn read(end: &mut TcpStream, n: usize) -> Vec<u8> {
    let mut bytes = vec![0; n];
    end.read_exact(&mut bytes).unwrap();
    bytes
}

/// Whether nothing has come, as far as one can see without waiting.
fn nothing(end: &mut TcpStream) -> bool {
    end.set_nonblocking(true).unwrap();
    let seen = end.peek(&mut [0]);
    end.set_nonblocking(false).unwrap();
    matches!(seen, Err(e) if e.kind() == ErrorKind::WouldBlock)
}

#[test]
fn a_cut_of_one_way_holds_bytes_back_and_lets_the_other_way_go_on() {
    let Ends {
        line,
        mut near,
        mut far,
    } = ends();
    line.all().cut(Way::There);
    near.write_all(b"held").unwrap();
    // Ten times to and fro by the open way, of which each is later than what is held.
    for _ in 0..10 {
        far.write_all(b"back").unwrap();
        assert_eq!(read(&mut near, 4), b"back");
        assert!(nothing(&mut far));
    }
    line.all().heal();
    assert_eq!(read(&mut far, 4), b"held");
    // The end of a connection is held as well.
    line.all().cut(Way::There);
    drop(near);
    far.write_all(b"x").unwrap();
    assert!(nothing(&mut far));
    line.all().heal();
    assert_eq!(far.read(&mut [0; 8]).unwrap_or(0), 0);
}

#[test]
fn a_connection_made_while_the_way_there_is_cut_comes_up_when_it_is_healed() {
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let line = Line::to("test", target.local_addr().unwrap(), &Who::default());
    line.all().cut(Way::There);
    let mut near = TcpStream::connect(line.address).unwrap();
    near.write_all(b"late").unwrap();
    target.set_nonblocking(true).unwrap();
    assert!(matches!(target.accept(), Err(e) if e.kind() == ErrorKind::WouldBlock));
    target.set_nonblocking(false).unwrap();
    line.all().heal();
    let mut far = target.accept().unwrap().0;
    assert_eq!(read(&mut far, 4), b"late");
}

#[test]
fn bytes_are_torn_after_so_many_and_repeated_once() {
    let Ends {
        line,
        mut near,
        mut far,
    } = ends();
    line.all().repeat(Way::There, 3);
    near.write_all(b"abcdef").unwrap();
    assert_eq!(read(&mut far, 9), b"abcdefdef");
    near.write_all(b"gh").unwrap();
    assert_eq!(read(&mut far, 2), b"gh");
    line.all().tear(Way::Back, 4);
    far.write_all(b"123456").unwrap();
    assert_eq!(read(&mut near, 4), b"1234");
    assert!(
        matches!(near.read(&mut [0; 8]), Ok(0) | Err(_)),
        "the rest is torn off"
    );
}

#[test]
fn a_reset_breaks_what_is_open_and_a_target_that_is_gone_is_felt() {
    let Ends {
        line,
        mut near,
        mut far,
    } = ends();
    near.write_all(b"x").unwrap();
    read(&mut far, 1);
    line.all().reset();
    assert!(matches!(near.read(&mut [0; 8]), Ok(0) | Err(_)));
    assert!(matches!(far.read(&mut [0; 8]), Ok(0) | Err(_)));
    let gone = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    line.leads_to(gone);
    let mut near = TcpStream::connect(line.address).unwrap();
    near.set_read_timeout(Some(PATIENCE)).unwrap();
    assert!(matches!(near.read(&mut [0; 8]), Ok(0) | Err(_)));
}

#[test]
fn what_is_delayed_comes_in_order_and_not_before_its_time() {
    let Ends {
        line,
        mut near,
        mut far,
    } = ends();
    let delay = Duration::from_millis(30);
    line.all().delay(Way::There, delay);
    let began = std::time::Instant::now();
    near.write_all(b"one").unwrap();
    near.write_all(b"two").unwrap();
    assert_eq!(read(&mut far, 6), b"onetwo");
    assert!(began.elapsed() >= delay);
}
