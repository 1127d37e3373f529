//! Runs gateways as real processes and calls them as their callers do.

use std::{
    fs::File,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, body::Incoming, client::conn::http1, header::HeaderMap};
use hyper_util::rt::TokioIo;
use rustix::process::{Pid, Signal, kill_process};
use tokio::net::TcpStream;

/// Where one gateway of a test listens.
#[derive(Clone, Copy, Debug)]
pub struct GatewayPorts {
    /// Its address; every gateway has one of its own.
    pub ip: IpAddr,
    /// Port for callers; the others follow.
    pub base_port: u16,
}

impl GatewayPorts {
    /// Address for callers.
    pub fn callers(self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base_port)
    }

    /// Address for the question whether it is ready.
    pub fn readiness(self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base_port + 1)
    }

    /// Address for peers.
    pub fn peers(self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base_port + 2)
    }

    /// Address for questions for addresses.
    pub fn addresses(self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base_port + 3)
    }

    /// Address for operators.
    pub fn operators(self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base_port + 4)
    }
}

/// One gateway process; it is killed with the value.
pub struct GatewayProcess {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub ports: GatewayPorts,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl GatewayProcess {
    /// Writes settings into `folder` and starts the process.
    pub fn start(
        binary: &Path,
        folder: &Path,
        name: &str,
        ports: GatewayPorts,
        peers: &[SocketAddr],
        store: SocketAddr,
    ) -> GatewayProcess {
        let peers: Vec<String> = peers.iter().map(ToString::to_string).collect();
        let settings = serde_json::json!({
            "role": "gateway", "instance": name, "data_centre": "dc-a",
            "data_centres": ["dc-a", "dc-b"],
            "listen": {"callers": ports.callers(), "readiness": ports.readiness(),
                "peers": ports.peers(), "addresses": ports.addresses(),
                "operators": ports.operators()},
            "store": store, "first_peers": peers, "first_start": true,
            "bounds": {"retry_slack": 50}, "grace_s": 4,
            "telemetry": {"log_format": "json", "log_level": "info"},
        });
        let path = folder.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings.to_string()).expect("write settings");
        let mut process = GatewayProcess {
            name: name.to_owned(),
            ports,
            binary: binary.to_owned(),
            settings: path,
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        process.restart();
        process
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("open the log");
        let child = Command::new(&self.binary)
            .arg(&self.settings)
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("start a gateway");
        self.child = Some(child);
    }

    /// Where its log lies.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
            // A process that has ended needs no signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Waits until the process has ended; kills it at the end of `patience`.
    pub fn wait_exit(&mut self, patience: Duration) -> bool {
        let end = Instant::now() + patience;
        while Instant::now() < end {
            if self.has_exited() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill();
        false
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A whole answer, or its break.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, up to where it ended.
    pub body: Bytes,
    /// Whether it is complete.
    pub complete: bool,
}

/// A connection of a caller.
pub struct CallerConnection {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl CallerConnection {
    /// Connects; `None` when nobody listens.
    pub async fn open(address: SocketAddr) -> Option<CallerConnection> {
        let stream = TcpStream::connect(address).await.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // The end of the connection shows in the calls.
            let _ = connection.await;
        });
        Some(CallerConnection { sender })
    }

    /// Whether another request can be sent.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and returns the head of its answer; `None` when the connection broke.
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &'static [u8],
    ) -> Option<hyper::Response<Incoming>> {
        let mut request = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from_static(body))).ok()?;
        self.sender.ready().await.ok()?;
        self.sender.send_request(request).await.ok()
    }

    /// Sends a request and reads the answer to its end.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &'static [u8],
    ) -> Option<CallerResponse> {
        let response = self.send(method, path, headers, body).await?;
        let (head, mut incoming) = response.into_parts();
        let mut bytes = Vec::new();
        let mut complete = true;
        while let Some(frame) = incoming.frame().await {
            match frame {
                Ok(frame) => bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
                Err(_) => {
                    complete = false;
                    break;
                }
            }
        }
        Some(CallerResponse {
            status: head.status,
            headers: head.headers,
            body: bytes.into(),
            complete,
        })
    }
}

/// Asks one question on a connection of its own.
pub async fn get(address: SocketAddr, path: &str) -> Option<CallerResponse> {
    let mut connection = CallerConnection::open(address).await?;
    connection
        .call(Method::GET, path, &[("host", "host")], b"")
        .await
}

/// Waits until a gateway says that it is ready.
pub async fn wait_ready(ports: GatewayPorts) {
    for _ in 0..1_000 {
        let answer = get(ports.readiness(), "/readiness").await;
        if answer.is_some_and(|answer| answer.status == StatusCode::OK) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the gateway at {} did not get ready", ports.ip);
}
