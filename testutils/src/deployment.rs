//! A complete deployment: the stand-in platform and real instances.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use serde_json::{Value, json};
use tempfile::TempDir;

use crate::caller::{TestCaller, TestResponse};

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Polls before a wait fails: 30 s, far more than a busy machine needs.
const MAX_POLLS: usize = 1_500;

/// Number of processes of each kind.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSize {
    /// Data centres.
    pub data_centres: usize,
    /// Stand-in engines.
    pub engines: usize,
    /// Servers of the service without models.
    pub services: usize,
    /// Daemon instances.
    pub instances: usize,
}

impl Default for DeploymentSize {
    fn default() -> DeploymentSize {
        DeploymentSize {
            data_centres: 2,
            engines: 3,
            services: 2,
            instances: 3,
        }
    }
}

/// A running deployment; dropping it kills all its processes.
pub struct TestDeployment {
    directory: TempDir,
    platform: Child,
    daemons: BTreeMap<String, Child>,
    layout: Value,
}

/// Derives a loopback address from the process id and a counter, so that deployments of parallel
/// tests do not share an address.
fn loopback_host() -> Ipv4Addr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id();
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let [_, high, middle, low] = ((process << 3) | (count % 8)).to_be_bytes();
    Ipv4Addr::new(127, high + 1, middle, low)
}

/// Path of a workspace binary in the target directory of the running test.
fn binary(name: &str) -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let target = test.parent().and_then(Path::parent).unwrap();
    let path = target.join(name);
    assert!(
        path.exists(),
        "{} is missing\n    hint: run `cargo test --workspace`",
        path.display()
    );
    path
}

impl TestDeployment {
    /// Starts the platform and all instances, and waits until they serve requests.
    ///
    /// # Panics
    ///
    /// Panics when a process does not start.
    pub async fn start(size: DeploymentSize) -> TestDeployment {
        let mut deployment = TestDeployment::start_platform(size);
        for instance in deployment.names("callers") {
            deployment.start_daemon(&instance);
        }
        for instance in deployment.names("callers") {
            deployment.wait_ready(&instance).await;
        }
        deployment.send_warm_up_requests().await;
        deployment
    }

    /// Starts the platform without instances.
    ///
    /// # Panics
    ///
    /// Panics when it does not start.
    pub fn start_platform(size: DeploymentSize) -> TestDeployment {
        let directory = TempDir::new().unwrap();
        let mut platform = Command::new(binary("wasabistall-standin"))
            .arg("all")
            .arg(directory.path())
            .args(["--host", &loopback_host().to_string()])
            .args(["--data-centres", &size.data_centres.to_string()])
            .args(["--engines", &size.engines.to_string()])
            .args(["--services", &size.services.to_string()])
            .args(["--instances", &size.instances.to_string()])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let output = platform.stdout.take().unwrap();
        BufReader::new(output).read_line(&mut line).unwrap();
        assert!(
            line.starts_with("ready: "),
            "the platform did not start: {line:?}"
        );
        let layout = std::fs::read_to_string(directory.path().join("deployment.json")).unwrap();
        TestDeployment {
            directory,
            platform,
            daemons: BTreeMap::new(),
            layout: serde_json::from_str(&layout).unwrap(),
        }
    }

    /// Starts the daemon of an instance.
    ///
    /// # Panics
    ///
    /// Panics when it cannot be started.
    pub fn start_daemon(&mut self, instance: &str) {
        let settings = self.settings_path(instance);
        let log = self.directory.path().join(format!("{instance}.log"));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .unwrap();
        let daemon = Command::new(binary("wasabistalld"))
            .arg(settings)
            .stderr(log)
            .spawn()
            .unwrap();
        self.daemons.insert(instance.to_owned(), daemon);
    }

    /// The settings file of an instance.
    pub fn settings_path(&self, instance: &str) -> PathBuf {
        self.directory.path().join(format!("{instance}.jsonc"))
    }

    /// Directory of settings and logs.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// The log of an instance so far; empty when there is none.
    pub fn log(&self, instance: &str) -> String {
        let log = self.directory.path().join(format!("{instance}.log"));
        std::fs::read_to_string(log).unwrap_or_default()
    }

    /// Names in a section of `deployment.json`, such as `engines`.
    pub fn names(&self, section: &str) -> Vec<String> {
        let names = self.layout[section].as_object();
        names
            .map(|names| names.keys().cloned().collect())
            .unwrap_or_default()
    }

    /// Address of a process in a section of `deployment.json`.
    ///
    /// # Panics
    ///
    /// Panics when there is no such process.
    pub fn address(&self, section: &str, name: &str) -> SocketAddr {
        let text = self.layout[section][name].as_str();
        text.and_then(|text| text.parse().ok())
            .unwrap_or_else(|| panic!("no {name:?} in {section:?}"))
    }

