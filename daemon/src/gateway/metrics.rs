//! Counters and latency histograms of a gateway.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use eyre::{Result, WrapErr};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use smol_str::SmolStr;
use tracing_appender::non_blocking::ErrorCounter;
use wasabistall_lib::gateway::{GatewayStats, event::AttemptStats, stages::StageTimes};

use super::core::GatewayCore;

const METER_NAME: &str = "wasabistalld";
/// Upper bounds of the histogram buckets, in seconds. They are dense around the latency objectives
/// for plain services (0.1 s), first events (1 s) and stream pauses (0.6 s), and end at the longest
/// timeout of a route.
const BUCKET_BOUNDS_S: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 0.8, 1.0, 2.0, 5.0, 10.0, 15.0,
];

/// Name of a counter and the function that reads its value.
type StatsCounter = (&'static str, fn(&GatewayStats) -> u64);

/// The metrics of the process.
pub(super) struct GatewayMetrics {
    registry: Registry,
    meter_provider: SdkMeterProvider,
    response_head: Histogram<f64>,
    request_wait: Histogram<f64>,
    request_stage: Histogram<f64>,
    first_event: Histogram<f64>,
    stream_pause: Histogram<f64>,
    peer_call: Histogram<f64>,
    catalog_bytes: Counter<u64>,
}

impl GatewayMetrics {
    /// Creates the registry and the histograms. Fails when the Prometheus exporter cannot be created.
    pub(super) fn new() -> Result<GatewayMetrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .wrap_err("cannot start metrics")?;
        let meter_provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = meter_provider.meter(METER_NAME);
        let histogram = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_unit("s")
                .with_boundaries(BUCKET_BOUNDS_S.to_vec())
                .build()
        };
        Ok(GatewayMetrics {
            response_head: histogram(
                "wasabistall.answer.head",
                "Time from a caller's request to the head of its answer, by status",
            ),
            request_wait: histogram(
                "wasabistall.request.wait",
                "Time from a caller's request to its first send to a server",
            ),
            request_stage: histogram(
                "wasabistall.request.stage",
                "Time of a request in a stage, by stage and route",
            ),
            first_event: histogram(
                "wasabistall.server.first_event",
                "Time from sending to a server's first event or whole answer",
            ),
            stream_pause: histogram(
                "wasabistall.stream.pause",
                "Longest time between two pieces of a stream",
            ),
            peer_call: histogram(
                "wasabistall.peer.call",
                "Time of a call to another instance, by whether it was answered",
            ),
            catalog_bytes: meter
                .u64_counter("wasabistall.catalog.bytes")
                .with_description("Catalog data received, by source and whether all of it came")
                .build(),
            registry,
            meter_provider,
        })
    }

    /// Registers the observable metrics: the reducer's counters, gauges and dropped log lines.
    pub(super) fn register_observers(&self, core: &Arc<GatewayCore>, dropped_lines: ErrorCounter) {
        let meter = self.meter_provider.meter(METER_NAME);
        let counters: [StatsCounter; 8] = [
            ("wasabistall.requests", |stats| stats.requests),
            ("wasabistall.refusals", |stats| stats.refusals),
            ("wasabistall.repeats", |stats| stats.retries),
            ("wasabistall.orders", |stats| stats.orders),
            ("wasabistall.stalls", |stats| stats.stalls),
            ("wasabistall.leaving_servers", |stats| stats.leaving_servers),
            ("wasabistall.server_pauses", |stats| stats.pauses),
            ("wasabistall.diverted", |stats| stats.diverted),
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
        register_gauge(&meter, "wasabistall.config.version", core, |core| {
            core.config_version()
        });
        register_gauge(&meter, "wasabistall.store.era", core, |core| {
            core.store_era()
        });
        register_gauge(&meter, "wasabistall.catalog.revision", core, |core| {
            core.catalog_revision().number
        });
        register_gauge(&meter, "wasabistall.open_requests", core, |core| {
            core.open_requests() as u64
        });
        register_gauge(&meter, "wasabistall.body.bytes", core, |core| {
            core.bodies.used() as u64
        });
        let weak_core = Arc::downgrade(core);
        meter
            .u64_observable_gauge("wasabistall.grants.queued")
            .with_description("Requests queued at the schedulers of this instance, by priority")
            .with_callback(move |observer| {
                let Some(core) = weak_core.upgrade() else {
                    return;
                };
                for (priority, count) in core.queued_grants().into_iter().enumerate() {
                    let labels = [KeyValue::new("priority", priority as i64)];
                    observer.observe(count as u64, &labels);
                }
            })
            .build();
        meter
            .u64_observable_counter("wasabistall.log.dropped_lines")
            .with_callback(move |observer| {
                observer.observe(dropped_lines.dropped_lines() as u64, &[]);
            })
            .build();
    }

    /// Records the time to the head of a response to a caller.
    pub(super) fn record_response(&self, status: u16, elapsed: Duration) {
        let labels = [KeyValue::new("status", i64::from(status))];
        self.response_head.record(elapsed.as_secs_f64(), &labels);
    }

    /// Records how long a request waited before it was first sent.
    pub(super) fn record_wait(&self, waited: Duration) {
        self.request_wait.record(waited.as_secs_f64(), &[]);
    }

    /// Records the stages of a request before a send or its refusal.
    pub(super) fn record_stages(&self, stages: &StageTimes) {
        for (stage, elapsed) in &stages.times {
            self.record_stage(stage.name(), &stages.route, *elapsed);
        }
    }

    /// Records the stage from a send to the first event or the whole answer.
    pub(super) fn record_first_event_stage(&self, route: &SmolStr, elapsed: Duration) {
        self.record_stage("first_event", route, elapsed);
    }

    fn record_stage(&self, stage: &'static str, route: &SmolStr, elapsed: Duration) {
        let labels = [
            KeyValue::new("stage", stage),
            KeyValue::new("route", route.to_string()),
        ];
        self.request_stage.record(elapsed.as_secs_f64(), &labels);
    }

    /// Records the latencies observed during an attempt.
    pub(super) fn record_attempt(&self, stats: &AttemptStats) {
        if let Some(first) = stats.first_event {
            self.first_event.record(first.as_secs_f64(), &[]);
        }
        if !stats.longest_pause.is_zero() {
            self.stream_pause
                .record(stats.longest_pause.as_secs_f64(), &[]);
        }
    }

    /// Records the duration of a call to another instance.
    pub(super) fn record_peer_call(&self, answered: bool, elapsed: Duration) {
        let labels = [KeyValue::new("answered", answered)];
        self.peer_call.record(elapsed.as_secs_f64(), &labels);
    }

    /// Counts the bytes of a transfer of catalog data.
    pub(super) fn record_catalog_transfer(
        &self,
        source: &'static str,
        is_complete: bool,
        bytes: usize,
    ) {
        let labels = [
            KeyValue::new("source", source),
            KeyValue::new("complete", is_complete),
        ];
        self.catalog_bytes.add(bytes as u64, &labels);
    }

    /// Renders all metrics in the Prometheus text format.
    pub(super) fn render(&self) -> Result<Vec<u8>> {
        let mut page = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut page)
            .wrap_err("cannot write metrics")?;
        Ok(page)
    }
}

fn register_gauge(
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
