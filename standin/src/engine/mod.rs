//! A simulated model engine with adapter slots, concurrent requests and a prefix cache.
//!
//! Its output depends only on the model name and the prompt, so that tests can detect wrong, mixed
//! or partial responses.

mod state;

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use eyre::Result;
use hyper::{
    HeaderMap, Method, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE},
};
use poem::{Body, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::{mpsc, oneshot};
use wasabistall_lib::engine::LoadReport;

use self::state::{EngineFaults, EngineState, SlotState};
use crate::http::{self, HttpClient};

/// Number of leading prompt bytes that make up the cached prefix.
const PREFIX_BYTES: usize = 64;
/// Number of prompt bytes counted as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Interval at which load reports are sampled, for reports with a lag.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of samples kept.
const MAX_SAMPLES: usize = 500;
const DEFAULT_MAX_TOKENS: u64 = 16;
const REQUEST_ID: &str = "x-request-id";

/// Configuration of a simulated engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineOptions {
    pub(crate) slots: usize,
    /// Number of concurrent requests that a warm engine can run; more crash it.
    pub(crate) concurrency: usize,
    /// Whether orders with an old fencing token are rejected.
    pub(crate) enforces_fencing: bool,
    /// Address of the weight store.
    pub(crate) store: SocketAddr,
    /// Time to generate one output token.
    pub(crate) token_time: Duration,
    /// Prefill time of one prompt token if the prefix is not cached.
    pub(crate) prompt_token_time: Duration,
}

impl Default for EngineOptions {
    fn default() -> EngineOptions {
        EngineOptions {
            slots: 8,
            concurrency: 16,
            enforces_fencing: true,
            store: SocketAddr::from(([127, 0, 0, 1], 0)),
            token_time: Duration::from_millis(2),
            prompt_token_time: Duration::from_micros(20),
        }
    }
}

#[derive(Deserialize)]
struct CompletionBody {
    model: SmolStr,
    prompt: Option<String>,
    messages: Option<Vec<ChatMessage>>,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    /// Number of output tokens that the caller already has.
    #[serde(default)]
    resume_from: u64,
}

#[derive(Deserialize)]
struct ChatMessage {
    content: String,
}

#[derive(Deserialize)]
struct OrderBody {
    adapter: SmolStr,
    version: u32,
    #[serde(default)]
    fence: u64,
}

#[derive(Deserialize)]
struct RoleBody {
    role: SmolStr,
    #[serde(default)]
    fence: u64,
}

#[derive(Serialize, Deserialize)]
struct CacheBody {
    prefixes: Vec<u64>,
}

struct SimulatedEngine {
    options: EngineOptions,
    client: HttpClient,
    state: Mutex<EngineState>,
    /// Recent load reports with the times at which they were taken, oldest first.
    samples: Mutex<VecDeque<(Instant, LoadReport)>>,
    /// Cancel signals of the running requests, by request id.
    cancels: Mutex<HashMap<SmolStr, oneshot::Sender<()>>>,
}

/// Starts an engine and returns its address.
pub(crate) async fn start(listen: SocketAddr, options: EngineOptions) -> Result<SocketAddr> {
    let engine = Arc::new(SimulatedEngine {
        options,
        client: http::client(),
        state: Mutex::new(EngineState::new(options.concurrency, options.slots)),
        samples: Mutex::new(VecDeque::new()),
        cancels: Mutex::new(HashMap::new()),
    });
    tokio::spawn(sample_reports(engine.clone()));
    let endpoint = poem::endpoint::make(move |request| {
        let engine = engine.clone();
        async move { engine.handle(request).await }
    });
    http::serve(listen, endpoint).await
}

