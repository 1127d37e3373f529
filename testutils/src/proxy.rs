//! A loopback TCP proxy that injects network faults.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

/// Delay of each chunk in [`ProxyMode::Delay`].
const DELAY: Duration = Duration::from_millis(150);
/// Time between the end of a connection and that of its other side.
const CLOSE_DELAY: Duration = Duration::from_millis(300);
/// Interval at which connections check for a change of mode.
const MODE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How a proxy treats connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ProxyMode {
    /// Forwards all data.
    Pass,
    /// Forwards all data with a delay.
    Delay,
    /// Closes open and new connections.
    Reset,
    /// Forwards nothing and keeps connections open. Once the mode changes, the data that was held is
    /// forwarded, unless its sender has reset the connection.
    Silent,
    /// Forwards data to the target and nothing back.
    OneWay,
}

const MODES: [ProxyMode; 5] = [
    ProxyMode::Pass,
    ProxyMode::Delay,
    ProxyMode::Reset,
    ProxyMode::Silent,
    ProxyMode::OneWay,
];

/// A fault-injecting proxy in front of one address.
#[derive(Clone)]
pub struct FaultProxy {
    /// Listening address.
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl FaultProxy {
    /// Starts a proxy on a free port of `ip` in front of `target`.
    pub async fn start(ip: IpAddr, target: SocketAddr) -> FaultProxy {
        let listener = TcpListener::bind((ip, 0)).await.expect("bind a proxy");
        let proxy = FaultProxy {
            address: listener.local_addr().expect("address of a proxy"),
            mode: Arc::new(AtomicU8::new(ProxyMode::Pass as u8)),
        };
        let acceptor = proxy.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let proxy = acceptor.clone();
                tokio::spawn(async move { proxy.relay(client, target).await });
            }
        });
        proxy
    }

    /// Changes the mode for open and new connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }

    fn mode(&self) -> ProxyMode {
        MODES[usize::from(self.mode.load(Ordering::Relaxed))]
    }

    async fn relay(self, client: TcpStream, target: SocketAddr) {
        if self.mode() == ProxyMode::Reset {
            return;
        }
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::select! {
            () = self.forward(client_read, server_write, false) => {}
            () = self.forward(server_read, client_write, true) => {}
        }
    }

    async fn forward(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_response: bool) {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let read = tokio::select! {
                read = from.read(&mut buffer) => read,
                () = self.wait_for_reset() => return,
            };
            let count = match read {
                Ok(0) => {
                    // The receiver handles what was forwarded before it notices the end.
                    tokio::time::sleep(CLOSE_DELAY).await;
                    return;
                }
                Err(_) => return,
                Ok(count) => count,
            };
            while self.mode() == ProxyMode::Silent
                || (is_response && self.mode() == ProxyMode::OneWay)
            {
                tokio::time::sleep(MODE_POLL_INTERVAL).await;
            }
            if self.mode() == ProxyMode::Delay {
                tokio::time::sleep(DELAY).await;
            }
            if is_reset(&from) || to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }

    async fn wait_for_reset(&self) {
        while self.mode() != ProxyMode::Reset {
            tokio::time::sleep(MODE_POLL_INTERVAL).await;
        }
    }
}

fn is_reset(connection: &OwnedReadHalf) -> bool {
    !matches!(connection.as_ref().take_error(), Ok(None))
}
