//! Logs, traces and metrics of an instance.

use std::{sync::Arc, time::Duration};

use eyre::{Result, WrapErr, eyre};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
    propagation::{Extractor, Injector, TextMapPropagator},
    trace::TracerProvider,
};
use opentelemetry_otlp::{MetricExporter, SpanExporter, WithExportConfig};
use opentelemetry_sdk::{
    Resource,
    metrics::{SdkMeterProvider, periodic_reader_with_async_runtime::PeriodicReader},
    propagation::TraceContextPropagator,
    runtime::Tokio,
    trace::{SdkTracerProvider, span_processor_with_async_runtime::BatchSpanProcessor},
};
use prometheus::{Encoder, Registry, TextEncoder};
use smol_str::SmolStr;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::{EnvFilter, Layer, layer::SubscriberExt, util::SubscriberInitExt};
use wasabistall_lib::settings::{InstanceSettings, LogFormat};

const SERVICE_NAME: &str = "wasabistalld";
const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Trace and metric providers of the process.
pub(crate) struct Telemetry {
    pub(crate) metrics: MetricSet,
    tracer_provider: SdkTracerProvider,
    meter_provider: SdkMeterProvider,
}

impl Telemetry {
    /// Flushes buffered traces and metrics to the collector and shuts the exporters down.
    pub(crate) fn close(self) {
        if let Err(error) = self.tracer_provider.shutdown() {
            tracing::debug!(%error, "cannot flush traces");
        }
        if let Err(error) = self.meter_provider.shutdown() {
            tracing::debug!(%error, "cannot flush metrics");
        }
    }
}

/// Initializes logs, traces and metrics.
pub(crate) fn start(settings: &InstanceSettings) -> Result<Telemetry> {
    let resource = Resource::builder()
        .with_service_name(SERVICE_NAME)
        .with_attribute(KeyValue::new(
            "service.instance.id",
            settings.instance.to_string(),
        ))
        .build();
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .build()
        .wrap_err("cannot start metrics")?;
    let mut meter_provider = SdkMeterProvider::builder()
        .with_resource(resource.clone())
        .with_reader(exporter);
    let mut tracer_provider = SdkTracerProvider::builder().with_resource(resource);
    if let Some(collector) = settings.telemetry.otlp {
        let spans = SpanExporter::builder()
            .with_http()
            .with_endpoint(format!("http://{collector}/v1/traces"))
            .build()
            .wrap_err("cannot export traces")?;
        let metrics = MetricExporter::builder()
            .with_http()
            .with_endpoint(format!("http://{collector}/v1/metrics"))
            .build()
            .wrap_err("cannot export metrics")?;
        // The exporters' HTTP client needs a Tokio runtime, which these processors run on.
        tracer_provider =
            tracer_provider.with_span_processor(BatchSpanProcessor::builder(spans, Tokio).build());
        meter_provider =
            meter_provider.with_reader(PeriodicReader::builder(metrics, Tokio).build());
    }
    let (tracer_provider, meter_provider) = (tracer_provider.build(), meter_provider.build());
    start_logs(settings, &tracer_provider)?;
    Ok(Telemetry {
        metrics: MetricSet::new(&meter_provider, registry),
        tracer_provider,
        meter_provider,
    })
}

fn start_logs(settings: &InstanceSettings, tracer_provider: &SdkTracerProvider) -> Result<()> {
    let level = &settings.telemetry.level;
    let filter = EnvFilter::try_new(format!("warn,wasabistalld={level},wasabistall_lib={level}"))
        .map_err(|error| eyre!("cannot set the log level: {error}"))?;
    let otel_layer =
        tracing_opentelemetry::layer().with_tracer(tracer_provider.tracer(SERVICE_NAME));
    let fmt_layer = tracing_subscriber::fmt::layer().with_writer(std::io::stderr);
    let fmt_layer = match settings.telemetry.format {
        LogFormat::Text => fmt_layer.with_ansi(false).boxed(),
        LogFormat::Json => fmt_layer.json().boxed(),
    };
    tracing_subscriber::registry()
        .with(filter)
        .with(fmt_layer)
        .with(otel_layer)
        .try_init()
        .wrap_err("cannot start logs")
}

struct HeaderExtractor<'h>(&'h HeaderMap);

