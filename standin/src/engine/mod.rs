//! A model engine with adapter slots, continuous batches and a prefix cache.
//!
//! Its answers depend on model name and prompt alone, so that tests can tell a right answer from
//! a wrong, mixed or partial one.

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
use crate::http::{self, StandinClient};

/// Prompt bytes that count as one prefix.
const PREFIX_BYTES: usize = 64;
/// Bytes of prompt counted as one token.
const BYTES_PER_TOKEN: usize = 4;
/// How often the state is sampled for lagging reports.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Samples kept.
const SAMPLES: usize = 500;
const DEFAULT_MAX_TOKENS: u64 = 16;
const REQUEST_ID: &str = "x-request-id";

/// How an engine behaves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineShape {
    pub(crate) slots: usize,
    pub(crate) concurrency: usize,
    pub(crate) enforces_fencing: bool,
    pub(crate) store: SocketAddr,
    /// Time of one output token when the engine is idle.
    pub(crate) token_time: Duration,
    /// Time of one prompt token that is not cached.
    pub(crate) prompt_token_time: Duration,
}

impl Default for EngineShape {
    fn default() -> EngineShape {
        EngineShape {
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
    /// Output tokens that the caller already has.
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

struct StandinEngine {
    shape: EngineShape,
    client: StandinClient,
    state: Mutex<EngineState>,
    samples: Mutex<VecDeque<(Instant, LoadReport)>>,
    cancels: Mutex<HashMap<SmolStr, oneshot::Sender<()>>>,
}

/// Starts an engine; returns its address.
pub(crate) async fn start(listen: SocketAddr, shape: EngineShape) -> Result<SocketAddr> {
    let engine = Arc::new(StandinEngine {
        shape,
        client: http::client(),
        state: Mutex::new(EngineState::new(shape.concurrency, shape.slots)),
        samples: Mutex::new(VecDeque::new()),
        cancels: Mutex::new(HashMap::new()),
    });
    tokio::spawn(sample(engine.clone()));
    let endpoint = poem::endpoint::make(move |request| {
        let engine = engine.clone();
        async move { engine.answer(request).await }
    });
    http::serve(listen, endpoint).await
}

async fn sample(engine: Arc<StandinEngine>) {
    loop {
        let report = engine.state.lock().unwrap().report();
        {
            let mut samples = engine.samples.lock().unwrap();
            if samples.len() == SAMPLES {
                samples.pop_front();
            }
            samples.push_back((Instant::now(), report));
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Whether headers or body show a caller's key.
pub(crate) fn shows_key(headers: &HeaderMap, body: &[u8]) -> bool {
    let in_headers = headers
        .iter()
        .any(|(name, value)| *name == AUTHORIZATION || holds_key(value.as_bytes()));
    in_headers || holds_key(body)
}

fn holds_key(bytes: &[u8]) -> bool {
    bytes.windows(3).any(|window| window == b"ws_")
}

/// One output token of a completion.
pub(crate) fn output_token(model: &str, prompt: &str, position: u64) -> String {
    let hash = wasabistall_lib::rendezvous::weight(model, prompt);
    format!("{model}/{:04x}/{position} ", hash & 0xffff)
}

fn error(status: StatusCode, code: &str) -> Response {
    http::json(status, &json!({ "error": { "code": code } }))
}

/// `ADAPTER@VERSION` of an engine model name `BASE:ADAPTER@VERSION`.
fn slot_name(model: &str) -> Option<(SmolStr, u32)> {
    let (_, adapter) = model.split_once(':')?;
    let (adapter, version) = adapter.split_once('@')?;
    Some((adapter.into(), version.parse().ok()?))
}

/// A completion that was admitted.
struct AdmittedCompletion {
    model: SmolStr,
    prompt: String,
    max_tokens: u64,
    resume_from: u64,
    chat: bool,
    id: SmolStr,
    prefill: Duration,
    epoch: u64,
}

impl StandinEngine {
    async fn answer(self: Arc<Self>, mut request: poem::Request) -> Response {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/completions") => self.complete(request, false).await,
            (&Method::POST, "/v1/chat/completions") => self.complete(request, true).await,
            (&Method::POST, "/admin/adapters/load") => match http::read_json(&mut request).await {
                Some(order) => self.load(order).await,
                None => error(StatusCode::BAD_REQUEST, "malformed"),
            },
            (&Method::POST, "/admin/adapters/unload") => {
                match http::read_json(&mut request).await {
                    Some(order) => self.unload(&order),
                    None => error(StatusCode::BAD_REQUEST, "malformed"),
                }
            }
            (&Method::POST, "/admin/role") => match http::read_json(&mut request).await {
                Some(order) => self.set_role(order),
                None => error(StatusCode::BAD_REQUEST, "malformed"),
            },
            (&Method::GET, "/admin/report") => http::json(StatusCode::OK, &self.report()),
            (&Method::GET, "/admin/stats") => {
                http::json(StatusCode::OK, &self.state.lock().unwrap().stats)
            }
            (&Method::GET, "/admin/cache/events") => {
                let after = http::query_number(&request, "after").unwrap_or(0);
                let state = self.state.lock().unwrap();
                let late = state.events.len().saturating_sub(4);
                let events: Vec<_> = state
                    .events
                    .iter()
                    .take(late)
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
                        state.touch_prefix(prefix);
                    }
                    http::empty(StatusCode::NO_CONTENT)
                }
                None => error(StatusCode::BAD_REQUEST, "malformed"),
            },
            (&Method::POST, "/admin/faults") => {
                match http::read_json::<EngineFaults>(&mut request).await {
                    Some(faults) => {
                        self.state.lock().unwrap().faults = faults;
                        http::empty(StatusCode::NO_CONTENT)
                    }
                    None => error(StatusCode::BAD_REQUEST, "malformed"),
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
            _ => error(StatusCode::NOT_FOUND, "no_such_path"),
        }
    }

    fn report(&self) -> LoadReport {
        let lag = Duration::from_millis(self.state.lock().unwrap().faults.report_lag_ms);
        if lag.is_zero() {
            return self.state.lock().unwrap().report();
        }
        let samples = self.samples.lock().unwrap();
        let sample = samples
            .iter()
            .rev()
            .find(|(taken, _)| taken.elapsed() >= lag)
            .or_else(|| samples.front());
        let Some((taken, report)) = sample else {
            return self.state.lock().unwrap().report();
        };
        LoadReport {
            age_ms: u64::try_from(taken.elapsed().as_millis()).unwrap_or(u64::MAX),
            ..report.clone()
        }
    }

    /// Checks an order's fencing number.
    fn fenced(&self, fence: u64) -> bool {
        let mut state = self.state.lock().unwrap();
        if self.shape.enforces_fencing && fence < state.fence {
            state.stats.fenced += 1;
            return true;
        }
        state.fence = state.fence.max(fence);
        false
    }

    fn set_role(&self, order: RoleBody) -> Response {
        if self.fenced(order.fence) {
            return error(StatusCode::PRECONDITION_FAILED, "fenced");
        }
        self.state.lock().unwrap().role = order.role;
        http::empty(StatusCode::NO_CONTENT)
    }

    async fn load(&self, order: OrderBody) -> Response {
        if self.fenced(order.fence) {
            return error(StatusCode::PRECONDITION_FAILED, "fenced");
        }
        let name = (order.adapter.clone(), order.version);
        let epoch = {
            let mut state = self.state.lock().unwrap();
            if state.slots.get(&name).is_some_and(|slot| slot.ready) {
                return http::empty(StatusCode::OK);
            }
            if state.slots.len() >= state.max_slots {
                return error(StatusCode::CONFLICT, "no_free_slot");
            }
            if state.faults.fail_loads > 0 {
                state.faults.fail_loads -= 1;
                return error(StatusCode::INTERNAL_SERVER_ERROR, "load_failed");
            }
            state.slots.insert(name.clone(), SlotState::default());
            state.epoch
        };
        let path = format!("/v1/weights/{}/{}", order.adapter, order.version);
        let status = http::get_status(&self.client, self.shape.store, &path).await;
        let mut state = self.state.lock().unwrap();
        if state.epoch != epoch {
            return error(StatusCode::INTERNAL_SERVER_ERROR, "restarted");
        }
        if status != Some(StatusCode::OK) {
            state.slots.remove(&name);
            return error(StatusCode::INTERNAL_SERVER_ERROR, "load_failed");
        }
        if let Some(slot) = state.slots.get_mut(&name) {
            slot.ready = true;
        }
        state.stats.loads += 1;
        http::empty(StatusCode::OK)
    }

    fn unload(&self, order: &OrderBody) -> Response {
        if self.fenced(order.fence) {
            return error(StatusCode::PRECONDITION_FAILED, "fenced");
        }
        let name = (order.adapter.clone(), order.version);
        let mut state = self.state.lock().unwrap();
        if let Some(slot) = state.slots.remove(&name) {
            state.stats.unloads += 1;
            if slot.active > 0 {
                state.stats.unloads_in_use += 1;
            }
        }
        http::empty(StatusCode::OK)
    }

    async fn complete(self: Arc<Self>, mut request: poem::Request, chat: bool) -> Response {
        let body = request.take_body().into_bytes().await.unwrap_or_default();
        if shows_key(request.headers(), &body) {
            self.state.lock().unwrap().stats.keys_seen += 1;
        }
        let Ok(body) = serde_json::from_slice::<CompletionBody>(&body) else {
            return error(StatusCode::BAD_REQUEST, "malformed");
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
        tokio::spawn(self.clone().generate(admitted, sender, cancelled));
        let response = Response::builder().header(REQUEST_ID, id.as_str());
        if stream {
            let events = futures_util::stream::unfold(receiver, |mut receiver| async move {
                let output = receiver.recv().await?;
                Some((output.map(Output::into_event), receiver))
            });
            return response
                .header(CONTENT_TYPE, "text/event-stream")
                .body(Body::from_bytes_stream(events));
        }
        match collect_whole(receiver).await {
            Some(body) => response.header(CONTENT_TYPE, "application/json").body(body),
            None => http::broken(),
        }
    }

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
            (None, None) => return Err(error(StatusCode::BAD_REQUEST, "malformed").into()),
        };
        let mut state = self.state.lock().unwrap();
        let crashes = state
            .faults
            .crash_on
            .as_ref()
            .is_some_and(|text| prompt.contains(text.as_str()));
        if crashes || state.running >= state.bears() {
            state.crash();
            return Err(http::broken().into());
        }
        if let Some(name) = slot_name(&body.model) {
            match state.slots.get_mut(&name) {
                Some(slot) if slot.ready => slot.active += 1,
                _ => {
                    state.stats.not_loaded += 1;
                    return Err(error(StatusCode::NOT_FOUND, "adapter_not_loaded").into());
                }
            }
        }
        state.running += 1;
        state.stats.started += 1;
        state.stats.most_running = state.stats.most_running.max(state.running);
        *state.stats.by_model.entry(body.model.clone()).or_default() += 1;
        let prefix = prompt.get(..PREFIX_BYTES).unwrap_or(&prompt);
        let prefix = wasabistall_lib::rendezvous::weight(&body.model, prefix);
        let cached = state.touch_prefix(prefix);
        let tokens = u32::try_from(prompt.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
        let prefill = if cached {
            Duration::ZERO
        } else {
            self.shape.prompt_token_time * tokens
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

    async fn generate(
        self: Arc<Self>,
        admitted: AdmittedCompletion,
        sender: mpsc::Sender<std::io::Result<Output>>,
        cancelled: oneshot::Receiver<()>,
    ) {
        let finished = tokio::select! {
            finished = self.emit(&admitted, &sender) => finished,
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
        if let Some(name) = slot_name(&admitted.model)
            && let Some(slot) = state.slots.get_mut(&name)
        {
            slot.active = slot.active.saturating_sub(1);
        }
    }

    async fn emit(
        &self,
        admitted: &AdmittedCompletion,
        sender: &mpsc::Sender<std::io::Result<Output>>,
    ) -> bool {
        tokio::time::sleep(admitted.prefill).await;
        for position in admitted.resume_from..admitted.max_tokens {
            tokio::time::sleep(self.shape.token_time).await;
            let (epoch, faults) = {
                let state = self.state.lock().unwrap();
                (state.epoch, state.faults.clone())
            };
            if epoch != admitted.epoch || faults.break_after.is_some_and(|last| position >= last) {
                let _ = sender.send(Err(std::io::Error::other("crashed"))).await;
                return false;
            }
            if faults.silent_after.is_some_and(|last| position >= last) {
                std::future::pending::<()>().await;
            }
            let text = output_token(&admitted.model, &admitted.prompt, position);
            let output = Output::Token {
                text,
                chat: admitted.chat,
            };
            if sender.send(Ok(output)).await.is_err() {
                return false;
            }
        }
        let prompt_tokens = admitted.prompt.len().div_ceil(BYTES_PER_TOKEN) as u64;
        let usage = Output::Usage {
            prompt_tokens,
            completion_tokens: admitted.max_tokens,
        };
        sender.send(Ok(usage)).await.is_ok() && sender.send(Ok(Output::Done)).await.is_ok()
    }
}

/// One step of an answer.
enum Output {
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

impl Output {
    fn into_event(self) -> Bytes {
        let data = match self {
            Output::Token { text, chat: false } => {
                json!({ "choices": [{ "index": 0, "text": text }] }).to_string()
            }
            Output::Token { text, chat: true } => {
                json!({ "choices": [{ "index": 0, "delta": { "content": text } }] }).to_string()
            }
            Output::Usage {
                prompt_tokens,
                completion_tokens,
            } => usage_json(prompt_tokens, completion_tokens).to_string(),
            Output::Done => "[DONE]".to_owned(),
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

async fn collect_whole(mut receiver: mpsc::Receiver<std::io::Result<Output>>) -> Option<Vec<u8>> {
    let mut answer = String::new();
    let mut is_chat = false;
    let mut body = None;
    while let Some(output) = receiver.recv().await {
        match output.ok()? {
            Output::Token { text, chat } => {
                is_chat = chat;
                answer.push_str(&text);
            }
            Output::Usage {
                prompt_tokens,
                completion_tokens,
            } => {
                let mut whole = usage_json(prompt_tokens, completion_tokens);
                whole["choices"] = if is_chat {
                    json!([{ "index": 0, "message": { "role": "assistant", "content": answer } }])
                } else {
                    json!([{ "index": 0, "text": answer }])
                };
                body = Some(whole.to_string().into_bytes());
            }
            Output::Done => return body,
        }
    }
    None
}

/// Name for a stand-in's adapter.
pub(crate) fn adapter_name(team: &str, number: usize) -> SmolStr {
    format_smolstr!("{team}-{number}")
}
