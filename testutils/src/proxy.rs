//! A loopback proxy that harms the connections through it.

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

/// Time by which a delaying proxy holds each piece back.
const DELAY: Duration = Duration::from_millis(150);
/// How often a silent direction looks whether it may go on.
const SILENCE_POLL: Duration = Duration::from_millis(50);

/// What a proxy does to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ProxyMode {
    /// Passes everything on.
    Pass,
    /// Passes everything on, late.
    Delay,
    /// Closes open connections and new ones.
    Reset,
    /// Passes nothing on and closes nothing.
    Silent,
    /// Passes on what callers send, and nothing back.
    OneWay,
}

const MODES: [ProxyMode; 5] = [
    ProxyMode::Pass,
    ProxyMode::Delay,
    ProxyMode::Reset,
    ProxyMode::Silent,
    ProxyMode::OneWay,
];

/// A proxy in front of one address.
#[derive(Clone)]
pub struct FaultProxy {
    /// Where it listens.
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
        let accepting = proxy.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let proxy = accepting.clone();
                tokio::spawn(async move { proxy.join(caller, target).await });
            }
        });
        proxy
    }

    /// Changes what the proxy does, also to open connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }

    fn mode(&self) -> ProxyMode {
        MODES[usize::from(self.mode.load(Ordering::Relaxed))]
    }

    async fn join(self, caller: TcpStream, target: SocketAddr) {
        if self.mode() == ProxyMode::Reset {
            return;
        }
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let (caller_read, caller_write) = caller.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::select! {
            () = self.pass(caller_read, server_write, false) => {}
            () = self.pass(server_read, caller_write, true) => {}
        }
    }

    async fn pass(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_answer: bool) {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let read = tokio::select! {
                read = from.read(&mut buffer) => read,
                () = self.reset() => return,
            };
            let count = match read {
                Ok(0) | Err(_) => return,
                Ok(count) => count,
            };
            while self.mode() == ProxyMode::Silent
                || (is_answer && self.mode() == ProxyMode::OneWay)
            {
                tokio::time::sleep(SILENCE_POLL).await;
            }
            if self.mode() == ProxyMode::Delay {
                tokio::time::sleep(DELAY).await;
            }
            if to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }

    async fn reset(&self) {
        while self.mode() != ProxyMode::Reset {
            tokio::time::sleep(SILENCE_POLL).await;
        }
    }
}
