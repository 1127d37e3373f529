//! Stand-ins for the cases of the second review: the platform's store, servers and callers.
//!
//! Uses the standard library alone. Each case is a function that plays one deployment on loopback
//! addresses and checks one rule from what callers and servers saw.

#[path = "cases-2.rs"]
mod cases;

use std::{
    collections::{BTreeMap, HashMap},
    fs::File,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Result of a case: exit code 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

#[allow(dead_code)]
fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = arguments.next().unwrap_or_else(|| ".".into());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(&folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, trouble {trouble}"));
    match cases::run(&case, trouble, &record) {
        Verdict::Held => {
            record.line("result: the rule held");
            ExitCode::from(0)
        }
        Verdict::Broken => {
            record.line("result: the rule was broken");
            ExitCode::from(1)
        }
        Verdict::NotRun => {
            record.line("result: the case could not run");
            ExitCode::from(2)
        }
    }
}

/// The case's record.txt, with the time since the start in front of each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    fn create(path: &Path) -> io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.now());
    }

    /// Writes a line of the result to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

pub fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

/// A free port below those that the system gives to outgoing connections, which could take it while
/// its process is down.
pub fn free_port() -> u16 {
    const FIRST: u64 = 16_000;
    const COUNT: u64 = 16_000;
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let offset = u64::from(std::process::id()).wrapping_mul(7_919);
    loop {
        let number = offset + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = (FIRST + number % COUNT) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let value = chunk
            .iter()
            .chain([&0, &0])
            .take(3)
            .fold(0_u32, |value, byte| value << 8 | u32::from(*byte));
        for position in 0..4 {
            if position <= chunk.len() {
                let digit = value >> (18 - 6 * position) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Value of a string or number field in a flat JSON object.
pub fn json_field(body: &str, name: &str) -> Option<String> {
    let start = body.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = body[start..].trim_start();
    if let Some(text) = rest.strip_prefix('"') {
        return Some(text[..text.find('"')?].to_owned());
    }
    let end = rest.find([',', '}', ']']).unwrap_or(rest.len());
    Some(rest[..end].trim().to_owned())
}

/// A received request, or the head of a response.
pub struct Message {
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        let target = self.line.split(' ').nth(1).unwrap_or("");
        target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let target = self.line.split(' ').nth(1)?;
        let pairs = target.split_once('?')?.1.split('&');
        pairs
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = header.trim_end().split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    Ok(Some(Message {
        line: line.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    }))
}

/// Reads the next chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16)
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

/// Reads a request with its body.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut request) = read_head(reader)? else {
        return Ok(None);
    };
    if let Ok(length) = request.header("content-length").parse() {
        request.body = vec![0; length];
        reader.read_exact(&mut request.body)?;
    } else if request.header("transfer-encoding") == "chunked" {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            request.body.extend(chunk);
        }
    }
    Ok(Some(request))
}

pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &str,
) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Values and revisions of the items; removed items have no value.
    items: BTreeMap<String, (Option<String>, u64)>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the store");
        let address = listener.local_addr().expect("address of the store");
        let store = Store {
            state: Arc::default(),
            address,
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item, or removes it.
    pub fn put(&self, key: &str, value: Option<String>) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (value, revision));
        drop(state);
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read_half) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(read_half);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            if write_response(&mut stream, status, headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        match request.path() {
            "/kv-range" => {
                let state = self.state.0.lock().unwrap();
                ("200 OK", list(&state, "items", 0))
            }
            "/kv-watch" => {
                let number = |name| request.query(name).and_then(|text| text.parse().ok());
                let after: u64 = number("after").unwrap_or(0);
                let wait = Duration::from_millis(number("WaitMs").unwrap_or(0));
                let state = self.state.0.lock().unwrap();
                let unchanged = |state: &mut StoreState| state.revision <= after;
                let waited = self.state.1.wait_timeout_while(state, wait, unchanged);
                let (state, _) = waited.unwrap();
                ("200 OK", list(&state, "events", after))
            }
            _ => ("404 Not Found", String::new()),
        }
    }
}

