//! A listener whose connections are each served on a thread; all of it ends when it is dropped.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

pub struct Server {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    over: AtomicBool,
    sockets: Mutex<HashMap<u64, TcpStream>>,
}

impl Server {
    /// Serves on a port that is free.
    pub fn start(serve: impl Fn(&TcpStream) + Send + Sync + 'static) -> Server {
        Server::on(TcpListener::bind("127.0.0.1:0").expect("a port"), serve)
    }

    pub fn on(listener: TcpListener, serve: impl Fn(&TcpStream) + Send + Sync + 'static) -> Server {
        let address = listener.local_addr().expect("an address");
        let (shared, serve) = (Arc::new(Shared::default()), Arc::new(serve));
        let own = shared.clone();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                if own.over.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (own, serve, number) = (own.clone(), serve.clone(), number as u64);
                if let Ok(held) = stream.try_clone() {
                    own.sockets.lock().unwrap().insert(number, held);
                }
                let spawned = thread::Builder::new()
                    .stack_size(192 * 1024)
                    .spawn(move || {
                        let _ = stream.set_nodelay(true);
                        serve(&stream);
                        let _ = stream.shutdown(Shutdown::Both);
                        own.sockets.lock().unwrap().remove(&number);
                    });
                drop(spawned);
            }
        });
        Server { address, shared }
    }

    /// Open connections.
    pub fn open(&self) -> usize {
        self.shared.sockets.lock().unwrap().len()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
        self.shared
            .sockets
            .lock()
            .unwrap()
            .values()
            .for_each(|s| drop(s.shutdown(Shutdown::Both)));
        drop(TcpStream::connect(self.address));
    }
}
