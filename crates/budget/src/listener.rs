//! Listening sockets whose connections have receive queues of a known size.

use socket2::{Domain, Protocol, Socket, Type};
use std::{io, net::SocketAddr};
use tokio::net::TcpListener;

/// The receive buffer that is requested for each connection, in bytes.
///
/// Without a fixed size, the kernel lets the queue of a connection whose body waits for
/// memory grow to megabytes.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// The most bytes that the kernel queues with such a buffer.
///
/// Linux doubles the requested size for its own overhead.
pub const RECEIVE_QUEUE_BYTES: usize = 2 * RECEIVE_BUFFER_BYTES;

/// The number of connections that wait to be accepted; each may hold a receive queue.
const BACKLOG: i32 = 256;

/// Binds a listener whose address can be bound again right after a restart.
///
/// # Errors
///
/// Returns the operating system's error.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    // Accepted connections inherit the size, which must be set before they are opened.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}
