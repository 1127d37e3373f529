//! Stand-ins for the platform of a gateway: the store, and backend servers that record their runs.

mod responses;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::{HeaderMap, HeaderValue},
};
use serde_json::{Value, json};
use smol_str::SmolStr;
use tokio::{net::TcpListener, sync::Notify};

use self::responses::{
    StandinBody, full_response, header_text, json_response, misdirected_response, percent_decode,
    serve, slow_body, without_length,
};

/// Duration of an adapter load.
const LOAD_TIME: Duration = Duration::from_millis(250);
/// Interval between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// Number of events in a stream.
const STREAM_EVENT_COUNT: u64 = 12;
/// Duration of a request without a model.
const RUN_TIME: Duration = Duration::from_millis(20);

/// Number of pieces of a response in [`StoreMode::Slow`], and the time between two of them.
pub const SLOW_PIECES: usize = 20;
/// See [`SLOW_PIECES`].
pub const SLOW_INTERVAL: Duration = Duration::from_millis(200);

/// How the store responds to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    /// Serves requests.
    Up,
    /// Responds with status 503.
    Busy,
    /// Accepts requests and never responds.
    Silent,
    /// Sends each response in [`SLOW_PIECES`] pieces with [`SLOW_INTERVAL`] between them.
    Slow,
}

/// One execution of a request on a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// Value of the `attempt-id` header; empty when there was none.
    pub attempt: String,
    /// Id of the server.
    pub server: SmolStr,
    /// Request path.
    pub path: String,
    /// Value of the `tenant` header.
    pub tenant: Option<String>,
    /// Whether the request carried the caller's `credential` header.
    pub received_credential: bool,
    /// Whether the whole response was produced.
    pub finished: bool,
}

/// An order that arrived at a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRecord {
    /// Id of the server.
    pub server: SmolStr,
    /// Adapter to load or unload; empty for a base model.
    pub adapter: String,
    /// Fencing token.
    pub fence: u64,
    /// Status of the response.
    pub status: StatusCode,
}

/// Faults of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerFaults {
    /// Whether all of its responses announce that it leaves.
    pub is_leaving: bool,
    /// Set if it turns requests away, with this value of the `retry-after` header.
    pub retry_after: Option<&'static str>,
}

/// Arrival of a request at a backend server, whether it runs or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArrivalRecord {
    /// Value of the `attempt-id` header; empty when there was none.
    pub attempt: String,
    /// Id of the server.
    pub server: SmolStr,
    /// Start of the server's process, as it registers it.
    pub started: u64,
    /// Time of the arrival.
    pub time: std::time::Instant,
    /// Set if the server turned the request away, with this value of the `retry-after` header.
    pub retry_after: Option<&'static str>,
}

#[derive(Clone)]
struct StoreItem {
    value: Option<Vec<u8>>,
    revision: u64,
}

/// A copy of the store's items, from which it can be restored.
pub struct StoreCopy {
    items: BTreeMap<String, StoreItem>,
    revision: u64,
}

#[derive(Default)]
struct EngineState {
    sequence: u64,
    loaded: Vec<String>,
    loading: BTreeMap<String, std::time::Instant>,
    last_order: Option<(String, std::time::Instant)>,
    faults: ServerFaults,
    /// Number of earlier processes of the server.
    restarts: u64,
}

impl EngineState {
    /// Start of the process, in the unit of the platform.
    fn started(&self) -> u64 {
        1 + self.restarts
    }
}

struct PlatformState {
    mode: StoreMode,
    /// Number of items in a page of a full read.
    page_items: usize,
    /// Items in JSON that are part of each page, as they are.
    raw_items: Vec<String>,
    ends_by_connection: bool,
    items: BTreeMap<String, StoreItem>,
    revision: u64,
    /// Increases with each restore.
    era: u64,
    runs: Vec<RunRecord>,
    orders: Vec<OrderRecord>,
    arrivals: Vec<ArrivalRecord>,
    engines: BTreeMap<SmolStr, EngineState>,
    violations: Vec<String>,
}

/// The store and the backend servers of a gateway.
#[derive(Clone)]
pub struct PlatformStandin {
    state: Arc<Mutex<PlatformState>>,
    changed: Arc<Notify>,
    /// Address of the store.
    pub store: SocketAddr,
}

