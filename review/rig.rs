//! Stand-ins, callers and checks for the scripts of this review. Uses the standard library only.
//!
//! `rig CASE FOLDER` starts gateways with the command of the deploy file, plays the case on loopback
//! addresses and writes what was sent, run and answered to `FOLDER/record.txt`. The exit code is 0 if
//! the rule held, 1 if it was broken, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment it does the same without the disruption.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

#[path = "cases.rs"]
mod cases;

// ---------------------------------------------------------------------------------------------
// Record

/// Writes lines with the time since the start of the case.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let millis = self.start.elapsed().as_millis();
        let mut file = lock(&self.file);
        let _ = writeln!(file, "{millis:>7} {text}");
    }

    pub fn millis(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

// ---------------------------------------------------------------------------------------------
// HTTP

pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body was received to its end.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        let target = self.first.split(' ').nth(1).unwrap_or("");
        target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let target = self.first.split(' ').nth(1)?;
        let pairs = target.split_once('?')?.1.split('&');
        pairs
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a request or a response; `None` if the connection ends before its head is complete.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let first = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut message = Message {
        first,
        headers,
        body: Vec::new(),
        complete: true,
    };
    if message.header("transfer-encoding") == Some("chunked") {
        message.complete = read_chunks(reader, &mut message.body);
    } else if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().ok()?;
        message.body = vec![0; length];
        let mut filled = 0;
        while filled < length {
            match reader.read(&mut message.body[filled..]) {
                Ok(0) | Err(_) => break,
                Ok(count) => filled += count,
            }
        }
        message.body.truncate(filled);
        message.complete = filled == length;
    }
    Some(message)
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
        return None;
    }
    Some(line.trim_end().to_owned())
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let Some(line) = read_line(reader) else {
            return false;
        };
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return false;
        };
        let mut chunk = vec![0; length + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return false;
        }
        if length == 0 {
            return true;
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

pub fn response(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Serves each connection on a thread of its own.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(TcpStream) + Send + Sync + 'static,
{
    serve_until(listener, Arc::default(), handle);
}

/// The same, until `is_down` is set; the next connection after that closes the port.
pub fn serve_until<F>(listener: TcpListener, is_down: Arc<AtomicBool>, handle: F)
where
    F: Fn(TcpStream) + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if is_down.load(Ordering::Relaxed) {
                return;
            }
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            let builder = thread::Builder::new().stack_size(256 * 1024);
            let _ = builder.spawn(move || handle(stream));
        }
    });
}

/// Waits for `time`; returns false as soon as the caller closes the connection.
pub fn wait_connected(stream: &TcpStream, time: Duration) -> bool {
    let end = Instant::now() + time;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        let _ = stream.set_read_timeout(Some(left.min(Duration::from_millis(20))));
        let is_open = match stream.peek(&mut [0; 1]) {
            Ok(count) => count > 0,
            Err(error) => matches!(
                error.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ),
        };
        let _ = stream.set_read_timeout(None);
        if !is_open {
            return false;
        }
        thread::sleep(Duration::from_millis(2).min(left));
    }
}

// ---------------------------------------------------------------------------------------------
// Values

pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for position in 0..3 {
            bits = bits << 8 | u32::from(group.get(position).copied().unwrap_or(0));
        }
        for position in 0..4 {
            if position <= group.len() {
                text.push(char::from(
                    LETTERS[(bits >> (18 - 6 * position) & 63) as usize],
                ));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Value of a field of a flat JSON object, without quotes.
pub fn json_field(text: &str, name: &str) -> Option<String> {
    let rest = text.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let value = match rest.strip_prefix('"') {
        Some(rest) => rest.split('"').next()?,
        None => rest.split([',', '}']).next()?.trim(),
    };
    Some(value.to_owned())
}

pub fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |time| time.as_millis() as u64)
}

// ---------------------------------------------------------------------------------------------
// The platform's store

struct StoreState {
    items: BTreeMap<String, (Option<String>, u64)>,
    revision: u64,
}

