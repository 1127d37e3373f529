//! Simulated platform services and backend servers, for tests and for local trials of wasabistall.

mod configuration;
mod deployment;
mod engine;
mod http;
mod instances;
mod load;
mod service;
mod store;

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use eyre::Result;

use self::{
    deployment::DeploymentOptions, engine::EngineOptions, load::LoadOptions,
    service::ServiceOptions, store::StoreOptions,
};

mod flags {
    use std::{
        net::{IpAddr, SocketAddr},
        path::PathBuf,
    };

    xflags::xflags! {
        /// Simulated platform services and backend servers for wasabistall.
        cmd wasabistall-standin {
            /// Runs a simulated model engine.
            cmd engine {
                /// Address to listen on.
                required listen: SocketAddr
                /// Address of the weight store.
                required store: SocketAddr
                /// Number of adapter slots.
                optional --slots slots: usize
                /// Number of concurrent requests that a warm engine can run.
                optional --concurrency concurrency: usize
                /// Rejects orders with an old fencing token.
                optional --enforce-fencing
            }
            /// Runs a plain service.
            cmd service {
                /// Address to listen on.
                required listen: SocketAddr
                /// Name of the service.
                required name: String
            }
            /// Runs a weight store.
            cmd store {
                /// Address to listen on.
                required listen: SocketAddr
                /// Maximum loads per second.
                optional --rate rate: u64
            }
            /// Runs a configuration service.
            cmd configuration {
                /// Address to listen on.
                required listen: SocketAddr
            }
            /// Runs an instance registry.
            cmd instances {
                /// Address to listen on.
                required listen: SocketAddr
                /// Lag of reads behind writes, in milliseconds.
                optional --lag lag: u64
            }
            /// Generates load on a running deployment and prints latencies.
            cmd load {
                /// The `deployment.json` file written by `all`.
                required deployment: PathBuf
                /// Requests per second. Default: 100.
                optional --rate rate: f64
                /// Duration in seconds. Default: 10.
                optional --seconds seconds: f64
                /// Random seed of the requests. Default: 1.
                optional --seed seed: u64
                /// Sends requests directly to the engines, as a baseline.
                optional --direct
                /// File to write the result to, as JSON.
                optional --json json: PathBuf
            }
            /// Runs the platform and backend servers of a small deployment and writes its settings files.
            cmd all {
                /// Directory for the settings files.
                required out: PathBuf
                /// IP address that everything listens on.
                optional --host host: IpAddr
                /// Number of data centres.
                optional --data-centres data_centres: usize
                /// Number of model engines.
                optional --engines engines: usize
                /// Number of servers of the plain service.
                optional --services services: usize
                /// Number of instances to write settings files for.
                optional --instances instances: usize
            }
        }
    }
}

fn main() -> ExitCode {
    let flags = match flags::WasabistallStandin::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
    match start(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(flags: flags::WasabistallStandin) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run(flags))
}

async fn run(flags: flags::WasabistallStandin) -> Result<()> {
    use flags::WasabistallStandinCmd as Command;
    match flags.subcommand {
        Command::Engine(command) => {
            let defaults = EngineOptions::default();
            let options = EngineOptions {
                slots: command.slots.unwrap_or(defaults.slots),
                concurrency: command.concurrency.unwrap_or(defaults.concurrency),
                enforces_fencing: command.enforce_fencing,
                store: command.store,
                ..defaults
            };
            print_ready(engine::start(command.listen, options).await?);
        }
        Command::Service(command) => {
            let options = ServiceOptions {
                name: command.name.into(),
            };
            print_ready(service::start(command.listen, options).await?);
        }
        Command::Store(command) => {
            let defaults = StoreOptions::default();
            let options = StoreOptions {
                loads_per_second: command.rate.unwrap_or(defaults.loads_per_second),
                ..defaults
            };
            print_ready(store::start(command.listen, options).await?);
        }
        Command::Configuration(command) => print_ready(configuration::start(command.listen).await?),
        Command::Instances(command) => {
            let lag = Duration::from_millis(command.lag.unwrap_or(0));
            print_ready(instances::start(command.listen, lag).await?);
        }
        Command::All(command) => run_all(command).await?,
        Command::Load(command) => return run_load(command).await,
    }
    tokio::signal::ctrl_c().await?;
    Ok(())
}

async fn run_all(command: flags::All) -> Result<()> {
    let defaults = DeploymentOptions::default();
    let options = DeploymentOptions {
        host: command.host.unwrap_or(defaults.host),
        data_centres: command.data_centres.unwrap_or(defaults.data_centres),
        engines: command.engines.unwrap_or(defaults.engines),
        services: command.services.unwrap_or(defaults.services),
        instances: command.instances.unwrap_or(defaults.instances),
    };
    let out: PathBuf = command.out;
    deployment::start(&options, &out).await?;
    println!("ready: {}", out.display());
    Ok(())
}

async fn run_load(command: flags::Load) -> Result<()> {
    let options = LoadOptions {
        requests_per_second: command.rate.unwrap_or(100.0),
        seconds: command.seconds.unwrap_or(10.0),
        seed: command.seed.unwrap_or(1),
        direct: command.direct,
        json: command.json,
    };
    load::run(&command.deployment, &options).await
}

fn print_ready(address: SocketAddr) {
    println!("ready: {address}");
}
