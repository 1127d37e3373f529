//! Orders to model servers, and reads of their reports.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request,
    header::{CONTENT_TYPE, HOST, HeaderValue},
};
use smol_str::SmolStr;
use wasabistall_lib::gateway::{
    catalog::ServerReport,
    event::GatewayEvent,
    exchange::ExchangeTimeouts,
    server_scheduler::{ServerOrder, ServerOrderOutcome},
    servers::GatewayServerKey,
};
use wasabistall_platform::{
    decode_report,
    headers::control_headers,
    order::{ORDER_PATH, REPORT_PATH, encode_order, order_outcome},
    response::{answers_request, decode_notice},
};

use super::{
    connections::{self, ConnectionError, ExchangeLimits, ServerConnection},
    core::GatewayCore,
};

/// Timeout of an order or of the read of a report.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Limits on orders and reads of reports.
const CALL_LIMITS: ExchangeLimits = ExchangeLimits {
    timeouts: ExchangeTimeouts::of_short(CALL_TIMEOUT),
    max_response_bytes: 1024 * 1024,
};

/// A process of a server, as known when a call to it begins.
pub(super) struct ServerProcess {
    pub(super) server: GatewayServerKey,
    pub(super) id: SmolStr,
    /// Start of the process, in Unix milliseconds.
    pub(super) started: u64,
    pub(super) address: SocketAddr,
}

fn build_request(
    method: Method,
    path: &'static str,
    process: &ServerProcess,
    body: Vec<u8>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method;
    *request.uri_mut() = hyper::Uri::from_static(path);
    *request.headers_mut() = control_headers(&process.id);
    if let Ok(host) = HeaderValue::from_str(&process.address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    request
}

/// Sends an order and reports its outcome to the reducer.
pub(super) async fn send_order(core: Arc<GatewayCore>, process: ServerProcess, order: ServerOrder) {
    let body = encode_order(&order, core.instance());
    let mut request = build_request(Method::POST, ORDER_PATH, &process, body);
    request
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let call = connections::call(
        &core.orders,
        &process.id,
        process.address,
        request,
        CALL_LIMITS,
    );
    let server = process.server;
    let outcome = match call.await {
        Ok(response) if answers_request(&response.headers) => {
            tracing::warn!(
                event = "order_answer_of_request",
                server = %process.id,
                status = %response.status
            );
            // The order's own answer is still to come on this connection.
            core.orders.remove(&process.id);
            ServerOrderOutcome::Lost
        }
        Ok(response) => {
            core.report_notice(server, process.started, decode_notice(&response.headers));
            order_outcome(response.status)
        }
        Err(failure) => {
            tracing::info!(
                event = "order_abandoned",
                server = %process.id,
                fence = order.fence,
                fault = ?failure.error,
                local_port = failure.local_port
            );
            abandoned_outcome(failure.error)
        }
    };
    core.handle_event(GatewayEvent::OrderEnded { server, outcome });
}

/// Outcome of an order that has no response.
fn abandoned_outcome(error: ConnectionError) -> ServerOrderOutcome {
    match error {
        ConnectionError::Refused | ConnectionError::Unreachable => ServerOrderOutcome::Refused,
        ConnectionError::Broken | ConnectionError::Silent | ConnectionError::TooLong => {
            ServerOrderOutcome::Lost
        }
    }
}

/// Reads a server's report and passes it to the reducer.
pub(super) async fn read_report(core: Arc<GatewayCore>, process: ServerProcess) {
    let report = fetch_report(&core, &process).await;
    let server = process.server;
    core.handle_event(GatewayEvent::ReportRead { server, report });
}

/// Checks whether a server accepts connections and passes the result to the reducer.
pub(super) async fn check_server(
    core: Arc<GatewayCore>,
    server: GatewayServerKey,
    address: SocketAddr,
) {
    let connected = ServerConnection::connect(address).await;
    let is_reachable = connected.is_ok();
    if let Ok(connection) = connected {
        connection.close();
    }
    core.handle_event(GatewayEvent::ServerChecked {
        server,
        is_reachable,
    });
}

async fn fetch_report(core: &Arc<GatewayCore>, process: &ServerProcess) -> Option<ServerReport> {
    let request = build_request(Method::GET, REPORT_PATH, process, Vec::new());
    let id = &process.id;
    let call = connections::call(&core.orders, id, process.address, request, CALL_LIMITS);
    let response = match call.await {
        Ok(response) => response,
        Err(failure) => {
            tracing::info!(event = "report_lost", server = %id, fault = ?failure.error);
            return None;
        }
    };
    let report = if response.status.is_success() {
        decode_report(&response.body)
            .inspect_err(|error| {
                tracing::warn!(event = "report_unreadable", server = %id, %error);
            })
            .ok()
    } else {
        tracing::info!(event = "report_refused", server = %id, status = %response.status);
        None
    };
    // A report names the process that answered.
    let started = report.as_ref().and_then(|report| report.started);
    core.report_notice(
        process.server,
        started.unwrap_or(process.started),
        decode_notice(&response.headers),
    );
    report
}