fn list(state: &StoreState, name: &str, after: u64) -> String {
    let items: Vec<String> = state
        .items
        .iter()
        .filter(|(_, (value, revision))| *revision > after && (after > 0 || value.is_some()))
        .map(|(key, (value, revision))| match value {
            Some(value) => format!(
                r#"{{"Key":"{key}","Value":"{}","Revision":{revision},"Created":{revision},"Lease":0}}"#,
                base64(value.as_bytes())
            ),
            None => format!(r#"{{"Key":"{key}","Revision":{revision},"Removed":true}}"#),
        })
        .collect();
    format!(
        r#"{{"{name}":[{}],"HasMore":false,"CurrentRev":{}}}"#,
        items.join(","),
        state.revision
    )
}

/// An order that arrived at a model server.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: f64,
    pub server: String,
    pub holder: String,
    pub fence: u64,
    pub status: u16,
}

/// Arrival of a caller's request at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub attempt: String,
    pub server: String,
    /// First line of the request.
    pub target: String,
    pub prefix: String,
    pub began: bool,
}

/// What all servers have seen.
#[derive(Default)]
pub struct Sightings {
    pub arrivals: Mutex<Vec<Arrival>>,
    pub orders: Mutex<Vec<Order>>,
    pub crashes: Mutex<Vec<(f64, String)>>,
}

/// Time to load the model from a server's disk.
const MODEL_LOAD: Duration = Duration::from_millis(760);
/// Time to load an adapter.
const ADAPTER_LOAD: Duration = Duration::from_millis(250);

struct ProcessState {
    id: String,
    born: u64,
    sequence: u64,
    has_model: bool,
    model_ready: Option<Instant>,
    running: u32,
    connections: Vec<TcpStream>,
    is_up: bool,
    /// Adapters that are loaded or loading, with the time at which they are ready.
    adapters: BTreeMap<String, Instant>,
    /// Whether the next process has the id of this one.
    keeps_id: bool,
}

impl ProcessState {
    fn has_adapter(&self, adapter: &str) -> bool {
        let ready = self.adapters.get(adapter);
        ready.is_some_and(|ready| *ready <= Instant::now())
    }
}

/// How a model server behaves.
#[derive(Clone)]
pub struct ModelOptions {
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    pub events: u32,
    pub event_interval: Duration,
    /// The part of a prompt on which the server crashes.
    pub crash_part: Option<String>,
    /// How long the server stays down after a crash.
    pub down: Duration,
    /// Set for a plain service, whose calls take this long and crash the server if their target ends in
    /// the text.
    pub plain: Option<(Duration, &'static str)>,
}

/// A model server with one base model.
pub struct ModelServer {
    name: String,
    address: SocketAddr,
    options: ModelOptions,
    state: Mutex<ProcessState>,
    starts: AtomicU64,
    store: Store,
    record: Record,
    pub sightings: Arc<Sightings>,
}

impl ModelServer {
    pub fn start(
        name: &str,
        options: ModelOptions,
        store: &Store,
        sightings: &Arc<Sightings>,
        record: &Record,
    ) -> Arc<ModelServer> {
        let address = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let server = Arc::new(ModelServer {
            name: name.to_owned(),
            address,
            options,
            state: Mutex::new(ProcessState {
                id: String::new(),
                born: 0,
                sequence: 0,
                has_model: true,
                model_ready: None,
                running: 0,
                connections: Vec::new(),
                is_up: false,
                adapters: BTreeMap::new(),
                keeps_id: false,
            }),
            starts: AtomicU64::new(0),
            store: store.clone(),
            record: record.clone(),
            sightings: sightings.clone(),
        });
        server.clone().begin(true);
        server
    }

