//! The daemon's settings on the command line.

use std::process::Command;
use std::process::Output;

use spokelift_lib::settings::ALL;

fn spokeliftd(flags: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_spokeliftd"));
    command.args(flags).env("NO_COLOR", "1").env_remove("RUST_LOG");
    command.envs(variables.iter().copied());
    command.output().unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

const HASH: &str = "0000000000000000000000000000000000000000000000000000000000000000";

const GOOD: [&str; 13] = [
    "--check",
    "--id",
    "1",
    "--hall",
    "hall-1",
    "--peer-secret",
    "sixteen bytes it is",
    "--log",
    "127.0.0.1:1",
    "--boxes",
    "127.0.0.1:2",
    "--site-key-hash",
    HASH,
];

#[test]
fn good_settings_are_accepted() {
    let output = spokeliftd(&GOOD, &[]);
    assert!(output.status.success(), "{}", stderr(&output));
}

#[test]
fn three_wrong_settings_are_reported_at_once() {
    let mut flags = GOOD.to_vec();
    flags.extend(["--max-age-ms", "soon", "--peers", "2=127.0.0.1:7,2=127.0.0.1:8"]);
    let output = spokeliftd(&flags, &[("SPOKELIFT_CALL_ADDR", "localhost")]);
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(stderr(&output));
}

#[test]
fn a_flag_overrides_its_variable() {
    let mut flags = GOOD.to_vec();
    flags.extend(["--queue-limit", "5"]);
    let output = spokeliftd(&flags, &[("SPOKELIFT_QUEUE_LIMIT", "many")]);
    assert!(output.status.success(), "{}", stderr(&output));
}

#[test]
fn a_short_secret_is_rejected_and_not_shown() {
    let mut flags = GOOD.to_vec();
    flags[6] = "hush";
    let output = spokeliftd(&flags, &[]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("--peer-secret (SPOKELIFT_PEER_SECRET) is too short"));
    assert!(!stderr(&output).contains("hush"));
}

#[test]
fn help_lists_every_setting() {
    let output = spokeliftd(&["--help"], &[]);
    let help = String::from_utf8(output.stdout).unwrap();
    for setting in ALL {
        assert!(help.contains(&format!("--{}", setting.flag)), "{}", setting.flag);
    }
}

#[test]
fn the_readme_lists_every_setting_as_it_is() {
    let readme = include_str!("../../README.md");
    for setting in ALL {
        let default = match setting.default {
            None => "must be set".to_owned(),
            Some("") => "none".to_owned(),
            Some(default) => format!("`{default}`"),
        };
        let row = format!(
            "| `--{}` | `{}` | {default} | {} | {} |",
            setting.flag,
            setting.variable(),
            setting.accepted,
            setting.help,
        );
        assert!(readme.contains(&row), "{row}");
    }
}
