//! An open-loop load generator: requests are sent at their scheduled times, however slow the
//! responses are.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use eyre::{Result, WrapErr, eyre};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE},
};
use rand::{
    Rng, SeedableRng,
    distr::{Distribution, weighted::WeightedIndex},
};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::SmolStr;

use crate::http::{self, HttpClient};

const MICROS_PER_SECOND: f64 = 1_000_000.0;
/// Upper bound of the latency histograms, in microseconds.
const MAX_LATENCY_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// Number of adapters of each team in the demo deployment.
const ADAPTERS_PER_TEAM: usize = 3;
/// One prompt in this many is long, on average.
const LONG_PROMPT_INTERVAL: u32 = 8;
/// Length of a short prompt, in bytes.
const SHORT_PROMPT_BYTES: usize = 80;
/// Length of a long prompt, in bytes.
const LONG_PROMPT_BYTES: usize = 4_000;
const OUTPUT_TOKENS: u64 = 4;

/// Rate, duration and target of the load.
#[derive(Clone, Debug)]
pub(crate) struct LoadOptions {
    pub(crate) requests_per_second: f64,
    pub(crate) seconds: f64,
    pub(crate) seed: u64,
    /// Sends requests for the base model directly to the engines instead of the instances.
    pub(crate) direct: bool,
    /// File to write the result to, as JSON.
    pub(crate) json: Option<PathBuf>,
}

#[derive(Deserialize)]
struct DeploymentFile {
    callers: BTreeMap<SmolStr, SocketAddr>,
    engines: BTreeMap<SmolStr, SocketAddr>,
    keys: BTreeMap<SmolStr, String>,
}

/// A request and its send time since the start of the run.
struct ScheduledRequest {
    at: Duration,
    address: SocketAddr,
    key: String,
    body: String,
}

/// Results collected during the run; latencies are in microseconds.
struct LoadStats {
    full_response: Histogram<u64>,
    first_byte: Histogram<u64>,
    /// Responses by HTTP status; 0 counts requests without a response.
    statuses: BTreeMap<u16, u64>,
}

/// Percentiles of a latency, in milliseconds.
#[derive(Serialize)]
struct LatencyRow {
    p50: f64,
    p95: f64,
    p99: f64,
    max: f64,
}

#[derive(Serialize)]
struct LoadResult {
    requests: usize,
    seconds: f64,
    answered_per_second: f64,
    statuses: BTreeMap<u16, u64>,
    first_byte_ms: LatencyRow,
    whole_answer_ms: LatencyRow,
}

/// Generates the load against the deployment of the given file and prints the result.
pub(crate) async fn run(deployment: &Path, options: &LoadOptions) -> Result<()> {
    let text = std::fs::read_to_string(deployment)
        .wrap_err_with(|| format!("cannot read {}", deployment.display()))?;
    let deployment: DeploymentFile = serde_json::from_str(&text)?;
    let client = http::client();
    let schedule = schedule_requests(&deployment, options)?;
    let stats = Arc::new(Mutex::new(LoadStats {
        full_response: new_histogram()?,
        first_byte: new_histogram()?,
        statuses: BTreeMap::new(),
    }));
    let requests = schedule.len();
    let started = Instant::now();
    let mut tasks = Vec::with_capacity(requests);
    for request in schedule {
        tokio::time::sleep_until((started + request.at).into()).await;
        let (client, stats) = (client.clone(), stats.clone());
        tasks.push(tokio::spawn(async move {
            send(&client, request, started, &stats).await;
        }));
    }
    for task in tasks {
        task.await?;
    }
    let seconds = started.elapsed().as_secs_f64();
    let result = summarize(&stats.lock().unwrap(), requests, seconds);
    print_result(&result);
    if let Some(path) = &options.json {
        std::fs::write(path, serde_json::to_string_pretty(&result)?)?;
    }
    Ok(())
}

fn new_histogram() -> Result<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(
        1,
        MAX_LATENCY_MICROS,
        SIGNIFICANT_DIGITS,
    )?)
}

