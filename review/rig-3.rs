//! Stand-ins of the platform's store, of backend servers and of clients for the cases of the third
//! review, and the processes of the gateway that a case starts. Standard library only.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A JSON value, for settings and items of the store.
#[derive(Clone, Debug)]
pub enum Json {
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Map(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map(|(_, value)| value),
            Json::List(items) => items.get(name.parse::<usize>().ok()?),
            _ => None,
        }
    }

    pub fn write(&self, out: &mut String) {
        match self {
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Num(value) => write!(out, "{value}").unwrap(),
            Json::Str(text) => write_text(text, out),
            Json::List(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Map(fields) => {
                out.push('{');
                for (index, (key, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(key, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }

    pub fn text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            letter if (letter as u32) < 32 => write!(out, "\\u{:04x}", letter as u32).unwrap(),
            letter => out.push(letter),
        }
    }
    out.push('"');
}

impl From<&str> for Json {
    fn from(text: &str) -> Json {
        Json::Str(text.to_owned())
    }
}
impl From<String> for Json {
    fn from(text: String) -> Json {
        Json::Str(text)
    }
}
impl From<f64> for Json {
    fn from(value: f64) -> Json {
        Json::Num(value)
    }
}
impl From<i32> for Json {
    fn from(value: i32) -> Json {
        Json::Num(value.into())
    }
}
impl From<bool> for Json {
    fn from(value: bool) -> Json {
        Json::Bool(value)
    }
}
impl From<Vec<Json>> for Json {
    fn from(items: Vec<Json>) -> Json {
        Json::List(items)
    }
}

/// Builds a JSON object.
#[macro_export]
macro_rules! map {
    ($($key:literal : $value:expr),* $(,)?) => {
        Json::Map(vec![$(($key.to_owned(), Json::from($value))),*])
    };
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(LETTERS[(word >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---- template of the settings, as DEPLOY.md describes it ----

fn lookup<'v>(scopes: &[&'v Json], path: &str) -> Option<&'v Json> {
    if path == "." {
        return scopes.last().copied();
    }
    let mut names = path.split('.');
    let first = names.next()?;
    let mut value = scopes.iter().rev().find_map(|scope| scope.get(first))?;
    for name in names {
        value = value.get(name)?;
    }
    Some(value)
}

fn plain(value: &Json) -> String {
    match value {
        Json::Str(text) => text.clone(),
        Json::List(items) => items.iter().map(plain).collect::<Vec<_>>().join(","),
        other => other.text(),
    }
}

fn render(template: &str, scopes: &[&Json], key: &str, is_last: bool) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let end = start + rest[start..].find("}}").expect("end of a placeholder");
        let tag = rest[start + 2..end].trim();
        rest = &rest[end + 2..];
        if let Some(name) = tag.strip_prefix('#').or(tag.strip_prefix('^')) {
            let close = format!("{{{{/{name}}}}}");
            let length = rest.find(&close).expect("end of a section");
            let body = &rest[..length];
            rest = &rest[length + close.len()..];
            let value = lookup(scopes, name);
            if tag.starts_with('^') {
                if matches!(value, None | Some(Json::Bool(false))) {
                    out.push_str(&render(body, scopes, key, is_last));
                }
                continue;
            }
            match value {
                None | Some(Json::Bool(false)) => {}
                Some(Json::List(items)) => {
                    for (index, item) in items.iter().enumerate() {
                        let inner: Vec<&Json> = scopes.iter().copied().chain([item]).collect();
                        let last = index + 1 == items.len();
                        out.push_str(&render(body, &inner, &index.to_string(), last));
                    }
                }
                Some(Json::Map(fields)) => {
                    for (index, (name, item)) in fields.iter().enumerate() {
                        let inner: Vec<&Json> = scopes.iter().copied().chain([item]).collect();
                        out.push_str(&render(body, &inner, name, index + 1 == fields.len()));
                    }
                }
                Some(value) => {
                    let inner: Vec<&Json> = scopes.iter().copied().chain([value]).collect();
                    out.push_str(&render(body, &inner, key, is_last));
                }
            }
        } else if tag == "@" {
            out.push_str(key);
        } else if tag == "," {
            if !is_last {
                out.push(',');
            }
        } else if let Some(path) = tag.strip_suffix("|json") {
            if let Some(value) = lookup(scopes, path) {
                value.write(&mut out);
            }
        } else if let Some(value) = lookup(scopes, tag) {
            out.push_str(&plain(value));
        }
    }
    out.push_str(rest);
    out
}

// ---- the record of a case ----

/// Collects what was sent, answered and run, and writes it to `record.txt`.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
    path: PathBuf,
}

impl Record {
    pub fn new(path: &Path) -> Arc<Record> {
        Arc::new(Record {
            start: Instant::now(),
            lines: Mutex::default(),
            path: path.to_owned(),
        })
    }

    /// Seconds since the case began.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.now(), line.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn say(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.add(line);
    }

    pub fn save(&self) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        fs::write(&self.path, text).expect("write the record");
    }
}

pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

// ---- HTTP ----

/// A request as a server received it.
#[derive(Clone, Debug)]
pub struct Heard {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Heard {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads a request with a length.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Heard> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Heard {
        method,
        path,
        headers,
        body,
    })
}

fn query(path: &str, name: &str) -> Option<String> {
    let (_, query) = path.split_once('?')?;
    let value = query
        .split('&')
        .find_map(|pair| pair.strip_prefix(&format!("{name}=")))?;
    let mut out = Vec::new();
    let bytes = value.as_bytes();
    let mut index = 0;
    while index < bytes.len() {
        if bytes[index] == b'%' && index + 2 < bytes.len() {
            out.push(u8::from_str_radix(&value[index + 1..index + 3], 16).ok()?);
            index += 3;
        } else {
            out.push(bytes[index]);
            index += 1;
        }
    }
    String::from_utf8(out).ok()
}

fn listen(ip: Ipv4Addr) -> TcpListener {
    TcpListener::bind((ip, 0)).expect("a free port")
}

fn accept_forever(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
}

// ---- the platform's store ----

struct StoreState {
    revision: u64,
    /// Text of each item, by key.
    items: BTreeMap<String, String>,
    /// Revision, time and text of each change.
    events: Vec<(u64, Instant, String)>,
    /// Newest revision whose event was discarded.
    gone: u64,
}

/// The platform's store: linearizable, with a history of limited length.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
    history: Duration,
}

impl Store {
    pub fn start(ip: Ipv4Addr, history: Duration) -> Arc<Store> {
        let listener = listen(ip);
        let store = Arc::new(Store {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(StoreState {
                revision: 100,
                items: BTreeMap::new(),
                events: Vec::new(),
                gone: 0,
            }),
            changed: Condvar::new(),
            history,
        });
        let serving = store.clone();
        accept_forever(listener, move |stream| serving.serve(stream));
        store
    }

    /// Writes an item, or removes it. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: Option<&Json>) {
        let encoded = value.map(|value| base64(value.text().as_bytes()));
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let text = match encoded {
            Some(value) => map! {
                "Key": key, "Value": value, "Revision": revision as f64,
                "Created": revision as f64, "Lease": 0
            },
            None => map! { "Key": key, "Revision": revision as f64, "Removed": true },
        }
        .text();
        match value {
            Some(_) => state.items.insert(key.to_owned(), text.clone()),
            None => state.items.remove(key),
        };
        state.events.push((revision, Instant::now(), text));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut out = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = if request.path.starts_with("/kv-watch") {
                self.watch(&request.path)
            } else if request.path.starts_with("/kv-range") {
                (200, self.range(&request.path))
            } else {
                (404, "{}".to_owned())
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all(head.as_bytes()).is_err() || out.write_all(body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, path: &str) -> String {
        let after = query(path, "after").unwrap_or_default();
        let prefix = query(path, "Prefix").unwrap_or_default();
        let state = self.state.lock().unwrap();
        let (mut body, mut count) = (String::from("{\"items\":["), 0);
        let mut has_more = false;
        for (key, item) in &state.items {
            if key.as_str() <= after.as_str() && !after.is_empty() || !key.starts_with(&prefix) {
                continue;
            }
            if count == 500 || (count > 0 && body.len() + item.len() > 1_000_000) {
                has_more = true;
                break;
            }
            if count > 0 {
                body.push(',');
            }
            body.push_str(item);
            count += 1;
        }
        write!(
            body,
            "],\"HasMore\":{has_more},\"CurrentRev\":{}}}",
            state.revision
        )
        .unwrap();
        body
    }

    fn watch(&self, path: &str) -> (u16, String) {
        let after: u64 = query(path, "after")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let wait = query(path, "WaitMs")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let history = self.history;
            while state
                .events
                .first()
                .is_some_and(|(_, time, _)| time.elapsed() > history)
            {
                let (revision, _, _) = state.events.remove(0);
                state.gone = revision;
            }
            if after < state.gone {
                return (410, "{}".to_owned());
            }
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|(revision, _, _)| *revision > after)
                .map(|(_, _, text)| text.as_str())
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let events = events.join(",");
                let body = format!(
                    "{{\"events\":[{events}],\"CurrentRev\":{}}}",
                    state.revision
                );
                return (200, body);
            }
            state = self.changed.wait_timeout(state, end - now).unwrap().0;
        }
    }
}

