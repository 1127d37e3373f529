//! `wasabistall errors`: prints the table of error kinds.

use eyre::Result;
use wasabistall_lib::error::{ERROR_TABLE, error_table_markdown};

use crate::{CommandOutcome, output::Output};

pub(crate) fn run(output: Output) -> Result<CommandOutcome> {
    output.print(&ERROR_TABLE, error_table_markdown)?;
    Ok(CommandOutcome::Success)
}
