//! `wasabistall explain`: traces a request through the logs of several instances.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

use eyre::{Result, WrapErr};
use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;

use crate::{CommandOutcome, flags, output::Output};

/// Events that belong to no request but change the state that an instance routes by.
const STATE_EVENTS: [&str; 12] = [
    "started",
    "stopping",
    "process_paused",
    "store_lost",
    "store_regained",
    "config_applied",
    "data_centre_out",
    "member_gone",
    "quorum_lost",
    "order_right",
    "server_withdrawn",
    "desk_claimed",
];

/// One log line of the trace.
#[derive(Clone, Debug, Serialize)]
struct TraceLine {
    time: String,
    source: SmolStr,
    event: String,
    detail: String,
}

/// Trace of one attempt of a request.
#[derive(Debug, Default, Serialize)]
struct RequestTrace {
    attempt: String,
    /// Lines of the attempt itself, ordered by time.
    path: Vec<TraceLine>,
    /// The newest line of each state event on the instances involved, up to the end of the attempt.
    #[serde(rename = "beliefs")]
    state_changes: Vec<TraceLine>,
    /// Number of lines that are not valid JSON.
    bad_lines: usize,
}

pub(crate) fn run(command: &flags::ExplainRequest, output: Output) -> Result<CommandOutcome> {
    let mut trace = RequestTrace {
        attempt: command.attempt.clone(),
        ..RequestTrace::default()
    };
    let mut state_changes = Vec::new();
    if command.logs.is_empty() {
        read_log(io::stdin().lock(), "stdin", &mut trace, &mut state_changes)?;
    }
    for path in &command.logs {
        let file = File::open(path).wrap_err_with(|| {
            format!(
                "cannot read {}\n    hint: pass the paths of log files",
                path.display()
            )
        })?;
        read_log(
            BufReader::new(file),
            &source_name(path),
            &mut trace,
            &mut state_changes,
        )?;
    }
    trace.path.sort_by(|a, b| a.time.cmp(&b.time));
    keep_newest_state_changes(&mut trace, state_changes);
    output.print(&trace, || describe(&trace))?;
    if trace.path.is_empty() {
        return Ok(CommandOutcome::Problems);
    }
    Ok(CommandOutcome::Success)
}

fn source_name(path: &Path) -> String {
    path.file_stem().map_or_else(
        || path.display().to_string(),
        |stem| stem.to_string_lossy().into_owned(),
    )
}

fn read_log(
    log: impl BufRead,
    source: &str,
    trace: &mut RequestTrace,
    state_changes: &mut Vec<TraceLine>,
) -> Result<()> {
    for bytes in log.split(b'\n') {
        let bytes = bytes.wrap_err("cannot read a log")?;
        if bytes.is_empty() {
            continue;
        }
        let Ok(value) = serde_json::from_slice::<Value>(&bytes) else {
            trace.bad_lines += 1;
            continue;
        };
        let text = |name: &str| value[name].as_str().unwrap_or_default().to_owned();
        let line = TraceLine {
            time: text("timestamp"),
            source: source.into(),
            event: text("event"),
            detail: text("detail"),
        };
        if text("attempt") == trace.attempt {
            trace.path.push(line);
        } else if STATE_EVENTS.contains(&line.event.as_str()) {
            state_changes.push(line);
        }
    }
    Ok(())
}

fn keep_newest_state_changes(trace: &mut RequestTrace, mut state_changes: Vec<TraceLine>) {
    let Some(end) = trace.path.last().map(|line| line.time.clone()) else {
        return;
    };
    state_changes.sort_by(|a, b| a.time.cmp(&b.time));
    let mut newest: BTreeMap<(SmolStr, String), TraceLine> = BTreeMap::new();
    for change in state_changes {
        let is_involved = trace.path.iter().any(|line| line.source == change.source);
        if is_involved && change.time <= end {
            newest.insert((change.source.clone(), change.event.clone()), change);
        }
    }
    trace.state_changes = newest.into_values().collect();
    trace.state_changes.sort_by(|a, b| a.time.cmp(&b.time));
}

fn describe(trace: &RequestTrace) -> String {
    let mut text = String::new();
    let format_line = |line: &TraceLine| {
        format!(
            "{}  {}  {}  {}\n",
            line.time, line.source, line.event, line.detail
        )
    };
    if trace.path.is_empty() {
        text.push_str(&format!("no line mentions the attempt {}\n", trace.attempt));
    }
    for line in &trace.path {
        text.push_str(&format_line(line));
    }
    if !trace.state_changes.is_empty() {
        text.push_str("last state changes on these instances:\n");
        for line in &trace.state_changes {
            text.push_str(&format_line(line));
        }
    }
    if trace.bad_lines > 0 {
        text.push_str(&format!("{} lines could not be parsed\n", trace.bad_lines));
    }
    text
}
