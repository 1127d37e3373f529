//! Settings of one instance: what it cannot learn from the platform's configuration.

mod gateway;
mod reader;

use std::{net::SocketAddr, time::Duration};

use smol_str::SmolStr;

use self::reader::{FaultList, ObjectReader};
pub use self::{
    gateway::{GatewayListen, GatewaySettings},
    reader::SettingsFault,
};

const LEAST_KEY_BYTES: usize = 16;
const DIGEST_BYTES: usize = 32;
const KIB: u64 = 1_024;
const MIB: u64 = 1_024 * KIB;

/// Where an instance listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For other instances.
    pub peers: SocketAddr,
    /// For operators, metrics and probes.
    pub operators: SocketAddr,
}

/// Where the platform's services are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The configuration service.
    pub configuration: SocketAddr,
    /// The list of instances.
    pub instances: SocketAddr,
}

/// Bounds on what a caller may send and how long it may wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Longest headers together, in bytes.
    pub header_bytes: usize,
    /// Time for a body to arrive.
    pub body_timeout: Duration,
    /// Deadline of a request that names none.
    pub default_deadline: Duration,
    /// Longest deadline that a request may name.
    pub max_deadline: Duration,
    /// An answer without a byte for this long is given up.
    pub stall_timeout: Duration,
}

/// How logs are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines for people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Logs, traces and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TelemetrySettings {
    /// How logs are written.
    pub format: LogFormat,
    /// Least level logged.
    pub level: SmolStr,
    /// OTLP collector for traces and metrics, over HTTP.
    pub otlp: Option<SocketAddr>,
}

/// A secret that instances share; shown redacted.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerSecret(Vec<u8>);

impl PeerSecret {
    /// The secret's bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl std::fmt::Debug for PeerSecret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("PeerSecret(…)")
    }
}

/// Settings of one instance, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Name of the fleet.
    pub fleet: SmolStr,
    /// Name of the instance, as the configuration names it.
    pub instance: SmolStr,
    /// Name of its data centre.
    pub data_centre: SmolStr,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// Secrets that sign messages between instances: the first signs, all are accepted.
    pub peer_secrets: Vec<PeerSecret>,
    /// Where some instances listen for peers; asked while the configuration service is silent.
    pub first_peers: Vec<SocketAddr>,
    /// SHA-256 digests of the tokens that operators show.
    pub operator_token_digests: Vec<[u8; DIGEST_BYTES]>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Logs, traces and metrics.
    pub telemetry: TelemetrySettings,
    /// How long a shutdown waits for answers in progress.
    pub drain_timeout: Duration,
}

/// Settings of a process, in one of its roles.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessSettings {
    /// An instance that follows a log of patches and a list of instances.
    Instance(Box<InstanceSettings>),
    /// A gateway, which follows a platform's store.
    Gateway(Box<GatewaySettings>),
}

impl ProcessSettings {
    /// Name of the instance.
    pub fn instance(&self) -> &SmolStr {
        match self {
            ProcessSettings::Instance(settings) => &settings.instance,
            ProcessSettings::Gateway(settings) => &settings.instance,
        }
    }

    /// Reads and checks settings; `role` in them tells which they are.
    pub fn parse(text: &str) -> Result<ProcessSettings, Vec<SettingsFault>> {
        let mut faults = FaultList::new(text);
        let is_gateway = faults
            .parse()
            .is_some_and(|object| object.get("role").is_some());
        if is_gateway {
            let settings = GatewaySettings::parse(text)?;
            return Ok(ProcessSettings::Gateway(Box::new(settings)));
        }
        let settings = InstanceSettings::parse(text)?;
        Ok(ProcessSettings::Instance(Box::new(settings)))
    }
}

impl InstanceSettings {
    /// Reads and checks settings; returns all faults at once.
    pub fn parse(text: &str) -> Result<InstanceSettings, Vec<SettingsFault>> {
        let mut faults = FaultList::new(text);
        let settings = faults
            .parse()
            .and_then(|object| read_settings(&mut ObjectReader::root(&object), &mut faults));
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(faults.close()),
        }
    }
}

fn read_settings(
    root: &mut ObjectReader<'_, '_>,
    faults: &mut FaultList<'_>,
) -> Option<InstanceSettings> {
    let name_hint = "write the name that the configuration uses";
    let fleet = root.text("fleet", "write the fleet's name", faults);
    let instance = root.text("instance", name_hint, faults);
    let data_centre = root.text("data_centre", name_hint, faults);
    let listen = read_listen(root.object("listen", faults), faults);
    let platform = read_platform(root.object("platform", faults), faults);
    let peer_secrets = read_peer_secrets(root, faults);
    let first_peers = read_first_peers(root, faults);
    let operator_digests = read_operator_digests(root, faults);
    let limits = read_limits(root.optional_object("limits", faults), faults);
    let telemetry = read_telemetry(root.optional_object("telemetry", faults), faults);
    let drain_timeout = read_millis(root, "drain_timeout_ms", 0..=3_600_000, 60_000, faults);
    std::mem::replace(root, ObjectReader::empty()).close(faults);
    Some(InstanceSettings {
        fleet: fleet?,
        instance: instance?,
        data_centre: data_centre?,
        listen: listen?,
        platform: platform?,
        peer_secrets,
        first_peers,
        operator_token_digests: operator_digests,
        limits,
        telemetry,
        drain_timeout,
    })
}

fn read_millis(
    reader: &mut ObjectReader<'_, '_>,
    name: &'static str,
    range: std::ops::RangeInclusive<u64>,
    default: u64,
    faults: &mut FaultList<'_>,
) -> Duration {
    Duration::from_millis(reader.integer(name, range, "milliseconds", default, faults))
}

