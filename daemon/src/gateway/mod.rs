//! I/O layer of the gateway: executes the decisions of [`wasabistall_lib::gateway`].

mod callers;
mod clock;
mod connections;
mod core;
mod endpoints;
mod forward;
mod held;
mod listen;
mod logs;
mod metrics;
mod orders;
mod peers;
mod resume;
mod store;
mod transfers;

use std::time::Duration;

use eyre::{Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};
use wasabistall_lib::settings::GatewaySettings;

use self::{core::GatewayCore, metrics::GatewayMetrics};
use crate::listen::bind;

/// Fraction of the grace time during which a leaving instance still accepts connections, since
/// callers may use its address for some seconds more.
const ACCEPT_FRACTION: f64 = 0.7;
/// Fraction of the grace time after which a leaving instance aborts the requests in progress.
const ABORT_FRACTION: f64 = 0.97;
/// Fraction of the grace time after which a leaving instance without requests stops.
const IDLE_STOP_FRACTION: f64 = 0.8;
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a gateway until SIGTERM.
pub(crate) fn run(settings: GatewaySettings) -> Result<()> {
    // A gateway gets a fraction of one core; more threads would only compete for it.
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
    let addresses = bind(settings.listen.addresses, "address lookups")?;
    let readiness = bind(settings.listen.readiness, "readiness probes")?;
    let operators = bind(settings.listen.operators, "operators")?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let core = GatewayCore::start(&settings, GatewayMetrics::new()?);
    core.metrics.register_observers(&core, logs.dropped_lines());
    tracing::info!(event = "started", instance = %settings.instance, life = core.incarnation());
    tokio::spawn(peers::serve(peers, core.clone()));
    tokio::spawn(endpoints::serve_addresses(addresses, core.clone()));
    tokio::spawn(endpoints::serve_readiness(readiness, core.clone()));
    tokio::spawn(endpoints::serve_operators(operators, core.clone()));
    let accept_task = tokio::spawn(callers::serve(callers, core.clone()));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => {
                tracing::info!(event = "reload", outcome = "settings are read at the next start");
            }
        }
    }
    tracing::info!(event = "stopping", requests = core.open_requests());
    core.shut_down();
    drain(&core, settings.grace, &accept_task).await;
    tracing::info!(event = "stopped", requests = core.open_requests());
    logs.close();
    Ok(())
}

/// Keeps accepting callers for part of the grace time, then waits for requests in progress.
async fn drain(core: &GatewayCore, grace: Duration, accept_task: &tokio::task::JoinHandle<()>) {
    tokio::time::sleep(grace.mul_f64(ACCEPT_FRACTION)).await;
    core.close_idle_connections();
    let started = tokio::time::Instant::now();
    let idle_stop = grace.mul_f64(IDLE_STOP_FRACTION - ACCEPT_FRACTION);
    let end = grace.mul_f64(ABORT_FRACTION - ACCEPT_FRACTION);
    while started.elapsed() < end {
        if started.elapsed() >= idle_stop && core.open_requests() == 0 {
            break;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    accept_task.abort();
}
