//! Settings of a gateway.

use std::{net::SocketAddr, time::Duration};

use smol_str::{SmolStr, format_smolstr};

use super::{
    TelemetrySettings, read_first_peers, read_millis, read_telemetry,
    reader::{DefaultedSetting, ErrorList, ObjectReader, SettingsError},
};
use crate::gateway::{
    FleetBounds,
    allowance::{ColdBounds, QuotaBounds, RetryBounds},
    availability::PauseBounds,
};

/// Memory that the process may use unless the settings say otherwise, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Minimum of this memory, in megabytes. Its quarter for bodies just holds one body of the
/// platform's default limit of 4 MiB.
const MIN_MEMORY_MB: f64 = 17.0;
/// Minimum of the windows over which limits apply, in seconds; rates are divided by them.
const MIN_WINDOW_S: f64 = 0.1;
/// Time for which schedulers queue requests unless the settings say otherwise: not at all. Where adapter
/// slots are short, queues increase the loads of adapters beyond what the weight store bears.
const DEFAULT_QUEUE_HOLD_MS: u64 = 0;
const BYTES_PER_MB: f64 = 1_000_000.0;
/// Fraction of this memory for bodies. The rest holds the program, its state and buffers of
/// connections.
const BODY_MEMORY_FRACTION: f64 = 0.25;

/// Addresses that a gateway listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayListen {
    /// Interface for callers' requests.
    pub callers: SocketAddr,
    /// Interface for the platform's readiness probes.
    pub readiness: SocketAddr,
    /// Interface for other instances.
    pub peers: SocketAddr,
    /// Interface for callers that look up addresses of instances.
    pub addresses: SocketAddr,
    /// Interface for metrics and operators.
    pub operators: SocketAddr,
}

/// Validated settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Name of the gateway's data centre.
    pub data_centre: SmolStr,
    /// Names of all data centres; only the gateway's own if the settings name none.
    pub data_centres: Vec<SmolStr>,
    /// Addresses that the gateway listens on.
    pub listen: GatewayListen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Peer addresses of seed instances, which may already be running.
    pub first_peers: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, so that no allowance has been spent by
    /// earlier processes.
    pub first_start: bool,
    /// Limits that are enforced across the fleet.
    pub bounds: FleetBounds,
    /// Bounds on the time for which a server can turn the gateway away.
    pub pause_bounds: PauseBounds,
    /// Longest time for which one scheduler queues a request that only needs a place on its server;
    /// zero without queues.
    pub queue_hold: Duration,
    /// Maximum duration of a graceful shutdown.
    pub grace: Duration,
    /// Memory that bodies of requests and responses may take, in bytes: a quarter of the memory that
    /// the process may use.
    pub body_memory: usize,
    /// Settings of logs, traces and metrics.
    pub telemetry: TelemetrySettings,
    /// Fields that the settings omit although they have a default.
    pub defaults: Vec<DefaultedSetting>,
}

impl GatewaySettings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns all errors of the file, sorted by position.
    pub fn parse(text: &str) -> Result<GatewaySettings, Vec<SettingsError>> {
        let mut errors = ErrorList::new(text);
        let settings = errors
            .parse()
            .and_then(|object| read_settings(ObjectReader::root(&object), &mut errors));
        match settings {
            Some(settings) if errors.is_empty() => Ok(GatewaySettings {
                defaults: errors.take_defaults(),
                ..settings
            }),
            _ => Err(errors.close()),
        }
    }
}

fn read_settings(
    mut root: ObjectReader<'_, '_>,
    errors: &mut ErrorList<'_>,
) -> Option<GatewaySettings> {
    root.choice("role", &["gateway"], "gateway", errors);
    let instance = root.string("instance", "write the instance's name", errors);
    let data_centre = root.string("data_centre", "write the data centre's name", errors);
    let data_centres = read_data_centres(&mut root, data_centre.as_ref(), errors);
    let listen = read_listen(root.object("listen", errors), errors);
    let store = root.address("store", errors);
    let first_peers = read_first_peers(&mut root, errors);
    let first_start = root.boolean("first_start", false, errors);
    let bounds = read_bounds(root.optional_object("bounds", errors), errors);
    let pause_bounds = read_pause_bounds(root.optional_object("server_pauses", errors), errors);
    let queue_hold = read_millis(
        &mut root,
        "queue_hold_ms",
        0..=1_000,
        DEFAULT_QUEUE_HOLD_MS,
        errors,
    );
    let grace = read_seconds(&mut root, "grace_s", 0.0, 8.0, errors);
    let memory_mb = root.number(
        "memory_mb",
        MIN_MEMORY_MB,
        "a number of megabytes",
        DEFAULT_MEMORY_MB,
        errors,
    );
    let telemetry = read_telemetry(root.optional_object("telemetry", errors), errors);
    root.close(errors);
    Some(GatewaySettings {
        instance: instance?,
        data_centre: data_centre?,
        data_centres,
        listen: listen?,
        store: store?,
        first_peers,
        first_start,
        bounds,
        pause_bounds,
        queue_hold,
        grace,
        body_memory: (memory_mb * BODY_MEMORY_FRACTION * BYTES_PER_MB) as usize,
        telemetry,
        defaults: Vec::new(),
    })
}

