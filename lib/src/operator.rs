//! State of an instance as shown to operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

use crate::{
    config::ConfigState,
    reducer::Reducer,
    usage::{UsageAccount, UsageMeter, UsageRecord, UsageTotal},
};

/// Computes the SHA-256 digest of an operator's token, as stored in the settings.
pub fn token_digest(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}

/// Whether a token matches one of the digests; the comparison takes constant time.
pub fn token_matches(token: &str, digests: &[[u8; 32]]) -> bool {
    let digest = token_digest(token);
    digests.iter().fold(false, |matches, known| {
        matches | bool::from(known.ct_eq(&digest))
    })
}

/// A pool scheduled by an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolView {
    /// The pool's name.
    pub pool: SmolStr,
    /// Number of queued requests.
    pub queued: usize,
    /// Number of requests running on servers.
    pub running: usize,
    /// Number of permits granted so far.
    pub grants: u64,
    /// Number of adapter loads ordered so far.
    pub loads: u64,
    /// Number of requests refused so far.
    pub refusals: u64,
}

/// State of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusView {
    /// The instance's name.
    pub instance: SmolStr,
    /// The instance's incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Whether the instance was asked to shut down.
    pub leaving: bool,
    /// Version of the current configuration.
    pub config_version: u64,
    /// Position in the configuration log.
    pub config_sequence: u64,
    /// Number of callers' requests in progress.
    pub requests: usize,
    /// Pools scheduled by the instance.
    pub pools: Vec<PoolView>,
}

impl StatusView {
    /// Reads the state from the reducer.
    pub fn read(reducer: &Reducer) -> StatusView {
        let stats = reducer.stats();
        let pools = stats
            .pools
            .into_iter()
            .map(|(pool, stats)| PoolView {
                pool,
                queued: stats.queued,
                running: stats.running,
                grants: stats.counters.grants,
                loads: stats.counters.loads,
                refusals: stats.counters.refusals,
            })
            .collect();
        StatusView {
            instance: reducer.settings().instance.clone(),
            incarnation: reducer.settings().incarnation,
            leaving: reducer.is_leaving(),
            config_version: stats.config_version,
            config_sequence: stats.config_sequence,
            requests: stats.requests,
            pools,
        }
    }
}

/// Usage totals of an account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The account that is billed.
    #[serde(flatten)]
    pub account: UsageAccount,
    /// The totals.
    #[serde(flatten)]
    pub total: UsageTotal,
}

/// Usage metered by one incarnation of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageView {
    /// The instance's name.
    pub instance: SmolStr,
    /// The instance's incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the last record.
    pub sequence: u64,
    /// Totals by account, over all records of this incarnation.
    pub totals: Vec<UsageRow>,
    /// Records after the requested number.
    pub records: Vec<UsageRecord>,
}

impl UsageView {
    /// Reads all totals, and at most `limit` records after number `after`.
    pub fn read(reducer: &Reducer, after: u64, limit: usize) -> UsageView {
        let settings = reducer.settings();
        UsageView::from_meter(
            settings.instance.clone(),
            settings.incarnation,
            reducer.usage(),
            after,
            limit,
        )
    }

    /// Reads all totals, and at most `limit` records after number `after`, from a meter.
    pub fn from_meter(
        instance: SmolStr,
        incarnation: u64,
        usage: &UsageMeter,
        after: u64,
        limit: usize,
    ) -> UsageView {
        UsageView {
            instance,
            incarnation,
            sequence: usage.sequence(),
            totals: usage
                .totals()
                .iter()
                .map(|(account, total)| UsageRow {
                    account: account.clone(),
                    total: *total,
                })
                .collect(),
            records: usage.records_after(after, limit),
        }
    }
}