fn schedule_requests(
    deployment: &DeploymentFile,
    options: &LoadOptions,
) -> Result<Vec<ScheduledRequest>> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let targets: Vec<SocketAddr> = if options.direct {
        deployment.engines.values().copied().collect()
    } else {
        deployment.callers.values().copied().collect()
    };
    let teams: Vec<(&SmolStr, &String)> = deployment.keys.iter().collect();
    if targets.is_empty() || teams.is_empty() {
        return Err(eyre!("the deployment file has no addresses or no keys"));
    }
    // Teams and the adapters of a team follow a Zipf distribution with exponent 1.
    let zipf = |count: usize| WeightedIndex::new((1..=count).map(|rank| 1.0 / rank as f64));
    let (team_ranks, adapter_ranks) = (zipf(teams.len())?, zipf(ADAPTERS_PER_TEAM)?);
    let mut schedule = Vec::new();
    let mut at = 0.0;
    loop {
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        // Exponential gaps make the arrivals a Poisson process.
        at -= uniform.ln() / options.requests_per_second;
        if at > options.seconds {
            return Ok(schedule);
        }
        let (team, key) = teams[team_ranks.sample(&mut rng)];
        let adapter = adapter_ranks.sample(&mut rng) + 1;
        let length = if rng.random_ratio(1, LONG_PROMPT_INTERVAL) {
            LONG_PROMPT_BYTES
        } else {
            SHORT_PROMPT_BYTES
        };
        let model = if options.direct {
            "nyota-7b".to_owned()
        } else {
            format!("nyota-7b:{team}-{adapter}")
        };
        let prompt = format!("{:08x}", rng.random::<u32>()).repeat(length / 8);
        let body = json!({
            "model": model, "prompt": prompt, "max_tokens": OUTPUT_TOKENS, "stream": true,
        });
        schedule.push(ScheduledRequest {
            at: Duration::from_secs_f64(at),
            address: targets[rng.random_range(0..targets.len())],
            key: if options.direct {
                String::new()
            } else {
                key.clone()
            },
            body: body.to_string(),
        });
    }
}

async fn post(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
    key: &str,
    body: String,
) -> Result<hyper::Response<hyper::body::Incoming>> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{path}"))
        .header(CONTENT_TYPE, "application/json");
    if !key.is_empty() {
        request = request.header(AUTHORIZATION, format!("Bearer {key}"));
    }
    let request = request.body(Full::new(Bytes::from(body)))?;
    Ok(client.request(request).await?)
}

async fn send(
    client: &HttpClient,
    request: ScheduledRequest,
    started: Instant,
    stats: &Mutex<LoadStats>,
) {
    let due = started + request.at;
    let response = post(
        client,
        request.address,
        "/v1/completions",
        &request.key,
        request.body,
    );
    let Ok(response) = response.await else {
        *stats.lock().unwrap().statuses.entry(0).or_default() += 1;
        return;
    };
    let status = response.status();
    let mut body = response.into_body();
    let mut first_byte = None;
    while let Some(Ok(_)) = body.frame().await {
        first_byte.get_or_insert_with(|| due.elapsed());
    }
    let full_response = due.elapsed();
    let mut stats = stats.lock().unwrap();
    *stats.statuses.entry(status.as_u16()).or_default() += 1;
    if status == StatusCode::OK {
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        stats.full_response.saturating_record(micros(full_response));
        stats
            .first_byte
            .saturating_record(micros(first_byte.unwrap_or(full_response)));
    }
}

fn latency_row(histogram: &Histogram<u64>) -> LatencyRow {
    let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    LatencyRow {
        p50: millis(0.50),
        p95: millis(0.95),
        p99: millis(0.99),
        max: histogram.max() as f64 * 1_000.0 / MICROS_PER_SECOND,
    }
}

fn summarize(stats: &LoadStats, requests: usize, seconds: f64) -> LoadResult {
    let successful = stats.statuses.get(&200).copied().unwrap_or(0);
    LoadResult {
        requests,
        seconds,
        answered_per_second: successful as f64 / seconds,
        statuses: stats.statuses.clone(),
        first_byte_ms: latency_row(&stats.first_byte),
        whole_answer_ms: latency_row(&stats.full_response),
    }
}

fn print_result(result: &LoadResult) {
    println!(
        "{} requests in {:.1} s, {:.0} successful responses per second",
        result.requests, result.seconds, result.answered_per_second
    );
    for (status, count) in &result.statuses {
        println!("status {status}: {count}");
    }
    println!(
        "{:<14} {:>9} {:>9} {:>9} {:>9}",
        "ms", "p50", "p95", "p99", "max"
    );
    for (name, row) in [
        ("first byte", &result.first_byte_ms),
        ("full response", &result.whole_answer_ms),
    ] {
        println!(
            "{name:<14} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
            row.p50, row.p95, row.p99, row.max
        );
    }
}
