//! `wasabistall status`: shows the status of all instances.

use std::collections::BTreeMap;

use eyre::Result;
use smol_str::SmolStr;
use wasabistall_lib::operator::StatusView;

use crate::{
    CommandOutcome,
    deployment::Deployment,
    http::{HttpCall, call_json},
    output::{Output, table},
};

/// Fetches the status of every instance.
pub(crate) async fn fetch_statuses(
    deployment: &Deployment,
) -> BTreeMap<SmolStr, Result<StatusView>> {
    let token = deployment.token();
    let mut statuses = BTreeMap::new();
    for (instance, address) in &deployment.operators {
        let call = HttpCall::get(*address, "/operator/v1/status", &token);
        statuses.insert(instance.clone(), call_json(call).await);
    }
    statuses
}

pub(crate) async fn run(deployment: &Deployment, output: Output) -> Result<CommandOutcome> {
    let statuses = fetch_statuses(deployment).await;
    let reachable = statuses.values().all(Result::is_ok);
    let views: BTreeMap<&SmolStr, Option<&StatusView>> = statuses
        .iter()
        .map(|(instance, status)| (instance, status.as_ref().ok()))
        .collect();
    output.print(&views, || describe(&statuses))?;
    Ok(if reachable {
        CommandOutcome::Success
    } else {
        CommandOutcome::Problems
    })
}

fn describe(statuses: &BTreeMap<SmolStr, Result<StatusView>>) -> String {
    let header = ["instance", "state", "version", "requests", "pools"];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for (instance, status) in statuses {
        let mut row = vec![instance.to_string()];
        match status {
            Ok(status) => {
                let state = if status.leaving { "leaving" } else { "serving" };
                row.push(state.to_owned());
                row.push(status.config_version.to_string());
                row.push(status.requests.to_string());
                let pools: Vec<String> = status
                    .pools
                    .iter()
                    .map(|pool| {
                        format!(
                            "{} ({} queued, {} running)",
                            pool.pool, pool.queued, pool.running
                        )
                    })
                    .collect();
                row.push(pools.join(", "));
            }
            Err(error) => row.push(format!("{error}")),
        }
        rows.push(row);
    }
    table(&rows)
}
