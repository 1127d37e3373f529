//! Randomized soak test of real gateway processes: injects faults and checks the guarantees that
//! callers and servers observe.
//!
//! `SOAK_SEEDS=100..150` sets the range of seeds and `SOAK_STEPS` the number of steps for each; the
//! default is one short seed. Seeds that have failed are kept in [`REGRESSIONS`].

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, Ipv4Addr},
    ops::Range,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use hyper::{Method, StatusCode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use wasabistall_testutils::{
    gateway::{CallerConnection, GatewayPorts, GatewayProcess, wait_ready},
    platform::{ArrivalRecord, PlatformStandin, ServerFaults, StoreMode, platform_config},
    proxy::{FaultProxy, ProxyMode},
};

/// Seeds that have failed before, each with its cause.
const REGRESSIONS: [u64; 0] = [];
const GATEWAYS: u8 = 4;
const CALLERS: u64 = 24;
const DEFAULT_STEPS: u64 = 12;
const STEP_INTERVAL: Duration = Duration::from_millis(400);
/// Time limit for the fleet to recover after the last fault; the platform's limit is 12 s.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// Backend servers, in the order of their proxies, and their services.
const SERVERS: [(u8, &str); 4] = [
    (201, "models"),
    (202, "models"),
    (203, "desk"),
    (204, "desk"),
];
/// For how long a server turns requests away, as it says and in milliseconds.
const TURN_AWAY: (&str, u64) = ("1.5", 1_500);
/// Time after a server's announcement that it leaves after which callers' new requests must not reach
/// it.
const DRAIN_TIME: Duration = Duration::from_secs(1);
/// Time after a rejection after which requests from the same gateway count, and how many may come.
const REJECTION_SLACK: Duration = Duration::from_millis(500);
const MAX_EARLY_ARRIVALS: usize = 2;
/// Time for which a disturbance of a gateway or a server's link may hold up requests.
const HOLD_UP_TIME: Duration = Duration::from_secs(4);

/// A caller's attempt.
struct AttemptRecord {
    gateway: usize,
    sent_at: Instant,
    /// The response, once it has arrived.
    answer: Option<AttemptAnswer>,
}

struct AttemptAnswer {
    status: StatusCode,
    complete: bool,
    body: Vec<u8>,
    /// Whether the server announced that it leaves.
    is_leaving: bool,
    time: Instant,
}

/// Attempts by id.
type AttemptLog = Arc<Mutex<BTreeMap<String, AttemptRecord>>>;

/// What a fault concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultTarget {
    Gateway(usize),
    Proxy(usize),
}

/// Spans of faults; those without an end still last.
#[derive(Default)]
struct FaultLog {
    spans: Vec<(FaultTarget, Instant, Option<Instant>)>,
    restarts: Vec<(usize, Instant)>,
}

impl FaultLog {
    fn begin(&mut self, target: FaultTarget) {
        self.spans.push((target, Instant::now(), None));
    }

    fn end(&mut self, target: FaultTarget) {
        for (other, _, end) in &mut self.spans {
            if *other == target && end.is_none() {
                *end = Some(Instant::now());
            }
        }
    }

    /// Whether a fault of the target may have held up requests between the two times.
    fn overlaps(&self, target: FaultTarget, from: Instant, to: Instant) -> bool {
        self.spans.iter().any(|(other, start, end)| {
            *other == target && *start <= to && end.is_none_or(|end| end + HOLD_UP_TIME >= from)
        })
    }

    fn has_restarted(&self, gateway: usize, from: Instant, to: Instant) -> bool {
        let mut restarts = self.restarts.iter();
        restarts.any(|(other, time)| *other == gateway && (from..=to).contains(time))
    }
}

struct Soak {
    platform: PlatformStandin,
    proxies: Vec<FaultProxy>,
    gateways: Vec<GatewayProcess>,
    frozen: BTreeSet<usize>,
    faults: FaultLog,
    random: ChaCha8Rng,
    version: u64,
    _folder: tempfile::TempDir,
}

