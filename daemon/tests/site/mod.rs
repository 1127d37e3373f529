//! A fake platform with real gateway processes in front of its servers.
#![allow(dead_code)]

pub(crate) mod scripted;

use std::{
    net::{IpAddr, Ipv4Addr},
    path::Path,
    sync::atomic::{AtomicU8, Ordering},
};

use hyper::Method;
use wasabistall_testutils::{
    gateway::{CallerConnection, CallerResponse, GatewayPorts, GatewayProcess, wait_ready},
    platform::{PlatformStandin, platform_config},
};

static NEXT_SUBNET: AtomicU8 = AtomicU8::new(1);

/// A fake platform and gateways, on loopback addresses that no other test uses.
pub(crate) struct TestSite {
    pub(crate) platform: PlatformStandin,
    pub(crate) gateways: Vec<GatewayProcess>,
    _folder: tempfile::TempDir,
}

impl TestSite {
    pub(crate) async fn start(gateways: u8) -> TestSite {
        let subnet = NEXT_SUBNET.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id().to_le_bytes();
        let ip = |host: u8| {
            IpAddr::V4(Ipv4Addr::new(
                127,
                process[0] | 1,
                process[1] ^ subnet,
                host,
            ))
        };
        let platform = PlatformStandin::start(ip(200)).await;
        platform.put("op/config", Some(&platform_config(1, "key")));
        platform.start_server(ip(201), "s-1", "models", true).await;
        platform.start_server(ip(202), "s-2", "models", true).await;
        platform.start_server(ip(203), "s-3", "desk", false).await;
        platform.start_server(ip(204), "s-4", "desk", false).await;
        let folder = tempfile::tempdir().expect("folder for settings");
        let ports: Vec<GatewayPorts> = (1..=gateways)
            .map(|host| GatewayPorts {
                ip: ip(host),
                base_port: 21_000,
            })
            .collect();
        let peers: Vec<_> = ports.iter().take(3).map(|ports| ports.peers()).collect();
        let binary = Path::new(env!("CARGO_BIN_EXE_wasabistalld"));
        let gateways: Vec<GatewayProcess> = ports
            .iter()
            .enumerate()
            .map(|(index, ports)| {
                let name = format!("g-{index}");
                GatewayProcess::start(binary, folder.path(), &name, *ports, &peers, platform.store)
            })
            .collect();
        for ports in &ports {
            wait_ready(*ports).await;
        }
        TestSite {
            platform,
            gateways,
            _folder: folder,
        }
    }
    /// Sends a request of the only team on a new connection.
    pub(crate) async fn call(
        &self,
        gateway: usize,
        method: Method,
        path: &str,
        id: &str,
    ) -> CallerResponse {
        let address = self.gateways[gateway].ports.callers();
        let mut connection = CallerConnection::open(address).await.expect("connect");
        let headers = [("host", "host"), ("attempt-id", id), ("credential", "key")];
        connection
            .call(method, path, &headers, b"body")
            .await
            .expect("response")
    }

    /// Requests a stream with an adapter once; `None` if the connection broke.
    pub(crate) async fn request_stream(
        &self,
        gateway: usize,
        adapter: &str,
        id: &str,
    ) -> Option<CallerResponse> {
        let address = self.gateways[gateway].ports.callers();
        let mut connection = CallerConnection::open(address).await?;
        let model = format!("base/{adapter}");
        let headers = [
            ("host", "host"),
            ("attempt-id", id),
            ("credential", "key"),
            ("model", &model),
            ("token-usage", "100,20"),
        ];
        connection
            .call(Method::POST, "/chat/x", &headers, b"prompt")
            .await
    }
}
