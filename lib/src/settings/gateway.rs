//! Settings of a gateway.

use std::{net::SocketAddr, time::Duration};

use smol_str::SmolStr;

use super::{
    TelemetrySettings, read_first_peers, read_millis, read_telemetry,
    reader::{FaultList, ObjectReader, SettingsFault},
};
use crate::gateway::{
    FleetBounds,
    allowance::{ColdBounds, QuotaBounds, RetryBounds},
};

/// Where a gateway listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayListen {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For the platform's question whether the instance is ready.
    pub readiness: SocketAddr,
    /// For other instances.
    pub peers: SocketAddr,
    /// For callers who ask for addresses.
    pub addresses: SocketAddr,
    /// For metrics and operators.
    pub operators: SocketAddr,
}

/// Settings of a gateway, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Name of its data centre.
    pub data_centre: SmolStr,
    /// Names of all data centres.
    pub data_centres: Vec<SmolStr>,
    /// Where it listens.
    pub listen: GatewayListen,
    /// The platform's store.
    pub store: SocketAddr,
    /// Peers that may already run.
    pub first_peers: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, so that no earlier process has used up
    /// any allowance.
    pub first_start: bool,
    /// Fleet-wide bounds.
    pub bounds: FleetBounds,
    /// How long a planned stop may take.
    pub grace: Duration,
    /// Logs, traces and metrics.
    pub telemetry: TelemetrySettings,
}

impl GatewaySettings {
    /// Reads and checks settings; returns all faults at once.
    pub fn parse(text: &str) -> Result<GatewaySettings, Vec<SettingsFault>> {
        let mut faults = FaultList::new(text);
        let settings = faults
            .parse()
            .and_then(|object| read_settings(ObjectReader::root(&object), &mut faults));
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(faults.close()),
        }
    }
}

fn read_settings(
    mut root: ObjectReader<'_, '_>,
    faults: &mut FaultList<'_>,
) -> Option<GatewaySettings> {
    root.choice("role", &["gateway"], faults);
    let instance = root.text("instance", "write the instance's name", faults);
    let data_centre = root.text("data_centre", "write the data centre's name", faults);
    let data_centres = root.texts(
        "data_centres",
        "write the names of all data centres",
        faults,
    );
    let listen = read_listen(root.object("listen", faults), faults);
    let store = root.address("store", faults);
    let first_peers = read_first_peers(&mut root, faults);
    let first_start = root.boolean("first_start", false, faults);
    let bounds = read_bounds(root.optional_object("bounds", faults), faults);
    let grace = read_seconds(&mut root, "grace_s", 8.0, faults);
    let telemetry = read_telemetry(root.optional_object("telemetry", faults), faults);
    root.close(faults);
    Some(GatewaySettings {
        instance: instance?,
        data_centre: data_centre?,
        data_centres: data_centres.into_iter().map(|(_, name)| name).collect(),
        listen: listen?,
        store: store?,
        first_peers,
        first_start,
        bounds,
        grace,
        telemetry,
    })
}

fn read_listen(
    mut reader: ObjectReader<'_, '_>,
    faults: &mut FaultList<'_>,
) -> Option<GatewayListen> {
    let callers = reader.address("callers", faults);
    let readiness = reader.address("readiness", faults);
    let peers = reader.address("peers", faults);
    let addresses = reader.address("addresses", faults);
    let operators = reader.address("operators", faults);
    reader.close(faults);
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
    default: f64,
    faults: &mut FaultList<'_>,
) -> Duration {
    Duration::from_secs_f64(reader.number(name, default, faults).min(86_400.0))
}

fn read_bounds(mut reader: ObjectReader<'_, '_>, faults: &mut FaultList<'_>) -> FleetBounds {
    let bounds = FleetBounds {
        quota: QuotaBounds {
            window: read_seconds(&mut reader, "quota_window_s", 8.0, faults),
            overage: reader.number("quota_overage", 0.0, faults),
            slack: reader.number("quota_slack", 0.0, faults),
        },
        retry: RetryBounds {
            window: read_seconds(&mut reader, "retry_window_s", 10.0, faults),
            ratio: reader.number("retry_ratio", 0.1, faults),
            slack: reader.number("retry_slack", 10.0, faults),
        },
        cold: ColdBounds {
            overage: reader.number("cold_overage", 1.0, faults),
            slack: reader.number("cold_slack", 0.0, faults),
        },
        order_lease: read_millis(&mut reader, "order_lease_ms", 0..=60_000, 3_000, faults),
    };
    reader.close(faults);
    bounds
}
