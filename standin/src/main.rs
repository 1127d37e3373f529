//! Small stand-ins of the systems that wasabistall serves, for tests and for trying it out.

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
    deployment::DeploymentShape, engine::EngineShape, load::LoadShape, service::ServiceShape,
    store::StoreShape,
};

mod flags {
    use std::{
        net::{IpAddr, SocketAddr},
        path::PathBuf,
    };

    xflags::xflags! {
        /// Stand-ins of the systems that wasabistall serves.
        cmd wasabistall-standin {
            /// Runs a model engine.
            cmd engine {
                /// Where to listen.
                required listen: SocketAddr
                /// Where the weight store listens.
                required store: SocketAddr
                /// Adapter slots.
                optional --slots slots: usize
                /// Requests it bears at once when warm.
                optional --concurrency concurrency: usize
                /// Refuses orders with an old fencing number.
                optional --enforce-fencing
            }
            /// Runs a plain service.
            cmd service {
                /// Where to listen.
                required listen: SocketAddr
                /// Its name.
                required name: String
            }
            /// Runs a weight store.
            cmd store {
                /// Where to listen.
                required listen: SocketAddr
                /// Loads a second.
                optional --rate rate: u64
            }
            /// Runs a configuration service.
            cmd configuration {
                /// Where to listen.
                required listen: SocketAddr
            }
            /// Runs a list of instances.
            cmd instances {
                /// Where to listen.
                required listen: SocketAddr
                /// How far answers lag behind, in milliseconds.
                optional --lag lag: u64
            }
            /// Sends load to a running deployment and prints latencies.
            cmd load {
                /// The deployment.json that `all` wrote.
                required deployment: PathBuf
                /// Requests a second. Default: 100.
                optional --rate rate: f64
                /// Duration in seconds. Default: 10.
                optional --seconds seconds: f64
                /// Seed of the planned requests. Default: 1.
                optional --seed seed: u64
                /// Calls the engines themselves, as a baseline.
                optional --direct
                /// Writes the result here as JSON.
                optional --json json: PathBuf
            }
            /// Runs the platform of a whole small deployment and writes settings for its instances.
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
                /// Number of instances to write settings for.
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
            let defaults = EngineShape::default();
            let shape = EngineShape {
                slots: command.slots.unwrap_or(defaults.slots),
                concurrency: command.concurrency.unwrap_or(defaults.concurrency),
                enforces_fencing: command.enforce_fencing,
                store: command.store,
                ..defaults
            };
            announce(engine::start(command.listen, shape).await?);
        }
        Command::Service(command) => {
            let shape = ServiceShape {
                name: command.name.into(),
            };
            announce(service::start(command.listen, shape).await?);
        }
        Command::Store(command) => {
            let defaults = StoreShape::default();
            let shape = StoreShape {
                loads_per_second: command.rate.unwrap_or(defaults.loads_per_second),
                ..defaults
            };
            announce(store::start(command.listen, shape).await?);
        }
        Command::Configuration(command) => announce(configuration::start(command.listen).await?),
        Command::Instances(command) => {
            let lag = Duration::from_millis(command.lag.unwrap_or(0));
            announce(instances::start(command.listen, lag).await?);
        }
        Command::All(command) => run_all(command).await?,
        Command::Load(command) => return run_load(command).await,
    }
    tokio::signal::ctrl_c().await?;
    Ok(())
}

async fn run_all(command: flags::All) -> Result<()> {
    let defaults = DeploymentShape::default();
    let shape = DeploymentShape {
        host: command.host.unwrap_or(defaults.host),
        data_centres: command.data_centres.unwrap_or(defaults.data_centres),
        engines: command.engines.unwrap_or(defaults.engines),
        services: command.services.unwrap_or(defaults.services),
        instances: command.instances.unwrap_or(defaults.instances),
    };
    let out: PathBuf = command.out;
    deployment::start(&shape, &out).await?;
    println!("ready: {}", out.display());
    Ok(())
}

async fn run_load(command: flags::Load) -> Result<()> {
    let shape = LoadShape {
        requests_per_second: command.rate.unwrap_or(100.0),
        seconds: command.seconds.unwrap_or(10.0),
        seed: command.seed.unwrap_or(1),
        direct: command.direct,
        json: command.json,
    };
    load::run(&command.deployment, &shape).await
}

fn announce(address: SocketAddr) {
    println!("ready: {address}");
}
