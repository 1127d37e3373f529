//! The command-line tool, alone and against a running deployment.

use std::{
    path::Path,
    process::{Command, Output},
};

use insta::assert_snapshot;
use wasabistall_testutils::{DeploymentSize, TestDeployment};

fn run(deployment: Option<&Path>, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wasabistall"));
    if let Some(directory) = deployment {
        command
            .arg("--deployment")
            .arg(directory.join("deployment.json"));
    }
    command.args(arguments).output().unwrap()
}

/// Formats exit code, stdout and stderr, with the temporary directory replaced by `DIR`.
fn format_output(output: &Output, directory: Option<&Path>) -> String {
    let mut text = format!(
        "exit {}\n{}{}",
        output.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    if let Some(directory) = directory {
        text = text.replace(&directory.display().to_string(), "DIR");
    }
    text
}

#[test]
fn error_table_in_docs_matches_code() {
    let path = format!("{}/../docs/errors.md", env!("CARGO_MANIFEST_DIR"));
    let docs = std::fs::read_to_string(path).unwrap();
    let table = run(None, &["errors"]);
    let table = String::from_utf8_lossy(&table.stdout);
    assert!(
        docs.contains(table.as_ref()),
        "run `wasabistall errors` and paste it into docs/errors.md"
    );
}

#[test]
fn settings_check_reports_all_problems() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("bad.jsonc");
    std::fs::write(
        &file,
        "{ \"fleet\": \"x\", \"limits\": { \"body_bytes\": -1 } }",
    )
    .unwrap();
    let file = file.display().to_string();
    let output = run(None, &["settings", "check", &file]);
    assert_snapshot!(format_output(&output, Some(directory.path())), @"
    exit 2
    1:1: instance: missing
        hint: write the name that the configuration uses
    1:1: data_centre: missing
        hint: write the name that the configuration uses
    1:1: listen: missing
        hint: write an object { … }
    1:1: platform: missing
        hint: write an object { … }
    1:1: peer_secrets: missing
        hint: write hex strings of 16 bytes or more; the first signs, all are accepted
    1:1: operator_token_sha256: missing
        hint: write SHA-256 digests in hex, as `wasabistall token create` prints them
    1:43: limits.body_bytes: not a whole number
        hint: write a whole number of bytes from 1024 to 67108864, without a unit
    ");
    let example = format!(
        "{}/../docs/examples/sauti.jsonc",
        env!("CARGO_MANIFEST_DIR")
    );
    let output = run(None, &["settings", "check", &example]);
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn missing_deployment_prints_hint() {
    let output = Command::new(env!("CARGO_BIN_EXE_wasabistall"))
        .arg("status")
        .env_remove("WASABISTALL_DEPLOYMENT")
        .output()
        .unwrap();
    assert_snapshot!(format_output(&output, None), @"
    exit 1
    error: no deployment given
        hint: use --deployment FILE or set WASABISTALL_DEPLOYMENT
    ");
}

#[tokio::test(flavor = "multi_thread")]
async fn patch_withdraws_key() {
    let deployment = TestDeployment::start(DeploymentSize::default()).await;
    let directory = deployment.directory();
    let ask = |key: &str| {
        run(
            Some(directory),
            &[
                "ask",
                "nyota-7b:elders-1",
                "hello",
                "--key",
                key,
                "--max-tokens",
                "2",
            ],
        )
    };
    let key = deployment.key("elders");
    let response = ask(&key);
    assert_eq!(
        String::from_utf8_lossy(&response.stdout)
            .matches("elders-1@1/")
            .count(),
        2
    );

    let change = r#"{"op":"withdraw_key","key":"elders-1"}"#;
    let created = run(
        Some(directory),
        &[
            "patch",
            "make",
            "--author",
            "amina",
            "--note",
            "lost phone",
            change,
        ],
    );
    assert_snapshot!(format_output(&created, None), @r#"
    exit 0
    {
      "base": 1,
      "author": "amina",
      "note": "lost phone",
      "changes": [
        {
          "op": "withdraw_key",
          "key": "elders-1"
        }
      ]
    }
    "#);
    let file = directory.join("withdraw.json");
    std::fs::write(&file, &created.stdout).unwrap();
    let file = file.display().to_string();
    let mut session = String::new();
    for arguments in [
        &["patch", "verify", &file][..],
        &["patch", "publish", &file],
        &["patch", "publish", &file],
        &["patch", "explain", "1"],
        &["patch", "explain", "9"],
        &["patch", "verify", &file],
        &["config", "follow", "--until", "2"],
        &["config", "show", "--at", "7"],
    ] {
        let output = run(Some(directory), arguments);
        let mut lines: Vec<String> = format_output(&output, Some(directory))
            .lines()
            .map(str::to_owned)
            .collect();
        if arguments[1] == "follow" {
            lines.retain(|line| line.starts_with("exit") || line.contains("version 2"));
            lines.sort();
        }
        let name = arguments[..2].join(" ");
        session.push_str(&format!("$ wasabistall {name}\n{}\n", lines.join("\n")));
    }
    assert_snapshot!(session, @"
    $ wasabistall patch verify
    exit 0
    would be accepted as version 2
    $ wasabistall patch publish
    exit 0
    entry 2 by amina (lost phone): accepted as version 2
    $ wasabistall patch publish
    exit 2
    entry 3 by amina (lost phone): rejected, version stays 2: based on another version; recreate it on the current version (1)
    $ wasabistall patch explain
    exit 0
    entry 1 by standin (first configuration): accepted as version 1
    $ wasabistall patch explain
    exit 1
    error: the log has no entry 9
        hint: the last entry is 3
    $ wasabistall patch verify
    exit 2
    would be rejected: based on another version; recreate it on the current version (1)
    $ wasabistall config follow
    exit 0
    instance-1: version 2
    instance-2: version 2
    instance-3: version 2
    $ wasabistall config show
    exit 1
    error: no such version
        hint: the newest is 2
    ");

    let refused = ask(&key);
    assert_eq!(refused.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&refused.stderr).contains("key_withdrawn"));
    let usage = run(Some(directory), &["usage", "--by", "team"]);
    assert_snapshot!(format_output(&usage, None), @"
    exit 0
    team    requests  unknown  prompt tokens  output tokens
    elders  7         0        8              5
    total   7         0        8              5
    ");
    let status = run(Some(directory), &["--format", "json", "status"]);
    let status: serde_json::Value = serde_json::from_slice(&status.stdout).unwrap();
    assert_eq!(status["instance-2"]["config_version"], 2);
}
