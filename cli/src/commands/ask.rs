//! `wasabistall ask`: sends a completion request as a caller.

use eyre::{Result, eyre};
use http_body_util::BodyExt;
use hyper::Method;
use serde_json::{Value, json};
use wasabistall_lib::address::AddressList;

use crate::{
    CommandOutcome,
    deployment::Deployment,
    flags,
    http::{HttpCall, call_json, send},
    output::write_out,
};

const KEY_VARIABLE: &str = "WASABISTALL_KEY";
const DEFAULT_MAX_TOKENS: u64 = 16;

pub(crate) async fn run(command: &flags::Ask, deployment: &Deployment) -> Result<CommandOutcome> {
    let key = command.key.clone();
    let key = key
        .or_else(|| std::env::var(KEY_VARIABLE).ok())
        .unwrap_or_default();
    let addresses = fetch_addresses(deployment).await?;
    let preferred = addresses
        .addresses
        .first()
        .ok_or_else(|| eyre!("no instance accepts requests at the moment"))?;
    eprintln!("sending to {} at {}", preferred.instance, preferred.address);
    let body = json!({
        "model": command.model,
        "prompt": command.prompt,
        "max_tokens": command.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        "stream": true,
    });
    let call = HttpCall {
        method: Method::POST,
        address: preferred.address,
        path: "/v1/completions",
        token: &key,
        body: serde_json::to_vec(&body)?,
    };
    let response = send(call).await?;
    let is_stream = response.status().is_success();
    let mut body = response.into_body();
    let mut pending = String::new();
    while let Some(frame) = body.frame().await {
        let bytes = frame?.into_data().unwrap_or_default();
        pending.push_str(&String::from_utf8_lossy(&bytes));
        while is_stream && let Some(end) = pending.find("\n\n") {
            let event: String = pending.drain(..end + 2).collect();
            print_event(&event)?;
        }
    }
    if is_stream {
        write_out("\n")?;
        return Ok(CommandOutcome::Success);
    }
    eprintln!("{pending}");
    Ok(CommandOutcome::Problems)
}

/// Fetches the ranked addresses from the first instance that responds.
async fn fetch_addresses(deployment: &Deployment) -> Result<AddressList> {
    let mut last_error = eyre!("the deployment file lists no instances");
    for address in deployment.callers.values() {
        match call_json(HttpCall::get(*address, "/v1/addresses", "")).await {
            Ok(list) => return Ok(list),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
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
