//! The platform and backend servers of a small deployment in one process.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr, TcpListener},
    path::Path,
    time::Duration,
};

use bytes::Bytes;
use eyre::{Result, WrapErr, eyre};
use http_body_util::Full;
use hyper::{Method, Request};
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};
use wasabistall_lib::{
    config::{ConfigChange, ConfigPatch, PriceClass, ServerRole, ServiceCall, TeamRate},
    key::GeneratedKey,
    member::InstanceListing,
    operator,
};

use crate::{
    configuration,
    engine::{self, EngineOptions},
    http, instances,
    service::{self, ServiceOptions},
    store::{self, StoreOptions},
};

const FLEET: &str = "sauti-demo";
const REGION: &str = "dar-region";
const BASE: &str = "nyota-7b";
const SERVICE: &str = "booking";
/// Operator token of the demo deployment.
const OPERATOR_TOKEN: &str = "operator-demo";
/// First port tried for instances, below the usual range of ephemeral ports.
const FIRST_PORT: u16 = 20_000;
/// End of the range of ports tried, exclusive.
const END_PORT: u16 = 30_000;
const ADAPTERS_PER_TEAM: usize = 3;
const LOADS_PER_SECOND: u64 = 20;

/// Address and size of a deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeploymentOptions {
    pub(crate) host: IpAddr,
    pub(crate) data_centres: usize,
    pub(crate) engines: usize,
    pub(crate) services: usize,
    pub(crate) instances: usize,
}

impl Default for DeploymentOptions {
    fn default() -> DeploymentOptions {
        DeploymentOptions {
            host: IpAddr::from([127, 0, 0, 1]),
            data_centres: 2,
            engines: 3,
            services: 2,
            instances: 3,
        }
    }
}

/// A team of the demo deployment and its limits.
struct TeamSpec {
    team: &'static str,
    owner: &'static str,
    tokens_per_second: u64,
    price: PriceClass,
}

const TEAMS: [TeamSpec; 5] = [
    TeamSpec {
        team: "researchers",
        owner: "sauti",
        tokens_per_second: 40_000,
        price: PriceClass::Premium,
    },
    TeamSpec {
        team: "elders",
        owner: "sauti",
        tokens_per_second: 20_000,
        price: PriceClass::Standard,
    },
    TeamSpec {
        team: "historians",
        owner: "sauti",
        tokens_per_second: 20_000,
        price: PriceClass::Standard,
    },
    TeamSpec {
        team: "architects",
        owner: "dial-works",
        tokens_per_second: 20_000,
        price: PriceClass::Standard,
    },
    TeamSpec {
        team: "gardeners",
        owner: "dial-works",
        tokens_per_second: 20_000,
        price: PriceClass::Standard,
    },
];

/// Addresses and credentials of the deployment, written to `deployment.json` for scripts and tests.
#[derive(Debug, Default, Serialize)]
struct DeploymentMap {
    configuration: Option<SocketAddr>,
    instances_list: Option<SocketAddr>,
    store: Option<SocketAddr>,
    engines: BTreeMap<SmolStr, SocketAddr>,
    services: BTreeMap<SmolStr, SocketAddr>,
    callers: BTreeMap<SmolStr, SocketAddr>,
    peers: BTreeMap<SmolStr, SocketAddr>,
    operators: BTreeMap<SmolStr, SocketAddr>,
    /// Plaintext API keys by team; a real deployment never writes them to disk.
    keys: BTreeMap<SmolStr, String>,
    operator_token: &'static str,
}

fn data_centre_name(number: usize) -> SmolStr {
    format_smolstr!(
        "dar-{}",
        char::from(b'a' + u8::try_from(number % 26).unwrap_or(0))
    )
}

