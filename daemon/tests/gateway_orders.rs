//! Real gateway processes that give orders to model servers over a network with faults.

mod site;

use std::time::Duration;

use hyper::StatusCode;
use wasabistall_testutils::proxy::{FaultProxy, ProxyMode};

use self::site::TestSite;

/// Longest wait for anything; only a gateway that never acts takes so long.
const STUCK: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A gateway whose only model server is behind a proxy.
struct ProxiedSite {
    site: TestSite,
    proxy: FaultProxy,
}

impl ProxiedSite {
    async fn start() -> ProxiedSite {
        let site = TestSite::start(1).await;
        let ip = site.gateways[0].ports.ip;
        let server = site.platform.start_unregistered_server(ip, "s-9").await;
        let proxy = FaultProxy::start(ip, server).await;
        site.platform
            .register("s-9", "models", proxy.address, true, "ready");
        for id in ["s-1", "s-2"] {
            site.platform.put(&format!("servers/{id}"), None);
        }
        ProxiedSite { site, proxy }
    }

    /// Requests a stream with an adapter once; `None` if the connection broke.
    async fn request(&self, adapter: &str, id: &str) -> Option<StatusCode> {
        let response = self.site.request_stream(0, adapter, id).await;
        Some(response?.status)
    }

    /// Requests streams with an adapter until one is served.
    async fn serve(&self, adapter: &str) {
        let served = async {
            for attempt in 0.. {
                let id = format!("{adapter}-{attempt}");
                if self.request(adapter, &id).await == Some(StatusCode::OK) {
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let result = tokio::time::timeout(STUCK, served).await;
        assert!(result.is_ok(), "{adapter} was never served");
    }

    /// Waits until the gateway's log contains an event.
    async fn wait_logged(&self, event: &str) {
        let logged = async {
            loop {
                let log = std::fs::read_to_string(self.site.gateways[0].log()).unwrap_or_default();
                if log.contains(event) {
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let result = tokio::time::timeout(STUCK, logged).await;
        assert!(result.is_ok(), "{event} was never logged");
    }

    /// Adapters of the orders that arrived at the server.
    fn ordered_adapters(&self) -> Vec<String> {
        let orders = self.site.platform.orders();
        orders.into_iter().map(|order| order.adapter).collect()
    }
}

/// Regression test: an order that its sender had given up reached the server once the link between
/// them was restored, after newer orders.
#[tokio::test(flavor = "multi_thread")]
async fn an_abandoned_order_does_not_arrive_later() {
    let site = ProxiedSite::start().await;
    site.serve("a1").await;
    site.proxy.set_mode(ProxyMode::Silent);
    tokio::select! {
        _ = site.request("a2", "abandoned") => {}
        () = site.wait_logged("order_abandoned") => {}
    }
    site.wait_logged("order_abandoned").await;
    site.proxy.set_mode(ProxyMode::Pass);
    site.serve("a3").await;
    insta::assert_debug_snapshot!(site.ordered_adapters(), @r#"
    [
        "a1",
        "a3",
    ]
    "#);
}