// ---- backend servers ----

/// Starts a backend server; `answer` returns whether the connection goes on.
pub fn start_server(
    ip: Ipv4Addr,
    answer: impl Fn(&Heard, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let listener = listen(ip);
    let address = listener.local_addr().unwrap();
    accept_forever(listener, move |stream| {
        let mut out = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if !answer(&request, &mut out) {
                return;
            }
        }
    });
    address
}

/// Sends a complete answer that a server has sealed.
pub fn send_answer(request: &Heard, out: &mut TcpStream, more: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: 3e1b.07\r\n{more}Content-Length: {}\r\n\r\n",
        request.header("attempt-id"),
        body.len()
    );
    out.write_all(&[head.as_bytes(), body].concat()).is_ok()
}

/// Refuses a request that names another server.
pub fn send_misdirected(request: &Heard, out: &mut TcpStream) -> bool {
    let head = format!(
        "HTTP/1.1 421 X\r\nAttempt-Id: {}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        request.header("attempt-id")
    );
    out.write_all(head.as_bytes()).is_ok()
}

/// What a server writes about itself in the store.
pub fn server_entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: i32,
    state: &str,
) -> Json {
    map! {
        "Service": service, "Address": address.to_string(), "Zone": zone, "Version": "1",
        "Slots": slots, "State": state, "ColdRemainingMs": 0, "Sequence": 0, "born": 1_700_000_000_000.0
    }
}

// ---- clients ----

/// What a client saw of a request.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Status, or 0 if the connection ended without an answer, or the client gave up.
    pub status: u16,
    /// Whether the whole answer came.
    pub is_whole: bool,
    pub elapsed: Duration,
    pub body: Vec<u8>,
}

static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

/// A new attempt id.
pub fn attempt_id() -> String {
    format!("{:016x}", ATTEMPTS.fetch_add(1, Ordering::Relaxed))
}

/// A request of a client.
pub struct Asking<'r> {
    pub method: &'r str,
    pub path: &'r str,
    pub key: &'r str,
    pub attempt: &'r str,
    pub deadline: Duration,
    /// Time without a byte after which the client gives up.
    pub gap: Duration,
    pub more: &'r str,
    pub body: &'r [u8],
}

/// Sends a request on a new connection and reads the answer until the client's deadline.
pub fn ask(address: SocketAddr, asking: &Asking<'_>) -> Seen {
    let start = Instant::now();
    let mut seen = Seen {
        status: 0,
        is_whole: false,
        elapsed: Duration::ZERO,
        body: Vec::new(),
    };
    let _ = exchange(address, asking, start, &mut seen);
    seen.elapsed = start.elapsed();
    seen
}

fn exchange(
    address: SocketAddr,
    asking: &Asking<'_>,
    start: Instant,
    seen: &mut Seen,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: book.example\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n\
         Credential: {}\r\nContent-Length: {}\r\nConnection: close\r\n{}\r\n",
        asking.method,
        asking.path,
        asking.attempt,
        asking.deadline.as_millis(),
        asking.key,
        asking.body.len(),
        asking.more
    );
    stream.write_all(&[head.as_bytes(), asking.body].concat())?;
    let mut received = Vec::new();
    let mut buffer = vec![0; 65_536];
    loop {
        let left = asking
            .deadline
            .checked_sub(start.elapsed())
            .unwrap_or_default();
        if left.is_zero() {
            return Ok(());
        }
        stream.set_read_timeout(Some(left.min(asking.gap)))?;
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Ok(());
        }
        received.extend_from_slice(&buffer[..count]);
        let Some(end) = received.windows(4).position(|four| four == b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
        seen.status = head
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        seen.body = received[end + 4..].to_vec();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length:"));
        seen.is_whole = match length.and_then(|text| text.trim().parse::<usize>().ok()) {
            Some(length) => seen.body.len() >= length,
            None => seen.body.ends_with(b"0\r\n\r\n"),
        };
        if seen.is_whole {
            return Ok(());
        }
    }
}

// ---- gateways ----

/// A process of the gateway, started with the command of the deploy file.
pub struct Gateway {
    pub name: String,
    pub ip: Ipv4Addr,
    pub base: u16,
    pub child: Child,
    pub log: PathBuf,
}

