//! Accept loops and HTTP/1 serving for the gateway's listeners.

use std::{convert::Infallible, future::Future, time::Duration};

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Idle connections are closed after this time; those of callers' requests have their own limit.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Accepts connections forever and passes each to `on_connect`.
async fn accept(listener: &TcpListener, on_connect: impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => on_connect(stream),
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts connections until `closed` and passes each to `on_connect`. Then passes on those that wait in
/// the accept queue, whose clients may have sent requests already, and closes the listener.
pub(super) async fn accept_until(
    listener: TcpListener,
    on_connect: impl Fn(TcpStream),
    closed: impl Future<Output = ()>,
) {
    tokio::select! {
        () = accept(&listener, &on_connect) => {}
        () = closed => {}
    }
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        on_connect(stream);
    }
}

/// Serves requests whose responses are buffered completely.
pub(super) async fn serve_requests<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    accept(&listener, |stream| {
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let response = handle(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let result = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .auto_date_header(false)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = result {
                tracing::debug!(%error, "connection failed");
            }
        });
    })
    .await;
}
