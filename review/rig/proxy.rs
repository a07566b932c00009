//! A link between a node and the store, whose connections can be reset.

use crate::note;
use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

/// The link.
#[derive(Debug)]
pub struct Link {
    pub address: SocketAddr,
    /// Whether the connection with the next call is reset.
    is_resetting: Arc<AtomicBool>,
}

impl Link {
    /// Forwards connections to an address.
    pub fn start(to: &str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let link = Arc::new(Self {
            address: listener.local_addr()?,
            is_resetting: Arc::default(),
        });
        let accepting = Arc::clone(&link);
        let to = to.to_owned();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if let Ok(far) = TcpStream::connect(&to) {
                    let _ = accepting.join(&near, &far);
                }
            }
        });
        Ok(link)
    }

    fn join(&self, near: &TcpStream, far: &TcpStream) -> io::Result<()> {
        for stream in [near, far] {
            stream.set_nodelay(true)?;
        }
        for (from, to, is_call) in [(near, far, true), (far, near, false)] {
            let (mut from, mut to) = (from.try_clone()?, to.try_clone()?);
            let is_resetting = Arc::clone(&self.is_resetting);
            thread::spawn(move || {
                let mut buffer = [0; 16 << 10];
                while let Ok(length @ 1..) = from.read(&mut buffer) {
                    if is_call && is_resetting.swap(false, Ordering::SeqCst) {
                        note("link: a connection to the store is reset");
                        break;
                    }
                    if to.write_all(&buffer[..length]).is_err() {
                        break;
                    }
                }
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
            });
        }
        Ok(())
    }

    /// Resets the connection on which the next call is sent.
    pub fn reset(&self) {
        self.is_resetting.store(true, Ordering::SeqCst);
    }
}
