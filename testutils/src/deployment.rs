//! A whole deployment: the stand-in platform and real instances.

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

/// Pause between two looks at something that will come.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Looks before a test gives up; far beyond what a busy machine needs.
const MOST_LOOKS: usize = 1_500;

/// Number of each kind of process.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSize {
    /// Data centres.
    pub data_centres: usize,
    /// Model engines.
    pub engines: usize,
    /// Servers of the plain service.
    pub services: usize,
    /// Instances of the daemon.
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

/// A running deployment; all its processes end with it.
pub struct TestDeployment {
    directory: TempDir,
    platform: Child,
    daemons: BTreeMap<String, Child>,
    map: Value,
}

/// A loopback address that no other deployment on this machine uses.
fn own_host() -> Ipv4Addr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id();
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let [_, high, middle, low] = ((process << 3) | (count % 8)).to_be_bytes();
    Ipv4Addr::new(127, high + 1, middle, low)
}

/// Finds a binary of the workspace beside the running test.
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
    /// Starts the platform and all instances, and waits until they serve.
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
        deployment.wait_scheduled().await;
        deployment
    }

    /// Starts the platform alone.
    ///
    /// # Panics
    ///
    /// Panics when it does not start.
    pub fn start_platform(size: DeploymentSize) -> TestDeployment {
        let directory = TempDir::new().unwrap();
        let mut platform = Command::new(binary("wasabistall-standin"))
            .arg("all")
            .arg(directory.path())
            .args(["--host", &own_host().to_string()])
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
        assert!(line.starts_with("ready: "), "the platform did not start");
        let map = std::fs::read_to_string(directory.path().join("deployment.json")).unwrap();
        TestDeployment {
            directory,
            platform,
            daemons: BTreeMap::new(),
            map: serde_json::from_str(&map).unwrap(),
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

    /// What an instance has logged.
    pub fn log(&self, instance: &str) -> String {
        let log = self.directory.path().join(format!("{instance}.log"));
        std::fs::read_to_string(log).unwrap_or_default()
    }

    /// Names in a part of the deployment, such as `engines`.
    pub fn names(&self, part: &str) -> Vec<String> {
        let names = self.map[part].as_object();
        names
            .map(|names| names.keys().cloned().collect())
            .unwrap_or_default()
    }

    /// Address of a named part.
    ///
    /// # Panics
    ///
    /// Panics when there is no such part.
    pub fn address(&self, part: &str, name: &str) -> SocketAddr {
        let text = self.map[part][name].as_str();
        text.and_then(|text| text.parse().ok())
            .unwrap_or_else(|| panic!("no {part} named {name}"))
    }

    /// Address of one of the platform's services, such as `configuration`.
    ///
    /// # Panics
    ///
    /// Panics when there is no such service.
    pub fn platform_address(&self, service: &str) -> SocketAddr {
        let text = self.map[service].as_str();
        text.and_then(|text| text.parse().ok())
            .unwrap_or_else(|| panic!("no service {service}"))
    }

    /// Clear key of a team.
    ///
    /// # Panics
    ///
    /// Panics when there is no such team.
    pub fn key(&self, team: &str) -> String {
        self.map["keys"][team].as_str().unwrap().to_owned()
    }

    /// Token of the operators.
    pub fn operator_token(&self) -> &str {
        self.map["operator_token"].as_str().unwrap_or_default()
    }

    /// A caller with the key of a team.
    pub fn caller(&self, team: &str) -> TestCaller {
        TestCaller::with_token(&self.key(team))
    }

    /// Asks an instance's interface for operators.
    pub async fn operator_view(&self, instance: &str, path: &str) -> Value {
        let operator = TestCaller::with_token(self.operator_token());
        let address = self.address("operators", instance);
        operator.get(address, path).await.json()
    }

    /// Sums a field of the usage totals over all running instances.
    pub async fn usage_total(&self, field: &str) -> u64 {
        let mut sum = 0;
        for instance in self.daemons.keys() {
            let usage = self.operator_view(instance, "/operator/v1/usage").await;
            let totals = usage["totals"].as_array().cloned().unwrap_or_default();
            sum += totals
                .iter()
                .filter_map(|row| row[field].as_u64())
                .sum::<u64>();
        }
        sum
    }

    /// Reads the stand-in counts of a server.
    pub async fn server_stats(&self, part: &str, name: &str) -> Value {
        let address = self.address(part, name);
        let answer = TestCaller::anonymous().get(address, "/admin/stats").await;
        answer.json()
    }

    /// Switches faults of a stand-in on.
    pub async fn set_faults(&self, address: SocketAddr, faults: Value) -> TestResponse {
        TestCaller::anonymous()
            .post(address, "/admin/faults", &faults)
            .await
    }

    /// Publishes a patch as an operator; returns its sequence in the log.
    pub async fn publish(&self, base: u64, changes: Value) -> u64 {
        let patch = json!({ "base": base, "author": "test", "changes": changes });
        let address = self.platform_address("configuration");
        let answer = TestCaller::anonymous()
            .post(address, "/v1/log", &patch)
            .await;
        answer.json()["sequence"].as_u64().unwrap_or_default()
    }

    /// Waits until an instance has applied an entry of the log.
    pub async fn wait_applied(&self, instance: &str, sequence: u64) {
        wait_until(|| async {
            let status = self.operator_view(instance, "/operator/v1/status").await;
            status["config_sequence"].as_u64() >= Some(sequence)
        })
        .await;
    }

    /// Waits until an instance says that it is ready.
    pub async fn wait_ready(&self, instance: &str) {
        let address = self.address("operators", instance);
        let probe = TestCaller::anonymous();
        wait_until(|| async { probe.get(address, "/readyz").await.status == 200 }).await;
    }

    /// Waits until a completion and a call of the plain service go through.
    async fn wait_scheduled(&self) {
        let caller = self.caller("elders").with_header("x-deadline-ms", "60000");
        let body = json!({ "model": "nyota-7b:elders-1", "prompt": "warm up", "max_tokens": 1 });
        for instance in self.names("callers") {
            let address = self.address("callers", &instance);
            let answer = caller.post(address, "/v1/completions", &body).await;
            assert_eq!(answer.status, 200, "{}", answer.body);
            let answer = caller.get(address, "/services/booking/calendar").await;
            assert_eq!(answer.status, 200, "{}", answer.body);
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
        for _ in 0..MOST_LOOKS {
            if let Some(status) = daemon.try_wait().unwrap() {
                return status.code();
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        let _ = daemon.kill();
        panic!("{instance} does not exit");
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

/// Looks again and again until `condition` holds.
///
/// # Panics
///
/// Panics when it does not hold after a very long time.
pub async fn wait_until<F: Future<Output = bool>>(condition: impl Fn() -> F) {
    for _ in 0..MOST_LOOKS {
        if condition().await {
            return;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    panic!("waited in vain");
}
