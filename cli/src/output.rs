//! Output as text or JSON.

use std::io::{self, Write};

use eyre::{Result, eyre};
use serde::Serialize;

/// Format in which results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Output {
    /// Text for people.
    Text,
    /// Indented JSON for scripts.
    Json,
}

impl Output {
    /// Parses the value of `--format`; text is the default.
    pub(crate) fn from_flag(flag: Option<&str>) -> Result<Output> {
        match flag {
            None | Some("text") => Ok(Output::Text),
            Some("json") => Ok(Output::Json),
            Some(other) => Err(eyre!(
                "unknown format {other:?}\n    hint: use `text` or `json`"
            )),
        }
    }

    /// Prints `value` as JSON, or the result of `text`, ending with a newline.
    pub(crate) fn print<T: Serialize>(
        self,
        value: &T,
        text: impl FnOnce() -> String,
    ) -> Result<()> {
        let mut text = match self {
            Output::Json => serde_json::to_string_pretty(value)?,
            Output::Text => text(),
        };
        if !text.ends_with('\n') {
            text.push('\n');
        }
        write_out(&text)
    }
}

/// Writes to standard output. A closed pipe is not an error.
pub(crate) fn write_out(text: &str) -> Result<()> {
    let mut out = io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    match written {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        other => Ok(other?),
    }
}

/// Formats rows of cells as left-aligned columns.
pub(crate) fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns)
        .map(|column| {
            let cells = rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        })
        .collect();
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line.push_str(&format!("{cell:<width$}  "));
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
