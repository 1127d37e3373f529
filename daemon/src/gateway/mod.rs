//! Shell of the gateway: carries out what [`wasabistall_lib::gateway`] decides.

mod answers;
mod callers;
mod clock;
mod core;
mod events;
mod forward;
mod links;
mod listen;
mod logs;
mod metrics;
mod orders;
mod peers;
mod store;

use std::time::Duration;

use eyre::{Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};
use wasabistall_lib::settings::GatewaySettings;

use self::{core::GatewayCore, metrics::GatewayMetrics};
use crate::listen::bind;

/// Part of the grace time for which a leaving instance still accepts connections; callers may keep
/// its address for some seconds.
const ACCEPT_PART: f64 = 0.7;
/// Part of the grace time after which a leaving instance ends whatever is left.
const END_PART: f64 = 0.97;
/// A leaving instance without requests ends after this part of the grace time.
const IDLE_END_PART: f64 = 0.8;
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a gateway until it is told to stop.
pub(crate) fn run(settings: GatewaySettings) -> Result<()> {
    // One machine gives a fraction of one core, so that more threads would only wait for it.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the runtime")?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: GatewaySettings) -> Result<()> {
    let logs = logs::start(&settings.telemetry)?;
    let callers = bind(settings.listen.callers, "callers")?;
    let peers = bind(settings.listen.peers, "peers")?;
    let addresses = bind(settings.listen.addresses, "questions for addresses")?;
    let readiness = bind(settings.listen.readiness, "questions for readiness")?;
    let operators = bind(settings.listen.operators, "operators")?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    let core = GatewayCore::start(&settings, GatewayMetrics::new()?);
    core.metrics.observe(&core, logs.dropped_lines());
    tracing::info!(event = "started", instance = %settings.instance, life = core.life());
    tokio::spawn(peers::serve(peers, core.clone()));
    tokio::spawn(answers::serve_addresses(addresses, core.clone()));
    tokio::spawn(answers::serve_readiness(readiness, core.clone()));
    tokio::spawn(answers::serve_operators(operators, core.clone()));
    let accepting = tokio::spawn(callers::serve(callers, core.clone()));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hang_up.recv() => {
                tracing::info!(event = "reload", outcome = "settings are read at the next start");
            }
        }
    }
    tracing::info!(event = "stopping", requests = core.open_requests());
    core.shut_down();
    drain(&core, settings.grace, &accepting).await;
    tracing::info!(event = "stopped", requests = core.open_requests());
    logs.close();
    Ok(())
}

/// Serves the callers that still come, then waits for their answers.
async fn drain(core: &GatewayCore, grace: Duration, accepting: &tokio::task::JoinHandle<()>) {
    tokio::time::sleep(grace.mul_f64(ACCEPT_PART)).await;
    core.close_idle_connections();
    let started = tokio::time::Instant::now();
    let idle_end = grace.mul_f64(IDLE_END_PART - ACCEPT_PART);
    let end = grace.mul_f64(END_PART - ACCEPT_PART);
    while started.elapsed() < end {
        if started.elapsed() >= idle_end && core.open_requests() == 0 {
            break;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    accepting.abort();
}