/// Adapter slots of each server.
pub const ADAPTER_SLOTS: usize = 3;
/// Minimum time between orders of two different holders to one server.
pub const ORDER_LEASE: Duration = Duration::from_millis(3_000);

impl PlatformStandin {
    /// Starts a store on a free port of `ip`.
    pub async fn start(ip: std::net::IpAddr) -> PlatformStandin {
        let listener = TcpListener::bind((ip, 0)).await.expect("bind the store");
        let standin = PlatformStandin {
            state: Arc::new(Mutex::new(PlatformState {
                mode: StoreMode::Up,
                page_items: usize::MAX,
                raw_items: Vec::new(),
                ends_by_connection: false,
                items: BTreeMap::new(),
                revision: 1,
                era: 1,
                runs: Vec::new(),
                orders: Vec::new(),
                arrivals: Vec::new(),
                engines: BTreeMap::new(),
                violations: Vec::new(),
            })),
            changed: Arc::new(Notify::new()),
            store: listener.local_addr().expect("address of the store"),
        };
        let store_standin = standin.clone();
        tokio::spawn(serve(listener, move |request| {
            let standin = store_standin.clone();
            async move { standin.handle_store_request(&request).await }
        }));
        standin
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how the store responds from now on.
    pub fn set_mode(&self, mode: StoreMode) {
        self.lock().mode = mode;
        self.changed.notify_waiters();
    }

    /// Sets the number of items in a page of a full read.
    pub fn set_page_items(&self, count: usize) {
        self.lock().page_items = count;
    }

    /// Whether the servers' responses have no length and end with their connection.
    pub fn set_ends_by_connection(&self, ends_by_connection: bool) {
        self.lock().ends_by_connection = ends_by_connection;
    }

    /// Adds an item in JSON, of any form, to each page of the store.
    pub fn add_raw_item(&self, item: String) {
        let mut state = self.lock();
        state.revision += 1;
        state.raw_items.push(item);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Writes an item of the store, or removes it when `value` is `None`.
    pub fn put(&self, key: &str, value: Option<&Value>) {
        self.write(key, value.map(|value| value.to_string().into_bytes()));
    }

    /// Writes an item whose value is no JSON text.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.write(key, Some(value.to_vec()));
    }

    fn write(&self, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.lock();
        state.revision += 1;
        let item = StoreItem {
            value,
            revision: state.revision,
        };
        state.items.insert(key.to_owned(), item);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Copies the store's items.
    pub fn copy_store(&self) -> StoreCopy {
        let state = self.lock();
        StoreCopy {
            items: state.items.clone(),
            revision: state.revision,
        }
    }

    /// Restores the store from an earlier copy: what was written since is lost, and its revisions are
    /// given out again.
    pub fn restore_store(&self, copy: StoreCopy) {
        let mut state = self.lock();
        state.items = copy.items;
        state.revision = copy.revision;
        state.era += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// All recorded runs, in order of their start.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.lock().runs.clone()
    }

    /// All orders that arrived at servers, in the order of their arrival.
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.lock().orders.clone()
    }

    /// All arrivals of requests at backend servers, in order.
    pub fn arrivals(&self) -> Vec<ArrivalRecord> {
        self.lock().arrivals.clone()
    }

    /// Sets the faults of a backend server.
    pub fn set_faults(&self, id: &str, faults: ServerFaults) {
        let mut state = self.lock();
        state.engines.entry(id.into()).or_default().faults = faults;
    }

    /// Replaces the process of a registered backend server by a new one without faults, which
    /// registers in its place.
    ///
    /// # Panics
    ///
    /// Panics when the server is not registered.
    pub fn restart_server(&self, id: &str) {
        let key = format!("servers/{id}");
        let mut state = self.lock();
        let engine = state.engines.entry(id.into()).or_default();
        *engine = EngineState {
            restarts: engine.restarts + 1,
            ..EngineState::default()
        };
        let started = engine.started();
        let item = state.items.get(&key).and_then(|item| item.value.as_ref());
        let entry = item.and_then(|value| serde_json::from_slice(value).ok());
        drop(state);
        let mut entry: Value = entry.expect("entry of the server");
        entry["born"] = started.into();
        self.put(&key, Some(&entry));
    }

    /// Violations of the order lease or of the adapter slots, as seen by the servers.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Starts a backend server of `service` and registers it; returns its address.
    pub async fn start_server(
        &self,
        ip: std::net::IpAddr,
        id: &str,
        service: &str,
        is_engine: bool,
    ) -> SocketAddr {
        let address = self.start_unregistered_server(ip, id).await;
        self.register(id, service, address, is_engine, "ready");
        address
    }

    /// Starts a backend server without an entry in the store; returns its address.
    pub async fn start_unregistered_server(&self, ip: std::net::IpAddr, id: &str) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).await.expect("bind a server");
        let address = listener.local_addr().expect("address of a server");
        let id = SmolStr::new(id);
        self.lock()
            .engines
            .insert(id.clone(), EngineState::default());
        let standin = self.clone();
        tokio::spawn(serve(listener, move |request| {
            let (standin, id) = (standin.clone(), id.clone());
            async move { standin.handle_server_request(&id, request).await }
        }));
        address
    }

    /// Writes a server's entry into the store.
    pub fn register(
        &self,
        id: &str,
        service: &str,
        address: SocketAddr,
        is_engine: bool,
        state: &str,
    ) {
        let models = if is_engine {
            json!([{"Name": "base", "Version": 1, "Adapters": []}])
        } else {
            json!([])
        };
        let started = self.lock().engines.entry(id.into()).or_default().started();
        let entry = json!({"Service": service, "Address": address, "Zone": "dc-a", "Version": "v1",
            "Slots": 16, "State": state, "ColdRemainingMs": 0, "Sequence": 0, "born": started,
            "Models": models});
        self.put(&format!("servers/{id}"), Some(&entry));
    }

    async fn handle_store_request(&self, request: &Request<Incoming>) -> Response<StandinBody> {
        let mut response = self.answer_store_request(request).await;
        let era = HeaderValue::from(self.lock().era);
        response.headers_mut().insert("store-era", era);
        response
    }

    async fn answer_store_request(&self, request: &Request<Incoming>) -> Response<StandinBody> {
        let query: BTreeMap<String, String> = request
            .uri()
            .query()
            .unwrap_or("")
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let mode = self.lock().mode;
        match mode {
            StoreMode::Busy => return full_response(StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
            StoreMode::Silent => std::future::pending().await,
            StoreMode::Up | StoreMode::Slow => {}
        }
        let page = match request.uri().path() {
            "/kv-range" => {
                let after = query.get("after").map(|key| percent_decode(key));
                self.list_page(0, after.as_deref(), "items")
            }
            "/kv-watch" => {
                let number = |name: &str| query.get(name).and_then(|value| value.parse().ok());
                let after = number("after").unwrap_or(0);
                let wait = Duration::from_millis(number("WaitMs").unwrap_or(0));
                self.wait_for_change(after, wait).await;
                if after > self.lock().revision {
                    return full_response(StatusCode::GONE, Vec::new());
                }
                self.list_page(after, None, "events")
            }
            _ => return full_response(StatusCode::NOT_FOUND, Vec::new()),
        };
        if self.lock().mode == StoreMode::Slow {
            Response::new(slow_body(page.as_bytes()))
        } else {
            full_response(StatusCode::OK, page.into_bytes())
        }
    }

    async fn wait_for_change(&self, after: u64, wait: Duration) {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if self.lock().revision != after {
                return;
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return;
            }
        }
    }

    fn list_page(&self, after: u64, after_key: Option<&str>, list: &str) -> String {
        let state = self.lock();
        let is_listed = |(key, item): &(&String, &StoreItem)| {
            item.revision > after
                && (after > 0 || item.value.is_some())
                && after_key.is_none_or(|after_key| key.as_str() > after_key)
        };
        let listed: Vec<(&String, &StoreItem)> = state.items.iter().filter(is_listed).collect();
        let page_items = if after > 0 {
            usize::MAX
        } else {
            state.page_items
        };
        let has_more = listed.len() > page_items;
        let mut items = state.raw_items.clone();
        items.extend(listed.iter().take(page_items).map(|(key, item)| {
            let item = match &item.value {
                Some(value) => json!({"Key": key, "Value": STANDARD.encode(value),
                    "Revision": item.revision, "Created": item.revision, "Lease": 0}),
                None => json!({"Key": key, "Revision": item.revision, "Removed": true}),
            };
            item.to_string()
        }));
        format!(
            r#"{{"{list}":[{}],"HasMore":{has_more},"CurrentRev":{}}}"#,
            items.join(","),
            state.revision
        )
    }

    async fn handle_server_request(
        &self,
        id: &SmolStr,
        request: Request<Incoming>,
    ) -> Response<StandinBody> {
        let mut response = self.answer_server_request(id, request).await;
        let faults = self.faults(id);
        if faults.is_leaving {
            let headers = response.headers_mut();
            headers.insert("server-leaving", HeaderValue::from_static("1"));
        }
        response
    }

    /// Faults of a backend server.
    pub fn faults(&self, id: &str) -> ServerFaults {
        let state = self.lock();
        state
            .engines
            .get(id)
            .map_or_else(ServerFaults::default, |engine| engine.faults)
    }

    async fn answer_server_request(
        &self,
        id: &SmolStr,
        request: Request<Incoming>,
    ) -> Response<StandinBody> {
        let headers = request.headers().clone();
        let expected_instance = header_text(&headers, "expect-instance");
        if expected_instance
            .as_deref()
            .is_some_and(|expected| expected != id)
        {
            return misdirected_response(&headers);
        }
        match request.uri().path() {
            "/report" => json_response(&self.report(id)),
            "/order" => {
                let body = request.into_body().collect().await;
                let body = body
                    .map(http_body_util::Collected::to_bytes)
                    .unwrap_or_default();
                let order: Value = serde_json::from_slice(&body).unwrap_or_default();
                let status = self.execute_order(id, &order);
                self.lock().orders.push(OrderRecord {
                    server: id.clone(),
                    adapter: order["Adapter"].as_str().unwrap_or("").to_owned(),
                    fence: order["Fence"].as_u64().unwrap_or(0),
                    status,
                });
                full_response(status, Vec::new())
            }
            _ => self.run_request(id, request, &headers).await,
        }
    }

    fn report(&self, id: &SmolStr) -> Value {
        let mut state = self.lock();
        let engine = state.engines.entry(id.clone()).or_default();
        complete_loads(engine);
        let loaded: Vec<String> = engine
            .loaded
            .iter()
            .map(|name| format!("{name}@1"))
            .collect();
        let loading: Vec<String> = engine
            .loading
            .keys()
            .map(|name| format!("base/{name}@1"))
            .collect();
        json!({"Stage": "both", "Models": [{"Name": "base", "Version": 1, "Adapters": loaded}],
            "Busy": false, "Sequence": engine.sequence, "Coming": loading,
            "born": engine.started()})
    }

    fn execute_order(&self, id: &SmolStr, order: &Value) -> StatusCode {
        let mut state = self.lock();
        let state = &mut *state;
        let engine = state.engines.entry(id.clone()).or_default();
        complete_loads(engine);
        let holder = order["Holder"].as_str().unwrap_or("").to_owned();
        let adapter = order["Adapter"].as_str().unwrap_or("").to_owned();
        let is_load = order["Operation"] == "load";
        let has_adapter = engine.loaded.contains(&adapter) || engine.loading.contains_key(&adapter);
        if is_load == has_adapter {
            return StatusCode::OK;
        }
        if order["Expected"].as_u64() != Some(engine.sequence) {
            return StatusCode::CONFLICT;
        }
        let now = std::time::Instant::now();
        if let Some((last, time)) = &engine.last_order
            && *last != holder
            && now.duration_since(*time) < ORDER_LEASE
        {
            let violation =
                format!("{last} and {holder} both sent orders to {id} within one lease");
            state.violations.push(violation);
        }
        engine.last_order = Some((holder, now));
        engine.sequence += 1;
        if is_load {
            if engine.loaded.len() + engine.loading.len() >= ADAPTER_SLOTS {
                state.violations.push(format!(
                    "{id} was ordered to load more adapters than it has slots"
                ));
            }
            engine.loading.insert(adapter, now + LOAD_TIME);
            StatusCode::ACCEPTED
        } else {
            engine.loaded.retain(|name| *name != adapter);
            StatusCode::OK
        }
    }

    async fn run_request(
        &self,
        id: &SmolStr,
        request: Request<Incoming>,
        headers: &HeaderMap,
    ) -> Response<StandinBody> {
        let path = request.uri().path().to_owned();
        let attempt = header_text(headers, "attempt-id").unwrap_or_default();
        let model = header_text(headers, "model");
        let retry_after = {
            let mut state = self.lock();
            let engine = state.engines.entry(id.clone()).or_default();
            let (started, retry_after) = (engine.started(), engine.faults.retry_after);
            state.arrivals.push(ArrivalRecord {
                attempt: attempt.clone(),
                server: id.clone(),
                started,
                time: std::time::Instant::now(),
                retry_after,
            });
            retry_after
        };
        if let Some(retry_after) = retry_after {
            let mut response = full_response(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
            let headers = response.headers_mut();
            headers.insert("not-executed", HeaderValue::from_static("1"));
            headers.insert("retry-after", HeaderValue::from_static(retry_after));
            if let Ok(value) = attempt.parse() {
                headers.insert("attempt-id", value);
            }
            return response;
        }
        // A run starts only after the whole body has arrived.
        let _body = request.into_body().collect().await;
        if let Some((_, adapter)) = model.as_deref().and_then(|model| model.split_once('/')) {
            let mut state = self.lock();
            let engine = state.engines.entry(id.clone()).or_default();
            complete_loads(engine);
            if !engine.loaded.iter().any(|loaded| loaded == adapter) {
                return misdirected_response(headers);
            }
        }
        let run = {
            let mut state = self.lock();
            state.runs.push(RunRecord {
                attempt: attempt.clone(),
                server: id.clone(),
                path,
                tenant: header_text(headers, "tenant"),
                received_credential: headers.contains_key("credential"),
                finished: false,
            });
            state.runs.len() - 1
        };
        let mut response = if model.is_some() {
            Response::new(self.stream(run))
        } else {
            tokio::time::sleep(RUN_TIME).await;
            self.lock().runs[run].finished = true;
            full_response(StatusCode::OK, format!("answer to {attempt}").into_bytes())
        };
        let headers = response.headers_mut();
        if let Ok(value) = attempt.parse() {
            headers.insert("attempt-id", value);
        }
        headers.insert("response-seal", "seal".parse().expect("plain text"));
        if self.lock().ends_by_connection {
            return without_length(response);
        }
        response
    }

    fn stream(&self, run: usize) -> StandinBody {
        let standin = self.clone();
        let events = futures_util::stream::unfold(0_u64, move |number| {
            let standin = standin.clone();
            async move {
                if number == STREAM_EVENT_COUNT {
                    standin.lock().runs[run].finished = true;
                    return None;
                }
                tokio::time::sleep(EVENT_INTERVAL).await;
                let event = Bytes::from(format!("id: {number}\ndata: token\n\n"));
                Some((Ok(Frame::data(event)), number + 1))
            }
        });
        BodyExt::boxed(StreamBody::new(events))
    }
}

