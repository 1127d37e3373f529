//! `wasabistall errors`: prints the table of error kinds.

use eyre::Result;
use wasabistall_lib::error::{ERROR_TABLE, error_table_markdown};

use crate::{CommandEnd, output::Output};

pub(crate) fn run(output: Output) -> Result<CommandEnd> {
    output.print(&ERROR_TABLE, error_table_markdown)?;
    Ok(CommandEnd::Fine)
}
