//! Orders to engines and load reports of backend servers.

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
    answer_bytes: 64 * 1024,
};
const REPORT_LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(1),
    answer_bytes: 256 * 1024,
};

/// Body of an order.
#[derive(Serialize)]
struct OrderBody<'a> {
    adapter: &'a str,
    version: u32,
    fence: u64,
}

/// Talks to engines.
pub(crate) struct EngineLink {
    core: CoreHandle,
    client: HttpClient,
}

impl EngineLink {
    pub(crate) fn new(core: CoreHandle, client: HttpClient) -> EngineLink {
        EngineLink { core, client }
    }

    /// Sends an order and reports its outcome as an event.
    pub(crate) fn order(&self, order: EngineOrder, address: SocketAddr, adapter: SmolStr) {
        let (core, client) = (self.core.clone(), self.client.clone());
        tokio::spawn(async move {
            let outcome = send_order(&client, &order, address, &adapter).await;
            tracing::debug!(kind = ?order.kind, %adapter, version = order.version, ?outcome, "order");
            core.tell(Event::OrderDone(order, outcome)).await;
        });
    }

    /// Asks a server for its load and reports the answer as an event.
    pub(crate) fn poll(&self, server: ServerKey, address: SocketAddr, asked: ClockTime) {
        let (core, client) = (self.core.clone(), self.client.clone());
        tokio::spawn(async move {
            let report = read_report(&client, address).await;
            core.tell(Event::LoadReported {
                server,
                requested_at: asked,
                report,
            })
            .await;
        });
    }
}

async fn send_order(
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
        Ok(answer) if answer.status.is_success() => OrderOutcome::Done,
        Ok(answer) if answer.status == StatusCode::PRECONDITION_FAILED => OrderOutcome::Fenced,
        Ok(_) => OrderOutcome::Failed,
        Err(_) => OrderOutcome::Lost,
    }
}

async fn read_report(client: &HttpClient, address: SocketAddr) -> Option<LoadReport> {
    let headers = HeaderMap::new();
    let call = client.call(
        Method::GET,
        address,
        "/admin/report",
        &headers,
        Bytes::new(),
        REPORT_LIMITS,
    );
    let answer = call.await.ok()?;
    serde_json::from_slice(&answer.body).ok()
}
