//! The cases of the review.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{
    Answer, Case, GRACE_S, JSON, Message, Record, SIGHUP, SIGKILL, SIGTERM, Store, Violations, ask,
    free_ports, get, json_field, lock, read_message, response, serve, serve_until, start_gateway,
    start_gateways, unix_millis, wait_connected, wait_ready, write_settings,
};

pub fn run(name: &str, case: &Case) -> Option<Violations> {
    match name {
        "stop" => stop(case),
        "version" => version(case),
        "cold" => cold(case),
        "replace" => replace(case),
        "holders" => holders(case),
        _ => None,
    }
}

/// Writes the configuration; `engine` is the field of the model service, if there is one.
fn config(store: &Store, version: u64, routes: &str, services: &str) {
    let value = format!(
        r#"{{"Version":{version},"Routes":[{routes}],"Services":[{services}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"team","ApiKeys":["key-of-the-team"],"RatePerS":0,"Burst":0}}]}}"#
    );
    store.put("op/config", Some(&value));
}

fn headers(attempt: &str, deadline_ms: u64) -> String {
    format!(
        "Host: host.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {deadline_ms}\r\nCredential: key-of-the-team\r\n"
    )
}

// ---------------------------------------------------------------------------------------------
// Servers of calls

/// A request that reached a server.
#[derive(Clone, Debug)]
struct Run {
    attempt: String,
    /// Whether the server gave its whole answer.
    finished: bool,
}

/// Starts a server that works on each request for `work` and then answers it, and registers it.
fn start_desk(
    store: &Store,
    id: &str,
    work: Duration,
    runs: &Arc<Mutex<Vec<Run>>>,
    record: &Arc<Record>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a server");
    let address = listener.local_addr().expect("address of a server");
    let entry = format!(
        r#"{{"Service":"desk","Address":"{address}","Zone":"zone-a","Version":"v1","Slots":6,"State":"ready","ColdRemainingMs":0,"Sequence":0,"born":{}}}"#,
        unix_millis()
    );
    store.put(&format!("servers/{id}"), Some(&entry));
    let (id, runs, record) = (id.to_owned(), runs.clone(), record.clone());
    serve(listener, move |stream| {
        serve_desk(stream, &id, work, &runs, &record);
    });
}

fn serve_desk(
    mut stream: TcpStream,
    id: &str,
    work: Duration,
    runs: &Mutex<Vec<Run>>,
    record: &Record,
) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(request) = read_message(&mut reader) {
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        if request.header("expect-instance") != Some(id) {
            let head = format!("Attempt-Id: {attempt}\r\n");
            let answer = response("421 Misdirected Request", &head, "");
            let _ = stream.write_all(answer.as_bytes());
            continue;
        }
        let position = {
            let mut runs = lock(runs);
            runs.push(Run {
                attempt: attempt.clone(),
                finished: false,
            });
            runs.len() - 1
        };
        record.line(&format!("server {id} begins {attempt}"));
        if !wait_connected(&stream, work) {
            record.line(&format!(
                "server {id} drops {attempt}: its connection was closed"
            ));
            return;
        }
        lock(runs)[position].finished = true;
        let head = format!("Attempt-Id: {attempt}\r\nResponse-Seal: seal.{attempt}\r\n");
        let answer = response("200 OK", &head, &format!("answer to {attempt}"));
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        record.line(&format!("server {id} has answered {attempt}"));
    }
}

// ---------------------------------------------------------------------------------------------
// Case `stop`: a planned stop cuts calls that it accepted

/// `TimeoutMs` of the route, and the caller's deadline.
const CALL_TIMEOUT_MS: u64 = 3_000;
/// Work of the server on a call.
const CALL_WORK: Duration = Duration::from_millis(2_700);
/// When calls are sent, from the signal on.
const CALL_TIMES_MS: [u64; 4] = [5_200, 5_400, 5_600, 5_800];