/// The platform's store, which loses nothing and answers at once.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the store");
        let state = StoreState {
            items: BTreeMap::new(),
            revision: 1,
        };
        let store = Store {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr().expect("address of the store"),
        };
        let served = store.clone();
        serve(listener, move |stream| served.handle(stream));
        store
    }

    /// Writes an item, or removes it. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: Option<&str>) {
        let mut state = lock(&self.state.0);
        state.revision += 1;
        let item = (value.map(str::to_owned), state.revision);
        state.items.insert(key.to_owned(), item);
        self.state.1.notify_all();
    }

    fn handle(&self, stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut writer = stream;
        while let Some(request) = read_message(&mut reader) {
            let answer = match request.path() {
                "/kv-range" => response("200 OK", JSON, &self.page("items", 0)),
                "/kv-watch" => {
                    let number = |name| request.query(name).and_then(|text| text.parse().ok());
                    let after = number("after").unwrap_or(0);
                    self.wait_for_change(after, number("WaitMs").unwrap_or(0));
                    response("200 OK", JSON, &self.page("events", after))
                }
                _ => response("404 Not Found", "", ""),
            };
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn wait_for_change(&self, after: u64, millis: u64) {
        let state = lock(&self.state.0);
        let time = Duration::from_millis(millis);
        let unchanged = |state: &mut StoreState| state.revision <= after;
        let _ = self.state.1.wait_timeout_while(state, time, unchanged);
    }

    fn page(&self, list: &str, after: u64) -> String {
        let state = lock(&self.state.0);
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
            r#"{{"{list}":[{}],"HasMore":false,"CurrentRev":{}}}"#,
            items.join(","),
            state.revision
        )
    }
}

pub const JSON: &str = "Content-Type: application/json\r\n";

// ---------------------------------------------------------------------------------------------
// Gateways

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
    pub directory: SocketAddr,
    pub settings: PathBuf,
    process: Child,
}

impl Gateway {
    pub fn signal(&self, signal: i32) {
        // Only processes that this program started are signalled.
        unsafe {
            kill(self.process.id() as i32, signal);
        }
    }

    pub fn has_exited(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Command of the role in the deploy file.
fn deploy_command() -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").expect("read the deploy file");
    let line = text.lines().find_map(|line| line.strip_prefix("run = "));
    let command = line.expect("a command in the deploy file");
    let words = command.trim().trim_matches('"').split(' ');
    words.map(str::to_owned).collect()
}

/// Settings of a process: the template of the deploy file, filled in like the platform does. The
/// bounds are those of the Sauti sheet.
fn settings(name: &str, addresses: &[SocketAddr], seeds: &str, store: SocketAddr) -> String {
    let template = fs::read_to_string("deploy/settings.jsonc").expect("read the template");
    let listen = |position: usize| addresses[position].to_string();
    let values = [
        ("{{NodeName}}", name.to_owned()),
        ("{{Zone}}", "zone-a".to_owned()),
        (
            r#"{{#Zones}}"{{@}}"{{,}}{{/Zones}}"#,
            r#""zone-a","zone-b""#.to_owned(),
        ),
        ("{{Listen.Front}}", listen(0)),
        ("{{Listen.Ready}}", listen(1)),
        ("{{Listen.Control}}", listen(2)),
        ("{{Listen.Directory}}", listen(3)),
        ("{{Ip}}:{{InternalPorts.0}}", listen(4)),
        ("{{Platform.Address}}", store.to_string()),
        ("{{Seeds|json}}", seeds.to_owned()),
        ("{{Bootstrap|json}}", "true".to_owned()),
        ("{{Bounds.QuotaWindowS}}", "8".to_owned()),
        ("{{Bounds.QuotaOverage}}", "0.25".to_owned()),
        ("{{Bounds.QuotaSlack}}", "110000".to_owned()),
        ("{{Bounds.BudgetWindowS}}", "10".to_owned()),
        ("{{Bounds.RetryBudgetRatio}}", "0.2".to_owned()),
        ("{{Bounds.RetrySlack}}", "52".to_owned()),
        ("{{Bounds.ColdOverage}}", "1.5".to_owned()),
        ("{{Bounds.ColdSlack}}", "5".to_owned()),
        ("{{Bounds.LeaseMs}}", "3000".to_owned()),
        ("{{Bounds.GraceS}}", GRACE_S.to_string()),
        ("{{Limits.MemoryMb}}", "260".to_owned()),
    ];
    let mut text = template;
    for (placeholder, value) in values {
        text = text.replace(placeholder, &value);
    }
    assert!(!text.contains("{{"), "a placeholder was not filled in");
    text
}

/// `GraceS` of the Sauti sheet.
pub const GRACE_S: u64 = 8;

/// Free ports of a loopback address, all different.
pub fn free_ports(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("bind a free port"))
        .collect();
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses.map(|address| address.expect("a port")).collect()
}

/// Starts `count` gateways that are each other's seeds, and waits until all are ready.
pub fn start_gateways(count: usize, folder: &Path, store: &Store, record: &Record) -> Vec<Gateway> {
    let ports = free_ports(count * 5);
    let control: Vec<SocketAddr> = ports.chunks(5).map(|ports| ports[2]).collect();
    let gateways: Vec<Gateway> = ports
        .chunks(5)
        .enumerate()
        .map(|(number, ports)| {
            let name = format!("front-{}", number + 1);
            start_gateway(&name, ports, &control, folder, store)
        })
        .collect();
    wait_ready(&gateways);
    // The instances find each other.
    thread::sleep(Duration::from_secs(2));
    record.line(&format!("{count} gateways are ready"));
    gateways
}

