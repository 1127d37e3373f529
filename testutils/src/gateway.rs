//! Runs gateways as real processes and sends them requests.

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

/// Memory that a gateway's settings allow, in megabytes: that of the smallest instances.
pub const MEMORY_MB: u64 = 160;

/// Listening addresses of one gateway.
#[derive(Clone, Copy, Debug)]
pub struct GatewayPorts {
    /// IP address, unique to this gateway.
    pub ip: IpAddr,
    /// Port for callers; the other interfaces use the four ports after it.
    pub base_port: u16,
}

impl GatewayPorts {
    /// Address for callers.
    pub fn callers(self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base_port)
    }

    /// Address of the readiness check.
    pub fn readiness(self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base_port + 1)
    }

    /// Address for peers.
    pub fn peers(self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base_port + 2)
    }

    /// Address of the address lookup.
    pub fn addresses(self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base_port + 3)
    }

    /// Address for operators.
    pub fn operators(self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base_port + 4)
    }
}

/// A gateway process; dropping the value kills it.
pub struct GatewayProcess {
    /// Instance name.
    pub name: String,
    /// Listening addresses.
    pub ports: GatewayPorts,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl GatewayProcess {
    /// Writes the settings file into `folder` and starts the process.
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
            "bounds": {"retry_slack": 50}, "grace_s": 4, "memory_mb": MEMORY_MB,
            "telemetry": {"log_format": "json", "log_level": "info"},
        });
        GatewayProcess::start_with(binary, folder, name, ports, &settings.to_string())
    }

    /// Writes the given settings into a file in `folder` and starts the process.
    pub fn start_with(
        binary: &Path,
        folder: &Path,
        name: &str,
        ports: GatewayPorts,
        settings: &str,
    ) -> GatewayProcess {
        let path = folder.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings).expect("write settings");
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

    /// Starts a new process with the same settings.
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

    /// Path of its log file.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Sends a signal to the process, if one was started.
    pub fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
            // Fails only when the process has already exited.
            let _ = kill_process(pid, signal);
        }
    }

    /// Largest memory that the running process has taken so far, in megabytes.
    ///
    /// # Panics
    ///
    /// Panics when no process is running.
    pub fn peak_memory_mb(&self) -> u64 {
        let child = self.child.as_ref().expect("a running gateway");
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()))
            .expect("status of the gateway");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|text| text.trim().strip_suffix(" kB")?.parse().ok());
        kilobytes.unwrap_or(0_u64) / 1_000
    }

    /// Whether no process is running: it has exited or was killed.
    pub fn has_exited(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Waits for the process to exit; kills it after `timeout` and returns `false`.
    pub fn wait_exit(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self.has_exited() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill();
        false
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only when the process has already exited.
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

/// A response, up to where its body ended or broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// The received part of the body.
    pub body: Bytes,
    /// Whether the body was received to its end.
    pub complete: bool,
}

/// A keep-alive HTTP/1.1 connection of a caller.
pub struct CallerConnection {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl CallerConnection {
    /// Connects; `None` when the connection is refused or fails.
    pub async fn open(address: SocketAddr) -> Option<CallerConnection> {
        let stream = TcpStream::connect(address).await.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // Connection errors show up as failed requests.
            let _ = connection.await;
        });
        Some(CallerConnection { sender })
    }

    /// Whether another request can be sent.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and returns the response with its body unread; `None` when the connection
    /// broke.
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

    /// Sends a request and reads the response; `None` when the connection broke before its head.
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

/// Sends one `GET` request on a new connection; `None` when there is no response.
pub async fn get(address: SocketAddr, path: &str) -> Option<CallerResponse> {
    let mut connection = CallerConnection::open(address).await?;
    connection
        .call(Method::GET, path, &[("host", "host")], b"")
        .await
}

/// Waits until a gateway reports itself ready.
///
/// # Panics
///
/// Panics when it is not ready after 1,000 polls.
pub async fn wait_ready(ports: GatewayPorts) {
    for _ in 0..1_000 {
        let response = get(ports.readiness(), "/readiness").await;
        if response.is_some_and(|response| response.status == StatusCode::OK) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the gateway at {} was not ready in time", ports.ip);
}