impl Gateway {
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.base))
    }

    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.base + 1))
    }

    /// Waits until the readiness probe is answered with 200.
    pub fn wait_ready(&self) -> bool {
        for _ in 0..200 {
            if self.probe(Duration::from_secs(1)) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Whether the readiness probe is answered with 200 in time.
    pub fn probe(&self, time: Duration) -> bool {
        let answer = || -> io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.readiness(), time)?;
            stream.set_read_timeout(Some(time))?;
            stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut buffer = [0; 64];
            let count = stream.read(&mut buffer)?;
            Ok(buffer[..count].starts_with(b"HTTP/1.1 200"))
        };
        answer().unwrap_or(false)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads a quoted value of the deploy file.
fn deploy_value(name: &str) -> String {
    let text = fs::read_to_string("deploy/system.toml").expect("deploy/system.toml");
    let line = text
        .lines()
        .find(|line| line.split('=').next().is_some_and(|key| key.trim() == name));
    let value = line
        .and_then(|line| line.split_once('='))
        .expect("a value of the deploy file")
        .1;
    value.trim().trim_matches('"').to_owned()
}

/// Settings of one process, in the fields that DEPLOY.md lists; figures of a small deployment.
fn node_settings(
    name: &str,
    zone: &str,
    zones: &[&str],
    ip: Ipv4Addr,
    base: u16,
    seeds: &[SocketAddr],
    store: SocketAddr,
) -> Json {
    let at = |offset: u16| format!("{ip}:{}", base + offset);
    let regions = zones
        .iter()
        .map(|zone| ((*zone).to_owned(), Json::from("region")))
        .collect();
    let seeds: Vec<Json> = seeds
        .iter()
        .map(|seed| Json::from(seed.to_string()))
        .collect();
    map! {
        "NodeName": name, "Role": "gateway", "MachineClass": "front",
        "Serves": vec![Json::from("front"), Json::from("control"), Json::from("directory")],
        "Ip": ip.to_string(), "Zone": zone, "Region": "region",
        "InternalPorts": vec![Json::from(f64::from(base + 4)), Json::from(f64::from(base + 9))],
        "Seeds": seeds, "Bootstrap": true, "CountsAsLoss": false, "Discovery": "platform",
        "Entry": "directory", "HeartbeatMs": 1200, "Zones": Json::Map(regions),
        "Listen": map! { "Front": at(0), "Ready": at(1), "Control": at(2), "Directory": at(3) },
        "Limits": map! {
            "CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000,
            "DiskMb": 0
        },
        "Tolerate": map! { "Machines": 1, "Zones": 1, "Regions": 0 },
        "Bounds": map! {
            "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
            "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000,
            "RollbackSlackMs": 250, "OuterMs": 5000, "RevokeStrict": false, "RevokeMs": 5000,
            "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetrySlack": 52, "QuotaWindowS": 8,
            "QuotaOverage": 0.25, "QuotaSlack": 110000, "ColdOverage": 1.5, "ColdSlack": 5,
            "EvacuationMs": 5000, "RecoveryS": 12, "PassMs": 120, "RetryAfterS": 0,
            "FencingRequired": false, "LeaseMs": 3000, "ThawSlackMs": 300, "CeilingWindowS": 5,
            "CeilingOverage": 1.1, "version_ms": 5000, "ttl_max_s": 5
        },
        "Platform": map! {
            "Address": store.to_string(), "form": "read", "WritesPerS": 400, "ReadsPerS": 2000,
            "HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000
        }
    }
}

/// Starts gateways on the addresses `ips`, one in each of `zones`, and waits until they are ready.
pub fn start_gateways(
    folder: &Path,
    ips: &[Ipv4Addr],
    zones: &[&str],
    store: SocketAddr,
) -> Option<Vec<Gateway>> {
    let base = 21_000;
    let seeds: Vec<SocketAddr> = ips
        .iter()
        .take(3)
        .map(|ip| SocketAddr::from((*ip, base + 2)))
        .collect();
    let template = fs::read_to_string(deploy_value("template")).expect("template of the settings");
    let mut gateways = Vec::new();
    for (index, ip) in ips.iter().enumerate() {
        let name = format!("front-{index}");
        let zone = zones[index % zones.len()];
        let settings = node_settings(&name, zone, zones, *ip, base, &seeds, store);
        let file = folder.join(format!("{name}.settings"));
        fs::write(&file, render(&template, &[&settings], "", true)).expect("write settings");
        let log = folder.join(format!("{name}.log"));
        let output = File::create(&log).expect("create a log");
        let run = deploy_value("run");
        let mut words = run.split(' ');
        let child = Command::new(words.next().unwrap())
            .args(words)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("WASABISTALL_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stderr(output.try_clone().unwrap())
            .stdout(output)
            .spawn()
            .ok()?;
        gateways.push(Gateway {
            name,
            ip: *ip,
            base,
            child,
            log,
        });
    }
    gateways.iter().all(Gateway::wait_ready).then_some(gateways)
}