/// Samples load reports for as long as the process runs.
async fn sample_reports(engine: Arc<SimulatedEngine>) {
    loop {
        let report = engine.state.lock().unwrap().report();
        {
            let mut samples = engine.samples.lock().unwrap();
            if samples.len() == MAX_SAMPLES {
                samples.pop_front();
            }
            samples.push_back((Instant::now(), report));
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Returns whether a request to a backend server contains a caller's API key or an authorization
/// header; the gateway must pass on neither.
pub(crate) fn contains_api_key(headers: &HeaderMap, body: &[u8]) -> bool {
    let in_headers = headers
        .iter()
        .any(|(name, value)| *name == AUTHORIZATION || contains_key_prefix(value.as_bytes()));
    in_headers || contains_key_prefix(body)
}

/// Returns whether `bytes` contain the prefix of API keys.
fn contains_key_prefix(bytes: &[u8]) -> bool {
    bytes.windows(3).any(|window| window == b"ws_")
}

/// Returns the output token of a completion at a position.
pub(crate) fn output_token(model: &str, prompt: &str, position: u64) -> String {
    let hash = wasabistall_lib::rendezvous::weight(model, prompt);
    format!("{model}/{:04x}/{position} ", hash & 0xffff)
}

/// Builds an error response in the format of model engines.
fn error_response(status: StatusCode, code: &str) -> Response {
    http::json(status, &json!({ "error": { "code": code } }))
}

/// Parses an engine model name `BASE:ADAPTER@VERSION`; `None` for a base model.
fn parse_adapter_id(model: &str) -> Option<(SmolStr, u32)> {
    let (_, adapter) = model.split_once(':')?;
    let (adapter, version) = adapter.split_once('@')?;
    Some((adapter.into(), version.parse().ok()?))
}

/// A completion that the engine has admitted.
struct AdmittedCompletion {
    model: SmolStr,
    prompt: String,
    max_tokens: u64,
    resume_from: u64,
    chat: bool,
    id: SmolStr,
    /// Time that prefill takes.
    prefill: Duration,
    /// Epoch of the engine at admission.
    epoch: u64,
}

impl SimulatedEngine {
    async fn handle(self: Arc<Self>, mut request: poem::Request) -> Response {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/completions") => {
                let response = self.clone().complete(request, false).await;
                self.end_by_connection(response)
            }
            (&Method::POST, "/v1/chat/completions") => {
                let response = self.clone().complete(request, true).await;
                self.end_by_connection(response)
            }
            (&Method::POST, "/admin/adapters/load") => match http::read_json(&mut request).await {
                Some(order) => self.load(order).await,
                None => error_response(StatusCode::BAD_REQUEST, "malformed"),
            },
            (&Method::POST, "/admin/adapters/unload") => {
                match http::read_json(&mut request).await {
                    Some(order) => self.unload(&order),
                    None => error_response(StatusCode::BAD_REQUEST, "malformed"),
                }
            }
            (&Method::POST, "/admin/role") => match http::read_json(&mut request).await {
                Some(order) => self.set_role(order),
                None => error_response(StatusCode::BAD_REQUEST, "malformed"),
            },
            (&Method::GET, "/admin/report") => http::json(StatusCode::OK, &self.report()),
            (&Method::GET, "/admin/stats") => {
                http::json(StatusCode::OK, &self.state.lock().unwrap().stats)
            }
            (&Method::GET, "/admin/cache/events") => {
                let after = http::query_number(&request, "after").unwrap_or(0);
                let state = self.state.lock().unwrap();
                // The newest 4 events are withheld, as a delayed feed would.
                let published = state.events.len().saturating_sub(4);
                let events: Vec<_> = state
                    .events
                    .iter()
                    .take(published)
                    .filter(|event| event.sequence > after)
                    .collect();
                http::json(StatusCode::OK, &events)
            }
            (&Method::GET, "/admin/cache") => {
                let prefixes = self.state.lock().unwrap().export_prefixes();
                http::json(StatusCode::OK, &CacheBody { prefixes })
            }
            (&Method::PUT, "/admin/cache") => match http::read_json(&mut request).await {
                Some(CacheBody { prefixes }) => {
                    let mut state = self.state.lock().unwrap();
                    for prefix in prefixes {
                        state.insert_prefix(prefix);
                    }
                    http::empty(StatusCode::NO_CONTENT)
                }
                None => error_response(StatusCode::BAD_REQUEST, "malformed"),
            },
            (&Method::POST, "/admin/faults") => {
                match http::read_json::<EngineFaults>(&mut request).await {
                    Some(faults) => {
                        self.state.lock().unwrap().faults = faults;
                        http::empty(StatusCode::NO_CONTENT)
                    }
                    None => error_response(StatusCode::BAD_REQUEST, "malformed"),
                }
            }
            (&Method::POST, "/admin/crash") => {
                self.state.lock().unwrap().crash();
                http::empty(StatusCode::NO_CONTENT)
            }
            (&Method::POST, path) if path.starts_with("/admin/cancel/") => {
                let id = path.trim_start_matches("/admin/cancel/");
                if let Some(cancel) = self.cancels.lock().unwrap().remove(id) {
                    let _ = cancel.send(());
                }
                http::empty(StatusCode::NO_CONTENT)
            }
            _ => error_response(StatusCode::NOT_FOUND, "no_such_path"),
        }
    }

    /// Removes the length of a response if the faults say so.
    fn end_by_connection(&self, response: Response) -> Response {
        if self.state.lock().unwrap().faults.ends_by_connection {
            http::without_length(response)
        } else {
            response
        }
    }

    /// Returns the current load report, or the newest sample that is at least the injected lag old.
    fn report(&self) -> LoadReport {
        let lag = Duration::from_millis(self.state.lock().unwrap().faults.report_lag_ms);
        if lag.is_zero() {
            return self.state.lock().unwrap().report();
        }
        let samples = self.samples.lock().unwrap();
        let sample = samples
            .iter()
            .rev()
            .find(|(taken_at, _)| taken_at.elapsed() >= lag)
            .or_else(|| samples.front());
        let Some((taken_at, report)) = sample else {
            return self.state.lock().unwrap().report();
        };
        LoadReport {
            age_ms: u64::try_from(taken_at.elapsed().as_millis()).unwrap_or(u64::MAX),
            ..report.clone()
        }
    }

    /// Returns whether an order must be rejected because of its fencing token; otherwise records the
    /// token.
    fn reject_stale(&self, fence: u64) -> bool {
        let mut state = self.state.lock().unwrap();
        if self.options.enforces_fencing && fence < state.fence {
            state.stats.fenced += 1;
            return true;
        }
        state.fence = state.fence.max(fence);
        false
    }

    fn set_role(&self, order: RoleBody) -> Response {
        if self.reject_stale(order.fence) {
            return error_response(StatusCode::PRECONDITION_FAILED, "fenced");
        }
        self.state.lock().unwrap().role = order.role;
        http::empty(StatusCode::NO_CONTENT)
    }

    /// Loads an adapter from the weight store into a free slot.
    async fn load(&self, order: OrderBody) -> Response {
        if self.reject_stale(order.fence) {
            return error_response(StatusCode::PRECONDITION_FAILED, "fenced");
        }
        let adapter_id = (order.adapter.clone(), order.version);
        let epoch = {
            let mut state = self.state.lock().unwrap();
            if state.slots.get(&adapter_id).is_some_and(|slot| slot.ready) {
                return http::empty(StatusCode::OK);
            }
            if state.slots.len() >= state.max_slots {
                return error_response(StatusCode::CONFLICT, "no_free_slot");
            }
            if state.faults.fail_loads > 0 {
                state.faults.fail_loads -= 1;
                return error_response(StatusCode::INTERNAL_SERVER_ERROR, "load_failed");
            }
            state.slots.insert(adapter_id.clone(), SlotState::default());
            state.epoch
        };
        let path = format!("/v1/weights/{}/{}", order.adapter, order.version);
        let status = http::get_status(&self.client, self.options.store, &path).await;
        let mut state = self.state.lock().unwrap();
        if state.epoch != epoch {
            return error_response(StatusCode::INTERNAL_SERVER_ERROR, "restarted");
        }
        if status != Some(StatusCode::OK) {
            state.slots.remove(&adapter_id);
            return error_response(StatusCode::INTERNAL_SERVER_ERROR, "load_failed");
        }
        if let Some(slot) = state.slots.get_mut(&adapter_id) {
            slot.ready = true;
        }
        state.stats.loads += 1;
        http::empty(StatusCode::OK)
    }

    fn unload(&self, order: &OrderBody) -> Response {
        if self.reject_stale(order.fence) {
            return error_response(StatusCode::PRECONDITION_FAILED, "fenced");
        }
        let adapter_id = (order.adapter.clone(), order.version);
        let mut state = self.state.lock().unwrap();
        if let Some(slot) = state.slots.remove(&adapter_id) {
            state.stats.unloads += 1;
            if slot.active > 0 {
                state.stats.unloads_in_use += 1;
            }
        }
        http::empty(StatusCode::OK)
    }

    async fn complete(self: Arc<Self>, mut request: poem::Request, chat: bool) -> Response {
        let body = request.take_body().into_bytes().await.unwrap_or_default();
        if contains_api_key(request.headers(), &body) {
            self.state.lock().unwrap().stats.keys_seen += 1;
        }
        let Ok(body) = serde_json::from_slice::<CompletionBody>(&body) else {
            return error_response(StatusCode::BAD_REQUEST, "malformed");
        };
        let stream = body.stream;
        let id = request.header(REQUEST_ID).unwrap_or("none").into();
        let admitted = match self.admit(body, chat, id) {
            Ok(admitted) => admitted,
            Err(response) => return *response,
        };
        let crossed = self.state.lock().unwrap().faults.crossed;
        let id = if crossed {
            "crossed".into()
        } else {
            admitted.id.clone()
        };
        let (sender, receiver) = mpsc::channel(16);
        let (cancel, cancelled) = oneshot::channel();
        self.cancels
            .lock()
            .unwrap()
            .insert(admitted.id.clone(), cancel);
        tokio::spawn(self.clone().run_completion(admitted, sender, cancelled));
        let response = Response::builder().header(REQUEST_ID, id.as_str());
        if stream {
            let events = futures_util::stream::unfold(receiver, |mut receiver| async move {
                let item = receiver.recv().await?;
                Some((item.map(OutputItem::into_event), receiver))
            });
            return response
                .header(CONTENT_TYPE, "text/event-stream")
                .body(Body::from_bytes_stream(events));
        }
        match collect_body(receiver).await {
            Some(body) => response.header(CONTENT_TYPE, "application/json").body(body),
            None => http::truncated(),
        }
    }

    /// Admits a completion, or returns the error response. Exceeding the capacity crashes the
    /// engine.
    fn admit(
        &self,
        body: CompletionBody,
        chat: bool,
        id: SmolStr,
    ) -> Result<AdmittedCompletion, Box<Response>> {
        let prompt = match (body.prompt, body.messages) {
            (Some(prompt), _) => prompt,
            (None, Some(messages)) => messages
                .into_iter()
                .map(|message| message.content)
                .collect::<Vec<_>>()
                .join("\n"),
            (None, None) => return Err(error_response(StatusCode::BAD_REQUEST, "malformed").into()),
        };
        let mut state = self.state.lock().unwrap();
        let crashes = state
            .faults
            .crash_on
            .as_ref()
            .is_some_and(|text| prompt.contains(text.as_str()));
        if crashes || state.running >= state.capacity() {
            state.crash();
            return Err(http::truncated().into());
        }
        if let Some(adapter_id) = parse_adapter_id(&body.model) {
            match state.slots.get_mut(&adapter_id) {
                Some(slot) if slot.ready => slot.active += 1,
                _ => {
                    state.stats.not_loaded += 1;
                    return Err(error_response(StatusCode::NOT_FOUND, "adapter_not_loaded").into());
                }
            }
        }
        state.running += 1;
        state.stats.started += 1;
        state.stats.most_running = state.stats.most_running.max(state.running);
        *state.stats.by_model.entry(body.model.clone()).or_default() += 1;
        let prefix = prompt.get(..PREFIX_BYTES).unwrap_or(&prompt);
        let prefix = wasabistall_lib::rendezvous::weight(&body.model, prefix);
        let cached = state.insert_prefix(prefix);
        let tokens = u32::try_from(prompt.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
        let prefill = if cached {
            Duration::ZERO
        } else {
            self.options.prompt_token_time * tokens
        };
        Ok(AdmittedCompletion {
            model: body.model,
            prompt,
            max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            resume_from: body.resume_from,
            chat,
            id,
            prefill,
            epoch: state.epoch,
        })
    }

    /// Runs a completion until it finishes, is cancelled or loses its client, and then releases its
    /// share of the capacity.
    async fn run_completion(
        self: Arc<Self>,
        admitted: AdmittedCompletion,
        sender: mpsc::Sender<std::io::Result<OutputItem>>,
        cancelled: oneshot::Receiver<()>,
    ) {
        let finished = tokio::select! {
            finished = self.send_output(&admitted, &sender) => finished,
            Ok(()) = cancelled => false,
            () = sender.closed() => false,
        };
        self.cancels.lock().unwrap().remove(&admitted.id);
        let mut state = self.state.lock().unwrap();
        if finished {
            state.stats.finished += 1;
        } else {
            state.stats.cancelled += 1;
        }
        if state.epoch != admitted.epoch {
            return;
        }
        state.running = state.running.saturating_sub(1);
        state.served += usize::from(finished);
        if let Some(adapter_id) = parse_adapter_id(&admitted.model)
            && let Some(slot) = state.slots.get_mut(&adapter_id)
        {
            slot.active = slot.active.saturating_sub(1);
        }
    }

    /// Sends the output of a completion; returns whether all of it was sent.
    async fn send_output(
        &self,
        admitted: &AdmittedCompletion,
        sender: &mpsc::Sender<std::io::Result<OutputItem>>,
    ) -> bool {
        tokio::time::sleep(admitted.prefill).await;
        for position in admitted.resume_from..admitted.max_tokens {
            tokio::time::sleep(self.options.token_time).await;
            let (epoch, faults) = {
                let state = self.state.lock().unwrap();
                (state.epoch, state.faults.clone())
            };
            if epoch != admitted.epoch || faults.break_after.is_some_and(|limit| position >= limit)
            {
                let _ = sender.send(Err(std::io::Error::other("crashed"))).await;
                return false;
            }
            if faults.silent_after.is_some_and(|limit| position >= limit) {
                std::future::pending::<()>().await;
            }
            let text = output_token(&admitted.model, &admitted.prompt, position);
            let item = OutputItem::Token {
                text,
                chat: admitted.chat,
            };
            if sender.send(Ok(item)).await.is_err() {
                return false;
            }
        }
        let prompt_tokens = admitted.prompt.len().div_ceil(BYTES_PER_TOKEN) as u64;
        let usage = OutputItem::Usage {
            prompt_tokens,
            completion_tokens: admitted.max_tokens,
        };
        sender.send(Ok(usage)).await.is_ok() && sender.send(Ok(OutputItem::Done)).await.is_ok()
    }
}

/// One item of a completion's output.
enum OutputItem {
    Token {
        text: String,
        chat: bool,
    },
    Usage {
        prompt_tokens: u64,
        completion_tokens: u64,
    },
    Done,
}

impl OutputItem {
    /// Encodes the item as a server-sent event.
    fn into_event(self) -> Bytes {
        let data = match self {
            OutputItem::Token { text, chat: false } => {
                json!({ "choices": [{ "index": 0, "text": text }] }).to_string()
            }
            OutputItem::Token { text, chat: true } => {
                json!({ "choices": [{ "index": 0, "delta": { "content": text } }] }).to_string()
            }
            OutputItem::Usage {
                prompt_tokens,
                completion_tokens,
            } => usage_json(prompt_tokens, completion_tokens).to_string(),
            OutputItem::Done => "[DONE]".to_owned(),
        };
        Bytes::from(format!("data: {data}\n\n"))
    }
}

fn usage_json(prompt_tokens: u64, completion_tokens: u64) -> serde_json::Value {
    json!({
        "choices": [],
        "usage": { "prompt_tokens": prompt_tokens, "completion_tokens": completion_tokens },
    })
}

/// Collects the output into the body of a non-streaming response; `None` if it breaks off.
async fn collect_body(
    mut receiver: mpsc::Receiver<std::io::Result<OutputItem>>,
) -> Option<Vec<u8>> {
    let mut output = String::new();
    let mut is_chat = false;
    let mut body = None;
    while let Some(item) = receiver.recv().await {
        match item.ok()? {
            OutputItem::Token { text, chat } => {
                is_chat = chat;
                output.push_str(&text);
            }
            OutputItem::Usage {
                prompt_tokens,
                completion_tokens,
            } => {
                let mut response = usage_json(prompt_tokens, completion_tokens);
                response["choices"] = if is_chat {
                    json!([{ "index": 0, "message": { "role": "assistant", "content": output } }])
                } else {
                    json!([{ "index": 0, "text": output }])
                };
                body = Some(response.to_string().into_bytes());
            }
            OutputItem::Done => return body,
        }
    }
    None
}

/// Returns the name of a team's adapter in the demo deployment.
pub(crate) fn adapter_name(team: &str, number: usize) -> SmolStr {
    format_smolstr!("{team}-{number}")
}
