//! Structured logs on standard output, which never block the service.

use eyre::{Result, WrapErr, eyre};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, Layer, layer::SubscriberExt, util::SubscriberInitExt};
use wasabistall_lib::{
    gateway::event::DecisionNote,
    settings::{LogFormat, TelemetrySettings},
};

/// Lines that may wait to be written; further ones are dropped.
const WAITING_LINES: usize = 8_192;

/// Starts logging; lines are written while the guard lives.
pub(super) fn start(settings: &TelemetrySettings) -> Result<WorkerGuard> {
    let level = &settings.level;
    let filter = EnvFilter::try_new(format!("warn,wasabistalld={level}"))
        .map_err(|error| eyre!("cannot set the log level: {error}"))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(WAITING_LINES)
        .finish(std::io::stdout());
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
    Ok(guard)
}

/// Writes a decision of the reducer.
pub(super) fn write(note: &DecisionNote) {
    tracing::info!(event = note.event, attempt = %note.attempt, detail = %note.detail);
}
