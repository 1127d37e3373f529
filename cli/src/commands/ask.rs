//! `wasabistall ask`: sends a completion as a caller does.

use eyre::{Result, eyre};
use http_body_util::BodyExt;
use hyper::Method;
use serde_json::{Value, json};
use wasabistall_lib::address::AddressList;

use crate::{
    CommandEnd,
    deployment::Deployment,
    flags,
    http::{HttpCall, call_json, open},
    output::write_out,
};

const KEY_VARIABLE: &str = "WASABISTALL_KEY";
const DEFAULT_MAX_TOKENS: u64 = 16;

pub(crate) async fn run(command: &flags::Ask, deployment: &Deployment) -> Result<CommandEnd> {
    let key = command.key.clone();
    let key = key
        .or_else(|| std::env::var(KEY_VARIABLE).ok())
        .unwrap_or_default();
    let addresses = find_addresses(deployment).await?;
    let best = addresses
        .addresses
        .first()
        .ok_or_else(|| eyre!("no instance takes work now"))?;
    eprintln!("asking {} at {}", best.instance, best.address);
    let body = json!({
        "model": command.model,
        "prompt": command.prompt,
        "max_tokens": command.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        "stream": true,
    });
    let call = HttpCall {
        method: Method::POST,
        address: best.address,
        path: "/v1/completions",
        token: &key,
        body: serde_json::to_vec(&body)?,
    };
    let response = open(call).await?;
    let streams = response.status().is_success();
    let mut body = response.into_body();
    let mut pending = String::new();
    while let Some(frame) = body.frame().await {
        let bytes = frame?.into_data().unwrap_or_default();
        pending.push_str(&String::from_utf8_lossy(&bytes));
        while streams && let Some(end) = pending.find("\n\n") {
            let event: String = pending.drain(..end + 2).collect();
            print_event(&event)?;
        }
    }
    if streams {
        write_out("\n")?;
        return Ok(CommandEnd::Fine);
    }
    eprintln!("{pending}");
    Ok(CommandEnd::Faults)
}

/// Asks any instance that answers which instances to use.
async fn find_addresses(deployment: &Deployment) -> Result<AddressList> {
    let mut last = eyre!("the deployment names no instances");
    for address in deployment.callers.values() {
        match call_json(HttpCall::get(*address, "/v1/addresses", "")).await {
            Ok(list) => return Ok(list),
            Err(error) => last = error,
        }
    }
    Err(last)
}

fn print_event(event: &str) -> Result<()> {
    let data = event.trim().strip_prefix("data: ").unwrap_or_default();
    let Ok(value) = serde_json::from_str::<Value>(data) else {
        return Ok(());
    };
    match value["choices"][0]["text"].as_str() {
        Some(text) => write_out(text),
        None => Ok(()),
    }
}
