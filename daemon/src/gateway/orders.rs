//! Orders to model servers and their reports.

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
    server_scheduler::{ServerOrder, ServerOrderOutcome},
    servers::GatewayServerKey,
};
use wasabistall_platform::{
    decode_report,
    headers::control_headers,
    order::{ORDER_PATH, REPORT_PATH, encode_order, order_outcome},
};

use super::{
    core::GatewayCore,
    links::{self, LinkFault},
};

/// Time for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(1_000);
/// Longest answer, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

fn own_call(
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

/// Sends an order and tells the reducer how it ended.
pub(super) async fn send_order(
    core: Arc<GatewayCore>,
    server: GatewayServerKey,
    id: SmolStr,
    address: SocketAddr,
    order: ServerOrder,
) {
    let body = encode_order(&order, core.instance());
    let mut request = own_call(Method::POST, ORDER_PATH, &id, address, body);
    request
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let called = links::call(
        &core.servers,
        &id,
        address,
        request,
        ANSWER_TIME,
        MAX_RESPONSE_BYTES,
    );
    let outcome = match called.await {
        Ok(answer) => order_outcome(answer.status),
        Err(LinkFault::Refused | LinkFault::Unreachable) => ServerOrderOutcome::Refused,
        Err(_) => ServerOrderOutcome::Lost,
    };
    core.tell(GatewayEvent::OrderEnded { server, outcome });
}

/// Reads a server's report and tells the reducer what it says.
pub(super) async fn read_report(
    core: Arc<GatewayCore>,
    server: GatewayServerKey,
    id: SmolStr,
    address: SocketAddr,
) {
    let report = fetch_report(&core, &id, address).await;
    core.tell(GatewayEvent::ReportRead { server, report });
}

async fn fetch_report(
    core: &GatewayCore,
    id: &SmolStr,
    address: SocketAddr,
) -> Option<ServerReport> {
    let request = own_call(Method::GET, REPORT_PATH, id, address, Vec::new());
    let called = links::call(
        &core.servers,
        id,
        address,
        request,
        ANSWER_TIME,
        MAX_RESPONSE_BYTES,
    );
    let answer = match called.await {
        Ok(answer) if answer.status.is_success() => answer,
        Ok(answer) => {
            tracing::info!(event = "report_refused", server = %id, status = %answer.status);
            return None;
        }
        Err(fault) => {
            tracing::info!(event = "report_lost", server = %id, ?fault);
            return None;
        }
    };
    match decode_report(&answer.body) {
        Ok(report) => Some(report),
        Err(error) => {
            tracing::warn!(event = "report_unreadable", server = %id, %error);
            None
        }
    }
}