impl Soak {
    async fn start(seed: u64) -> Soak {
        let process = std::process::id().to_le_bytes();
        let subnet = process[1] ^ (seed as u8) ^ 0xa5;
        let ip = |host: u8| IpAddr::V4(Ipv4Addr::new(127, process[0] | 1, subnet, host));
        let platform = PlatformStandin::start(ip(200)).await;
        platform.put("op/config", Some(&platform_config(1, "key")));
        let mut proxies = Vec::new();
        for (host, service) in SERVERS {
            let id = format!("s-{host}");
            let is_engine = service == "models";
            let address = platform
                .start_server(ip(host), &id, service, is_engine)
                .await;
            let proxy = FaultProxy::start(ip(host), address).await;
            platform.register(&id, service, proxy.address, is_engine, "ready");
            proxies.push(proxy);
        }
        let store = FaultProxy::start(ip(200), platform.store).await;
        let folder = tempfile::tempdir().expect("folder for settings");
        let ports: Vec<GatewayPorts> = (1..=GATEWAYS)
            .map(|host| GatewayPorts {
                ip: ip(host),
                base_port: 22_000,
            })
            .collect();
        let peers: Vec<_> = ports.iter().take(3).map(|ports| ports.peers()).collect();
        let binary = Path::new(env!("CARGO_BIN_EXE_wasabistalld"));
        let gateways = ports
            .iter()
            .enumerate()
            .map(|(index, ports)| {
                let name = format!("g-{index}");
                GatewayProcess::start(binary, folder.path(), &name, *ports, &peers, store.address)
            })
            .collect();
        for ports in &ports {
            wait_ready(*ports).await;
        }
        proxies.push(store);
        Soak {
            platform,
            proxies,
            gateways,
            frozen: BTreeSet::new(),
            faults: FaultLog::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            version: 1,
            _folder: folder,
        }
    }

    /// Injects one random fault or ends some.
    fn step(&mut self) {
        let gateway = self.random.random_range(0..self.gateways.len());
        let proxy = self.random.random_range(0..self.proxies.len());
        match self.random.random_range(0..17) {
            0 => self.gateways[gateway].kill(),
            1 => self.gateways[gateway].signal(Signal::TERM),
            2 => {
                self.gateways[gateway].signal(Signal::STOP);
                self.frozen.insert(gateway);
                self.faults.begin(FaultTarget::Gateway(gateway));
            }
            3 | 4 => self.resume_frozen(),
            5 => {
                let modes = [
                    ProxyMode::Delay,
                    ProxyMode::Reset,
                    ProxyMode::Silent,
                    ProxyMode::OneWay,
                ];
                self.proxies[proxy].set_mode(modes[self.random.random_range(0..4)]);
                self.faults.begin(FaultTarget::Proxy(proxy));
            }
            6 | 7 => {
                self.proxies[proxy].set_mode(ProxyMode::Pass);
                self.faults.end(FaultTarget::Proxy(proxy));
            }
            8 => {
                let modes = [StoreMode::Up, StoreMode::Busy, StoreMode::Silent];
                self.platform
                    .set_mode(modes[self.random.random_range(0..3)]);
            }
            9 => {
                self.version += self.random.random_range(1..4);
                let config = platform_config(self.version, "key");
                self.platform.put("op/config", Some(&config));
            }
            10 => self.gateways[gateway].signal(Signal::HUP),
            11 => self.announce_leaving(),
            12 => {
                let server = self.random.random_range(0..SERVERS.len());
                let faults = ServerFaults {
                    retry_after: Some(TURN_AWAY.0),
                    ..self.platform.faults(&server_id(server))
                };
                self.platform.set_faults(&server_id(server), faults);
            }
            13 => self.restart_faulty_servers(),
            14 => {
                let ends_by_connection = self.random.random_bool(0.5);
                self.platform.set_ends_by_connection(ends_by_connection);
            }
            _ => {}
        }
        self.restart_ended();
    }