    /// Starts a process of the server; the first one holds the model.
    fn begin(self: Arc<Self>, has_model: bool) {
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let listener = TcpListener::bind(self.address).expect("bind a server");
        listener.set_nonblocking(true).expect("set the listener up");
        {
            let mut state = self.state.lock().unwrap();
            if !state.keeps_id {
                state.id = format!("{}-{start}", self.name);
            }
            state.adapters.clear();
            state.born = unix_millis();
            state.sequence = 0;
            state.has_model = has_model;
            state.model_ready = None;
            state.running = 0;
            state.is_up = true;
        }
        self.register();
        thread::spawn(move || {
            loop {
                {
                    let state = self.state.lock().unwrap();
                    if !state.is_up {
                        break;
                    }
                    if let Ok((stream, _)) = listener.accept() {
                        drop(state);
                        let server = self.clone();
                        let builder = thread::Builder::new().stack_size(256 * 1024);
                        let _ = builder.spawn(move || server.serve(stream));
                        continue;
                    }
                }
                thread::sleep(Duration::from_millis(1));
            }
            // Refuses connections until the next process starts.
            drop(listener);
            let (connections, id, keeps_id) = {
                let mut state = self.state.lock().unwrap();
                let connections = std::mem::take(&mut state.connections);
                (connections, state.id.clone(), state.keeps_id)
            };
            for connection in connections {
                let _ = connection.shutdown(std::net::Shutdown::Both);
            }
            // The store drops the entry after three heartbeats of silence.
            let silence = Duration::from_millis(3_600).min(self.options.down);
            thread::sleep(silence);
            if !keeps_id {
                self.store.put(&format!("servers/{id}"), None);
            }
            thread::sleep(self.options.down - silence);
            self.begin(false);
        });
    }

    /// Crashes; the next process has the same id.
    pub fn crash_under_id(&self) {
        self.state.lock().unwrap().keeps_id = true;
        self.crash("its own");
    }

    fn crash(&self, attempt: &str) {
        let mut state = self.state.lock().unwrap();
        if std::mem::replace(&mut state.is_up, false) {
            let at = self.record.now();
            let running = state.running;
            let id = state.id.clone();
            self.sightings
                .crashes
                .lock()
                .unwrap()
                .push((at, id.clone()));
            self.record.line(&format!(
                "server {id} crashes on {attempt}, {running} running"
            ));
        }
    }

    fn models(state: &mut ProcessState) -> String {
        if state.model_ready.is_some_and(|time| time <= Instant::now()) {
            state.model_ready = None;
            state.has_model = true;
        }
        if !state.has_model {
            return "[]".to_owned();
        }
        let names = state.adapters.keys().filter(|name| state.has_adapter(name));
        let names: Vec<String> = names.map(|name| format!("\"{name}@1\"")).collect();
        format!(
            r#"[{{"Name":"m0","Version":1,"Adapters":[{}]}}]"#,
            names.join(",")
        )
    }

    fn coming(state: &ProcessState) -> String {
        let names = state
            .adapters
            .keys()
            .filter(|name| !state.has_adapter(name));
        let names: Vec<String> = names.map(|name| format!("\"m0/{name}@1\"")).collect();
        names.join(",")
    }

    fn register(&self) {
        let mut state = self.state.lock().unwrap();
        let models = ModelServer::models(&mut state);
        let entry = format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":{},"State":"ready","ColdRemainingMs":0,"Sequence":{},"born":{},"Stage":"both","Models":{models}}}"#,
            self.options.service,
            self.address,
            self.options.zone,
            self.options.slots,
            state.sequence,
            state.born
        );
        self.store
            .put(&format!("servers/{}", state.id), Some(entry));
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let (Ok(read_half), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        self.state.lock().unwrap().connections.push(kept);
        let mut reader = BufReader::new(read_half);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if !self.state.lock().unwrap().is_up {
                return;
            }
            let served = match request.path() {
                "/report" => self.report(&mut stream),
                "/order" => self.order(&mut stream, &request),
                _ => self.run(&mut stream, &request),
            };
            if served.is_err() {
                return;
            }
        }
    }

