//! Entry daemon of wasabistall: serves callers and exchanges messages with peers, engines and the
//! platform.

mod callers;
mod client;
mod core;
mod driver;
mod engines;
mod gateway;
mod listen;
mod operators;
mod peers;
mod platform;
mod sse;
mod telemetry;

use std::{path::PathBuf, process::ExitCode};

use eyre::{Result, WrapErr, eyre};
use wasabistall_lib::settings::{InstanceSettings, ProcessSettings};
use wasabistall_platform::SETTINGS_VARIABLE;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Entry daemon of wasabistall.
        cmd wasabistalld {
            /// Settings of the instance, in JSON with comments; without it, the file that the
            /// platform names in the environment.
            optional settings: PathBuf
        }
    }
}

fn main() -> ExitCode {
    let flags = match flags::Wasabistalld::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    match start(flags.settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn settings_path(path_argument: Option<PathBuf>) -> Result<PathBuf> {
    path_argument
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or_else(|| {
            eyre!("no settings file given\n    hint: run wasabistalld SETTINGS, or set {SETTINGS_VARIABLE}")
        })
}

fn read_settings(path: &PathBuf) -> Result<ProcessSettings> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read settings {}", path.display()))?;
    ProcessSettings::parse(&text).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        eyre!("{} is not valid:\n{}", path.display(), lines.join("\n"))
    })
}

fn start(path_argument: Option<PathBuf>) -> Result<()> {
    match read_settings(&settings_path(path_argument)?)? {
        ProcessSettings::Gateway(settings) => gateway::run(*settings),
        ProcessSettings::Instance(settings) => {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .enable_all()
                .build()
                .wrap_err("cannot start the runtime")?;
            runtime.block_on(run(*settings))
        }
    }
}

async fn run(settings: InstanceSettings) -> Result<()> {
    let telemetry = telemetry::start(&settings)?;
    let callers = listen::bind(settings.listen.callers, "callers")?;
    let peers = listen::bind(settings.listen.peers, "peers")?;
    let operators = listen::bind(settings.listen.operators, "operators")?;
    tracing::info!(
        instance = %settings.instance,
        callers = %callers.local_addr()?,
        peers = %peers.local_addr()?,
        operators = %operators.local_addr()?,
        "listening"
    );
    let core = core::start(&settings, telemetry.metrics.clone());
    platform::start(&settings, &core);
    let peer_server = peers::serve(peers, &settings, &core, &telemetry.metrics);
    let operator_server = operators::serve(operators, &settings, &core, &telemetry);
    let (shutdown_handle, caller_server) =
        callers::serve(callers, &settings, &core, &telemetry.metrics);
    let servers = [
        tokio::spawn(peer_server),
        tokio::spawn(operator_server),
        tokio::spawn(caller_server),
    ];
    wait_for_signal().await?;
    tracing::info!("shutting down; waiting for requests in progress");
    core.shut_down().await;
    tokio::select! {
        () = core.drained() => tracing::info!("all requests have finished"),
        () = tokio::time::sleep(settings.drain_timeout) => {
            tracing::warn!("drain timeout reached with requests in progress");
        }
        result = wait_for_signal() => {
            result?;
            tracing::warn!("second signal; aborting requests in progress");
        }
    }
    shutdown_handle.stop().await;
    for server in servers {
        server.abort();
    }
    telemetry.close();
    Ok(())
}

async fn wait_for_signal() -> Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
