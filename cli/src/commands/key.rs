//! `wasabistall key`: generates API keys for callers.

use eyre::{Result, eyre};
use serde_json::json;
use wasabistall_lib::{config::ConfigChange, key::GeneratedKey};

use crate::{CommandOutcome, flags, output::Output};

pub(crate) fn run(command: &flags::Key, output: Output) -> Result<CommandOutcome> {
    let flags::KeyCmd::Generate(generate) = &command.subcommand;
    let key = GeneratedKey::generate(&generate.id, rand::random()).ok_or_else(|| {
        eyre!(
            "invalid key id {:?}\n    hint: use a-z 0-9 . -",
            generate.id
        )
    })?;
    let change = ConfigChange::GrantKey {
        key: key.hashed.id,
        team: generate.team.clone(),
        sha256: key.hashed.digest,
    };
    let change = serde_json::to_value(&change)?;
    let value = json!({ "key": key.plaintext, "change": change });
    output.print(&value, || {
        format!("key:    {}\nchange: {change}", key.plaintext)
    })?;
    Ok(CommandOutcome::Success)
}