    fn report(&self, stream: &mut TcpStream) -> io::Result<()> {
        let body = {
            let mut state = self.state.lock().unwrap();
            let models = ModelServer::models(&mut state);
            format!(
                r#"{{"Stage":"both","Models":{models},"Busy":{},"Sequence":{},"Waiting":0,"Running":{},"KvUsed":1000,"KvTotal":224867,"Handles":0,"Coming":[{}],"AtHand":{{"InMemory":[],"OnDisk":["m0"]}},"born":{}}}"#,
                state.model_ready.is_some(),
                state.sequence,
                state.running,
                ModelServer::coming(&state),
                state.born
            )
        };
        write_response(
            stream,
            "200 OK",
            "Content-Type: application/json\r\n",
            &body,
        )
    }

    fn order(self: &Arc<Self>, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let expected = json_field(&body, "Expected");
        let adapter = json_field(&body, "Adapter");
        let is_load = json_field(&body, "Operation").as_deref() == Some("load");
        let mut loads_model = false;
        let (status, id, born) = {
            let mut state = self.state.lock().unwrap();
            ModelServer::models(&mut state);
            let holds = match &adapter {
                Some(adapter) => state.adapters.contains_key(adapter),
                None => state.has_model,
            };
            let status = if request.header("expect-instance") != state.id {
                "421 Misdirected Request"
            } else if holds == is_load {
                "200 OK"
            } else if state.model_ready.is_some()
                || expected.is_some_and(|expected| expected != state.sequence.to_string())
            {
                "409 Conflict"
            } else if adapter.is_some() && !state.has_model {
                "421 Misdirected Request"
            } else {
                state.sequence += 1;
                match adapter {
                    Some(adapter) if is_load => {
                        let ready = Instant::now() + ADAPTER_LOAD;
                        state.adapters.insert(adapter, ready);
                        "202 Accepted"
                    }
                    Some(adapter) => {
                        state.adapters.remove(&adapter);
                        "200 OK"
                    }
                    None => {
                        loads_model = true;
                        state.model_ready = Some(Instant::now() + MODEL_LOAD);
                        "202 Accepted"
                    }
                }
            };
            (status, state.id.clone(), state.born)
        };
        if loads_model {
            let server = self.clone();
            thread::spawn(move || {
                thread::sleep(MODEL_LOAD + Duration::from_millis(20));
                server.register();
            });
        }
        self.sightings.orders.lock().unwrap().push(Order {
            at: self.record.now(),
            server: format!("{id} born {born}"),
            holder: json_field(&body, "Holder").unwrap_or_default(),
            fence: json_field(&body, "Fence")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0),
            status: status[..3].parse().unwrap_or(0),
        });
        self.record
            .line(&format!("order at {id}: {body} -> {status}"));
        write_response(stream, status, "", "")
    }

    fn run(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let attempt = request.header("attempt-id").to_owned();
        let prefix = request.header("prompt-prefix").to_owned();
        let echo = format!("Attempt-Id: {attempt}\r\n");
        let refusal = {
            let mut state = self.state.lock().unwrap();
            ModelServer::models(&mut state);
            let expected = request.header("expect-instance");
            let adapter = request.header("model").split_once('/');
            let lacks_adapter = adapter.is_some_and(|(_, adapter)| !state.has_adapter(adapter));
            let is_other = !expected.is_empty() && expected != state.id;
            let lacks_model = self.options.plain.is_none() && !state.has_model;
            let refusal = if is_other || lacks_model || lacks_adapter {
                Some("421 Misdirected Request")
            } else if state.running >= self.options.slots {
                Some("503 Service Unavailable")
            } else {
                state.running += 1;
                None
            };
            self.sightings.arrivals.lock().unwrap().push(Arrival {
                at: self.record.now(),
                attempt: attempt.clone(),
                server: state.id.clone(),
                target: request.line.clone(),
                prefix: prefix.clone(),
                began: refusal.is_none(),
            });
            refusal
        };
        if let Some(status) = refusal {
            return write_response(stream, status, &format!("{echo}Not-Executed: 1\r\n"), "");
        }
        let born = self.state.lock().unwrap().born;
        let result = match self.options.plain {
            Some((time, crash)) => self.write_call(stream, request, time, crash),
            None => self.write_events(stream, &attempt, &prefix, &echo),
        };
        let mut state = self.state.lock().unwrap();
        if state.born == born {
            state.running = state.running.saturating_sub(1);
        }
        result
    }

    fn write_call(
        &self,
        stream: &mut TcpStream,
        request: &Message,
        time: Duration,
        crash: &str,
    ) -> io::Result<()> {
        let attempt = request.header("attempt-id");
        thread::sleep(time);
        if request.line.contains(crash) {
            self.crash(attempt);
            thread::sleep(Duration::from_millis(20));
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let load = self.state.lock().unwrap().running;
        let headers = format!(
            "Attempt-Id: {attempt}\r\nResponse-Seal: seal.{attempt}\r\nServer-Load: {load},0,{}\r\n",
            self.options.slots
        );
        write_response(stream, "200 OK", &headers, &format!("answer to {attempt}"))
    }

    fn write_events(
        &self,
        stream: &mut TcpStream,
        attempt: &str,
        prefix: &str,
        echo: &str,
    ) -> io::Result<()> {
        // The prompt is read before the first event.
        thread::sleep(Duration::from_millis(30));
        if let Some(part) = &self.options.crash_part
            && prefix
                .split(',')
                .any(|other| other.split(':').next() == Some(part.as_str()))
        {
            self.crash(attempt);
            thread::sleep(Duration::from_millis(20));
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}Response-Seal: seal.{attempt}\r\nWeight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in 0..self.options.events {
            if number > 0 {
                thread::sleep(self.options.event_interval);
            }
            let event = format!("id: {number}\ndata: piece {number} of {attempt}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// A process of the system, started with the command of the deploy file.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    has_started: AtomicBool,
}

/// Setting of processes that start together with the whole system for the first time.
const FIRST_START: &str = "\"first_start\": true,";

/// Places of a gateway before it is started.
pub struct GatewayPlan {
    pub name: String,
    pub zone: &'static str,
    ports: [u16; 5],
}

impl GatewayPlan {
    pub fn new(name: &str, zone: &'static str) -> GatewayPlan {
        GatewayPlan {
            name: name.to_owned(),
            zone,
            ports: std::array::from_fn(|_| free_port()),
        }
    }

    fn address(&self, position: usize) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.ports[position]))
    }
}

