//! `wasabistall settings`: validates settings files.

use eyre::{Result, WrapErr};
use serde_json::json;
use wasabistall_lib::settings::ProcessSettings;

use crate::{CommandOutcome, flags, output::Output};

pub(crate) fn run(command: &flags::Settings, output: Output) -> Result<CommandOutcome> {
    let flags::SettingsCmd::Check(check) = &command.subcommand;
    let file = check.file.display();
    let text =
        std::fs::read_to_string(&check.file).wrap_err_with(|| format!("cannot read {file}"))?;
    let faults = match ProcessSettings::parse(&text) {
        Ok(settings) => {
            let instance = settings.instance();
            let value = json!({ "valid": true, "instance": instance });
            output.print(&value, || format!("{file}: valid, instance {instance}"))?;
            return Ok(CommandOutcome::Success);
        }
        Err(faults) => faults,
    };
    let rows: Vec<_> = faults
        .iter()
        .map(|fault| {
            json!({
                "line": fault.line,
                "column": fault.column,
                "path": fault.path,
                "message": fault.message,
                "hint": fault.hint,
            })
        })
        .collect();
    output.print(&json!({ "valid": false, "faults": rows }), || {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })?;
    Ok(CommandOutcome::Problems)
}
