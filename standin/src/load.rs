//! An open-loop load: requests leave at their planned times, however slow the answers are.

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

use crate::http::{self, StandinClient};

const MICROS_PER_SECOND: f64 = 1_000_000.0;
/// Longest latency told apart, in microseconds.
const MOST_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// Adapters of a team in the stand-in deployment.
const ADAPTERS: usize = 3;
/// One prompt in this many is long.
const LONG_EVERY: u32 = 8;
const SHORT_PROMPT: usize = 80;
const LONG_PROMPT: usize = 4_000;
const OUTPUT_TOKENS: u64 = 4;

/// What load to send.
#[derive(Clone, Debug)]
pub(crate) struct LoadShape {
    pub(crate) requests_per_second: f64,
    pub(crate) seconds: f64,
    pub(crate) seed: u64,
    /// Calls the base model on the engines themselves instead of the instances.
    pub(crate) direct: bool,
    /// Writes the result here as JSON.
    pub(crate) json: Option<PathBuf>,
}

#[derive(Deserialize)]
struct DeploymentFile {
    callers: BTreeMap<SmolStr, SocketAddr>,
    engines: BTreeMap<SmolStr, SocketAddr>,
    keys: BTreeMap<SmolStr, String>,
}

/// One planned request.
struct PlannedRequest {
    at: Duration,
    address: SocketAddr,
    key: String,
    body: String,
}

/// Results so far.
struct LoadTally {
    whole: Histogram<u64>,
    first: Histogram<u64>,
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

/// Sends the load and prints the result.
pub(crate) async fn run(deployment: &Path, shape: &LoadShape) -> Result<()> {
    let text = std::fs::read_to_string(deployment)
        .wrap_err_with(|| format!("cannot read {}", deployment.display()))?;
    let deployment: DeploymentFile = serde_json::from_str(&text)?;
    let client = http::client();
    let plan = plan_requests(&deployment, shape)?;
    let tally = Arc::new(Mutex::new(LoadTally {
        whole: new_histogram()?,
        first: new_histogram()?,
        statuses: BTreeMap::new(),
    }));
    let requests = plan.len();
    let started = Instant::now();
    let mut tasks = Vec::with_capacity(requests);
    for planned in plan {
        tokio::time::sleep_until((started + planned.at).into()).await;
        let (client, tally) = (client.clone(), tally.clone());
        tasks.push(tokio::spawn(async move {
            send(&client, planned, started, &tally).await;
        }));
    }
    for task in tasks {
        task.await?;
    }
    let seconds = started.elapsed().as_secs_f64();
    let result = summarize(&tally.lock().unwrap(), requests, seconds);
    print_result(&result);
    if let Some(path) = &shape.json {
        std::fs::write(path, serde_json::to_string_pretty(&result)?)?;
    }
    Ok(())
}

fn new_histogram() -> Result<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(
        1,
        MOST_MICROS,
        SIGNIFICANT_DIGITS,
    )?)
}

fn plan_requests(deployment: &DeploymentFile, shape: &LoadShape) -> Result<Vec<PlannedRequest>> {
    let mut random = ChaCha8Rng::seed_from_u64(shape.seed);
    let targets: Vec<SocketAddr> = if shape.direct {
        deployment.engines.values().copied().collect()
    } else {
        deployment.callers.values().copied().collect()
    };
    let teams: Vec<(&SmolStr, &String)> = deployment.keys.iter().collect();
    if targets.is_empty() || teams.is_empty() {
        return Err(eyre!("the deployment has no addresses or no keys"));
    }
    // Popularity falls with rank, for teams and for the adapters of a team.
    let by_rank = |count: usize| WeightedIndex::new((1..=count).map(|rank| 1.0 / rank as f64));
    let (team_ranks, adapter_ranks) = (by_rank(teams.len())?, by_rank(ADAPTERS)?);
    let mut plan = Vec::new();
    let mut at = 0.0;
    loop {
        let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        at -= uniform.ln() / shape.requests_per_second;
        if at > shape.seconds {
            return Ok(plan);
        }
        let (team, key) = teams[team_ranks.sample(&mut random)];
        let adapter = adapter_ranks.sample(&mut random) + 1;
        let length = if random.random_ratio(1, LONG_EVERY) {
            LONG_PROMPT
        } else {
            SHORT_PROMPT
        };
        let model = if shape.direct {
            "nyota-7b".to_owned()
        } else {
            format!("nyota-7b:{team}-{adapter}")
        };
        let prompt = format!("{:08x}", random.random::<u32>()).repeat(length / 8);
        let body = json!({
            "model": model, "prompt": prompt, "max_tokens": OUTPUT_TOKENS, "stream": true,
        });
        plan.push(PlannedRequest {
            at: Duration::from_secs_f64(at),
            address: targets[random.random_range(0..targets.len())],
            key: if shape.direct {
                String::new()
            } else {
                key.clone()
            },
            body: body.to_string(),
        });
    }
}

async fn post(
    client: &StandinClient,
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
    client: &StandinClient,
    planned: PlannedRequest,
    started: Instant,
    tally: &Mutex<LoadTally>,
) {
    let due = started + planned.at;
    let response = post(
        client,
        planned.address,
        "/v1/completions",
        &planned.key,
        planned.body,
    );
    let Ok(response) = response.await else {
        *tally.lock().unwrap().statuses.entry(0).or_default() += 1;
        return;
    };
    let status = response.status();
    let mut body = response.into_body();
    let mut first = None;
    while let Some(Ok(_)) = body.frame().await {
        first.get_or_insert_with(|| due.elapsed());
    }
    let whole = due.elapsed();
    let mut tally = tally.lock().unwrap();
    *tally.statuses.entry(status.as_u16()).or_default() += 1;
    if status == StatusCode::OK {
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        tally.whole.saturating_record(micros(whole));
        tally
            .first
            .saturating_record(micros(first.unwrap_or(whole)));
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

fn summarize(tally: &LoadTally, requests: usize, seconds: f64) -> LoadResult {
    let answered = tally.statuses.get(&200).copied().unwrap_or(0);
    LoadResult {
        requests,
        seconds,
        answered_per_second: answered as f64 / seconds,
        statuses: tally.statuses.clone(),
        first_byte_ms: latency_row(&tally.first),
        whole_answer_ms: latency_row(&tally.whole),
    }
}

fn print_result(result: &LoadResult) {
    println!(
        "{} requests in {:.1} s, {:.0} answered a second",
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
        ("whole answer", &result.whole_answer_ms),
    ] {
        println!(
            "{name:<14} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
            row.p50, row.p95, row.p99, row.max
        );
    }
}
