//! `wasabistall usage`: sums up the usage counted by all instances.

use std::collections::BTreeMap;

use eyre::{Result, eyre};
use smol_str::SmolStr;
use wasabistall_lib::{
    operator::{UsageRow, UsageView},
    usage::UsageTotal,
};

use crate::{
    CommandOutcome,
    deployment::Deployment,
    flags,
    http::{HttpCall, call_json},
    output::{Output, table},
};

pub(crate) async fn run(
    command: &flags::Usage,
    deployment: &Deployment,
    output: Output,
) -> Result<CommandOutcome> {
    let column = command.by.as_deref().unwrap_or("owner");
    let group_of = column_accessor(column)?;
    let token = deployment.token();
    let mut totals: BTreeMap<SmolStr, UsageTotal> = BTreeMap::new();
    for address in deployment.operators.values() {
        let call = HttpCall::get(*address, "/operator/v1/usage", &token);
        let view: UsageView = call_json(call).await?;
        for row in &view.totals {
            totals.entry(group_of(row)).or_default().add(&row.total);
        }
    }
    output.print(&totals, || describe(column, &totals))?;
    Ok(CommandOutcome::Success)
}

fn column_accessor(column: &str) -> Result<fn(&UsageRow) -> SmolStr> {
    match column {
        "owner" => Ok(|row| row.account.owner.clone()),
        "team" => Ok(|row| row.account.team.clone()),
        "target" => Ok(|row| row.account.target.clone()),
        "price" => Ok(|row| {
            let price = serde_json::to_value(row.account.price).unwrap_or_default();
            price.as_str().unwrap_or_default().into()
        }),
        other => Err(eyre!(
            "cannot group usage by {other:?}\n    hint: use owner, team, target or price"
        )),
    }
}

fn describe(column: &str, totals: &BTreeMap<SmolStr, UsageTotal>) -> String {
    let header = [
        column,
        "requests",
        "unknown",
        "prompt tokens",
        "output tokens",
    ];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    let mut sum = UsageTotal::default();
    for (name, total) in totals {
        sum.add(total);
        let name = if name.is_empty() {
            "(open routes)"
        } else {
            name
        };
        rows.push(total_row(name, total));
    }
    rows.push(total_row("total", &sum));
    table(&rows)
}

fn total_row(name: &str, total: &UsageTotal) -> Vec<String> {
    vec![
        name.to_owned(),
        total.requests.to_string(),
        total.unknown.to_string(),
        total.prompt_tokens.to_string(),
        total.output_tokens.to_string(),
    ]
}