    /// Has a server announce that it leaves, unless all others of its service do so.
    fn announce_leaving(&mut self) {
        let server = self.random.random_range(0..SERVERS.len());
        let other = server ^ 1;
        if !self.platform.faults(&server_id(other)).is_leaving {
            let faults = ServerFaults {
                is_leaving: true,
                ..self.platform.faults(&server_id(server))
            };
            self.platform.set_faults(&server_id(server), faults);
        }
    }

    /// Replaces the processes of servers that leave or turn requests away.
    fn restart_faulty_servers(&self) {
        for server in 0..SERVERS.len() {
            let id = server_id(server);
            if self.platform.faults(&id) != ServerFaults::default() {
                self.platform.restart_server(&id);
            }
        }
    }

    /// Restarts processes that have exited, as the platform does.
    fn restart_ended(&mut self) {
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            if gateway.has_exited() {
                gateway.restart();
                self.faults.restarts.push((index, Instant::now()));
            }
        }
    }

    fn resume_frozen(&mut self) {
        for gateway in std::mem::take(&mut self.frozen) {
            self.gateways[gateway].signal(Signal::CONT);
            self.faults.end(FaultTarget::Gateway(gateway));
        }
    }

    fn clear_faults(&mut self) {
        self.resume_frozen();
        self.platform.set_mode(StoreMode::Up);
        self.platform.set_ends_by_connection(false);
        for (index, proxy) in self.proxies.iter().enumerate() {
            proxy.set_mode(ProxyMode::Pass);
            self.faults.end(FaultTarget::Proxy(index));
        }
        self.restart_faulty_servers();
        self.restart_ended();
    }
}

fn server_id(server: usize) -> String {
    format!("s-{}", SERVERS[server].0)
}

/// Sends requests one after another and reuses each connection while it is open.
async fn send_requests(seed: u64, caller: u64, ports: Vec<GatewayPorts>, log: AttemptLog) {
    let mut random = ChaCha8Rng::seed_from_u64(seed * 1_000 + caller);
    let mut number = 0_u64;
    loop {
        let gateway = random.random_range(0..ports.len());
        let address = ports[gateway].callers();
        let Some(mut connection) = CallerConnection::open(address).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        while connection.is_open() {
            number += 1;
            let id = format!("{seed}-{caller}-{number}");
            let adapter = format!("base/a{}", random.random_range(0..8));
            let mut headers = vec![
                ("host", "host"),
                ("attempt-id", id.as_str()),
                ("credential", "key"),
                ("deadline-ms", "3000"),
            ];
            let (method, path) = match random.random_range(0..3) {
                0 => (Method::POST, "/once/x"),
                1 => (Method::GET, "/safe/x"),
                _ => {
                    headers.push(("model", adapter.as_str()));
                    headers.push(("token-usage", "100,20"));
                    (Method::POST, "/chat/x")
                }
            };
            let record = AttemptRecord {
                gateway,
                sent_at: Instant::now(),
                answer: None,
            };
            log.lock().expect("log").insert(id.clone(), record);
            let call = connection.call(method, path, &headers, b"body");
            let Ok(Some(answer)) = tokio::time::timeout(Duration::from_secs(4), call).await else {
                break;
            };
            let answer = AttemptAnswer {
                status: answer.status,
                complete: answer.complete,
                body: answer.body.to_vec(),
                is_leaving: answer.headers.contains_key("server-leaving"),
                time: Instant::now(),
            };
            if let Some(record) = log.lock().expect("log").get_mut(&id) {
                record.answer = Some(answer);
            }
            tokio::time::sleep(Duration::from_millis(random.random_range(1..30))).await;
        }
    }
}