fn stop(case: &Case) -> Option<Violations> {
    let record = &case.record;
    let store = Store::start();
    let runs = Arc::new(Mutex::new(Vec::new()));
    for id in ["desk-1", "desk-2"] {
        start_desk(&store, id, CALL_WORK, &runs, record);
    }
    config(
        &store,
        1,
        &format!(
            r#"{{"Name":"confirm","Host":"host.example","Prefix":"/confirm/","Kind":"unsafe","TimeoutMs":{CALL_TIMEOUT_MS},"TargetLatencyMs":3000,"Priority":2,"Service":"desk","MaxAttempts":1,"Public":false}}"#
        ),
        r#"{"Name":"desk","HealthPath":"/health","MaxConnections":96,"ColdStartS":0.0,"ColdPerS":0.0}"#,
    );
    let gateways = start_gateways(2, &case.scratch, &store, record);
    let first = &gateways[0];
    // Callers keep an answer of the directory for its time, some of them three times as long.
    let resolved = get(first.directory, "/resolve?Name=host.example&Zone=zone-a")?.text();
    record.line(&format!("directory: {resolved}"));
    if !resolved.contains(&first.callers.to_string()) {
        return None;
    }
    let stopped = Instant::now();
    if case.has_trouble {
        first.signal(SIGTERM);
        record.line(&format!("SIGTERM to {}", first.name));
    }
    let callers: Vec<_> = CALL_TIMES_MS
        .into_iter()
        .map(|millis| {
            let (address, record) = (first.callers, record.clone());
            thread::spawn(move || {
                let at = Duration::from_millis(millis);
                thread::sleep(at.saturating_sub(stopped.elapsed()));
                let attempt = format!("call-{millis}");
                let request = format!(
                    "POST /confirm/session HTTP/1.1\r\n{}Content-Length: 2\r\n\r\n{{}}",
                    headers(&attempt, CALL_TIMEOUT_MS)
                );
                let sent = stopped.elapsed();
                record.line(&format!("caller sends {attempt}"));
                let answer = ask(address, &request);
                record.line(&format!("caller: {attempt}: {answer:?}"));
                (attempt, sent, answer)
            })
        })
        .collect();
    let answers: Vec<(String, Duration, Answer)> = callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .collect();
    if answers.len() < CALL_TIMES_MS.len() {
        return None;
    }
    let runs = lock(&runs).clone();
    let mut violations = Violations::new();
    for (attempt, sent, answer) in answers {
        let run = runs.iter().find(|run| run.attempt == attempt);
        let was_passed_on = run.is_some();
        let ended = sent + answer.elapsed;
        let is_excused = answer.elapsed >= Duration::from_millis(CALL_TIMEOUT_MS)
            || sent <= Duration::from_secs(3)
            || ended > Duration::from_secs(GRACE_S + 1);
        if was_passed_on && !answer.complete && !is_excused {
            violations.push(format!(
                "LOST {attempt}: read, passed on, and its connection ended {} ms after the signal \
                 without an answer, {} ms before its deadline and timeout",
                ended.as_millis(),
                CALL_TIMEOUT_MS - answer.elapsed.as_millis() as u64
            ));
        }
    }
    Some(violations)
}

// ---------------------------------------------------------------------------------------------
// Model servers

/// Prompt tokens that a model server reads in a millisecond, and the milliseconds per million pairs
/// of tokens that it needs besides, as in the Sauti site file.
const PREFILL_TOKENS_PER_MS: f64 = 38.1;
const PREFILL_PAIRS_MS: f64 = 0.737;
/// Time to load an adapter.
const ADAPTER_LOAD: Duration = Duration::from_millis(250);
/// Events of a stream, and the time between two of them.
const STREAM_EVENTS: usize = 10;
const EVENT_TIME: Duration = Duration::from_millis(25);

#[derive(Clone, Debug)]
struct Adapter {
    name: String,
    version: u64,
    runs: usize,
    /// Whether it is being loaded or replaced, so that no request begins.
    is_loading: bool,
}

struct EngineState {
    sequence: u64,
    adapters: Vec<Adapter>,
    /// The newest version of each adapter, which an order without a version loads.
    newest: u64,
}

/// Beginning of a run on a model server.
#[derive(Clone, Debug)]
struct Beginning {
    attempt: String,
    adapter: String,
    version: u64,
    at: Instant,
}

/// An order that a server answered 200 or 202.
#[derive(Clone, Debug)]
struct AcceptedOrder {
    holder: String,
    fence: u64,
    at: Instant,
}

/// A model server with one base model, and room for six adapters.
#[derive(Clone)]
struct Engine {
    id: String,
    address: SocketAddr,
    state: Arc<Mutex<EngineState>>,
    /// Held while a prompt is read, one after another.
    prefill: Arc<Mutex<()>>,
    begun: Arc<Mutex<Vec<Beginning>>>,
    /// Arrivals of requests, other than those that got 421.
    arrivals: Arc<Mutex<Vec<(String, Instant)>>>,
    /// Orders that were answered 200 or 202.
    orders: Arc<Mutex<Vec<AcceptedOrder>>>,
    /// Until when the server is cold.
    cold_until: Arc<Mutex<Option<Instant>>>,
    /// Whether the server fails part of what it is asked, and the number of calls so far.
    is_grey: Arc<AtomicBool>,
    calls: Arc<AtomicU64>,
    /// Whether the server has crashed; it stays down.
    is_down: Arc<AtomicBool>,
    record: Arc<Record>,
    born: u64,
}