/// Reads the names of all data centres. An empty list counts as omitted: a template renders it where
/// the platform states none.
fn read_data_centres(
    root: &mut ObjectReader<'_, '_>,
    own: Option<&SmolStr>,
    errors: &mut ErrorList<'_>,
) -> Vec<SmolStr> {
    let mut names = Vec::new();
    if root.has("data_centres") {
        let hint = "write a list of the names of all data centres, such as [\"dc-a\", \"dc-b\"]";
        names = root.strings("data_centres", hint, errors);
    }
    if names.is_empty()
        && let Some(own) = own
    {
        root.add_default("data_centres", format_smolstr!("[{own:?}]"), errors);
        return vec![own.clone()];
    }
    names.into_iter().map(|(_, name)| name).collect()
}

fn read_listen(
    mut reader: ObjectReader<'_, '_>,
    errors: &mut ErrorList<'_>,
) -> Option<GatewayListen> {
    let callers = reader.address("callers", errors);
    let readiness = reader.address("readiness", errors);
    let peers = reader.address("peers", errors);
    let addresses = reader.address("addresses", errors);
    let operators = reader.address("operators", errors);
    reader.close(errors);
    Some(GatewayListen {
        callers: callers?,
        readiness: readiness?,
        peers: peers?,
        addresses: addresses?,
        operators: operators?,
    })
}

fn read_seconds(
    reader: &mut ObjectReader<'_, '_>,
    name: &'static str,
    least: f64,
    default: f64,
    errors: &mut ErrorList<'_>,
) -> Duration {
    let seconds = reader.number(name, least, "a number of seconds", default, errors);
    Duration::from_secs_f64(seconds.min(86_400.0))
}

/// Reads a number without a unit: a share of a limit, or a count of units of a limit.
fn read_amount(
    reader: &mut ObjectReader<'_, '_>,
    name: &'static str,
    default: f64,
    errors: &mut ErrorList<'_>,
) -> f64 {
    reader.number(name, 0.0, "a number", default, errors)
}

fn read_bounds(mut reader: ObjectReader<'_, '_>, errors: &mut ErrorList<'_>) -> FleetBounds {
    let bounds = FleetBounds {
        quota: QuotaBounds {
            window: read_seconds(&mut reader, "quota_window_s", MIN_WINDOW_S, 8.0, errors),
            overage: read_amount(&mut reader, "quota_overage", 0.0, errors),
            slack: read_amount(&mut reader, "quota_slack", 0.0, errors),
        },
        retry: RetryBounds {
            window: read_seconds(&mut reader, "retry_window_s", MIN_WINDOW_S, 10.0, errors),
            ratio: read_amount(&mut reader, "retry_ratio", 0.1, errors),
            slack: read_amount(&mut reader, "retry_slack", 10.0, errors),
        },
        cold: ColdBounds {
            overage: read_amount(&mut reader, "cold_overage", 1.0, errors),
            slack: read_amount(&mut reader, "cold_slack", 0.0, errors),
        },
        order_lease: read_millis(&mut reader, "order_lease_ms", 0..=60_000, 3_000, errors),
    };
    reader.close(errors);
    bounds
}

fn read_pause_bounds(mut reader: ObjectReader<'_, '_>, errors: &mut ErrorList<'_>) -> PauseBounds {
    let bounds = PauseBounds {
        max: read_millis(&mut reader, "max_ms", 100..=3_600_000, 120_000, errors),
        unreadable: read_millis(&mut reader, "unreadable_ms", 0..=60_000, 1_000, errors),
    };
    reader.close(errors);
    bounds
}
