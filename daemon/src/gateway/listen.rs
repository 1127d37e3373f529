//! Listeners of the gateway.

use std::{convert::Infallible, future::Future, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Idle connections of callers' questions and of peers are closed after this time.
const IDLE_TIME: Duration = Duration::from_secs(20);

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
