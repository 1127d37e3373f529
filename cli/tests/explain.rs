//! `wasabistall explain` on log lines in the format of the gateways.

use std::{path::Path, process::Command};

use insta::assert_snapshot;

fn explain(arguments: &[&str], folder: &Path) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_wasabistall"))
        .arg("explain")
        .args(arguments)
        .current_dir(folder)
        .output()
        .unwrap();
    format!(
        "exit {}\n{}{}",
        output.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    )
}

fn logs() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    let first = r#"{"timestamp":"2026-01-01T00:00:01.000Z","level":"INFO","event":"order_right","attempt":"","detail":"server=s-1 active=true"}
{"timestamp":"2026-01-01T00:00:02.000Z","level":"INFO","event":"grant_declined","attempt":"abc","detail":"server=s-2 reason=NoPlace"}
not a line of a gateway
{"timestamp":"2026-01-01T00:00:02.300Z","level":"INFO","event":"request_sent","attempt":"abc","detail":"server=s-1 adapter=a3 sends=1 waited_ms=300 left_ms=4700"}
{"timestamp":"2026-01-01T00:00:02.500Z","level":"INFO","event":"attempt_ended","attempt":"abc","detail":"server=s-1 end=Broken first_ms=None"}
{"timestamp":"2026-01-01T00:00:02.501Z","level":"INFO","event":"request_refused","attempt":"abc","detail":"kind=ServerLost route=chat service=models sends=1 runs=1 held_ms=501"}
{"timestamp":"2026-01-01T00:00:09.000Z","level":"INFO","event":"server_withdrawn","attempt":"","detail":"s-1"}
"#;
    let second = r#"{"timestamp":"2026-01-01T00:00:01.500Z","level":"INFO","event":"store_lost","attempt":"","detail":"board_age_ms=480"}
"#;
    std::fs::write(folder.path().join("a-1.log"), first).unwrap();
    std::fs::write(folder.path().join("b-1.log"), second).unwrap();
    folder
}

#[test]
fn trace_includes_earlier_state_changes() {
    let folder = logs();
    assert_snapshot!(explain(&["abc", "a-1.log", "b-1.log"], folder.path()), @r"
    exit 0
    2026-01-01T00:00:02.000Z  a-1  grant_declined  server=s-2 reason=NoPlace
    2026-01-01T00:00:02.300Z  a-1  request_sent  server=s-1 adapter=a3 sends=1 waited_ms=300 left_ms=4700
    2026-01-01T00:00:02.500Z  a-1  attempt_ended  server=s-1 end=Broken first_ms=None
    2026-01-01T00:00:02.501Z  a-1  request_refused  kind=ServerLost route=chat service=models sends=1 runs=1 held_ms=501
    last state changes on these instances:
    2026-01-01T00:00:01.000Z  a-1  order_right  server=s-1 active=true
    1 lines could not be parsed
    ");
}

#[test]
fn unknown_attempt_exits_with_problems() {
    let folder = logs();
    assert_snapshot!(explain(&["nobody", "b-1.log"], folder.path()), @r"
    exit 2
    no line mentions the attempt nobody
    ");
}

#[test]
fn missing_log_file_is_named_in_error() {
    let folder = logs();
    let text = explain(&["abc", "nowhere.log"], folder.path());
    assert!(text.starts_with("exit 1\n"), "{text}");
    assert!(text.contains("cannot read nowhere.log"), "{text}");
}

/// Fails if the operations page lacks an event that the gateways log.
#[test]
fn operations_page_lists_every_event() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let page = std::fs::read_to_string(root.join("docs/OPERATIONS.md")).unwrap();
    let mut missing = Vec::new();
    for folder in [
        "lib/src/gateway",
        "lib/src/gateway/server_scheduler",
        "daemon/src/gateway",
    ] {
        for entry in std::fs::read_dir(root.join(folder)).unwrap() {
            let path = entry.unwrap().path();
            if path.is_file() {
                let text = std::fs::read_to_string(&path).unwrap();
                missing.extend(events(&text).filter(|event| !page.contains(&format!("`{event}`"))));
            }
        }
    }
    assert_eq!(missing, Vec::<String>::new());
}

/// Yields the names in `log_event(effects, "…"` and `event = "…"`.
fn events(text: &str) -> impl Iterator<Item = String> + '_ {
    let joined = text.split_whitespace().collect::<Vec<_>>().join(" ");
    let unbroken = joined.replace("log_event( effects, \"", "log_event(effects, \"");
    let mut names = Vec::new();
    for start in ["log_event(effects, \"", "event = \""] {
        for part in unbroken.split(start).skip(1) {
            names.extend(part.split('"').next().map(str::to_owned));
        }
    }
    names.into_iter()
}
