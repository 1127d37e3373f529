//! Load and unload orders to engines, and load reports of backend servers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::Serialize;
use smol_str::SmolStr;
use wasabistall_lib::{
    clock::ClockTime,
    config::ServerKey,
    engine::{EngineOrder, LoadReport, OrderKind, OrderOutcome},
    event::Event,
};

use crate::{
    client::{CallLimits, HttpClient},
    core::CoreHandle,
};

const ORDER_LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(30),
    max_response_bytes: 64 * 1024,
};
const REPORT_LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(1),
    max_response_bytes: 256 * 1024,
};

/// JSON body of an order.
#[derive(Serialize)]
struct OrderBody<'a> {
    adapter: &'a str,
    version: u32,
    fence: u64,
}

/// Sends orders to engines and polls load reports.
pub(crate) struct EngineClient {
    core: CoreHandle,
    client: HttpClient,
}

impl EngineClient {
    pub(crate) fn new(core: CoreHandle, client: HttpClient) -> EngineClient {
        EngineClient { core, client }
    }

    /// Sends an order in the background and reports its outcome as an event.
    pub(crate) fn send_order(&self, order: EngineOrder, address: SocketAddr, adapter: SmolStr) {
        let (core, client) = (self.core.clone(), self.client.clone());
        tokio::spawn(async move {
            let outcome = post_order(&client, &order, address, &adapter).await;
            tracing::debug!(kind = ?order.kind, %adapter, version = order.version, ?outcome, "order");
            core.send_event(Event::OrderDone(order, outcome)).await;
        });
    }

    /// Polls a server's load in the background and reports it as an event.
    pub(crate) fn poll_load(
        &self,
        server: ServerKey,
        address: SocketAddr,
        requested_at: ClockTime,
    ) {
        let (core, client) = (self.core.clone(), self.client.clone());
        tokio::spawn(async move {
            let report = fetch_report(&client, address).await;
            core.send_event(Event::LoadReported {
                server,
                requested_at,
                report,
            })
            .await;
        });
    }
}

async fn post_order(
    client: &HttpClient,
    order: &EngineOrder,
    address: SocketAddr,
    adapter: &str,
) -> OrderOutcome {
    let path = match order.kind {
        OrderKind::Load => "/admin/adapters/load",
        OrderKind::Unload => "/admin/adapters/unload",
    };
    let body = OrderBody {
        adapter,
        version: order.version,
        fence: order.fence,
    };
    let Ok(body) = serde_json::to_vec(&body) else {
        return OrderOutcome::Failed;
    };
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let body = Bytes::from(body);
    let call = client.call(Method::POST, address, path, &headers, body, ORDER_LIMITS);
    match call.await {
        Ok(response) if response.status.is_success() => OrderOutcome::Done,
        Ok(response) if response.status == StatusCode::PRECONDITION_FAILED => OrderOutcome::Fenced,
        Ok(_) => OrderOutcome::Failed,
        Err(_) => OrderOutcome::Lost,
    }
}

async fn fetch_report(client: &HttpClient, address: SocketAddr) -> Option<LoadReport> {
    let headers = HeaderMap::new();
    let call = client.call(
        Method::GET,
        address,
        "/admin/report",
        &headers,
        Bytes::new(),
        REPORT_LIMITS,
    );
    let response = call.await.ok()?;
    serde_json::from_slice(&response.body).ok()
}