impl Engine {
    fn start(store: &Store, id: &str, record: &Arc<Record>) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a server");
        let address = listener.local_addr().expect("address of a server");
        let engine = Engine {
            id: id.to_owned(),
            address,
            state: Arc::new(Mutex::new(EngineState {
                sequence: 0,
                adapters: Vec::new(),
                newest: 1,
            })),
            prefill: Arc::default(),
            begun: Arc::default(),
            arrivals: Arc::default(),
            orders: Arc::default(),
            cold_until: Arc::default(),
            is_grey: Arc::default(),
            calls: Arc::default(),
            is_down: Arc::default(),
            record: record.clone(),
            born: unix_millis(),
        };
        engine.register(store, 0);
        let served = engine.clone();
        let is_down = engine.is_down.clone();
        serve_until(listener, is_down, move |stream| served.handle(stream));
        engine
    }

    /// Writes the server's entry in the store.
    fn register(&self, store: &Store, cold_ms: u64) {
        let report = self.report();
        let models = report
            .split_once("\"Models\":")
            .map_or("", |(_, rest)| rest);
        let models = models
            .split_once(",\"Busy\"")
            .map_or("[]", |(models, _)| models);
        let entry = format!(
            r#"{{"Service":"models","Address":"{}","Zone":"zone-b","Version":"v1","Slots":64,"State":"ready","ColdRemainingMs":{cold_ms},"Stage":"both","Models":{models},"Sequence":{},"born":{}}}"#,
            self.address,
            lock(&self.state).sequence,
            self.born
        );
        store.put(&format!("servers/{}", self.id), Some(&entry));
    }

    fn handle(&self, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some(request) = read_message(&mut reader) {
            if self.is_down() {
                return;
            }
            let answer = if self.fails(&request) {
                let attempt = request.header("attempt-id").unwrap_or("");
                let head = format!("Attempt-Id: {attempt}\r\nResponse-Seal: seal.{attempt}\r\n");
                let head = if attempt.is_empty() { "" } else { &head };
                response("500 Internal Server Error", head, "")
            } else if request.header("expect-instance") != Some(self.id.as_str()) {
                refusal(&request, "421 Misdirected Request")
            } else {
                match request.path() {
                    "/report" => response("200 OK", JSON, &self.report()),
                    "/order" => response(self.order(&request.text()), "", ""),
                    _ => match self.run(&request, &mut stream) {
                        Some(answer) => answer,
                        None => return,
                    },
                }
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Whether a grey server answers with an error instead of doing what it is asked.
    fn fails(&self, request: &Message) -> bool {
        if !self.is_grey.load(Ordering::Relaxed) {
            return false;
        }
        let number = self.calls.fetch_add(1, Ordering::Relaxed);
        // The high bits of a multiplicative hash are spread evenly.
        let share = (number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as f64 / 2_f64.powi(32);
        let fails = share < GREY_SHARE;
        if fails {
            self.record.line(&format!(
                "server {} fails {} {}",
                self.id,
                request.path(),
                request.header("attempt-id").unwrap_or("")
            ));
        }
        fails
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::Relaxed)
    }

    /// Crashes a cold server that has got well above what it bears in the last second: more than
    /// twice the bound of the rule.
    fn count_arrival(&self, attempt: &str) {
        let now = Instant::now();
        let mut arrivals = lock(&self.arrivals);
        arrivals.push((attempt.to_owned(), now));
        let is_cold = lock(&self.cold_until).is_some_and(|end| now < end);
        let is_recent = |(_, at): &&(String, Instant)| now - *at < Duration::from_secs(1);
        let recent = arrivals.iter().filter(is_recent).count();
        if is_cold && recent as f64 > 2.0 * COLD_BOUND && !self.is_down() {
            self.is_down.store(true, Ordering::Relaxed);
            // Wakes the accept loop, which closes the port.
            let _ = TcpStream::connect(self.address);
            self.record.line(&format!(
                "server {} crashes: {recent} requests in a second while it is cold",
                self.id
            ));
        }
    }

    fn report(&self) -> String {
        let state = lock(&self.state);
        let list = |is_loading: bool, prefix: &str| {
            let listed = state.adapters.iter();
            let listed = listed.filter(|adapter| adapter.is_loading == is_loading);
            let names: Vec<String> = listed
                .map(|adapter| format!("\"{prefix}{}@{}\"", adapter.name, adapter.version))
                .collect();
            names.join(",")
        };
        format!(
            r#"{{"Stage":"both","Models":[{{"Name":"base","Version":1,"Adapters":[{}]}}],"Busy":false,"Sequence":{},"Waiting":0,"Running":0,"KvUsed":0,"KvTotal":224867,"Handles":0,"Coming":[{}],"born":{}}}"#,
            list(false, ""),
            state.sequence,
            list(true, "base/"),
            self.born
        )
    }

    fn order(&self, body: &str) -> &'static str {
        let field = |name| json_field(body, name).unwrap_or_default();
        let name = field("Adapter");
        let mut state = lock(&self.state);
        let wanted = field("Version").parse().unwrap_or(state.newest);
        let is_load = field("Operation") == "load";
        let held = state
            .adapters
            .iter()
            .position(|adapter| adapter.name == name);
        let holds = match held {
            Some(position) => is_load && state.adapters[position].version == wanted,
            None => !is_load,
        };
        let status = if holds {
            "200 OK"
        } else if field("Expected").parse() != Ok(state.sequence) {
            "409 Conflict"
        } else {
            state.sequence += 1;
            match held {
                Some(position) if is_load => {
                    state.adapters[position].is_loading = true;
                    self.load_later(&name, wanted);
                    "202 Accepted"
                }
                Some(position) if state.adapters[position].runs == 0 => {
                    state.adapters.remove(position);
                    "200 OK"
                }
                Some(_) => "202 Accepted",
                None => {
                    state.adapters.push(Adapter {
                        name: name.clone(),
                        version: wanted,
                        runs: 0,
                        is_loading: true,
                    });
                    self.load_later(&name, wanted);
                    "202 Accepted"
                }
            }
        };
        self.record
            .line(&format!("server {} order {body}: {status}", self.id));
        if status.starts_with('2') {
            lock(&self.orders).push(AcceptedOrder {
                holder: field("Holder"),
                fence: field("Fence").parse().unwrap_or(0),
                at: Instant::now(),
            });
        }
        status
    }

    /// Completes a load once the runs on the former version have ended.
    fn load_later(&self, name: &str, version: u64) {
        let (engine, name) = (self.clone(), name.to_owned());
        thread::spawn(move || {
            let is_used = || {
                let state = lock(&engine.state);
                let adapter = state.adapters.iter().find(|adapter| adapter.name == name);
                adapter.is_some_and(|adapter| adapter.runs > 0)
            };
            while is_used() {
                thread::sleep(Duration::from_millis(5));
            }
            thread::sleep(ADAPTER_LOAD);
            let mut state = lock(&engine.state);
            let mut adapters = state.adapters.iter_mut();
            if let Some(adapter) = adapters.find(|adapter| adapter.name == name) {
                adapter.version = version;
                adapter.is_loading = false;
            }
        });
    }

    /// Runs a request and streams its answer; `None` if the connection is closed.
    fn run(&self, request: &Message, stream: &mut TcpStream) -> Option<String> {
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        self.record
            .line(&format!("server {} receives {attempt}", self.id));
        let model = request.header("model").unwrap_or("");
        let name = model
            .split_once('/')
            .map_or("", |(_, name)| name)
            .to_owned();
        let usage = request.header("token-usage").unwrap_or("0,0");
        let tokens: f64 = usage.split(',').next()?.parse().ok()?;
        if !lock(&self.state)
            .adapters
            .iter()
            .any(|adapter| adapter.name == name)
        {
            return Some(refusal(request, "421 Misdirected Request"));
        }
        self.count_arrival(&attempt);
        {
            let _reading = lock(&self.prefill);
            let pairs = tokens * tokens / 2.0 / 1_000_000.0;
            let millis = tokens / PREFILL_TOKENS_PER_MS + pairs * PREFILL_PAIRS_MS;
            let time = Duration::from_secs_f64(millis / 1_000.0);
            if !wait_connected(stream, time) || self.is_down() {
                return None;
            }
        }
        let version = {
            let mut state = lock(&self.state);
            let mut adapters = state.adapters.iter_mut();
            let adapter = adapters.find(|adapter| adapter.name == name && !adapter.is_loading);
            let Some(adapter) = adapter else {
                return Some(refusal(request, "503 Service Unavailable"));
            };
            adapter.runs += 1;
            adapter.version
        };
        lock(&self.begun).push(Beginning {
            attempt: attempt.clone(),
            adapter: name.clone(),
            version,
            at: Instant::now(),
        });
        self.record.line(&format!(
            "server {} begins {attempt} on {name}@{version}",
            self.id
        ));
        let is_complete = self.stream_events(&attempt, version, stream);
        let mut state = lock(&self.state);
        let mut adapters = state.adapters.iter_mut();
        if let Some(adapter) = adapters.find(|adapter| adapter.name == name) {
            adapter.runs -= 1;
        }
        is_complete.then(String::new)
    }

    fn stream_events(&self, attempt: &str, version: u64, stream: &mut TcpStream) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal.{attempt}\r\nWeight-Versions: {version}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in 1..=STREAM_EVENTS {
            let event = format!("id: {number}\ndata: version {version}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            let is_sent = stream.write_all(chunk.as_bytes()).is_ok();
            if !is_sent || !wait_connected(stream, EVENT_TIME) || self.is_down() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

fn refusal(request: &Message, status: &str) -> String {
    let attempt = request.header("attempt-id").unwrap_or("");
    let head = format!("Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n");
    response(status, &head, "")
}

/// The service of the model servers in the configuration.
const MODEL_SERVICE: &str = r#"{"Name":"models","HealthPath":"/health","MaxConnections":360,"ColdStartS":3.0,"ColdPerS":6.9,"Engine":{"Slots":64,"KvCapacityTokens":224867,"KvTokenBytes":163840,"LinkMbps":0,"Stride":5,"Models":[{"Name":"base","WeightsMb":65100.0,"LoadS":1.9,"Adapters":3000,"AdapterMb":12.0}],"WeightsMb":66500.0,"AdapterSlots":6,"LoadsPerS":2.1}}"#;

/// Configuration with one route of streams.
fn stream_config(store: &Store, timeout_ms: u64) {
    config(
        store,
        1,
        &format!(
            r#"{{"Name":"summary","Host":"host.example","Prefix":"/summary/","Kind":"streaming","TimeoutMs":{timeout_ms},"TargetLatencyMs":1000,"Priority":2,"Service":"models","MaxAttempts":2,"Public":false,"Sticky":true,"Resumable":true,"GapAimMs":600}}"#
        ),
        MODEL_SERVICE,
    );
}

fn summary(attempt: &str, adapter: &str, tokens: u64, deadline_ms: u64) -> String {
    format!(
        "POST /summary/one HTTP/1.1\r\n{}Model: base/{adapter}\r\nToken-Usage: {tokens},50\r\nContent-Length: 2\r\n\r\n{{}}",
        headers(attempt, deadline_ms)
    )
}

// ---------------------------------------------------------------------------------------------
// Case `version`: a request that waits for its turn begins on a version that was replaced long ago

/// `TimeoutMs` of the route and the callers' deadline: that of `transcript-summary-standard`.
const SUMMARY_TIMEOUT_MS: u64 = 10_000;
/// Mean prompt of that kind of request: 6,300 shared and 2,890 own tokens.
const SUMMARY_TOKENS: u64 = 9_190;
/// Usual requests of the team in a second, and the factor of the burst.
const USUAL_PER_S: f64 = 2.0;
const BURST_FACTOR: f64 = 7.5;
const BURST_TIME: Duration = Duration::from_millis(6_500);
/// When the new version is announced, from the beginning of the burst on.
const ANNOUNCED_AT: Duration = Duration::from_millis(5_000);
const VERSION_MS: Duration = Duration::from_millis(5_000);

fn version(case: &Case) -> Option<Violations> {
    let record = &case.record;
    let store = Store::start();
    let engine = Engine::start(&store, "engine-1", record);
    stream_config(&store, SUMMARY_TIMEOUT_MS);
    let gateways = start_gateways(2, &case.scratch, &store, record);
    // Servers take no orders from a new process for the time of a lease.
    let end = Instant::now() + Duration::from_secs(15);
    let mut warm = 0;
    while warm < 3 {
        let attempt = format!("warm-{warm}-{}", record.millis());
        let request = summary(&attempt, "a1", SUMMARY_TOKENS, SUMMARY_TIMEOUT_MS);
        let answer = ask(gateways[warm % 2].callers, &request);
        if answer.status == 200 && answer.complete {
            warm += 1;
        }
        if Instant::now() > end {
            return None;
        }
    }
    record.line("the adapter is loaded in version 1");
    let started = Instant::now();
    let has_ended = Arc::new(AtomicBool::new(false));
    let factor = if case.has_trouble { BURST_FACTOR } else { 1.0 };
    let interval = Duration::from_secs_f64(1.0 / (USUAL_PER_S * factor));
    let sender = {
        let (record, has_ended) = (record.clone(), has_ended.clone());
        let addresses = [gateways[0].callers, gateways[1].callers];
        thread::spawn(move || {
            let mut callers = Vec::new();
            let mut number = 0;
            while !has_ended.load(Ordering::Relaxed) && started.elapsed() < BURST_TIME {
                let attempt = format!("summary-{number}");
                let (address, record) = (addresses[number % 2], record.clone());
                callers.push(thread::spawn(move || {
                    let request = summary(&attempt, "a1", SUMMARY_TOKENS, SUMMARY_TIMEOUT_MS);
                    record.line(&format!("caller sends {attempt}"));
                    let answer = ask(address, &request);
                    record.line(&format!(
                        "caller: {attempt}: status {} complete {} after {} ms",
                        answer.status,
                        answer.complete,
                        answer.elapsed.as_millis()
                    ));
                }));
                number += 1;
                thread::sleep(interval);
            }
            for caller in callers {
                let _ = caller.join();
            }
        })
    };
    thread::sleep(ANNOUNCED_AT);
    lock(&engine.state).newest = 2;
    store.put(
        "op/version/base.a1",
        Some(r#"{"Model":"base","Adapter":"a1","Version":2}"#),
    );
    let acknowledged = Instant::now();
    record.line("version 2 of a1 is acknowledged");
    let _ = sender.join();
    has_ended.store(true, Ordering::Relaxed);
    let begun = lock(&engine.begun).clone();
    if begun.len() < 5 {
        return None;
    }
    Some(old_beginnings(&begun, acknowledged))
}

// ---------------------------------------------------------------------------------------------
// Case `cold`: a cold server gets all requests that waited for it at once

/// Requests of the team in a second, about those of `storyteller-lookup` on the Sauti sheet.
const LOOKUPS_PER_S: f64 = 16.0;
const LOOKUP_TOKENS: u64 = 826;
const LOOKUP_TIMEOUT_MS: u64 = 12_000;
const EVACUATION: Duration = Duration::from_millis(8_000);
/// `ColdStartS` of the service.
const COLD_MS: u64 = 3_000;
/// `ColdPerS` x `ColdOverage` + `ColdSlack`.
const COLD_BOUND: f64 = 6.9 * 1.5 + 5.0;

fn cold(case: &Case) -> Option<Violations> {
    let record = &case.record;
    let store = Store::start();
    let engine = Engine::start(&store, "engine-1", record);
    stream_config(&store, LOOKUP_TIMEOUT_MS);
    let gateways = start_gateways(2, &case.scratch, &store, record);
    let end = Instant::now() + Duration::from_secs(15);
    let mut warm = 0;
    while warm < 3 {
        let attempt = format!("warm-{warm}-{}", record.millis());
        let request = summary(&attempt, "a1", LOOKUP_TOKENS, LOOKUP_TIMEOUT_MS);
        let answer = ask(gateways[warm % 2].callers, &request);
        if answer.status == 200 && answer.complete {
            warm += 1;
        }
        if Instant::now() > end {
            return None;
        }
    }
    if case.has_trouble {
        store.put("op/evacuate/zone-b", Some("{}"));
        record.line("the evacuation of zone-b is acknowledged");
    }
    let started = Instant::now();
    let sender = {
        let record = record.clone();
        let addresses = [gateways[0].callers, gateways[1].callers];
        thread::spawn(move || {
            let mut callers = Vec::new();
            let mut number = 0;
            while started.elapsed() < EVACUATION + Duration::from_millis(COLD_MS) {
                let attempt = format!("lookup-{number}");
                // The demand moves from one adapter to another.
                let adapter = if started.elapsed() < Duration::from_secs(2) {
                    "a1"
                } else {
                    "a2"
                };
                let (address, record) = (addresses[number % 2], record.clone());
                callers.push(thread::spawn(move || {
                    let request = summary(&attempt, adapter, LOOKUP_TOKENS, LOOKUP_TIMEOUT_MS);
                    record.line(&format!("caller sends {attempt}"));
                    let answer = ask(address, &request);
                    record.line(&format!(
                        "caller: {attempt}: status {} complete {} after {} ms",
                        answer.status,
                        answer.complete,
                        answer.elapsed.as_millis()
                    ));
                    (attempt, answer)
                }));
                number += 1;
                thread::sleep(Duration::from_secs_f64(1.0 / LOOKUPS_PER_S));
            }
            let answers = callers.into_iter().filter_map(|caller| caller.join().ok());
            answers.collect::<Vec<(String, Answer)>>()
        })
    };
    thread::sleep(EVACUATION);
    let reopened = Instant::now();
    if case.has_trouble {
        *lock(&engine.cold_until) = Some(reopened + Duration::from_millis(COLD_MS));
        engine.register(&store, COLD_MS);
        store.put("op/evacuate/zone-b", None);
        record.line("the end of the evacuation is acknowledged; the server is cold for 3 s");
    }
    let answers = sender.join().ok()?;
    if !case.has_trouble {
        return Some(Violations::new());
    }
    let arrived: Vec<String> = lock(&engine.arrivals)
        .iter()
        .filter(|(_, at)| *at >= reopened)
        .map(|(attempt, _)| attempt.clone())
        .collect();
    let lost = answers
        .iter()
        .filter(|(attempt, answer)| {
            arrived.contains(attempt) && (answer.status != 200 || !answer.complete)
        })
        .count();
    record.line(&format!(
        "{lost} requests that reached the server after the evacuation were not answered by it"
    ));
    let cold_end = reopened + Duration::from_millis(COLD_MS);
    let arrivals: Vec<Instant> = lock(&engine.arrivals)
        .iter()
        .map(|(_, at)| *at)
        .filter(|at| *at >= reopened && *at < cold_end)
        .collect();
    let in_second = |from: &Instant| {
        let end = *from + Duration::from_secs(1);
        arrivals
            .iter()
            .filter(|at| *at >= from && **at < end)
            .count()
    };
    let most = arrivals.iter().map(in_second).max()?;
    record.line(&format!(
        "{} requests reached the cold server, at most {most} of them in one second; the bound is \
         {COLD_BOUND}",
        arrivals.len()
    ));
    let is_broken = most as f64 > COLD_BOUND;
    let text = format!("FAILBACK: {most} requests reached a cold server in one second");
    Some(is_broken.then_some(text).into_iter().collect())
}

// ---------------------------------------------------------------------------------------------
// Case `replace`: requests begin on the old version after an order to replace it has failed

/// Share of its calls that a grey server fails, and how long.
const GREY_SHARE: f64 = 0.45;
const GREY_TIME: Duration = Duration::from_millis(4_000);
const REPLACED: [&str; 5] = ["a1", "a2", "a3", "a4", "a5"];
/// Requests of each adapter in a second.
const REPLACED_PER_S: f64 = 2.0;

fn replace(case: &Case) -> Option<Violations> {
    let record = &case.record;
    let store = Store::start();
    let engine = Engine::start(&store, "engine-1", record);
    stream_config(&store, LOOKUP_TIMEOUT_MS);
    let gateways = start_gateways(2, &case.scratch, &store, record);
    let addresses = [gateways[0].callers, gateways[1].callers];
    let end = Instant::now() + Duration::from_secs(20);
    for adapter in REPLACED {
        loop {
            let attempt = format!("warm-{adapter}-{}", record.millis());
            let request = summary(&attempt, adapter, LOOKUP_TOKENS, LOOKUP_TIMEOUT_MS);
            let answer = ask(addresses[0], &request);
            if answer.status == 200 && answer.complete {
                break;
            }
            if Instant::now() > end {
                return None;
            }
        }
    }
    record.line("five adapters are loaded in version 1");
    lock(&engine.state).newest = 2;
    for adapter in REPLACED {
        let value = format!(r#"{{"Model":"base","Adapter":"{adapter}","Version":2}}"#);
        store.put(&format!("op/version/base.{adapter}"), Some(&value));
    }
    let acknowledged = Instant::now();
    record.line("version 2 of the adapters is acknowledged");
    thread::sleep(VERSION_MS + Duration::from_millis(500));
    if case.has_trouble {
        engine.is_grey.store(true, Ordering::Relaxed);
        record.line("the server fails a part of its calls from now on");
    }
    let started = Instant::now();
    let mut callers = Vec::new();
    let mut number = 0;
    while started.elapsed() < GREY_TIME {
        let adapter = REPLACED[number % REPLACED.len()];
        let (attempt, address) = (format!("{adapter}-{number}"), addresses[number % 2]);
        let record = record.clone();
        callers.push(thread::spawn(move || {
            let request = summary(&attempt, adapter, LOOKUP_TOKENS, LOOKUP_TIMEOUT_MS);
            record.line(&format!("caller sends {attempt}"));
            let answer = ask(address, &request);
            record.line(&format!(
                "caller: {attempt}: status {} complete {} after {} ms",
                answer.status,
                answer.complete,
                answer.elapsed.as_millis()
            ));
        }));
        number += 1;
        let pause = 1.0 / (REPLACED_PER_S * REPLACED.len() as f64);
        thread::sleep(Duration::from_secs_f64(pause));
    }
    engine.is_grey.store(false, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let begun = lock(&engine.begun).clone();
    Some(old_beginnings(&begun, acknowledged))
}

/// Requests that began on a version below 2 later than the rule allows.
fn old_beginnings(begun: &[Beginning], acknowledged: Instant) -> Violations {
    let late = begun
        .iter()
        .filter(|beginning| beginning.version < 2 && beginning.at > acknowledged + VERSION_MS);
    let describe = |beginning: &Beginning| {
        format!(
            "VERSION {}: began on {}@{} {} ms after version 2 was acknowledged",
            beginning.attempt,
            beginning.adapter,
            beginning.version,
            beginning.at.duration_since(acknowledged).as_millis()
        )
    };
    late.map(describe).collect()
}

// ---------------------------------------------------------------------------------------------
// Case `holders`: two gateways that were started beside a removed seed give orders to one server

const LEASE: Duration = Duration::from_millis(3_000);
/// `SeedLagS`: time after which the settings name machines that run.
const SEED_LAG: Duration = Duration::from_millis(3_000);
/// Time until the demand for further adapters begins, and the time between two of them.
const ALONE: Duration = Duration::from_secs(24);
const ADAPTER_INTERVAL: Duration = Duration::from_secs(6);
/// Time between the requests for an adapter at the two gateways.
const SECOND_REQUEST: Duration = Duration::from_millis(1_000);

fn holders(case: &Case) -> Option<Violations> {
    let record = &case.record;
    let store = Store::start();
    let engine = Engine::start(&store, "engine-1", record);
    stream_config(&store, LOOKUP_TIMEOUT_MS);
    let ports = free_ports(5);
    let mut lost = start_gateway("front-1", &ports, &[ports[2]], &case.scratch, &store);
    wait_ready(std::slice::from_ref(&lost));
    let seeds = [lost.control];
    if case.has_trouble {
        lost.signal(SIGTERM);
        record.line("SIGTERM to front-1, which is removed");
        let end = Instant::now() + Duration::from_secs(GRACE_S);
        while !lost.has_exited() {
            if Instant::now() > end {
                lost.signal(SIGKILL);
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.line("front-1 has ended");
    }
    let ports = free_ports(10);
    let (second, third) = ports.split_at(5);
    let gateways = [
        start_gateway("front-2", second, &seeds, &case.scratch, &store),
        start_gateway("front-3", third, &seeds, &case.scratch, &store),
    ];
    wait_ready(&gateways);
    record.line("front-2 and front-3 are ready; their settings name front-1 as the seed");
    thread::sleep(SEED_LAG);
    let running = [gateways[0].control, gateways[1].control];
    for (gateway, ports) in gateways.iter().zip([second, third]) {
        write_settings(&gateway.settings, &gateway.name, ports, &running, &store);
        gateway.signal(SIGHUP);
    }
    record.line("their settings name each other as seeds, and they have got SIGHUP");
    thread::sleep(ALONE);
    for number in 1..=5 {
        let adapter = format!("a{number}");
        let callers: Vec<_> = gateways
            .iter()
            .enumerate()
            .map(|(position, gateway)| {
                let attempt = format!("{adapter}-at-{}", gateway.name);
                let request = summary(&attempt, &adapter, LOOKUP_TOKENS, LOOKUP_TIMEOUT_MS);
                let (address, record) = (gateway.callers, record.clone());
                thread::spawn(move || {
                    thread::sleep(SECOND_REQUEST * position as u32);
                    let answer = ask(address, &request);
                    record.line(&format!("caller: {attempt}: status {}", answer.status));
                })
            })
            .collect();
        for caller in callers {
            let _ = caller.join();
        }
        thread::sleep(ADAPTER_INTERVAL);
    }
    let orders = lock(&engine.orders).clone();
    if orders.is_empty() {
        return None;
    }
    let mut violations = Violations::new();
    for (position, order) in orders.iter().enumerate() {
        let earlier = &orders[..position];
        let turn = earlier
            .iter()
            .rev()
            .find(|other| other.holder != order.holder);
        if let Some(other) = turn
            && order.at - other.at < LEASE
        {
            violations.push(format!(
                "ONE: {} gave an order {} ms after {}, within the lease",
                order.holder,
                (order.at - other.at).as_millis(),
                other.holder
            ));
        }
        if let Some(higher) = earlier.iter().find(|other| other.fence > order.fence) {
            violations.push(format!(
                "ONE: {} gave an order with the fence {} after {} had given one with {}",
                order.holder, order.fence, higher.holder, higher.fence
            ));
        }
    }
    Some(violations)
}
