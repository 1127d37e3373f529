//! `wasabistall status`: shows the state of all instances.

use std::collections::BTreeMap;

use eyre::Result;
use smol_str::SmolStr;
use wasabistall_lib::operator::StatusView;

use crate::{
    CommandEnd,
    deployment::Deployment,
    http::{HttpCall, call_json},
    output::{Output, table},
};

/// Reads the state of each instance.
pub(crate) async fn read_all(deployment: &Deployment) -> BTreeMap<SmolStr, Result<StatusView>> {
    let token = deployment.token();
    let mut all = BTreeMap::new();
    for (instance, address) in &deployment.operators {
        let call = HttpCall::get(*address, "/operator/v1/status", &token);
        all.insert(instance.clone(), call_json(call).await);
    }
    all
}

pub(crate) async fn run(deployment: &Deployment, output: Output) -> Result<CommandEnd> {
    let all = read_all(deployment).await;
    let reachable = all.values().all(Result::is_ok);
    let views: BTreeMap<&SmolStr, Option<&StatusView>> = all
        .iter()
        .map(|(instance, status)| (instance, status.as_ref().ok()))
        .collect();
    output.print(&views, || describe(&all))?;
    Ok(if reachable {
        CommandEnd::Fine
    } else {
        CommandEnd::Faults
    })
}

fn describe(all: &BTreeMap<SmolStr, Result<StatusView>>) -> String {
    let header = ["instance", "state", "version", "requests", "pools"];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for (instance, status) in all {
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
                        format!("{} ({} wait, {} run)", pool.pool, pool.queued, pool.running)
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