fn read_bytes(
    reader: &mut ObjectReader<'_, '_>,
    name: &'static str,
    range: std::ops::RangeInclusive<u64>,
    default: u64,
    faults: &mut FaultList<'_>,
) -> usize {
    let bytes = reader.integer(name, range, "bytes", default, faults);
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

fn read_listen(
    mut reader: ObjectReader<'_, '_>,
    faults: &mut FaultList<'_>,
) -> Option<ListenSettings> {
    let callers = reader.address("callers", faults);
    let peers = reader.address("peers", faults);
    let operators = reader.address("operators", faults);
    let fixed = |address: Option<SocketAddr>| address.filter(|address| address.port() != 0);
    let hint = "give each interface a port of its own";
    if fixed(peers).is_some() && peers == callers {
        let offset = reader.offset_of("peers");
        faults.add(
            offset,
            "listen.peers",
            "same address as listen.callers",
            hint,
        );
    }
    if fixed(operators).is_some() && (operators == callers || operators == peers) {
        let offset = reader.offset_of("operators");
        faults.add(offset, "listen.operators", "address given twice", hint);
    }
    reader.close(faults);
    Some(ListenSettings {
        callers: callers?,
        peers: peers?,
        operators: operators?,
    })
}

fn read_platform(
    mut reader: ObjectReader<'_, '_>,
    faults: &mut FaultList<'_>,
) -> Option<PlatformSettings> {
    let configuration = reader.address("configuration", faults);
    let instances = reader.address("instances", faults);
    reader.close(faults);
    Some(PlatformSettings {
        configuration: configuration?,
        instances: instances?,
    })
}

fn read_peer_secrets(
    root: &mut ObjectReader<'_, '_>,
    faults: &mut FaultList<'_>,
) -> Vec<PeerSecret> {
    let hint = "write hex strings of 16 bytes or more; the first signs, all are accepted";
    let mut secrets = Vec::new();
    for (offset, text) in root.texts("peer_secrets", hint, faults) {
        match hex::decode(&text) {
            Ok(bytes) if bytes.len() >= LEAST_KEY_BYTES => secrets.push(PeerSecret(bytes)),
            Ok(_) => faults.add(offset, "peer_secrets", "too short", hint),
            Err(_) => faults.add(offset, "peer_secrets", "not a hex string", hint),
        }
    }
    if secrets.is_empty() && faults.is_empty() {
        let offset = root.offset_of("peer_secrets");
        faults.add(offset, "peer_secrets", "empty", hint);
    }
    secrets
}

fn read_first_peers(
    root: &mut ObjectReader<'_, '_>,
    faults: &mut FaultList<'_>,
) -> Vec<SocketAddr> {
    if !root.has("first_peers") {
        return Vec::new();
    }
    let hint = "write a list of IP:PORT, such as [\"10.0.0.2:7101\"]";
    let mut peers = Vec::new();
    for (offset, text) in root.texts("first_peers", hint, faults) {
        match text.parse() {
            Ok(address) => peers.push(address),
            Err(_) => faults.add(offset, "first_peers", "not an IP address with a port", hint),
        }
    }
    peers
}

fn read_operator_digests(
    root: &mut ObjectReader<'_, '_>,
    faults: &mut FaultList<'_>,
) -> Vec<[u8; DIGEST_BYTES]> {
    let hint = "write SHA-256 digests in hex, as `wasabistall token create` prints them";
    let mut digests = Vec::new();
    for (offset, text) in root.texts("operator_token_sha256", hint, faults) {
        let mut digest = [0; DIGEST_BYTES];
        match hex::decode_to_slice(text.as_str(), &mut digest) {
            Ok(()) => digests.push(digest),
            Err(_) => faults.add(
                offset,
                "operator_token_sha256",
                "not a SHA-256 digest",
                hint,
            ),
        }
    }
    digests
}

fn read_limits(mut reader: ObjectReader<'_, '_>, faults: &mut FaultList<'_>) -> CallerLimits {
    let hour = 3_600_000;
    let limits = CallerLimits {
        body_bytes: read_bytes(&mut reader, "body_bytes", KIB..=64 * MIB, MIB, faults),
        header_bytes: read_bytes(&mut reader, "header_bytes", KIB..=MIB, 16 * KIB, faults),
        body_timeout: read_millis(&mut reader, "body_timeout_ms", 100..=hour, 10_000, faults),
        default_deadline: read_millis(
            &mut reader,
            "default_deadline_ms",
            100..=hour,
            60_000,
            faults,
        ),
        max_deadline: read_millis(&mut reader, "max_deadline_ms", 100..=hour, 600_000, faults),
        stall_timeout: read_millis(&mut reader, "stall_timeout_ms", 100..=hour, 30_000, faults),
    };
    if limits.default_deadline > limits.max_deadline {
        let offset = reader.offset_of("default_deadline_ms");
        let path = "limits.default_deadline_ms";
        faults.add(offset, path, "longer than max_deadline_ms", "lower it");
    }
    reader.close(faults);
    limits
}

fn read_telemetry(
    mut reader: ObjectReader<'_, '_>,
    faults: &mut FaultList<'_>,
) -> TelemetrySettings {
    let format = reader.choice("log_format", &["text", "json"], faults);
    let levels = ["error", "warn", "info", "debug", "trace"];
    let level = reader.choice("log_level", &levels, faults);
    let otlp = if reader.has("otlp") {
        reader.address("otlp", faults)
    } else {
        None
    };
    reader.close(faults);
    TelemetrySettings {
        format: match format {
            Some("json") => LogFormat::Json,
            _ => LogFormat::Text,
        },
        level: level.unwrap_or("info").into(),
        otlp,
    }
}
