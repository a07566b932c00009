//! A link between a node and the store, whose connections can be reset, once or for a time.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A connection over the link.
#[derive(Debug)]
struct Connection {
    near: TcpStream,
    far: TcpStream,
    /// The call in progress.
    call: Arc<Mutex<Option<String>>>,
}

/// The link.
#[derive(Debug)]
pub struct Link {
    pub address: SocketAddr,
    connections: Mutex<Vec<Connection>>,
    /// While true, connections end as they come.
    is_down: AtomicBool,
}

impl Link {
    /// Forwards connections to an address.
    pub fn start(to: &str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let link = Arc::new(Self {
            address: listener.local_addr()?,
            connections: Mutex::default(),
            is_down: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&link);
        let to = to.to_owned();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if accepting.is_down.load(Ordering::SeqCst) {
                    continue;
                }
                if let Ok(far) = TcpStream::connect(&to) {
                    let _ = accepting.join(near, far);
                }
            }
        });
        Ok(link)
    }

    fn join(&self, near: TcpStream, far: TcpStream) -> io::Result<()> {
        let call: Arc<Mutex<Option<String>>> = Arc::default();
        for (from, to, is_call) in [(&near, &far, true), (&far, &near, false)] {
            from.set_nodelay(true)?;
            let (mut from, mut to) = (from.try_clone()?, to.try_clone()?);
            let call = Arc::clone(&call);
            thread::spawn(move || {
                let mut buffer = [0; 16 << 10];
                while let Ok(length @ 1..) = from.read(&mut buffer) {
                    let line = String::from_utf8_lossy(&buffer[..length.min(200)]).into_owned();
                    *call.lock().unwrap() = is_call.then_some(line);
                    if to.write_all(&buffer[..length]).is_err() {
                        break;
                    }
                }
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
            });
        }
        self.connections.lock().unwrap().push(Connection { near, far, call });
        Ok(())
    }

    /// Ends all connections and those that come, or lets new ones pass again.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        if is_down {
            for connection in self.connections.lock().unwrap().drain(..) {
                let _ = connection.far.shutdown(Shutdown::Both);
                let _ = connection.near.shutdown(Shutdown::Both);
            }
        }
    }

    /// Ends the connection with a call in progress whose first line contains a text; waits for
    /// one, and returns whether there was one.
    pub fn reset_call(&self, text: &str, time_limit: Duration) -> bool {
        let begin = Instant::now();
        while begin.elapsed() < time_limit {
            for connection in self.connections.lock().unwrap().iter() {
                let mut call = connection.call.lock().unwrap();
                if call.as_ref().is_some_and(|call| call.contains(text)) {
                    *call = None;
                    let _ = connection.far.shutdown(Shutdown::Both);
                    let _ = connection.near.shutdown(Shutdown::Both);
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
        false
    }
}
