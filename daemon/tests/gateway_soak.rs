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
    time::Duration,
};

use hyper::{Method, StatusCode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use wasabistall_testutils::{
    gateway::{CallerConnection, GatewayPorts, GatewayProcess, wait_ready},
    platform::{PlatformStandin, StoreMode, platform_config},
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

/// Status, completeness and body of each attempt's response by attempt id; `None` until it arrives.
type AttemptLog = Arc<Mutex<BTreeMap<String, Option<(StatusCode, bool, Vec<u8>)>>>>;

struct Soak {
    platform: PlatformStandin,
    proxies: Vec<FaultProxy>,
    gateways: Vec<GatewayProcess>,
    frozen: BTreeSet<usize>,
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
        for (host, service) in [
            (201, "models"),
            (202, "models"),
            (203, "desk"),
            (204, "desk"),
        ] {
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
            random: ChaCha8Rng::seed_from_u64(seed),
            version: 1,
            _folder: folder,
        }
    }

    /// Injects one random fault or ends some.
    fn step(&mut self) {
        let gateway = self.random.random_range(0..self.gateways.len());
        let proxy = self.random.random_range(0..self.proxies.len());
        match self.random.random_range(0..13) {
            0 => self.gateways[gateway].kill(),
            1 => self.gateways[gateway].signal(Signal::TERM),
            2 => {
                self.gateways[gateway].signal(Signal::STOP);
                self.frozen.insert(gateway);
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
            }
            6 | 7 => self.proxies[proxy].set_mode(ProxyMode::Pass),
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
            11 => {
                let ends_by_connection = self.random.random_bool(0.5);
                self.platform.set_ends_by_connection(ends_by_connection);
            }
            _ => {}
        }
        self.restart_ended();
    }

    /// Restarts processes that have exited, as the platform does.
    fn restart_ended(&mut self) {
        for gateway in &mut self.gateways {
            if gateway.has_exited() {
                gateway.restart();
            }
        }
    }

    fn resume_frozen(&mut self) {
        for gateway in std::mem::take(&mut self.frozen) {
            self.gateways[gateway].signal(Signal::CONT);
        }
    }

    fn clear_faults(&mut self) {
        self.resume_frozen();
        self.platform.set_mode(StoreMode::Up);
        self.platform.set_ends_by_connection(false);
        for proxy in &self.proxies {
            proxy.set_mode(ProxyMode::Pass);
        }
        self.restart_ended();
    }
}

/// Sends requests one after another and reuses each connection while it is open.
async fn send_requests(seed: u64, caller: u64, ports: Vec<GatewayPorts>, log: AttemptLog) {
    let mut random = ChaCha8Rng::seed_from_u64(seed * 1_000 + caller);
    let mut number = 0_u64;
    loop {
        let address = ports[random.random_range(0..ports.len())].callers();
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
            log.lock().expect("log").insert(id.clone(), None);
            let call = connection.call(method, path, &headers, b"body");
            let Ok(Some(answer)) = tokio::time::timeout(Duration::from_secs(4), call).await else {
                break;
            };
            let end = (answer.status, answer.complete, answer.body.to_vec());
            log.lock().expect("log").insert(id.clone(), Some(end));
            tokio::time::sleep(Duration::from_millis(random.random_range(1..30))).await;
        }
    }
}

/// Compares the responses that callers got with the runs on the servers.
fn find_violations(platform: &PlatformStandin, log: &AttemptLog) -> Vec<String> {
    let mut violations = platform.violations();
    let log = log.lock().expect("log");
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
    for (attempt, end) in log.iter() {
        let Some((status, complete, body)) = end else {
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
    let violations = find_violations(&soak.platform, &log);
    assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    assert!(
        recovers(&mut soak, &ports).await,
        "seed {seed}: the fleet did not recover"
    );
    let answered = log.lock().expect("log").values().flatten().count();
    println!(
        "seed {seed}: {answered} answers, {} runs",
        soak.platform.runs().len()
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