fn complete_loads(engine: &mut EngineState) {
    let now = std::time::Instant::now();
    let (ready, loading) = std::mem::take(&mut engine.loading)
        .into_iter()
        .partition(|(_, time)| *time <= now);
    engine.loading = loading;
    let ready: BTreeMap<String, std::time::Instant> = ready;
    engine.loaded.extend(ready.into_keys());
}

/// Platform configuration with one streaming, one unsafe and one safe route; `key` is the API key
/// of the only team.
pub fn platform_config(version: u64, key: &str) -> Value {
    json!({"Version": version,
        "Routes": [
            {"Name": "chat", "Host": "host", "Prefix": "/chat/", "Kind": "streaming",
             "TimeoutMs": 5000, "TargetLatencyMs": 1000, "Priority": 1, "Service": "models",
             "MaxAttempts": 1, "Resumable": false},
            {"Name": "once", "Host": "host", "Prefix": "/once/", "Kind": "unsafe",
             "TimeoutMs": 3000, "TargetLatencyMs": 300, "Service": "desk", "MaxAttempts": 1},
            {"Name": "safe", "Host": "host", "Prefix": "/safe/", "Kind": "safe",
             "TimeoutMs": 3000, "TargetLatencyMs": 300, "Service": "desk", "MaxAttempts": 2}],
        "Services": [
            {"Name": "models", "MaxConnections": 300, "ColdStartS": 0.0, "ColdPerS": 0.0,
             "Engine": {"Slots": 64, "KvCapacityTokens": 200_000, "AdapterSlots": ADAPTER_SLOTS,
              "WeightsMb": 66000.0, "LoadsPerS": 2.0,
              "Models": [{"Name": "base", "WeightsMb": 65000.0, "LoadS": 1.9, "Adapters": 100}]}},
            {"Name": "desk", "MaxConnections": 300, "ColdStartS": 0.0, "ColdPerS": 0.0}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1_000_000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "team", "ApiKeys": [key]}]})
}
