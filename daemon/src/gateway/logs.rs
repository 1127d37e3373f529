//! Structured logs on standard output, which never block the service.

use eyre::{Result, WrapErr, eyre};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, Layer, layer::SubscriberExt, util::SubscriberInitExt};
use wasabistall_lib::{
    gateway::event::LogEvent,
    settings::{LogFormat, TelemetrySettings},
};

/// Lines that may wait to be written; further ones are dropped.
const WAITING_LINES: usize = 8_192;

/// The writer of the log; lines are written while it lives.
pub(super) struct LogWriter {
    guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl LogWriter {
    /// Counts the lines that were dropped.
    pub(super) fn dropped_lines(&self) -> ErrorCounter {
        self.dropped.clone()
    }

    /// Writes the lines that wait.
    pub(super) fn close(self) {
        drop(self.guard);
    }
}

/// Starts logging.
pub(super) fn start(settings: &TelemetrySettings) -> Result<LogWriter> {
    let level = &settings.level;
    let filter = EnvFilter::try_new(format!("warn,wasabistalld={level}"))
        .map_err(|error| eyre!("cannot set the log level: {error}"))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(WAITING_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(writer)
        .with_target(false);
    let lines = match settings.format {
        LogFormat::Text => lines.with_ansi(false).boxed(),
        LogFormat::Json => lines.json().flatten_event(true).boxed(),
    };
    tracing_subscriber::registry()
        .with(filter)
        .with(lines)
        .try_init()
        .wrap_err("cannot start logs")?;
    Ok(LogWriter { guard, dropped })
}

/// Writes a decision of the reducer.
pub(super) fn write(note: &LogEvent) {
    tracing::info!(event = note.event, attempt = %note.attempt, detail = %note.detail);
}
