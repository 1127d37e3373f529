//! A backend server that answers each request with the bytes of a script.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
};

/// Report of a model server without adapters.
const REPORT: &str = r#"{"Stage":"both","Models":[{"Name":"base","Version":1,"Adapters":[]}],"Busy":false,"Sequence":0,"born":1}"#;

/// Receive buffer of a server that does not read bodies, in bytes.
const UNREAD_BUFFER_BYTES: u32 = 4 * 1024;
/// Bytes in one write of an answer without end.
const WRITE_BYTES: usize = 64 * 1024;

/// A request as a [`ScriptedServer`] received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScriptedRequest {
    /// Number of the connection that carried it, from 0.
    pub connection: usize,
    /// Number of requests that the connection had carried before.
    pub earlier_on_connection: usize,
    /// Number of requests with the same attempt id that the server had received before.
    pub earlier_of_attempt: usize,
    /// Attempt id; empty when there was none.
    pub attempt: String,
    /// Path with the query.
    pub path: String,
    /// Value of the `last-event-id` header.
    pub last_event: Option<String>,
}

/// A step of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerStep {
    /// Sends these bytes.
    Send(String),
    /// Sends these bytes again and again until the connection is closed.
    Repeat(String),
    /// Waits.
    Pause(Duration),
    /// Closes the connection in order.
    Close,
    /// Resets the connection.
    Reset,
}

/// Whether a server reads the bodies of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyReading {
    /// It reads the whole body before it answers.
    Whole,
    /// It reads heads alone and lets the sender fill its small receive buffer.
    Never,
}

/// Decides how a request is answered.
pub type AnswerScript = Arc<dyn Fn(&ScriptedRequest) -> Vec<AnswerStep> + Send + Sync>;

/// A backend server that answers each request with the bytes of a script. It answers reports itself.
#[derive(Clone)]
pub struct ScriptedServer {
    /// Address on which it accepts connections.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<ScriptedRequest>>>,
    /// Number of answers without end in progress.
    endless: Arc<AtomicUsize>,
    script: AnswerScript,
    reading: BodyReading,
}

impl ScriptedServer {
    /// Starts a server on a free port of `ip`.
    ///
    /// # Panics
    ///
    /// Panics when the port cannot be bound.
    pub fn start(ip: IpAddr, script: AnswerScript, reading: BodyReading) -> ScriptedServer {
        let listener = listen(ip, reading).expect("bind a server");
        let server = ScriptedServer {
            address: listener.local_addr().expect("address of a server"),
            requests: Arc::default(),
            endless: Arc::default(),
            script,
            reading,
        };
        let accepting = server.clone();
        tokio::spawn(async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().serve(stream, connection));
                connection += 1;
            }
        });
        server
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ScriptedRequest>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The requests with this attempt id, in the order of their arrival.
    pub fn requests_of(&self, attempt: &str) -> Vec<ScriptedRequest> {
        let requests = self.lock();
        let of_attempt = |request: &&ScriptedRequest| request.attempt == attempt;
        requests.iter().filter(of_attempt).cloned().collect()
    }

    /// Number of answers without end that the other side has not broken off.
    pub fn endless_answers(&self) -> usize {
        self.endless.load(Ordering::SeqCst)
    }

    async fn serve(self, mut stream: TcpStream, connection: usize) {
        let mut received = Vec::new();
        let mut earlier_on_connection = 0;
        while let Some(head) = read_head(&mut stream, &mut received).await {
            if self.reading == BodyReading::Whole {
                let body = read_body(&mut stream, &mut received, &head);
                if body.await.is_none() {
                    return;
                }
            }
            if head.starts_with("GET /report") {
                let length = REPORT.len();
                let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{REPORT}");
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let request = self.record(&head, connection, earlier_on_connection);
            earlier_on_connection += 1;
            for step in (self.script)(&request) {
                match step {
                    AnswerStep::Send(bytes) => {
                        if stream.write_all(bytes.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                    AnswerStep::Repeat(bytes) => {
                        self.endless.fetch_add(1, Ordering::SeqCst);
                        let bytes = bytes.repeat(WRITE_BYTES / bytes.len().max(1) + 1);
                        while stream.write_all(bytes.as_bytes()).await.is_ok() {}
                        self.endless.fetch_sub(1, Ordering::SeqCst);
                        return;
                    }
                    AnswerStep::Pause(time) => tokio::time::sleep(time).await,
                    AnswerStep::Close => return,
                    AnswerStep::Reset => {
                        stream.set_zero_linger().expect("set the linger time");
                        return;
                    }
                }
            }
        }
    }

    fn record(
        &self,
        head: &str,
        connection: usize,
        earlier_on_connection: usize,
    ) -> ScriptedRequest {
        let header = |name: &str| {
            head.lines().find_map(|line| {
                let (found, value) = line.split_once(':')?;
                found
                    .eq_ignore_ascii_case(name)
                    .then(|| value.trim().to_owned())
            })
        };
        let attempt = header("attempt-id").unwrap_or_default();
        let mut requests = self.lock();
        let of_attempt = |request: &&ScriptedRequest| request.attempt == attempt;
        let request = ScriptedRequest {
            connection,
            earlier_on_connection,
            earlier_of_attempt: requests.iter().filter(of_attempt).count(),
            path: head.split(' ').nth(1).unwrap_or_default().to_owned(),
            last_event: header("last-event-id"),
            attempt,
        };
        requests.push(request.clone());
        request
    }
}

/// Listens on a free port of `ip`.
fn listen(ip: IpAddr, reading: BodyReading) -> std::io::Result<TcpListener> {
    let socket = match ip {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if reading == BodyReading::Never {
        socket.set_recv_buffer_size(UNREAD_BUFFER_BYTES)?;
    }
    socket.bind(SocketAddr::new(ip, 0))?;
    socket.listen(1_024)
}

/// Reads the head of a request; `None` when the connection was closed.
async fn read_head(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<String> {
    let end = loop {
        let end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if let Some(end) = end {
            break end + 4;
        }
        read_more(stream, received).await?;
    };
    let head: Vec<u8> = received.drain(..end).collect();
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// Reads the body of a request with this head; `None` when the connection was closed.
async fn read_body(stream: &mut TcpStream, received: &mut Vec<u8>, head: &str) -> Option<()> {
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse().ok())?
    });
    let length: usize = length.unwrap_or(0);
    while received.len() < length {
        read_more(stream, received).await?;
    }
    received.drain(..length);
    Some(())
}

async fn read_more(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<()> {
    let mut buffer = [0; 4_096];
    match stream.read(&mut buffer).await {
        Ok(count @ 1..) => {
            received.extend_from_slice(&buffer[..count]);
            Some(())
        }
        _ => None,
    }
}
