//! A fake platform with real gateway processes in front of its servers.

use std::{
    net::{IpAddr, Ipv4Addr},
    path::Path,
    sync::atomic::{AtomicU8, Ordering},
};

use wasabistall_testutils::{
    gateway::{GatewayPorts, GatewayProcess, wait_ready},
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
}
