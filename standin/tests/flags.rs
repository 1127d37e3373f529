//! Command-line flags of the simulated servers.

use std::process::Command;

use insta::assert_snapshot;

#[test]
fn unknown_subcommand_is_rejected() {
    let output = Command::new(env!("CARGO_BIN_EXE_wasabistall-standin"))
        .arg("nothing")
        .output()
        .unwrap();
    assert!(!output.status.success());
    assert_snapshot!(String::from_utf8_lossy(&output.stderr), @r#"unexpected argument: "nothing""#);
}