/// Starts gateways with the settings that the deploy file's template renders to.
pub fn start_gateways(
    folder: &Path,
    plans: &[GatewayPlan],
    zones: &[&str],
    store: SocketAddr,
) -> io::Result<Vec<Gateway>> {
    let seeds: Vec<String> = plans
        .iter()
        .take(3)
        .map(|plan| format!("\"{}\"", plan.address(2)))
        .collect();
    let zones: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\"")).collect();
    let mut gateways = Vec::new();
    for plan in plans {
        let text = format!(
            r#"{{"role": "gateway", "instance": "{}", "data_centre": "{}", "data_centres": [{}],
"listen": {{"callers": "{}", "readiness": "{}", "peers": "{}", "addresses": "{}", "operators": "{}"}},
"store": "{store}", "first_peers": [{}], "first_start": true,
"bounds": {{"quota_window_s": 8, "quota_overage": 0.25, "quota_slack": 110000, "retry_window_s": 10,
"retry_ratio": 0.2, "retry_slack": 52, "cold_overage": 1.5, "cold_slack": 5, "order_lease_ms": 3000}},
"grace_s": 8, "memory_mb": 260, "telemetry": {{"log_format": "json", "log_level": "info"}}}}"#,
            plan.name,
            plan.zone,
            zones.join(", "),
            plan.address(0),
            plan.address(1),
            plan.address(2),
            plan.address(3),
            plan.address(4),
            seeds.join(", ")
        );
        let settings = folder.join(format!("{}.jsonc", plan.name));
        std::fs::write(&settings, text)?;
        let gateway = Gateway {
            name: plan.name.clone(),
            front: plan.address(0),
            ready: plan.address(1),
            control: plan.address(2),
            log: folder.join(format!("{}.log", plan.name)),
            settings,
            child: Mutex::new(None),
            has_started: AtomicBool::new(false),
        };
        gateway.start()?;
        gateways.push(gateway);
    }
    Ok(gateways)
}

