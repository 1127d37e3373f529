//! `wasabistall config`: shows the configuration and follows its rollout to the instances.

use std::{collections::BTreeMap, time::Duration};

use eyre::{Result, eyre};
use smol_str::SmolStr;
use wasabistall_lib::{
    config::ConfigLog,
    operator::{ConfigView, render_config},
};

use super::status::fetch_statuses;
use crate::{
    CommandOutcome,
    deployment::Deployment,
    flags,
    http::fetch_log,
    output::{Output, table, write_out},
};

/// Pause between two polls of all instances.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(200);

pub(crate) async fn run(
    command: &flags::Config,
    deployment: &Deployment,
    output: Output,
) -> Result<CommandOutcome> {
    match &command.subcommand {
        flags::ConfigCmd::Show(show) => show_version(show.at, deployment, output).await,
        flags::ConfigCmd::Follow(follow) => follow_versions(follow.until, deployment).await,
    }
}

async fn show_version(
    version: Option<u64>,
    deployment: &Deployment,
    output: Output,
) -> Result<CommandOutcome> {
    let mut log = ConfigLog::default();
    for entry in fetch_log(deployment).await? {
        if version == Some(log.state().version) {
            break;
        }
        log.append(entry);
    }
    let state = log.state();
    if version.is_some_and(|version| version != state.version) {
        return Err(eyre!(
            "no such version\n    hint: the newest is {}",
            state.version
        ));
    }
    let mut view = render_config(state);
    view.sequence = log.sequence();
    output.print(&view, || describe(&view))?;
    Ok(CommandOutcome::Success)
}

fn describe(view: &ConfigView) -> String {
    let mut rows = Vec::new();
    for (kind, records) in &view.records {
        for (name, text) in records {
            rows.push(vec![kind.to_string(), name.to_string(), text.to_string()]);
        }
    }
    format!(
        "version {} after {} log entries\n{}",
        view.version,
        view.sequence,
        table(&rows)
    )
}

async fn follow_versions(until: Option<u64>, deployment: &Deployment) -> Result<CommandOutcome> {
    let mut last_printed: BTreeMap<SmolStr, String> = BTreeMap::new();
    loop {
        let mut all_reached = true;
        for (instance, status) in fetch_statuses(deployment).await {
            let text = match &status {
                Ok(status) => format!("version {}", status.config_version),
                Err(_) => "unreachable".to_owned(),
            };
            all_reached &= status.is_ok_and(|status| Some(status.config_version) >= until);
            if last_printed.get(&instance) != Some(&text) {
                write_out(&format!("{instance}: {text}\n"))?;
                last_printed.insert(instance, text);
            }
        }
        if until.is_some() && all_reached {
            return Ok(CommandOutcome::Success);
        }
        tokio::time::sleep(FOLLOW_INTERVAL).await;
    }
}
