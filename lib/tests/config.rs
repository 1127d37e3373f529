//! Acceptance and rejection of configuration patches.

mod common;

use insta::assert_snapshot;
use serde_json::json;
use wasabistall_lib::config::{ConfigLog, LogEntry};

use self::common::{initial_changes, log_entry};

/// Appends entries to a log and describes each outcome on a line.
fn outcomes(entries: Vec<LogEntry>) -> String {
    let mut log = ConfigLog::default();
    let mut lines = Vec::new();
    for entry in entries {
        let sequence = entry.sequence;
        lines.push(match log.append(entry) {
            Some(outcome) => match &outcome.fault {
                None => format!("{sequence}: accepted, version {}", outcome.version),
                Some(error) => {
                    format!("{sequence}: rejected, version {}: {error}", outcome.version)
                }
            },
            None => format!("{sequence}: ignored"),
        });
    }
    lines.join("\n")
}

#[test]
fn patches_are_accepted_or_rejected_as_a_whole() {
    let text = outcomes(vec![
        log_entry(1, 0, &initial_changes(1)),
        log_entry(2, 0, &json!([{ "op": "withdraw_key", "key": "elders-1" }])),
        log_entry(
            3,
            1,
            &json!([
                { "op": "withdraw_key", "key": "elders-1" },
                { "op": "withdraw_key", "key": "nobody-1" },
            ]),
        ),
        LogEntry {
            sequence: 4,
            text: "{".into(),
        },
        log_entry(5, 1, &json!([])),
        log_entry(6, 1, &json!([{ "op": "withdraw_key", "key": "elders-1" }])),
        log_entry(6, 1, &json!([{ "op": "withdraw_key", "key": "elders-1" }])),
        log_entry(8, 2, &json!([{ "op": "withdraw_key", "key": "elders-1" }])),
        log_entry(7, 2, &json!([{ "op": "withdraw_key", "key": "elders-1" }])),
        log_entry(8, 2, &json!([{ "op": "add_owner", "owner": "../x" }])),
        log_entry(
            9,
            2,
            &json!([{ "op": "set_version", "adapter": "clans", "version": 2 }]),
        ),
        log_entry(
            10,
            3,
            &json!([{ "op": "set_rate", "team": "elders", "rate": {
            "tokens_per_second": 0, "burst_tokens": 1,
            "requests_per_second": 1, "burst_requests": 1,
        } }]),
        ),
    ]);
    assert_snapshot!(text, @"
    1: accepted, version 1
    2: rejected, version 1: based on another version; recreate it on the current version (0)
    3: rejected, version 1: changes[1]: no such name (nobody-1)
    4: rejected, version 1: not a valid patch
    5: rejected, version 1: has no changes
    6: accepted, version 2
    6: ignored
    8: ignored
    7: rejected, version 2: changes[0]: the change has no effect (elders-1)
    8: rejected, version 2: changes[0]: a name must have 1 to 100 characters of a-z A-Z 0-9 . _ - (../x)
    9: accepted, version 3
    10: rejected, version 3: changes[0]: the value is out of range (elders)
    ");
}

#[test]
fn a_peer_gets_the_entries_it_lacks() {
    let mut log = ConfigLog::default();
    log.append(log_entry(1, 0, &initial_changes(1)));
    for sequence in 2..=5 {
        let changes = json!([{ "op": "set_version", "adapter": "clans", "version": sequence }]);
        log.append(log_entry(sequence, sequence - 1, &changes));
    }
    let sequences = |after, bytes| {
        let entries = log.entries_after(after, bytes).unwrap();
        entries
            .iter()
            .map(|entry| entry.sequence)
            .collect::<Vec<u64>>()
    };
    assert_eq!(sequences(2, 1_000_000), [3, 4, 5]);
    assert_eq!(sequences(5, 1_000_000), [] as [u64; 0]);
    assert_eq!(sequences(0, 1), [1]);
}
