//! Settings of one process, which it needs before it can read the platform's configuration.

mod gateway;
mod reader;

use std::{net::SocketAddr, time::Duration};

use smol_str::SmolStr;

use self::reader::{ErrorList, ObjectReader};
pub use self::{
    gateway::{GatewayListen, GatewaySettings},
    reader::{DefaultedSetting, SettingsError},
};

/// Minimum length of a peer secret.
const MIN_SECRET_BYTES: usize = 16;
const DIGEST_BYTES: usize = 32;
const KIB: u64 = 1_024;
const MIB: u64 = 1_024 * KIB;

/// Addresses that an instance listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// Interface for callers.
    pub callers: SocketAddr,
    /// Interface for other instances.
    pub peers: SocketAddr,
    /// Interface for operators, metrics and probes.
    pub operators: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address of the configuration service.
    pub configuration: SocketAddr,
    /// Address of the service that lists the instances.
    pub instances: SocketAddr,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum length of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum total length of the request headers, in bytes.
    pub header_bytes: usize,
    /// Timeout for receiving the whole body.
    pub body_timeout: Duration,
    /// Deadline of requests that specify none.
    pub default_deadline: Duration,
    /// Longest deadline that a request may specify.
    pub max_deadline: Duration,
    /// Timeout for the next byte of a response from a backend server.
    pub stall_timeout: Duration,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of logs, traces and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TelemetrySettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Minimum level of logged events.
    pub level: SmolStr,
    /// Address of an OTLP collector for traces and metrics, reached over HTTP.
    pub otlp: Option<SocketAddr>,
}

/// A secret shared by the instances; its `Debug` output is redacted.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerSecret(Vec<u8>);

impl PeerSecret {
    /// Bytes of the secret.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl std::fmt::Debug for PeerSecret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("PeerSecret(…)")
    }
}

/// Validated settings of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Name of the fleet.
    pub fleet: SmolStr,
    /// Name of the instance in the configuration.
    pub instance: SmolStr,
    /// Name of the instance's data centre.
    pub data_centre: SmolStr,
    /// Addresses that the instance listens on.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Secrets that authenticate envelopes between instances. The first one signs; all are
    /// accepted.
    pub peer_secrets: Vec<PeerSecret>,
    /// Peer addresses of seed instances, contacted while the configuration service is unreachable.
    pub first_peers: Vec<SocketAddr>,
    /// SHA-256 digests of the operators' tokens.
    pub operator_token_digests: Vec<[u8; DIGEST_BYTES]>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// Settings of logs, traces and metrics.
    pub telemetry: TelemetrySettings,
    /// How long a shutdown waits for responses in progress.
    pub drain_timeout: Duration,
}

/// Settings of a process, according to its role.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessSettings {
    /// An instance that reads its configuration from a log of patches and a list of instances.
    Instance(Box<InstanceSettings>),
    /// A gateway, which reads its configuration from the platform's store.
    Gateway(Box<GatewaySettings>),
}

impl ProcessSettings {
    /// Returns the name of the instance.
    pub fn instance(&self) -> &SmolStr {
        match self {
            ProcessSettings::Instance(settings) => &settings.instance,
            ProcessSettings::Gateway(settings) => &settings.instance,
        }
    }

    /// Parses and validates settings; the presence of `role` selects the gateway's.
    ///
    /// # Errors
    ///
    /// Returns all errors of the file, sorted by position.
    pub fn parse(text: &str) -> Result<ProcessSettings, Vec<SettingsError>> {
        let mut errors = ErrorList::new(text);
        let is_gateway = errors
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
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns all errors of the file, sorted by position.
    pub fn parse(text: &str) -> Result<InstanceSettings, Vec<SettingsError>> {
        let mut errors = ErrorList::new(text);
        let settings = errors
            .parse()
            .and_then(|object| read_settings(&mut ObjectReader::root(&object), &mut errors));
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(errors.close()),
        }
    }
}