/// Compares the responses that callers got with the runs on the servers.
fn find_violations(platform: &PlatformStandin, faults: &FaultLog, log: &AttemptLog) -> Vec<String> {
    let mut violations = platform.violations();
    let log = log.lock().expect("log");
    let arrivals = platform.arrivals();
    violations.extend(find_late_arrivals(&arrivals, faults, &log));
    violations.extend(find_early_arrivals(&arrivals, faults, &log));
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in platform.runs() {
        if run.received_credential || run.tenant.as_deref() != Some("team") {
            violations.push(format!("{} ran with the wrong team or a key", run.attempt));
        }
        if !log.contains_key(&run.attempt) {
            violations.push(format!("{} was never sent", run.attempt));
        }
        if !run.path.starts_with("/safe/") {
            *runs.entry(run.attempt).or_default() += 1;
        }
    }
    for (attempt, count) in &runs {
        if *count > 1 {
            violations.push(format!("{attempt} ran {count} times"));
        }
    }
    for (attempt, record) in log.iter() {
        let Some(AttemptAnswer {
            status,
            complete,
            body,
            ..
        }) = &record.answer
        else {
            continue;
        };
        let promised_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        if promised_not_run && runs.contains_key(attempt) {
            violations.push(format!("{attempt} got {status} and ran"));
        }
        if *status == StatusCode::OK && *complete && !is_expected_body(attempt, body) {
            violations.push(format!("{attempt} got the wrong response: {body:?}"));
        }
    }
    violations
}

/// Requests that reached a server although their gateway had passed on, before callers sent them, that
/// the server leaves.
fn find_late_arrivals(
    arrivals: &[ArrivalRecord],
    faults: &FaultLog,
    log: &BTreeMap<String, AttemptRecord>,
) -> Vec<String> {
    // The last server that an attempt reached has answered it.
    let last: BTreeMap<&str, &ArrivalRecord> = arrivals
        .iter()
        .map(|arrival| (arrival.attempt.as_str(), arrival))
        .collect();
    // By gateway, server and process, the time at which the first announcement was passed on.
    let mut announced: BTreeMap<(usize, &str, u64), Instant> = BTreeMap::new();
    for (attempt, arrival) in last {
        let Some(record) = log.get(attempt) else {
            continue;
        };
        if let Some(answer) = record.answer.as_ref().filter(|answer| answer.is_leaving) {
            let key = (record.gateway, arrival.server.as_str(), arrival.started);
            let time = announced.entry(key).or_insert(answer.time);
            *time = answer.time.min(*time);
        }
    }
    let mut violations = Vec::new();
    for arrival in arrivals {
        let Some(record) = log.get(&arrival.attempt) else {
            continue;
        };
        let key = (record.gateway, arrival.server.as_str(), arrival.started);
        let Some(time) = announced.get(&key) else {
            continue;
        };
        if record.sent_at > *time + DRAIN_TIME
            && !faults.has_restarted(record.gateway, *time, arrival.time)
        {
            violations.push(format!(
                "{} reached {} after it had announced that it leaves",
                arrival.attempt, arrival.server
            ));
        }
    }
    violations
}

/// Requests that reached a server before the end of the time for which it had turned their gateway away.
fn find_early_arrivals(
    arrivals: &[ArrivalRecord],
    faults: &FaultLog,
    log: &BTreeMap<String, AttemptRecord>,
) -> Vec<String> {
    let gateway_of = |arrival: &ArrivalRecord| Some(log.get(&arrival.attempt)?.gateway);
    let time = Duration::from_millis(TURN_AWAY.1);
    let mut violations = Vec::new();
    for (index, rejected) in arrivals.iter().enumerate() {
        let Some(gateway) = gateway_of(rejected).filter(|_| rejected.retry_after.is_some()) else {
            continue;
        };
        let (from, to) = (rejected.time + REJECTION_SLACK, rejected.time + time);
        let proxy = (0..SERVERS.len()).find(|server| server_id(*server) == rejected.server);
        let targets = [
            Some(FaultTarget::Gateway(gateway)),
            proxy.map(FaultTarget::Proxy),
        ];
        let is_held_up = targets
            .into_iter()
            .flatten()
            .any(|target| faults.overlaps(target, rejected.time, to));
        if is_held_up || faults.has_restarted(gateway, rejected.time, to) {
            continue;
        }
        let early = arrivals[index..].iter().filter(|arrival| {
            (arrival.server.as_str(), arrival.started)
                == (rejected.server.as_str(), rejected.started)
                && gateway_of(arrival) == Some(gateway)
                && arrival.time > from
                && arrival.time < to
        });
        let count = early.count();
        if count > MAX_EARLY_ARRIVALS {
            violations.push(format!(
                "{count} requests reached {} within its time after {}",
                rejected.server, rejected.attempt
            ));
        }
    }
    violations
}