/// Starts all servers, publishes the initial configuration, and writes `deployment.json` and one
/// settings file per instance into `out`.
pub(crate) async fn start(options: &DeploymentOptions, out: &Path) -> Result<()> {
    std::fs::create_dir_all(out)
        .wrap_err_with(|| format!("cannot create directory {}", out.display()))?;
    let any_port = SocketAddr::new(options.host, 0);
    let mut map = DeploymentMap {
        operator_token: OPERATOR_TOKEN,
        ..DeploymentMap::default()
    };
    let store_options = StoreOptions {
        loads_per_second: LOADS_PER_SECOND,
        ..StoreOptions::default()
    };
    let store = store::start(any_port, store_options).await?;
    map.store = Some(store);
    map.configuration = Some(configuration::start(any_port).await?);
    map.instances_list = Some(instances::start(any_port, Duration::ZERO).await?);
    let mut changes = initial_changes(options);
    start_servers(options, any_port, store, &mut map, &mut changes).await?;
    add_instances(options, &mut map, &mut changes)?;
    add_teams(&mut map, &mut changes)?;
    write_settings(options, &map, out)?;
    publish(&map, changes).await?;
    let text = serde_json::to_string_pretty(&map)?;
    std::fs::write(out.join("deployment.json"), text)?;
    Ok(())
}

fn initial_changes(options: &DeploymentOptions) -> Vec<ConfigChange> {
    let mut changes = vec![
        ConfigChange::AddOwner {
            owner: "sauti".into(),
        },
        ConfigChange::AddOwner {
            owner: "dial-works".into(),
        },
        ConfigChange::AddRegion {
            region: REGION.into(),
            store_loads_per_second: LOADS_PER_SECOND,
            loads_in_flight: 8,
        },
        ConfigChange::AddBase {
            base: BASE.into(),
            open: false,
        },
        ConfigChange::AddService {
            service: SERVICE.into(),
            team: None,
            calls: service_calls(),
        },
    ];
    for number in 0..options.data_centres {
        changes.push(ConfigChange::AddDataCentre {
            data_centre: data_centre_name(number),
            region: REGION.into(),
        });
    }
    changes
}

fn service_calls() -> Vec<ServiceCall> {
    let call = |method: &str, path: &str, idempotent, open| ServiceCall {
        method: method.into(),
        path: path.into(),
        idempotent,
        open,
    };
    vec![
        call("GET", "/calendar", true, false),
        call("GET", "/opening-hours", true, true),
        call("POST", "/confirmations", false, false),
    ]
}

async fn start_servers(
    options: &DeploymentOptions,
    any_port: SocketAddr,
    store: SocketAddr,
    map: &mut DeploymentMap,
    changes: &mut Vec<ConfigChange>,
) -> Result<()> {
    for number in 0..options.engines {
        let engine_options = EngineOptions {
            store,
            ..EngineOptions::default()
        };
        let address = engine::start(any_port, engine_options).await?;
        let server = format_smolstr!("engine-{}", number + 1);
        changes.push(ConfigChange::AddServer {
            server: server.clone(),
            data_centre: data_centre_name(number % options.data_centres),
            address,
            concurrency: u32::try_from(engine_options.concurrency)?,
            role: ServerRole::Engine {
                base: BASE.into(),
                slots: u32::try_from(engine_options.slots)?,
                enforces_fencing: engine_options.enforces_fencing,
            },
        });
        map.engines.insert(server, address);
    }
    for number in 0..options.services {
        let service_options = ServiceOptions {
            name: SERVICE.into(),
        };
        let address = service::start(any_port, service_options).await?;
        let server = format_smolstr!("booking-{}", number + 1);
        changes.push(ConfigChange::AddServer {
            server: server.clone(),
            data_centre: data_centre_name(number % options.data_centres),
            address,
            concurrency: 32,
            role: ServerRole::Service {
                service: SERVICE.into(),
            },
        });
        map.services.insert(server, address);
    }
    Ok(())
}

/// Finds free ports below the ephemeral range, so that outgoing connections do not take them
/// before the instances start.
struct PortFinder {
    host: IpAddr,
    next: u16,
}

impl PortFinder {
    fn new(host: IpAddr) -> PortFinder {
        PortFinder {
            host,
            next: FIRST_PORT,
        }
    }