impl Gateway {
    pub fn start(&self) -> io::Result<()> {
        // The platform states `Bootstrap` at the first start of the whole system only.
        if self.has_started.swap(true, Ordering::Relaxed) {
            let settings = std::fs::read_to_string(&self.settings)?;
            std::fs::write(&self.settings, settings.replace(FIRST_START, ""))?;
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/wasabistalld")
            .env("WASABISTALL_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn is_running(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: probe\r\n\r\n");
        let head = read_head(&mut BufReader::new(stream));
        matches!(head, Ok(Some(head)) if head.status() == 200)
    }

    /// Asks the process to stop and waits until it has; returns whether it ended in time.
    pub fn stop(&self, time: Duration) -> bool {
        unsafe extern "C" {
            fn kill(process: i32, signal: i32) -> i32;
        }
        const SIGTERM: i32 = 15;
        let mut child = self.child.lock().unwrap();
        let Some(process) = child.as_mut() else {
            return true;
        };
        // SAFETY: the process was started here and has not been waited for.
        unsafe { kill(process.id() as i32, SIGTERM) };
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            if matches!(process.try_wait(), Ok(Some(_))) {
                *child = None;
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn wait_ready(gateways: &[Gateway], time: Duration) -> bool {
    let deadline = Instant::now() + time;
    while !gateways.iter().all(Gateway::is_ready) {
        if Instant::now() > deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(100));
    }
    true
}

/// A folder that is removed at the end.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn new() -> io::Result<TemporaryFolder> {
        let name = format!(
            "wasabistall-review-{}-{}",
            std::process::id(),
            unix_millis()
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(TemporaryFolder(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What a caller got for one attempt.
#[derive(Clone, Debug)]
pub struct Answer {
    pub sent: f64,
    pub attempt: String,
    /// 0 if no head arrived.
    pub status: u16,
    pub seal: String,
    pub body: Vec<u8>,
    /// Whether the answer ended as complete.
    pub complete: bool,
    pub ended: f64,
}

/// Sends one request on a new connection and reads its answer to the end.
pub fn send_request(
    record: &Record,
    front: SocketAddr,
    line: &str,
    headers: &str,
    attempt: &str,
    body: &[u8],
    patience: Duration,
) -> Answer {
    let mut answer = Answer {
        sent: record.now(),
        attempt: attempt.to_owned(),
        status: 0,
        seal: String::new(),
        body: Vec::new(),
        complete: false,
        ended: 0.0,
    };
    let _ = exchange(&mut answer, front, line, headers, body, patience);
    answer.ended = record.now();
    answer
}

fn exchange(
    answer: &mut Answer,
    front: SocketAddr,
    line: &str,
    headers: &str,
    body: &[u8],
    patience: Duration,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    let head = format!(
        "{line} HTTP/1.1\r\nAttempt-Id: {}\r\n{headers}Content-Length: {}\r\n\r\n",
        answer.attempt,
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader)? else {
        return Ok(());
    };
    answer.status = head.status();
    answer.seal = head.header("response-seal").to_owned();
    if head.header("transfer-encoding") == "chunked" {
        loop {
            let chunk = read_chunk(&mut reader)?;
            if chunk.is_empty() {
                break;
            }
            answer.body.extend(chunk);
        }
    } else {
        let length = head.header("content-length").parse().unwrap_or(0);
        answer.body = vec![0; length];
        reader.read_exact(&mut answer.body)?;
    }
    answer.complete = true;
    Ok(())
}

/// Small generator of pseudo-random numbers.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

/// Set once threads that generate traffic are to stop.
pub type StopFlag = Arc<AtomicBool>;
