//! Listeners of the gateway.

use std::{convert::Infallible, future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// Pause after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Idle connections of callers' questions and of peers are closed after this time.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// Listens on an address.
pub(super) fn bind(address: SocketAddr, what: &str) -> Result<TcpListener> {
    let listen = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
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

/// Accepts connections for ever and hands each to `take`.
pub(super) async fn accept(listener: TcpListener, take: impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => take(stream),
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves small whole answers on each connection.
pub(super) async fn serve_whole<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    accept(listener, |stream| {
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let answer = handle(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIME)
                .auto_date_header(false)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                tracing::debug!(%error, "connection ended");
            }
        });
    })
    .await;
}
