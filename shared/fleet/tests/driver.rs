//! The thread with a toy part, on real links.

use crossbeam_channel::{bounded, unbounded, Receiver, Sender};
use foldmux_fleet::{Builder, Fault, Port, Refused, Setup, Sink};
use foldmux_peers::Bounds;
use foldmux_replicas::{Effect, Effects, Peer, StateMachine, Time};
use serde::{Deserialize, Serialize};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const LONG: Duration = Duration::from_secs(15);

#[derive(Serialize, Deserialize)]
enum Message {
    Ping(u64),
    Pong(u64),
    Fall,
    /// Said to oneself again for ever.
    Storm,
}

enum Command {
    Ping(Peer, u64),
    Wake(Time),
    Fall(Peer),
    Storm,
    /// Meets the other end, and waits until that is dropped.
    Block(Receiver<()>),
}

#[derive(Debug, PartialEq)]
enum Event {
    Pong(u64),
    Woke,
    Peer(Peer, bool),
    Blocked,
    Gone,
}

#[derive(Default)]
struct Toy {
    due: Option<Time>,
}

impl StateMachine for Toy {
    type Message = Message;
    type Command = Command;
    type Event = Event;

    fn on_message(&mut self, _: Time, from: &Peer, message: Message, out: &mut Effects<Toy>) {
        match message {
            Message::Ping(n) => out.push(Effect::Send {
                to: from.clone(),
                message: Message::Pong(n),
            }),
            Message::Pong(n) => out.push(Effect::Emit(Event::Pong(n))),
            Message::Fall => panic!("it fell"),
            Message::Storm => out.push(Effect::Send {
                to: from.clone(),
                message: Message::Storm,
            }),
        }
    }

    fn on_command(&mut self, now: Time, ask: Command, out: &mut Effects<Toy>) {
        match ask {
            Command::Ping(to, n) => out.push(Effect::Send {
                to,
                message: Message::Ping(n),
            }),
            Command::Wake(after) => self.due = Some(now + after),
            Command::Fall(to) => out.push(Effect::Send {
                to,
                message: Message::Fall,
            }),
            Command::Storm => out.push(Effect::Send {
                to: peer(0),
                message: Message::Storm,
            }),
            Command::Block(gate) => {
                out.push(Effect::Emit(Event::Blocked));
                let _ = gate.recv().and_then(|()| gate.recv());
            }
        }
    }

    fn on_peer_status(&mut self, _: Time, peer: &Peer, alive: bool, out: &mut Effects<Toy>) {
        out.push(Effect::Emit(Event::Peer(peer.clone(), alive)));
    }

    fn on_tick(&mut self, now: Time, out: &mut Effects<Toy>) {
        assert!(self.due.take().is_some_and(|due| due <= now));
        out.push(Effect::Emit(Event::Woke));
    }

    fn next_tick(&self) -> Option<Time> {
        self.due
    }
}

struct To(Sender<Event>);

impl Sink<Event> for To {
    fn told(&self, told: Event) {
        self.0.send(told).unwrap();
    }

    fn gone(&self) {
        let _ = self.0.send(Event::Gone);
    }
}

fn peer(n: usize) -> Peer {
    Peer::new(&format!("n{n}"))
}

/// A loopback address by process and test, with a free port.
fn address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (process, next) = (std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
    let ip = [
        127,
        128 + (process >> 8 & 63) as u8,
        process as u8,
        1 + (next % 250) as u8,
    ];
    TcpListener::bind(SocketAddr::from((ip, 0)))
        .and_then(|l| l.local_addr())
        .unwrap()
}

struct One {
    fleet: foldmux_fleet::Fleet,
    ports: Vec<Port<Command>>,
    told: Vec<Receiver<Event>>,
    faults: Receiver<Fault>,
    views: foldmux_fleet::Views,
}

/// Process `n` of those at `all`, with two toys.
fn start(n: usize, all: &[SocketAddr]) -> One {
    let peers = all
        .iter()
        .enumerate()
        .map(|(n, address)| (peer(n), *address))
        .collect();
    let (listen, bounds) = (all[n], Bounds::default());
    let mut builder = Builder::new(Setup {
        name: peer(n),
        listen,
        peers,
        key: [3; 32],
        seed: n as u64,
        queue: 8,
        bounds,
    });
    let (mut ports, mut told) = (Vec::new(), Vec::new());
    for byte in [4, 9] {
        let (sender, receiver) = unbounded();
        ports.push(builder.add(byte, Toy::default(), To(sender)));
        told.push(receiver);
    }
    let (sender, faults) = bounded(8);
    let views = builder.views();
    One {
        fleet: builder.start(sender).unwrap(),
        ports,
        told,
        faults,
        views,
    }
}

impl One {
    fn wait(&self, part: usize, wanted: Event) {
        let until = Instant::now() + LONG;
        while self.told[part].recv_deadline(until).expect("it never came") != wanted {}
    }
}