/// A configuration as text, one row per record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigView {
    /// Version of the configuration.
    pub version: u64,
    /// Position in the configuration log.
    pub sequence: u64,
    /// Rows by kind and name of the record.
    pub records: BTreeMap<SmolStr, BTreeMap<SmolStr, SmolStr>>,
    /// Outcomes of the most recent patches.
    pub outcomes: Vec<serde_json::Value>,
}

/// Renders the current configuration and the outcomes of recent patches.
pub fn config_view(reducer: &Reducer) -> ConfigView {
    let log = reducer.config_log();
    let mut view = render_config(&reducer.config());
    view.sequence = log.sequence();
    view.outcomes = log
        .outcomes()
        .filter_map(|outcome| serde_json::to_value(outcome).ok())
        .collect();
    view
}

/// Renders a configuration as rows of text.
pub fn render_config(config: &ConfigState) -> ConfigView {
    let mut records: BTreeMap<SmolStr, BTreeMap<SmolStr, SmolStr>> = BTreeMap::new();
    let mut row = |kind: &'static str, name: &SmolStr, text: String| {
        records
            .entry(SmolStr::new_static(kind))
            .or_default()
            .insert(name.clone(), text.into());
    };
    for (_, owner) in config.owners.iter() {
        row("owner", &owner.name, String::new());
    }
    for (_, team) in config.teams.iter() {
        let rate = &team.rate;
        let text = format!(
            "owner {}, {} tokens/s burst {}, {} requests/s burst {}, weight {}, {}{}",
            config.owners[team.owner].name,
            rate.tokens_per_second,
            rate.burst_tokens,
            rate.requests_per_second,
            rate.burst_requests,
            team.weight,
            price_name(team.price),
            if team.removed { ", removed" } else { "" },
        );
        row("team", &team.name, text);
    }
    for (_, key) in config.keys.iter() {
        let state = if key.withdrawn {
            "withdrawn"
        } else {
            "granted"
        };
        row(
            "key",
            &key.name,
            format!("team {}, {state}", config.teams[key.team].name),
        );
    }
    for (_, base) in config.bases.iter() {
        let access = if base.open {
            "open to all"
        } else {
            "needs a key"
        };
        row("base", &base.name, access.to_owned());
    }
    for (_, adapter) in config.adapters.iter() {
        let text = format!(
            "base {}, team {}, version {}{}",
            config.bases[adapter.base].name,
            config.teams[adapter.team].name,
            adapter.version,
            if adapter.removed { ", removed" } else { "" },
        );
        row("adapter", &adapter.name, text);
    }
    for (_, service) in config.services.iter() {
        let team = service
            .team
            .map_or("every team", |team| &config.teams[team].name);
        row(
            "service",
            &service.name,
            format!("{team}, {} calls", service.calls.len()),
        );
    }
    for (_, data_centre) in config.data_centres.iter() {
        let text = format!(
            "region {}, {}",
            config.regions[data_centre.region].name,
            service_state(data_centre.in_service),
        );
        row("data_centre", &data_centre.name, text);
    }
    for (key, server) in config.servers.iter() {
        let text = format!(
            "{} in {}, concurrency {}, {}",
            server.address,
            config.data_centres[server.data_centre].name,
            server.concurrency,
            service_state(config.server_in_service(key)),
        );
        row("server", &server.name, text);
    }
    for (_, instance) in config.instances.iter() {
        let text = format!(
            "callers {}, peers {}, in {}{}",
            instance.caller_address,
            instance.peer_address,
            config.data_centres[instance.data_centre].name,
            if instance.removed { ", removed" } else { "" },
        );
        row("instance", &instance.name, text);
    }
    ConfigView {
        version: config.version,
        sequence: 0,
        records,
        outcomes: Vec::new(),
    }
}

fn price_name(price: crate::config::PriceClass) -> &'static str {
    match price {
        crate::config::PriceClass::Premium => "premium",
        crate::config::PriceClass::Standard => "standard",
    }
}

fn service_state(in_service: bool) -> &'static str {
    if in_service {
        "in service"
    } else {
        "out of service"
    }
}
