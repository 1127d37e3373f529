//! `wasabistall explain`: a request's way through the logs of several instances.

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

use crate::{CommandEnd, flags, output::Output};

/// Events that touch no request but change what an instance believes.
const BELIEF_EVENTS: [&str; 12] = [
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

/// One line of the explanation.
#[derive(Clone, Debug, Serialize)]
struct TraceLine {
    time: String,
    source: SmolStr,
    event: String,
    detail: String,
}

/// A request's way.
#[derive(Debug, Default, Serialize)]
struct RequestTrace {
    attempt: String,
    /// Lines of the request itself, in order.
    path: Vec<TraceLine>,
    /// The newest line of each kind of belief on the instances that it passed, before its end.
    beliefs: Vec<TraceLine>,
    /// Lines that could not be read.
    bad_lines: usize,
}

pub(crate) fn run(command: &flags::ExplainRequest, output: Output) -> Result<CommandEnd> {
    let mut trace = RequestTrace {
        attempt: command.attempt.clone(),
        ..RequestTrace::default()
    };
    let mut beliefs = Vec::new();
    if command.logs.is_empty() {
        read_log(io::stdin().lock(), "stdin", &mut trace, &mut beliefs)?;
    }
    for path in &command.logs {
        let file = File::open(path).wrap_err_with(|| {
            format!("cannot read {}\n    hint: name log files", path.display())
        })?;
        read_log(
            BufReader::new(file),
            &source_name(path),
            &mut trace,
            &mut beliefs,
        )?;
    }
    trace.path.sort_by(|one, other| one.time.cmp(&other.time));
    keep_newest_beliefs(&mut trace, beliefs);
    output.print(&trace, || describe(&trace))?;
    if trace.path.is_empty() {
        return Ok(CommandEnd::Faults);
    }
    Ok(CommandEnd::Fine)
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
    beliefs: &mut Vec<TraceLine>,
) -> Result<()> {
    for line in log.split(b'\n') {
        let line = line.wrap_err("cannot read a log")?;
        if line.is_empty() {
            continue;
        }
        let Ok(value) = serde_json::from_slice::<Value>(&line) else {
            trace.bad_lines += 1;
            continue;
        };
        let text = |name: &str| value[name].as_str().unwrap_or_default().to_owned();
        let entry = TraceLine {
            time: text("timestamp"),
            source: source.into(),
            event: text("event"),
            detail: text("detail"),
        };
        if text("attempt") == trace.attempt {
            trace.path.push(entry);
        } else if BELIEF_EVENTS.contains(&entry.event.as_str()) {
            beliefs.push(entry);
        }
    }
    Ok(())
}

fn keep_newest_beliefs(trace: &mut RequestTrace, mut beliefs: Vec<TraceLine>) {
    let Some(end) = trace.path.last().map(|line| line.time.clone()) else {
        return;
    };
    beliefs.sort_by(|one, other| one.time.cmp(&other.time));
    let mut newest: BTreeMap<(SmolStr, String), TraceLine> = BTreeMap::new();
    for belief in beliefs {
        let passed = trace.path.iter().any(|line| line.source == belief.source);
        if passed && belief.time <= end {
            newest.insert((belief.source.clone(), belief.event.clone()), belief);
        }
    }
    trace.beliefs = newest.into_values().collect();
    trace
        .beliefs
        .sort_by(|one, other| one.time.cmp(&other.time));
}

fn describe(trace: &RequestTrace) -> String {
    let mut text = String::new();
    let line = |line: &TraceLine| {
        format!(
            "{}  {}  {}  {}\n",
            line.time, line.source, line.event, line.detail
        )
    };
    if trace.path.is_empty() {
        text.push_str(&format!("no line names the attempt {}\n", trace.attempt));
    }
    for entry in &trace.path {
        text.push_str(&line(entry));
    }
    if !trace.beliefs.is_empty() {
        text.push_str("what these instances believed before:\n");
        for entry in &trace.beliefs {
            text.push_str(&line(entry));
        }
    }
    if trace.bad_lines > 0 {
        text.push_str(&format!("{} lines could not be read\n", trace.bad_lines));
    }
    text
}
