//! `wasabistall token`: generates operator tokens.

use eyre::Result;
use serde_json::json;
use wasabistall_lib::operator::token_digest;

use crate::{CommandOutcome, output::Output};

const TOKEN_BYTES: usize = 32;

pub(crate) fn run(output: Output) -> Result<CommandOutcome> {
    let token = hex::encode(rand::random::<[u8; TOKEN_BYTES]>());
    let digest = hex::encode(token_digest(&token));
    let value = json!({ "token": token, "operator_token_sha256": digest });
    output.print(&value, || {
        format!("token:                 {token}\noperator_token_sha256: {digest}")
    })?;
    Ok(CommandOutcome::Success)
}