    fn find(&mut self) -> Result<SocketAddr> {
        while self.next < END_PORT {
            let address = SocketAddr::new(self.host, self.next);
            self.next += 1;
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err(eyre!(
            "no free port from {FIRST_PORT} to {END_PORT} on {}",
            self.host
        ))
    }
}

fn add_instances(
    options: &DeploymentOptions,
    map: &mut DeploymentMap,
    changes: &mut Vec<ConfigChange>,
) -> Result<()> {
    let mut ports = PortFinder::new(options.host);
    for number in 0..options.instances {
        let instance = format_smolstr!("instance-{}", number + 1);
        let callers = ports.find()?;
        let peers = ports.find()?;
        changes.push(ConfigChange::AddInstance {
            instance: instance.clone(),
            data_centre: data_centre_name(number % options.data_centres),
            caller_address: callers,
            peer_address: peers,
        });
        map.callers.insert(instance.clone(), callers);
        map.peers.insert(instance.clone(), peers);
        map.operators.insert(instance, ports.find()?);
    }
    Ok(())
}

fn add_teams(map: &mut DeploymentMap, changes: &mut Vec<ConfigChange>) -> Result<()> {
    for spec in &TEAMS {
        let team = SmolStr::new_static(spec.team);
        changes.push(ConfigChange::AddTeam {
            team: team.clone(),
            owner: spec.owner.into(),
            rate: TeamRate {
                tokens_per_second: spec.tokens_per_second,
                burst_tokens: spec.tokens_per_second * 2,
                requests_per_second: 400,
                burst_requests: 800,
            },
            weight: 1,
            price: spec.price,
        });
        let key = GeneratedKey::generate(&format!("{team}-1"), rand::random())
            .ok_or_else(|| eyre!("cannot generate a key for team {team}"))?;
        changes.push(ConfigChange::GrantKey {
            key: key.hashed.id.clone(),
            team: team.clone(),
            sha256: key.hashed.digest,
        });
        map.keys.insert(team.clone(), key.plaintext);
        for number in 1..=ADAPTERS_PER_TEAM {
            changes.push(ConfigChange::AddAdapter {
                adapter: engine::adapter_name(&team, number),
                base: BASE.into(),
                team: team.clone(),
                version: 1,
            });
        }
    }
    Ok(())
}

fn write_settings(options: &DeploymentOptions, map: &DeploymentMap, out: &Path) -> Result<()> {
    let secret = format!("{:032x}", rand::random::<u128>());
    let digest: String = operator::token_digest(OPERATOR_TOKEN)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let peers: Vec<String> = map
        .peers
        .values()
        .map(|peer| format!("\"{peer}\""))
        .collect();
    let peers = peers.join(", ");
    let platform = (map.configuration, map.instances_list);
    let (Some(configuration), Some(list)) = platform else {
        return Err(eyre!("the platform has no addresses"));
    };
    for (number, (instance, callers)) in map.callers.iter().enumerate() {
        let data_centre = data_centre_name(number % options.data_centres);
        let text = format!(
            r#"// Settings of {instance}, generated by wasabistall-standin.
{{
    "fleet": "{FLEET}",
    "instance": "{instance}",
    "data_centre": "{data_centre}",
    "listen": {{
        "callers": "{callers}",
        "peers": "{}",
        "operators": "{}",
    }},
    "platform": {{
        "configuration": "{configuration}",
        "instances": "{list}",
    }},
    // The first secret signs, all are accepted.
    "peer_secrets": ["{secret}"],
    "first_peers": [{peers}],
    "operator_token_sha256": ["{digest}"],
}}
"#,
            map.peers[instance], map.operators[instance],
        );
        std::fs::write(out.join(format!("{instance}.jsonc")), text)?;
    }
    Ok(())
}

async fn publish(map: &DeploymentMap, changes: Vec<ConfigChange>) -> Result<()> {
    let patch = ConfigPatch {
        base: 0,
        author: "standin".into(),
        note: "first configuration".into(),
        changes,
    };
    let listings: Vec<InstanceListing> = map
        .callers
        .keys()
        .map(|instance| InstanceListing {
            instance: instance.clone(),
            leaving: false,
        })
        .collect();
    send(
        Method::POST,
        map.configuration,
        "/v1/log",
        serde_json::to_vec(&patch)?,
    )
    .await?;
    send(
        Method::PUT,
        map.instances_list,
        "/v1/instances",
        serde_json::to_vec(&listings)?,
    )
    .await
}

async fn send(
    method: Method,
    address: Option<SocketAddr>,
    path: &str,
    body: Vec<u8>,
) -> Result<()> {
    let address = address.ok_or_else(|| eyre!("the platform has no address for {path}"))?;
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Full::new(Bytes::from(body)))?;
    let response = http::client().request(request).await?;
    if response.status().is_success() {
        return Ok(());
    }
    Err(eyre!("{path} returned {}", response.status()))
}
