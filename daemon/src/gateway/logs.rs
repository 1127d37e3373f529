//! Structured, non-blocking logs on standard output.

use eyre::{Result, WrapErr, eyre};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, Layer, layer::SubscriberExt, util::SubscriberInitExt};
use wasabistall_lib::{
    gateway::event::LogEvent,
    settings::{LogFormat, TelemetrySettings},
};

/// Capacity of the queue of log lines; lines are dropped while it is full.
const QUEUE_CAPACITY_LINES: usize = 8_192;

/// Keeps the background log writer running.
pub(super) struct LogWriter {
    guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl LogWriter {
    /// Counter of the lines that were dropped.
    pub(super) fn dropped_lines(&self) -> ErrorCounter {
        self.dropped.clone()
    }

    /// Flushes the queued lines and stops the writer.
    pub(super) fn close(self) {
        drop(self.guard);
    }
}

/// Initializes logging.
pub(super) fn start(settings: &TelemetrySettings) -> Result<LogWriter> {
    let level = &settings.level;
    let filter = EnvFilter::try_new(format!("warn,wasabistalld={level}"))
        .map_err(|error| eyre!("cannot set the log level: {error}"))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUE_CAPACITY_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let fmt_layer = tracing_subscriber::fmt::layer()
        .with_writer(writer)
        .with_target(false);
    let fmt_layer = match settings.format {
        LogFormat::Text => fmt_layer.with_ansi(false).boxed(),
        LogFormat::Json => fmt_layer.json().flatten_event(true).boxed(),
    };
    tracing_subscriber::registry()
        .with(filter)
        .with(fmt_layer)
        .try_init()
        .wrap_err("cannot start logs")?;
    Ok(LogWriter { guard, dropped })
}

/// Logs a decision of the reducer.
pub(super) fn write_event(event: &LogEvent) {
    tracing::info!(event = event.event, attempt = %event.attempt, detail = %event.detail);
}
