//! Listening sockets.

use std::net::SocketAddr;

use eyre::{Result, WrapErr};
use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait in the accept queue.
const LISTEN_BACKLOG: u32 = 1_024;

/// Binds a listener; `clients` says in the error message whom it serves.
pub(crate) fn bind(address: SocketAddr, clients: &str) -> Result<TcpListener> {
    let listen = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        // Accepted connections inherit the option; Nagle's algorithm would delay small events.
        socket.set_nodelay(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    listen().wrap_err_with(|| {
        format!(
            "cannot listen for {clients} on {address}\n    hint: is another process using the port?"
        )
    })
}
