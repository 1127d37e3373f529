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
    response::answers_request,
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

fn build_request(
    method: Method,
    path: &'static str,
    id: &str,
    address: SocketAddr,
    body: Vec<u8>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method;
    *request.uri_mut() = hyper::Uri::from_static(path);
    *request.headers_mut() = control_headers(id);
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    request
}

/// Sends an order and reports its outcome to the reducer.
pub(super) async fn send_order(
    core: Arc<GatewayCore>,
    server: GatewayServerKey,
    id: SmolStr,
    address: SocketAddr,
    order: ServerOrder,
) {
    let body = encode_order(&order, core.instance());
    let mut request = build_request(Method::POST, ORDER_PATH, &id, address, body);
    request
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let call = connections::call(&core.orders, &id, address, request, CALL_LIMITS);
    let outcome = match call.await {
        Ok(response) if answers_request(&response.headers) => {
            tracing::warn!(event = "order_answer_of_request", server = %id, status = %response.status);
            // The order's own answer is still to come on this connection.
            core.orders.remove(&id);
            ServerOrderOutcome::Lost
        }
        Ok(response) => order_outcome(response.status),
        Err(failure) => {
            tracing::info!(
                event = "order_abandoned",
                server = %id,
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
pub(super) async fn read_report(
    core: Arc<GatewayCore>,
    server: GatewayServerKey,
    id: SmolStr,
    address: SocketAddr,
) {
    let report = fetch_report(&core, &id, address).await;
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

async fn fetch_report(
    core: &GatewayCore,
    id: &SmolStr,
    address: SocketAddr,
) -> Option<ServerReport> {
    let request = build_request(Method::GET, REPORT_PATH, id, address, Vec::new());
    let call = connections::call(&core.orders, id, address, request, CALL_LIMITS);
    let response = match call.await {
        Ok(response) if response.status.is_success() => response,
        Ok(response) => {
            tracing::info!(event = "report_refused", server = %id, status = %response.status);
            return None;
        }
        Err(failure) => {
            tracing::info!(event = "report_lost", server = %id, fault = ?failure.error);
            return None;
        }
    };
    match decode_report(&response.body) {
        Ok(report) => Some(report),
        Err(error) => {
            tracing::warn!(event = "report_unreadable", server = %id, %error);
            None
        }
    }
}