#[test]
fn parts_speak_to_their_like_to_themselves_and_by_time() {
    let all = [address(), address()];
    let (a, b) = (start(0, &all), start(1, &all));
    a.wait(0, Event::Peer(peer(1), true));
    b.wait(0, Event::Peer(peer(0), true));
    // Sent once: a dial from the other end may still replace the link, and take it with it.
    let asked = |n| a.ports[0].ask(Command::Ping(peer(1), n)).is_ok();
    let mut n = 0;
    while a.told[0].recv_timeout(Duration::from_millis(50)) != Ok(Event::Pong(n)) {
        n += 1;
        assert!(asked(n));
    }
    assert!(
        a.told[1]
            .try_iter()
            .all(|told| told == Event::Peer(peer(1), true)),
        "another part heard of it"
    );
    let unlinked = a.fleet.links().counts().unlinked.get();
    a.ports[1].ask(Command::Ping(peer(0), 7)).unwrap();
    a.wait(1, Event::Pong(7));
    assert_eq!(
        a.fleet.links().counts().unlinked.get(),
        unlinked,
        "to itself by a link"
    );
    a.ports[1].ask(Command::Wake(2_000)).unwrap();
    a.wait(1, Event::Woke);
    drop(b);
    a.wait(0, Event::Peer(peer(1), false));
}

#[test]
fn members_can_say_that_a_linked_peer_is_dead_and_a_new_session_is_alive() {
    let all = [address(), address()];
    let (a, b) = (start(0, &all), start(1, &all));
    a.wait(0, Event::Peer(peer(1), true));
    a.views.say(&peer(1), false);
    a.ports[0].ask(Command::Wake(0)).unwrap();
    a.wait(0, Event::Peer(peer(1), false));
    drop(b);
    let _b = start(1, &all);
    a.wait(0, Event::Peer(peer(1), true));
}

#[test]
fn a_part_that_panics_is_out_of_service_and_told_and_the_others_go_on() {
    let one = start(0, &[address()]);
    one.ports[0].ask(Command::Fall(peer(0))).unwrap();
    one.wait(0, Event::Gone);
    assert_eq!(
        one.faults.recv_timeout(LONG),
        Ok(Fault {
            part: 4,
            why: "it fell".to_string()
        })
    );
    assert_eq!(one.ports[0].ask(Command::Wake(0)), Err(Refused::Gone));
    assert_eq!(one.fleet.counts().faults.load(Ordering::Relaxed), 1);
    one.ports[1].ask(Command::Ping(peer(0), 3)).unwrap();
    one.wait(1, Event::Pong(3));
}

#[test]
fn a_full_queue_refuses_at_once_and_counts() {
    let one = start(0, &[address()]);
    let (gate, blocked) = bounded(0);
    one.ports[0].ask(Command::Block(blocked.clone())).unwrap();
    gate.send(()).unwrap();
    // While the thread stands in that ask, eight more wait, and no ninth.
    (0..8).for_each(|_| one.ports[0].ask(Command::Block(blocked.clone())).unwrap());
    assert_eq!(one.ports[0].ask(Command::Wake(0)), Err(Refused::Full));
    assert_eq!(one.ports[1].ask(Command::Wake(0)), Err(Refused::Full));
    assert_eq!((one.ports[0].refused(), one.ports[1].refused()), (1, 1));
    drop(gate);
    one.wait(0, Event::Blocked);
    let port = one.ports[0].clone();
    one.fleet.end(LONG);
    assert_eq!(port.ask(Command::Wake(0)), Err(Refused::Gone));
    // All that was asked before the end was carried out, and then what is owed no more is said.
    let told: Vec<Event> = one.told[0].try_iter().collect();
    assert!(
        told.len() == 9 && told.last() == Some(&Event::Gone),
        "{told:?}"
    );
}

#[test]
fn a_part_that_speaks_to_itself_for_ever_does_not_keep_the_others_from_their_turn() {
    let one = start(0, &[address()]);
    one.ports[0].ask(Command::Storm).unwrap();
    one.ports[1].ask(Command::Wake(500)).unwrap();
    one.wait(1, Event::Woke);
    one.ports[1].ask(Command::Ping(peer(0), 3)).unwrap();
    one.wait(1, Event::Pong(3));
}

#[test]
fn what_was_sent_before_the_end_arrives() {
    let all = [address(), address()];
    let (a, b) = (start(0, &all), start(1, &all));
    a.wait(0, Event::Peer(peer(1), true));
    b.wait(0, Event::Peer(peer(0), true));
    // The last thing said before leaving: the other falls by it.
    while b.faults.is_empty() {
        a.ports[1].ask(Command::Fall(peer(1))).unwrap();
        if b.faults.recv_timeout(Duration::from_millis(20)).is_ok() {
            break;
        }
    }
    a.ports[0].ask(Command::Fall(peer(1))).unwrap();
    a.fleet.end(LONG);
    assert_eq!(b.faults.recv_timeout(LONG).map(|fault| fault.part), Ok(4));
}
