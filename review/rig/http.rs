//! Minimal HTTP/1.1 for the stand-ins, with one thread for each connection.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// The number of pieces in which a slow client sends a body.
const PIECES: usize = 10;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a response's status.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns a request's method and target.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns a parameter of a request's query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().1.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(known, _)| *known == name).map(|(_, value)| value).next()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn broken(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, reason)
}

/// Reads a message; `None` if the connection ended before it.
pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.line = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("the head broke off"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut size = String::new();
            if reader.read_line(&mut size)? == 0 {
                return Err(broken("the body broke off"));
            }
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| broken("no chunk size"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(Some(message));
            }
            chunk.truncate(size);
            message.body.extend(chunk);
        }
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Returns a response's bytes.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(b"\r\n");
    bytes.extend(body);
    bytes
}

/// A listener whose connections can be closed together.
#[derive(Debug)]
pub struct Server {
    pub address: SocketAddr,
    /// While false, connections are closed as they come.
    is_open: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// Handles a request; returns the response, or `None` to close the connection.
pub type Handler = dyn Fn(Message, &mut TcpStream) -> Option<Vec<u8>> + Send + Sync;

impl Server {
    /// Serves requests at a free port.
    pub fn start(handler: Arc<Handler>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Arc::new(Self {
            address: listener.local_addr()?,
            is_open: AtomicBool::new(true),
            connections: Mutex::default(),
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_open.load(Ordering::SeqCst) {
                    let handler = Arc::clone(&handler);
                    if let Ok(copy) = stream.try_clone() {
                        accepting.connections.lock().unwrap().push(copy);
                    }
                    thread::spawn(move || serve(stream, &*handler));
                }
            }
        });
        Ok(server)
    }

    /// Accepts connections again, or closes all and accepts none.
    pub fn set_open(&self, is_open: bool) {
        self.is_open.store(is_open, Ordering::SeqCst);
        if !is_open {
            for stream in self.connections.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read(&mut reader) {
        let Some(response) = handler(request, &mut writer) else {
            break;
        };
        if writer.write_all(&response).is_err() {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}

/// A client's connection.
#[derive(Debug)]
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Opens a connection.
    pub fn open(address: SocketAddr, time_limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(time_limit))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads the response.
    pub fn call(&mut self, line: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<Message> {
        self.call_slowly(line, headers, body, Duration::ZERO)
    }

    /// Sends a request whose body takes a time to send, and reads the response.
    pub fn call_slowly(&mut self, line: &str, headers: &[(&str, &str)], body: &[u8], time: Duration) -> io::Result<Message> {
        let mut bytes = format!("{line} HTTP/1.1\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend(format!("{name}: {value}\r\n").into_bytes());
        }
        bytes.extend(format!("content-length: {}\r\n\r\n", body.len()).into_bytes());
        if time.is_zero() {
            bytes.extend(body);
            self.reader.get_mut().write_all(&bytes)?;
        } else {
            self.reader.get_mut().write_all(&bytes)?;
            for piece in body.chunks(body.len().div_ceil(PIECES)) {
                thread::sleep(time / PIECES as u32);
                self.reader.get_mut().write_all(piece)?;
            }
        }
        read(&mut self.reader)?.ok_or_else(|| broken("the connection ended"))
    }
}
