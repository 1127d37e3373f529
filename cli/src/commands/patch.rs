//! `wasabistall patch`: creates, verifies, publishes and explains configuration patches.

use std::path::Path;

use eyre::{Result, WrapErr, eyre};
use hyper::Method;
use serde::Deserialize;
use serde_json::json;
use wasabistall_lib::config::{ConfigChange, ConfigLog, ConfigPatch, PatchOutcome};

use crate::{
    CommandOutcome,
    deployment::Deployment,
    flags,
    http::{HttpCall, call_json, fetch_log},
    output::Output,
};

pub(crate) async fn run(
    command: flags::Patch,
    deployment: &Deployment,
    output: Output,
) -> Result<CommandOutcome> {
    match command.subcommand {
        flags::PatchCmd::Make(make) => make_patch(make, deployment).await,
        flags::PatchCmd::Verify(verify) => verify_patch(&verify.file, deployment, output).await,
        flags::PatchCmd::Publish(publish) => publish_patch(&publish.file, deployment, output).await,
        flags::PatchCmd::Explain(explain) => {
            let outcome = find_outcome(explain.sequence, deployment).await?;
            print_outcome(&outcome, output)
        }
    }
}

/// Fetches the configuration log and replays it.
pub(crate) async fn replay_log(deployment: &Deployment) -> Result<ConfigLog> {
    let mut log = ConfigLog::default();
    for entry in fetch_log(deployment).await? {
        log.append(entry);
    }
    Ok(log)
}

async fn make_patch(make: flags::Make, deployment: &Deployment) -> Result<CommandOutcome> {
    let log = replay_log(deployment).await?;
    let changes = make
        .changes
        .iter()
        .map(|text| {
            serde_json::from_str::<ConfigChange>(text).wrap_err_with(|| {
                format!("invalid change: {text}\n    hint: see docs/configuration.md")
            })
        })
        .collect::<Result<Vec<ConfigChange>>>()?;
    let patch = ConfigPatch {
        base: log.state().version,
        author: make.author,
        note: make.note.unwrap_or_default(),
        changes,
    };
    Output::Json.print(&patch, String::new)?;
    match log.state().apply(&patch) {
        Ok(_) => Ok(CommandOutcome::Success),
        Err(fault) => {
            eprintln!("this patch would be rejected: {fault}");
            Ok(CommandOutcome::Problems)
        }
    }
}

fn read_patch(file: &Path) -> Result<(String, ConfigPatch)> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("cannot read {}", file.display()))?;
    let patch = serde_json::from_str(&text)
        .wrap_err_with(|| format!("{} is not a valid patch", file.display()))?;
    Ok((text, patch))
}

async fn verify_patch(
    file: &Path,
    deployment: &Deployment,
    output: Output,
) -> Result<CommandOutcome> {
    let (_, patch) = read_patch(file)?;
    let log = replay_log(deployment).await?;
    match log.state().apply(&patch) {
        Ok(next) => {
            let value = json!({ "accepted": true, "version": next.version });
            output.print(&value, || {
                format!("would be accepted as version {}", next.version)
            })?;
            Ok(CommandOutcome::Success)
        }
        Err(fault) => {
            let value = json!({ "accepted": false, "fault": fault });
            output.print(&value, || format!("would be rejected: {fault}"))?;
            Ok(CommandOutcome::Problems)
        }
    }
}

#[derive(Deserialize)]
struct PublishResponse {
    sequence: u64,
}

async fn publish_patch(
    file: &Path,
    deployment: &Deployment,
    output: Output,
) -> Result<CommandOutcome> {
    let (text, _) = read_patch(file)?;
    let call = HttpCall {
        method: Method::POST,
        address: deployment.configuration,
        path: "/v1/log",
        token: "",
        body: text.into_bytes(),
    };
    let response: PublishResponse = call_json(call).await?;
    let outcome = find_outcome(response.sequence, deployment).await?;
    print_outcome(&outcome, output)
}

async fn find_outcome(sequence: u64, deployment: &Deployment) -> Result<PatchOutcome> {
    let mut log = ConfigLog::default();
    for entry in fetch_log(deployment).await? {
        let outcome = log.append(entry).cloned();
        if let Some(outcome) = outcome.filter(|outcome| outcome.sequence == sequence) {
            return Ok(outcome);
        }
    }
    Err(eyre!(
        "the log has no entry {sequence}\n    hint: the last entry is {}",
        log.sequence()
    ))
}

fn print_outcome(outcome: &PatchOutcome, output: Output) -> Result<CommandOutcome> {
    output.print(outcome, || {
        let PatchOutcome {
            sequence,
            version,
            author,
            note,
            fault,
        } = outcome;
        match fault {
            None => format!("entry {sequence} by {author} ({note}): accepted as version {version}"),
            Some(fault) => format!(
                "entry {sequence} by {author} ({note}): rejected, version stays {version}: {fault}"
            ),
        }
    })?;
    Ok(match outcome.fault {
        None => CommandOutcome::Success,
        Some(_) => CommandOutcome::Problems,
    })
}