    /// Address of a platform service, such as `configuration`.
    ///
    /// # Panics
    ///
    /// Panics when there is no such service.
    pub fn platform_address(&self, service: &str) -> SocketAddr {
        let text = self.layout[service].as_str();
        text.and_then(|text| text.parse().ok())
            .unwrap_or_else(|| panic!("no service {service}"))
    }

    /// Plaintext key of a team.
    ///
    /// # Panics
    ///
    /// Panics when there is no such team.
    pub fn key(&self, team: &str) -> String {
        self.layout["keys"][team].as_str().unwrap().to_owned()
    }

    /// Operator token of the deployment.
    pub fn operator_token(&self) -> &str {
        self.layout["operator_token"].as_str().unwrap_or_default()
    }

    /// A caller with the key of a team.
    pub fn caller(&self, team: &str) -> TestCaller {
        TestCaller::with_token(&self.key(team))
    }

    /// Fetches a path of an instance's operator interface as JSON.
    pub async fn operator_json(&self, instance: &str, path: &str) -> Value {
        let operator = TestCaller::with_token(self.operator_token());
        let address = self.address("operators", instance);
        operator.get(address, path).await.json()
    }

    /// Sum of a field of the usage totals over all running instances.
    pub async fn usage_total(&self, field: &str) -> u64 {
        let mut sum = 0;
        for instance in self.daemons.keys() {
            let usage = self.operator_json(instance, "/operator/v1/usage").await;
            let totals = usage["totals"].as_array().cloned().unwrap_or_default();
            sum += totals
                .iter()
                .filter_map(|row| row[field].as_u64())
                .sum::<u64>();
        }
        sum
    }

    /// Counters of a stand-in server.
    pub async fn server_stats(&self, section: &str, name: &str) -> Value {
        let address = self.address(section, name);
        let response = TestCaller::anonymous().get(address, "/admin/stats").await;
        response.json()
    }

    /// Sets the injected faults of a stand-in.
    pub async fn set_faults(&self, address: SocketAddr, faults: Value) -> TestResponse {
        TestCaller::anonymous()
            .post(address, "/admin/faults", &faults)
            .await
    }

    /// Publishes a configuration patch; returns its sequence number in the log.
    pub async fn publish(&self, base: u64, changes: Value) -> u64 {
        let patch = json!({ "base": base, "author": "test", "changes": changes });
        let address = self.platform_address("configuration");
        let response = TestCaller::anonymous()
            .post(address, "/v1/log", &patch)
            .await;
        response.json()["sequence"].as_u64().unwrap_or_default()
    }

    /// Waits until an instance has applied the log up to `sequence`.
    pub async fn wait_applied(&self, instance: &str, sequence: u64) {
        wait_until(|| async {
            let status = self.operator_json(instance, "/operator/v1/status").await;
            status["config_sequence"].as_u64() >= Some(sequence)
        })
        .await;
    }

    /// Waits until an instance reports itself ready.
    pub async fn wait_ready(&self, instance: &str) {
        let address = self.address("operators", instance);
        let probe = TestCaller::anonymous();
        wait_until(|| async { probe.get(address, "/readyz").await.status == 200 }).await;
    }

    /// Sends one completion and one service call through each instance; both must succeed.
    async fn send_warm_up_requests(&self) {
        let caller = self.caller("elders").with_header("x-deadline-ms", "60000");
        let body = json!({ "model": "nyota-7b:elders-1", "prompt": "warm up", "max_tokens": 1 });
        for instance in self.names("callers") {
            let address = self.address("callers", &instance);
            let response = caller.post(address, "/v1/completions", &body).await;
            assert_eq!(response.status, 200, "{}", response.body);
            let response = caller.get(address, "/services/booking/calendar").await;
            assert_eq!(response.status, 200, "{}", response.body);
        }
    }

    /// Sends a signal to an instance.
    ///
    /// # Panics
    ///
    /// Panics when the instance does not run.
    pub fn signal(&self, instance: &str, signal: &str) {
        let daemon = &self.daemons[instance];
        let status = Command::new("kill")
            .args([&format!("-{signal}"), &daemon.id().to_string()])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Waits until an instance has exited; returns its exit code.
    ///
    /// # Panics
    ///
    /// Panics when the instance does not run.
    pub async fn wait_exit(&mut self, instance: &str) -> Option<i32> {
        let mut daemon = self.daemons.remove(instance).unwrap();
        for _ in 0..MAX_POLLS {
            if let Some(status) = daemon.try_wait().unwrap() {
                return status.code();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let _ = daemon.kill();
        panic!("{instance} did not exit in time");
    }
}

impl Drop for TestDeployment {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for instance in self.daemons.keys() {
                eprintln!("{instance}:\n{}", self.log(instance));
            }
        }
        for process in self.daemons.values_mut().chain([&mut self.platform]) {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Polls `condition` until it holds.
///
/// # Panics
///
/// Panics when it still does not hold after the last poll.
pub async fn wait_until<F: Future<Output = bool>>(condition: impl Fn() -> F) {
    for _ in 0..MAX_POLLS {
        if condition().await {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the condition did not hold in time");
}