fn read_settings(
    root: &mut ObjectReader<'_, '_>,
    errors: &mut ErrorList<'_>,
) -> Option<InstanceSettings> {
    let name_hint = "write the name that the configuration uses";
    let fleet = root.string("fleet", "write the fleet's name", errors);
    let instance = root.string("instance", name_hint, errors);
    let data_centre = root.string("data_centre", name_hint, errors);
    let listen = read_listen(root.object("listen", errors), errors);
    let platform = read_platform(root.object("platform", errors), errors);
    let peer_secrets = read_peer_secrets(root, errors);
    let first_peers = read_first_peers(root, errors);
    let operator_token_digests = read_operator_token_digests(root, errors);
    let limits = read_limits(root.optional_object("limits", errors), errors);
    let telemetry = read_telemetry(root.optional_object("telemetry", errors), errors);
    let drain_timeout = read_millis(root, "drain_timeout_ms", 0..=3_600_000, 60_000, errors);
    std::mem::replace(root, ObjectReader::empty()).close(errors);
    Some(InstanceSettings {
        fleet: fleet?,
        instance: instance?,
        data_centre: data_centre?,
        listen: listen?,
        platform: platform?,
        peer_secrets,
        first_peers,
        operator_token_digests,
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
    errors: &mut ErrorList<'_>,
) -> Duration {
    Duration::from_millis(reader.integer(name, range, "milliseconds", default, errors))
}

fn read_bytes(
    reader: &mut ObjectReader<'_, '_>,
    name: &'static str,
    range: std::ops::RangeInclusive<u64>,
    default: u64,
    errors: &mut ErrorList<'_>,
) -> usize {
    let bytes = reader.integer(name, range, "bytes", default, errors);
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

fn read_listen(
    mut reader: ObjectReader<'_, '_>,
    errors: &mut ErrorList<'_>,
) -> Option<ListenSettings> {
    let callers = reader.address("callers", errors);
    let peers = reader.address("peers", errors);
    let operators = reader.address("operators", errors);
    let nonzero_port = |address: Option<SocketAddr>| address.filter(|address| address.port() != 0);
    let hint = "give each interface a port of its own";
    if nonzero_port(peers).is_some() && peers == callers {
        let offset = reader.offset_of("peers");
        errors.add(
            offset,
            "listen.peers",
            "same address as listen.callers",
            hint,
        );
    }
    if nonzero_port(operators).is_some() && (operators == callers || operators == peers) {
        let offset = reader.offset_of("operators");
        errors.add(offset, "listen.operators", "address given twice", hint);
    }
    reader.close(errors);
    Some(ListenSettings {
        callers: callers?,
        peers: peers?,
        operators: operators?,
    })
}

fn read_platform(
    mut reader: ObjectReader<'_, '_>,
    errors: &mut ErrorList<'_>,
) -> Option<PlatformSettings> {
    let configuration = reader.address("configuration", errors);
    let instances = reader.address("instances", errors);
    reader.close(errors);
    Some(PlatformSettings {
        configuration: configuration?,
        instances: instances?,
    })
}

fn read_peer_secrets(
    root: &mut ObjectReader<'_, '_>,
    errors: &mut ErrorList<'_>,
) -> Vec<PeerSecret> {
    let hint = "write hex strings of 16 bytes or more; the first signs, all are accepted";
    let mut secrets = Vec::new();
    for (offset, text) in root.strings("peer_secrets", hint, errors) {
        match hex::decode(&text) {
            Ok(bytes) if bytes.len() >= MIN_SECRET_BYTES => secrets.push(PeerSecret(bytes)),
            Ok(_) => errors.add(offset, "peer_secrets", "too short", hint),
            Err(_) => errors.add(offset, "peer_secrets", "not a hex string", hint),
        }
    }
    if secrets.is_empty() && errors.is_empty() {
        let offset = root.offset_of("peer_secrets");
        errors.add(offset, "peer_secrets", "empty", hint);
    }
    secrets
}

fn read_first_peers(
    root: &mut ObjectReader<'_, '_>,
    errors: &mut ErrorList<'_>,
) -> Vec<SocketAddr> {
    let hint = "write a list of IP:PORT, such as [\"10.0.0.2:7101\"]";
    let mut texts = Vec::new();
    if root.has("first_peers") {
        texts = root.strings("first_peers", hint, errors);
    }
    if texts.is_empty() {
        root.add_default("first_peers", "[]".into(), errors);
    }
    let mut peers = Vec::new();
    for (offset, text) in texts {
        match text.parse() {
            Ok(address) => peers.push(address),
            Err(_) => errors.add(offset, "first_peers", "not an IP address with a port", hint),
        }
    }
    peers
}

fn read_operator_token_digests(
    root: &mut ObjectReader<'_, '_>,
    errors: &mut ErrorList<'_>,
) -> Vec<[u8; DIGEST_BYTES]> {
    let hint = "write SHA-256 digests in hex, as `wasabistall token create` prints them";
    let mut digests = Vec::new();
    for (offset, text) in root.strings("operator_token_sha256", hint, errors) {
        let mut digest = [0; DIGEST_BYTES];
        match hex::decode_to_slice(text.as_str(), &mut digest) {
            Ok(()) => digests.push(digest),
            Err(_) => errors.add(
                offset,
                "operator_token_sha256",
                "not a SHA-256 digest",
                hint,
            ),
        }
    }
    digests
}

fn read_limits(mut reader: ObjectReader<'_, '_>, errors: &mut ErrorList<'_>) -> CallerLimits {
    let hour_ms = 3_600_000;
    let limits = CallerLimits {
        body_bytes: read_bytes(&mut reader, "body_bytes", KIB..=64 * MIB, MIB, errors),
        header_bytes: read_bytes(&mut reader, "header_bytes", KIB..=MIB, 16 * KIB, errors),
        body_timeout: read_millis(
            &mut reader,
            "body_timeout_ms",
            100..=hour_ms,
            10_000,
            errors,
        ),
        default_deadline: read_millis(
            &mut reader,
            "default_deadline_ms",
            100..=hour_ms,
            60_000,
            errors,
        ),
        max_deadline: read_millis(
            &mut reader,
            "max_deadline_ms",
            100..=hour_ms,
            600_000,
            errors,
        ),
        stall_timeout: read_millis(
            &mut reader,
            "stall_timeout_ms",
            100..=hour_ms,
            30_000,
            errors,
        ),
    };
    if limits.default_deadline > limits.max_deadline {
        let offset = reader.offset_of("default_deadline_ms");
        let path = "limits.default_deadline_ms";
        errors.add(offset, path, "longer than max_deadline_ms", "lower it");
    }
    reader.close(errors);
    limits
}

fn read_telemetry(
    mut reader: ObjectReader<'_, '_>,
    errors: &mut ErrorList<'_>,
) -> TelemetrySettings {
    let format = reader.choice("log_format", &["text", "json"], "text", errors);
    let levels = ["error", "warn", "info", "debug", "trace"];
    let level = reader.choice("log_level", &levels, "info", errors);
    let otlp = if reader.has("otlp") {
        reader.address("otlp", errors)
    } else {
        None
    };
    reader.close(errors);
    TelemetrySettings {
        format: match format {
            "json" => LogFormat::Json,
            _ => LogFormat::Text,
        },
        level: level.into(),
        otlp,
    }
}
