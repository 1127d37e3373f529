//! A randomized soak of real gateways: faults from outside, promises checked from outside.
//!
//! `SOAK_SEEDS=100..150` plays these seeds, `SOAK_STEPS` sets the steps of each; by default one
//! short seed. Seeds that ever failed stay in [`REGRESSIONS`].

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

/// Seeds that failed once, with the cause.
const REGRESSIONS: [u64; 0] = [];
const GATEWAYS: u8 = 4;
const CALLERS: u64 = 24;
const DEFAULT_STEPS: u64 = 12;
const STEP: Duration = Duration::from_millis(400);
/// Time for the fleet to serve again after the last fault; the platform's bound is 12 s.
const RECOVERY: Duration = Duration::from_secs(30);

/// How attempts ended, by id.
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
        let net = process[1] ^ (seed as u8) ^ 0xa5;
        let ip = |host: u8| IpAddr::V4(Ipv4Addr::new(127, process[0] | 1, net, host));
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
                first: 22_000,
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

    /// One fault, or the end of some.
    fn step(&mut self) {
        let gateway = self.random.random_range(0..self.gateways.len());
        let proxy = self.random.random_range(0..self.proxies.len());
        match self.random.random_range(0..12) {
            0 => self.gateways[gateway].kill(),
            1 => self.gateways[gateway].signal(Signal::TERM),
            2 => {
                self.gateways[gateway].signal(Signal::STOP);
                self.frozen.insert(gateway);
            }
            3 | 4 => self.thaw(),
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
            _ => {}
        }
        self.restart_ended();
    }

    /// The platform starts every process again that ends, whenever that is.
    fn restart_ended(&mut self) {
        for gateway in &mut self.gateways {
            if gateway.has_ended() {
                gateway.restart();
            }
        }
    }

    fn thaw(&mut self) {
        for gateway in std::mem::take(&mut self.frozen) {
            self.gateways[gateway].signal(Signal::CONT);
        }
    }

    fn heal(&mut self) {
        self.thaw();
        self.platform.set_mode(StoreMode::Up);
        for proxy in &self.proxies {
            proxy.set_mode(ProxyMode::Pass);
        }
        self.restart_ended();
    }
}

/// Sends requests one after another, on open connections as long as they last.
async fn call_on(seed: u64, caller: u64, ports: Vec<GatewayPorts>, log: AttemptLog) {
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

/// What callers got against what servers ran.
fn check(platform: &PlatformStandin, log: &AttemptLog) -> Vec<String> {
    let mut faults = platform.violations();
    let log = log.lock().expect("log");
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in platform.runs() {
        if run.saw_key || run.tenant.as_deref() != Some("team") {
            faults.push(format!("{} ran with the wrong team or a key", run.attempt));
        }
        if !log.contains_key(&run.attempt) {
            faults.push(format!("{} was never sent", run.attempt));
        }
        if !run.path.starts_with("/safe/") {
            *runs.entry(run.attempt).or_default() += 1;
        }
    }
    for (attempt, count) in &runs {
        if *count > 1 {
            faults.push(format!("{attempt} ran {count} times"));
        }
    }
    for (attempt, end) in log.iter() {
        let Some((status, complete, body)) = end else {
            continue;
        };
        let promised = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        if promised && runs.contains_key(attempt) {
            faults.push(format!("{attempt} got {status} and ran"));
        }
        if *status == StatusCode::OK && *complete && !is_whole(attempt, body) {
            faults.push(format!("{attempt} got another answer: {body:?}"));
        }
    }
    faults
}

fn is_whole(attempt: &str, body: &[u8]) -> bool {
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
    let end = tokio::time::Instant::now() + RECOVERY;
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
            let is_fine = |answer: &wasabistall_testutils::gateway::CallerAnswer| {
                answer.status == StatusCode::OK
            };
            served += usize::from(matches!(answer, Ok(Some(answer)) if is_fine(&answer)));
        }
        if served == ports.len() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    false
}

async fn play(seed: u64, steps: u64) {
    let mut soak = Soak::start(seed).await;
    let ports: Vec<GatewayPorts> = soak.gateways.iter().map(|gateway| gateway.ports).collect();
    let log = AttemptLog::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(call_on(seed, caller, ports.clone(), log.clone())))
        .collect();
    for _ in 0..steps {
        soak.step();
        tokio::time::sleep(STEP).await;
    }
    soak.heal();
    tokio::time::sleep(STEP).await;
    for caller in callers {
        caller.abort();
    }
    // What was under way reaches its servers or not; then the sums are final.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let faults = check(&soak.platform, &log);
    assert_eq!(faults, Vec::<String>::new(), "seed {seed}");
    assert!(
        recovers(&mut soak, &ports).await,
        "seed {seed}: not served again"
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
async fn promises_hold_while_everything_fails() {
    let steps = std::env::var("SOAK_STEPS")
        .ok()
        .and_then(|steps| steps.parse().ok());
    for seed in seeds().chain(REGRESSIONS) {
        play(seed, steps.unwrap_or(DEFAULT_STEPS)).await;
    }
}
