//! Counters and latency histograms of a gateway.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use eyre::{Result, WrapErr};
use opentelemetry::{
    KeyValue,
    metrics::{Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use tracing_appender::non_blocking::ErrorCounter;
use wasabistall_lib::gateway::{GatewayStats, event::AttemptStats};

use super::core::GatewayCore;

const METER_NAME: &str = "wasabistalld";
/// Upper bounds of the histograms' buckets, in seconds: around the objectives of plain services
/// (0.1 s), of first events (1 s) and of pauses (0.6 s), up to the longest time of a route.
const BUCKETS_S: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 0.8, 1.0, 2.0, 5.0, 10.0, 15.0,
];

/// Name of a counter, and where it is read.
type StatsCounter = (&'static str, fn(&GatewayStats) -> u64);

/// The metrics of the process.
pub(super) struct GatewayMetrics {
    registry: Registry,
    meters: SdkMeterProvider,
    answer: Histogram<f64>,
    wait: Histogram<f64>,
    first_event: Histogram<f64>,
    pause: Histogram<f64>,
    peer_call: Histogram<f64>,
}

impl GatewayMetrics {
    /// Metrics that nothing has been counted in.
    pub(super) fn new() -> Result<GatewayMetrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .wrap_err("cannot start metrics")?;
        let meters = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = meters.meter(METER_NAME);
        let histogram = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_unit("s")
                .with_boundaries(BUCKETS_S.to_vec())
                .build()
        };
        Ok(GatewayMetrics {
            answer: histogram(
                "wasabistall.answer.head",
                "Time from a caller's request to the head of its answer, by status",
            ),
            wait: histogram(
                "wasabistall.request.wait",
                "Time from a caller's request to its first send to a server",
            ),
            first_event: histogram(
                "wasabistall.server.first_event",
                "Time from sending to a server's first event or whole answer",
            ),
            pause: histogram(
                "wasabistall.stream.pause",
                "Longest time between two pieces of a stream",
            ),
            peer_call: histogram(
                "wasabistall.peer.call",
                "Time of a call to another instance, by whether it was answered",
            ),
            registry,
            meters,
        })
    }

    /// Shows the counters of a process and the log lines that it dropped.
    pub(super) fn observe(&self, core: &Arc<GatewayCore>, dropped_lines: ErrorCounter) {
        let meter = self.meters.meter(METER_NAME);
        let counters: [StatsCounter; 5] = [
            ("wasabistall.requests", |stats| stats.requests),
            ("wasabistall.refusals", |stats| stats.refusals),
            ("wasabistall.repeats", |stats| stats.retries),
            ("wasabistall.orders", |stats| stats.orders),
            ("wasabistall.stalls", |stats| stats.stalls),
        ];
        for (name, read) in counters {
            let core = Arc::downgrade(core);
            meter
                .u64_observable_counter(name)
                .with_callback(move |observer| {
                    if let Some(core) = core.upgrade() {
                        observer.observe(read(&core.stats()), &[]);
                    }
                })
                .build();
        }
        observe_gauge(&meter, "wasabistall.config.version", core, |core| {
            core.config_version()
        });
        observe_gauge(&meter, "wasabistall.open_requests", core, |core| {
            core.open_requests() as u64
        });
        meter
            .u64_observable_counter("wasabistall.log.dropped_lines")
            .with_callback(move |observer| {
                observer.observe(dropped_lines.dropped_lines() as u64, &[]);
            })
            .build();
    }

    /// Counts an answer to a caller.
    pub(super) fn count_answer(&self, status: u16, elapsed: Duration) {
        let labels = [KeyValue::new("status", i64::from(status))];
        self.answer.record(elapsed.as_secs_f64(), &labels);
    }

    /// Counts the time that a request waited to be sent.
    pub(super) fn count_wait(&self, waited: Duration) {
        self.wait.record(waited.as_secs_f64(), &[]);
    }

    /// Counts what was seen of a server.
    pub(super) fn count_sight(&self, sight: &AttemptStats) {
        if let Some(first) = sight.first_event {
            self.first_event.record(first.as_secs_f64(), &[]);
        }
        if !sight.longest_pause.is_zero() {
            self.pause.record(sight.longest_pause.as_secs_f64(), &[]);
        }
    }

    /// Counts a call to another instance.
    pub(super) fn count_peer_call(&self, answered: bool, elapsed: Duration) {
        let labels = [KeyValue::new("answered", answered)];
        self.peer_call.record(elapsed.as_secs_f64(), &labels);
    }

    /// All metrics in the Prometheus text format.
    pub(super) fn render(&self) -> Result<Vec<u8>> {
        let mut page = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut page)
            .wrap_err("cannot write metrics")?;
        Ok(page)
    }
}

fn observe_gauge(
    meter: &Meter,
    name: &'static str,
    core: &Arc<GatewayCore>,
    read: fn(&GatewayCore) -> u64,
) {
    let core: Weak<GatewayCore> = Arc::downgrade(core);
    meter
        .u64_observable_gauge(name)
        .with_callback(move |observer| {
            if let Some(core) = core.upgrade() {
                observer.observe(read(&core), &[]);
            }
        })
        .build();
}