/// Starts one gateway on five addresses.
pub fn start_gateway(
    name: &str,
    addresses: &[SocketAddr],
    seeds: &[SocketAddr],
    folder: &Path,
    store: &Store,
) -> Gateway {
    let command = deploy_command();
    let path = folder.join(format!("{name}.jsonc"));
    write_settings(&path, name, addresses, seeds, store);
    let log = File::create(folder.join(format!("{name}.log"))).expect("create a log");
    let process = Command::new(&command[0])
        .args(&command[1..])
        .env("WASABISTALL_NODE_FILE", &path)
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .expect("start a gateway");
    Gateway {
        name: name.to_owned(),
        callers: addresses[0],
        readiness: addresses[1],
        control: addresses[2],
        directory: addresses[3],
        settings: path,
        process,
    }
}

/// Writes the settings file of a gateway, as the platform does at a start and when they change.
pub fn write_settings(
    path: &Path,
    name: &str,
    addresses: &[SocketAddr],
    seeds: &[SocketAddr],
    store: &Store,
) {
    let seeds: Vec<String> = seeds
        .iter()
        .take(3)
        .map(|seed| format!("\"{seed}\""))
        .collect();
    let seeds = format!("[{}]", seeds.join(","));
    fs::write(path, settings(name, addresses, &seeds, store.address)).expect("write settings");
}

/// Waits until all gateways are ready.
pub fn wait_ready(gateways: &[Gateway]) {
    let end = Instant::now() + Duration::from_secs(20);
    for gateway in gateways {
        while !is_ready(gateway) {
            assert!(Instant::now() < end, "a gateway is not ready");
            thread::sleep(Duration::from_millis(50));
        }
    }
}

pub fn is_ready(gateway: &Gateway) -> bool {
    get(gateway.readiness, "/readiness").is_some_and(|answer| answer.status() == 200)
}

pub fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: platform\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

// ---------------------------------------------------------------------------------------------
// Callers

/// What a caller saw of its request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status; 0 if the connection ended before the head of an answer.
    pub status: u16,
    /// Whether the answer was received to its end.
    pub complete: bool,
    pub sealed: bool,
    pub body: String,
    /// Time from sending the request to the end of the answer or of the connection.
    pub elapsed: Duration,
}

/// Sends a request on a new connection and reads the answer.
pub fn ask(address: SocketAddr, request: &str) -> Answer {
    let started = Instant::now();
    let message = (|| {
        let mut stream = TcpStream::connect(address).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .ok()?;
        stream.set_nodelay(true).ok()?;
        stream.write_all(request.as_bytes()).ok()?;
        read_message(&mut BufReader::new(stream))
    })();
    let elapsed = started.elapsed();
    match message {
        Some(message) => Answer {
            status: message.status(),
            complete: message.complete,
            sealed: message.header("response-seal").is_some(),
            body: message.text(),
            elapsed,
        },
        None => Answer {
            status: 0,
            complete: false,
            sealed: false,
            body: String::new(),
            elapsed,
        },
    }
}

// ---------------------------------------------------------------------------------------------

pub struct Case {
    pub record: Arc<Record>,
    /// Temporary folder for settings and logs.
    pub scratch: PathBuf,
    pub has_trouble: bool,
}

/// Outcome of a case: the violations of the rule.
pub type Violations = Vec<String>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: rig CASE FOLDER");
        std::process::exit(2);
    };
    let file = File::create(Path::new(folder).join("record.txt")).expect("create the record");
    let record = Arc::new(Record {
        start: Instant::now(),
        file: Mutex::new(file),
    });
    let scratch = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
    fs::create_dir_all(&scratch).expect("create a temporary folder");
    let case = Case {
        record: record.clone(),
        scratch: scratch.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    record.line(&format!("case {name}, trouble: {}", case.has_trouble));
    let (sender, receiver) = mpsc::channel();
    let name = name.clone();
    thread::spawn(move || {
        // A panic drops the sender; dropping the gateways ends their processes.
        let _ = sender.send(cases::run(&name, &case));
    });
    let code = match receiver.recv_timeout(Duration::from_secs(115)) {
        Ok(Some(violations)) => {
            for violation in &violations {
                record.line(&format!("BROKEN {violation}"));
                println!("broken: {violation}");
            }
            i32::from(!violations.is_empty())
        }
        Ok(None) | Err(_) => 2,
    };
    record.line(&format!("exit {code}"));
    if std::env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&scratch);
    }
    std::process::exit(code);
}
