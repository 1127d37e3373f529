//! `wasabistall key`: makes callers' keys.

use eyre::{Result, eyre};
use serde_json::json;
use wasabistall_lib::{config::ConfigChange, key::GeneratedKey};

use crate::{CommandEnd, flags, output::Output};

pub(crate) fn run(command: &flags::Key, output: Output) -> Result<CommandEnd> {
    let flags::KeyCmd::Generate(make) = &command.subcommand;
    let key = GeneratedKey::generate(&make.id, rand::random())
        .ok_or_else(|| eyre!("{:?} is not a key id\n    hint: use a-z 0-9 . -", make.id))?;
    let change = ConfigChange::GrantKey {
        key: key.hashed.id,
        team: make.team.clone(),
        sha256: key.hashed.digest,
    };
    let change = serde_json::to_value(&change)?;
    let value = json!({ "key": key.plaintext, "change": change });
    output.print(&value, || {
        format!("key:    {}\nchange: {change}", key.plaintext)
    })?;
    Ok(CommandEnd::Fine)
}
