//! I/O layer of the gateway: executes the decisions of [`wasabistall_lib::gateway`].

mod callers;
mod clock;
mod connections;
mod core;
mod endpoints;
mod forward;
mod head_limit;
mod held;
mod listen;
mod logs;
mod metrics;
mod orders;
mod peers;
mod resume;
mod store;
mod transfers;

use std::{sync::Arc, time::Duration};

use eyre::{Result, WrapErr};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::{Instant, sleep_until, timeout_at},
};
use tokio_util::task::TaskTracker;
use wasabistall_lib::{gateway::shutdown::END_GRACE_FRACTION, settings::GatewaySettings};

use self::{core::GatewayCore, metrics::GatewayMetrics};
use crate::listen::bind;

/// Fraction of the grace period during which an instance that shuts down accepts connections, since
/// callers may use its address for some seconds more.
const ACCEPT_GRACE_FRACTION: f64 = 0.8;
/// Fraction of the grace period after which the process ends, whatever is still open.
const EXIT_GRACE_FRACTION: f64 = 0.97;

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
    for setting in &settings.defaults {
        tracing::info!(
            event = "setting_defaulted",
            key = %setting.path,
            value = %setting.value,
        );
    }
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
    let connections = TaskTracker::new();
    tokio::spawn(callers::serve(callers, core.clone(), connections.clone()));
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
    drain(&core, settings.grace, &connections).await;
    tracing::info!(
        event = "stopped",
        requests = core.open_requests(),
        connections = connections.len()
    );
    logs.close();
    Ok(())
}

/// Keeps accepting callers for part of the grace period, then waits until each connection has
/// delivered its response. Requests still in progress are ended before the process is killed.
async fn drain(core: &Arc<GatewayCore>, grace: Duration, connections: &TaskTracker) {
    let started = Instant::now();
    let time_at = |fraction: f64| started + grace.mul_f64(fraction);
    sleep_until(time_at(ACCEPT_GRACE_FRACTION)).await;
    core.close_connections();
    if timeout_at(time_at(END_GRACE_FRACTION), connections.wait())
        .await
        .is_ok()
    {
        return;
    }
    core.end_requests();
    if timeout_at(time_at(EXIT_GRACE_FRACTION), connections.wait())
        .await
        .is_err()
    {
        tracing::warn!(event = "stopped_early", connections = connections.len());
    }
}
