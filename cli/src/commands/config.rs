//! `wasabistall config`: shows the configuration and follows what is in force.

use std::{collections::BTreeMap, time::Duration};

use eyre::{Result, eyre};
use smol_str::SmolStr;
use wasabistall_lib::{
    config::ConfigLog,
    operator::{ConfigView, render_config},
};

use super::status::read_all;
use crate::{
    CommandEnd,
    deployment::Deployment,
    flags,
    http::read_log,
    output::{Output, table, write_out},
};

const FOLLOW_INTERVAL: Duration = Duration::from_millis(200);

pub(crate) async fn run(
    command: &flags::Config,
    deployment: &Deployment,
    output: Output,
) -> Result<CommandEnd> {
    match &command.subcommand {
        flags::ConfigCmd::Show(show) => show_version(show.at, deployment, output).await,
        flags::ConfigCmd::Follow(follow) => follow_versions(follow.until, deployment).await,
    }
}

async fn show_version(
    version: Option<u64>,
    deployment: &Deployment,
    output: Output,
) -> Result<CommandEnd> {
    let mut log = ConfigLog::default();
    for entry in read_log(deployment).await? {
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
    Ok(CommandEnd::Fine)
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

async fn follow_versions(until: Option<u64>, deployment: &Deployment) -> Result<CommandEnd> {
    let mut shown: BTreeMap<SmolStr, String> = BTreeMap::new();
    loop {
        let mut all_there = true;
        for (instance, status) in read_all(deployment).await {
            let text = match &status {
                Ok(status) => format!("version {}", status.config_version),
                Err(_) => "does not answer".to_owned(),
            };
            all_there &= status.is_ok_and(|status| Some(status.config_version) >= until);
            if shown.get(&instance) != Some(&text) {
                write_out(&format!("{instance}: {text}\n"))?;
                shown.insert(instance, text);
            }
        }
        if until.is_some() && all_there {
            return Ok(CommandEnd::Fine);
        }
        tokio::time::sleep(FOLLOW_INTERVAL).await;
    }
}
