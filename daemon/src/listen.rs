//! Listening sockets.

use std::net::SocketAddr;

use eyre::{Result, WrapErr};
use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Listens on an address; `what` names the callers in the error.
pub(crate) fn bind(address: SocketAddr, what: &str) -> Result<TcpListener> {
    let listen = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        // Accepted connections inherit it; events are small and must not wait for each other.
        socket.set_nodelay(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    listen().wrap_err_with(|| {
        format!(
            "cannot listen for {what} on {address}\n    hint: is another process using the port?"
        )
    })
}