fn is_expected_body(attempt: &str, body: &[u8]) -> bool {
    let text = String::from_utf8_lossy(body);
    let ids: Vec<String> = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .map(str::to_owned)
        .collect();
    let all: Vec<String> = (0..12).map(|number| number.to_string()).collect();
    text == format!("answer to {attempt}") || ids == all
}

async fn recovers(soak: &mut Soak, ports: &[GatewayPorts]) -> bool {
    let end = tokio::time::Instant::now() + RECOVERY_TIMEOUT;
    let mut number = 0;
    while tokio::time::Instant::now() < end {
        number += 1;
        soak.restart_ended();
        let mut served = 0;
        for (index, ports) in ports.iter().enumerate() {
            let id = format!("recovered-{index}-{number}");
            let Some(mut connection) = CallerConnection::open(ports.callers()).await else {
                continue;
            };
            let headers = [
                ("host", "host"),
                ("attempt-id", id.as_str()),
                ("credential", "key"),
            ];
            let call = connection.call(Method::GET, "/safe/x", &headers, b"");
            let answer = tokio::time::timeout(Duration::from_secs(4), call).await;
            let is_ok = |answer: &wasabistall_testutils::gateway::CallerResponse| {
                answer.status == StatusCode::OK
            };
            served += usize::from(matches!(answer, Ok(Some(answer)) if is_ok(&answer)));
        }
        if served == ports.len() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    false
}

async fn run_seed(seed: u64, steps: u64) {
    let mut soak = Soak::start(seed).await;
    let ports: Vec<GatewayPorts> = soak.gateways.iter().map(|gateway| gateway.ports).collect();
    let log = AttemptLog::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(send_requests(seed, caller, ports.clone(), log.clone())))
        .collect();
    for _ in 0..steps {
        soak.step();
        tokio::time::sleep(STEP_INTERVAL).await;
    }
    soak.clear_faults();
    tokio::time::sleep(STEP_INTERVAL).await;
    for caller in callers {
        caller.abort();
    }
    // Let requests in flight reach their servers or fail, so that the run counts are final.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let violations = find_violations(&soak.platform, &soak.faults, &log);
    assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    assert!(
        recovers(&mut soak, &ports).await,
        "seed {seed}: the fleet did not recover"
    );
    let log = log.lock().expect("log");
    let answers: Vec<&AttemptAnswer> = log
        .values()
        .filter_map(|record| record.answer.as_ref())
        .collect();
    let arrivals = soak.platform.arrivals();
    let rejected = arrivals
        .iter()
        .filter(|arrival| arrival.retry_after.is_some());
    println!(
        "seed {seed}: {} answers, {} of servers that leave, {} runs, {} requests turned away",
        answers.len(),
        answers.iter().filter(|answer| answer.is_leaving).count(),
        soak.platform.runs().len(),
        rejected.count()
    );
}

fn seeds() -> Range<u64> {
    let text = std::env::var("SOAK_SEEDS").unwrap_or_default();
    let parsed = text
        .split_once("..")
        .and_then(|(start, end)| Some(start.parse().ok()?..end.parse().ok()?));
    parsed.unwrap_or(0..1)
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_random_faults() {
    let steps = std::env::var("SOAK_STEPS")
        .ok()
        .and_then(|steps| steps.parse().ok());
    for seed in seeds().chain(REGRESSIONS) {
        run_seed(seed, steps.unwrap_or(DEFAULT_STEPS)).await;
    }
}