impl Extractor for HeaderExtractor<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

struct HeaderInjector<'h>(&'h mut HeaderMap);

impl Injector for HeaderInjector<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = HeaderName::from_bytes(key.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) {
            self.0.insert(name, value);
        }
    }
}

/// Makes the W3C trace context in `headers` the parent of `span`.
pub(crate) fn set_parent(span: &Span, headers: &HeaderMap) {
    let context = TraceContextPropagator::new().extract(&HeaderExtractor(headers));
    let _ = span.set_parent(context);
}

/// Writes the trace context of the current span into `headers`.
pub(crate) fn inject_context(headers: &mut HeaderMap) {
    let context = Span::current().context();
    TraceContextPropagator::new().inject_context(&context, &mut HeaderInjector(headers));
}

/// The `traceparent` of the current span; empty when it is not sampled.
pub(crate) fn current_traceparent() -> SmolStr {
    let mut headers = HeaderMap::new();
    inject_context(&mut headers);
    let value = headers
        .get(TRACEPARENT)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().into()
}

/// Records the grant of a request as a `schedule` span in the request's trace.
pub(crate) fn trace_grant(trace: &str, pool: &str, server: &str, waited: Duration) {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(trace) {
        headers.insert(TRACEPARENT, value);
    }
    let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
    let span = tracing::info_span!("schedule", otel.kind = "server", pool, server, waited_ms);
    set_parent(&span, &headers);
    span.in_scope(|| tracing::debug!("granted"));
}

/// The metrics of the process.
#[derive(Clone)]
pub(crate) struct MetricSet {
    registry: Arc<Registry>,
    responses: Counter<u64>,
    response_seconds: Histogram<f64>,
    envelopes_sent: Counter<u64>,
    envelope_bytes: Counter<u64>,
    envelopes_refused: Counter<u64>,
    config_version: Gauge<u64>,
}

impl MetricSet {
    fn new(meter_provider: &SdkMeterProvider, registry: Registry) -> MetricSet {
        let meter = meter_provider.meter(SERVICE_NAME);
        MetricSet {
            registry: Arc::new(registry),
            responses: meter
                .u64_counter("wasabistall.answers")
                .with_description("Answers to callers by status and error kind")
                .build(),
            response_seconds: meter
                .f64_histogram("wasabistall.answer.head")
                .with_unit("s")
                .with_description("Time until the head of an answer")
                .build(),
            envelopes_sent: meter
                .u64_counter("wasabistall.envelopes.sent")
                .with_description("Envelopes sent to peers")
                .build(),
            envelope_bytes: meter
                .u64_counter("wasabistall.envelopes.sent.bytes")
                .with_unit("By")
                .with_description("Bytes of the envelopes sent to peers")
                .build(),
            envelopes_refused: meter
                .u64_counter("wasabistall.envelopes.refused")
                .with_description("Envelopes of peers that were refused, by fault")
                .build(),
            config_version: meter
                .u64_gauge("wasabistall.config.version")
                .with_description("Version of the configuration in force")
                .build(),
        }
    }

    /// Counts a response to a caller; `kind` is empty unless it is a refusal.
    pub(crate) fn record_response(&self, status: u16, kind: &str, elapsed: Duration) {
        let labels = [
            KeyValue::new("status", i64::from(status)),
            KeyValue::new("kind", kind.to_owned()),
        ];
        self.responses.add(1, &labels);
        self.response_seconds.record(elapsed.as_secs_f64(), &labels);
    }

    /// Counts an envelope sent to a peer.
    pub(crate) fn count_envelope_sent(&self, bytes: usize) {
        self.envelopes_sent.add(1, &[]);
        self.envelope_bytes.add(bytes as u64, &[]);
    }

    /// Counts a refused envelope.
    pub(crate) fn count_envelope_refused(&self, error: &'static str) {
        self.envelopes_refused
            .add(1, &[KeyValue::new("fault", error)]);
    }

    /// Records the version of the configuration in force.
    pub(crate) fn set_config_version(&self, version: u64) {
        self.config_version.record(version, &[]);
    }

    /// Renders all metrics in the Prometheus text format; `None` when that fails.
    pub(crate) fn render(&self) -> Option<String> {
        let mut page = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut page)
            .ok()?;
        String::from_utf8(page).ok()
    }
}
