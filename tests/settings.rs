//! Tests of the daemon's settings: all invalid flags and variables are reported together by name.

use std::{fs, process::Command};

struct Run {
    code: Option<i32>,
    lines: Vec<String>,
}

fn run(flags: &[&str], variables: &[(&str, &str)]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marlrund"));
    command.args(flags).envs(variables.iter().copied());
    let output = command.output().unwrap();
    Run {
        code: output.status.code(),
        lines: String::from_utf8_lossy(&output.stderr)
            .lines()
            .map(str::to_owned)
            .collect(),
    }
}

/// Asserts that a run reports exactly these flags, each with its variable, and exits with code 2.
fn assert_findings(run: &Run, flags: &[&str]) {
    assert_eq!(run.code, Some(2), "{:?}", run.lines);
    for flag in flags {
        let variable = format!("MARLRUN_{}", flag.replace('-', "_").to_uppercase());
        let prefix = format!("marlrund: --{flag} ({variable}): ");
        let found = run.lines.iter().filter(|line| line.starts_with(&prefix));
        assert_eq!(found.count(), 1, "findings of {flag}: {:?}", run.lines);
    }
    assert_eq!(run.lines.len(), flags.len(), "{:?}", run.lines);
}

#[test]
fn settings_missing() {
    let flags = ["router", "domain", "listen", "peer", "platform"];
    assert_findings(&run(&[], &[]), &flags);
}

#[test]
fn settings_all_invalid_together() {
    let directory = tempfile::tempdir().unwrap();
    let empty = directory.path().join("empty");
    fs::write(&empty, "\n").unwrap();
    let absent = directory.path().join("absent");
    let (empty, absent) = (empty.to_str().unwrap(), absent.to_str().unwrap());
    let invalid = [
        ("router", "no spaces please"),
        ("domain", ""),
        ("listen", "localhost"),
        ("peer", "127.0.0.1"),
        ("health", "127.0.0.1:99999"),
        ("operator", "?"),
        ("operator-key-file", absent),
        ("fleet-key-file", empty),
        ("platform", "platform.example"),
        ("seeds", "127.0.0.1:1,nowhere"),
        ("base", absent),
        ("overlay", absent),
        ("max-body-bytes", "0"),
        ("max-connections", "many"),
        ("idle-timeout", "0s"),
        ("traffic-threads", "65"),
        ("drain-timeout", "soon"),
        ("fault-injection", "perhaps"),
        ("log-level", "loud"),
    ];
    let names = invalid.map(|(flag, _)| flag);
    let flags: Vec<_> = invalid
        .iter()
        .flat_map(|(flag, value)| [format!("--{flag}"), (*value).to_owned()])
        .collect();
    let flags: Vec<_> = flags.iter().map(String::as_str).collect();
    assert_findings(&run(&flags, &[]), &names);

    let variables: Vec<_> = invalid
        .iter()
        .map(|(flag, value)| {
            let name = format!("MARLRUN_{}", flag.replace('-', "_").to_uppercase());
            (name, *value)
        })
        .collect();
    let variables: Vec<_> = variables
        .iter()
        .map(|(name, value)| (name.as_str(), *value))
        .collect();
    assert_findings(&run(&[], &variables), &names);
}

#[test]
fn settings_conflicts_and_dependencies() {
    let variables = [
        ("MARLRUN_ROUTER", "east-1"),
        ("MARLRUN_DOMAIN", "east"),
        ("MARLRUN_LISTEN", "127.0.0.1:1"),
        ("MARLRUN_PEER", "127.0.0.1:1"),
        ("MARLRUN_SEEDS", "127.0.0.1:2"),
        ("MARLRUN_OPERATOR", "127.0.0.1:1"),
        ("MARLRUN_OVERLAY", "/dev/null"),
    ];
    let flags = ["peer", "operator", "overlay"];
    let run = run(&[], &variables);
    assert_eq!(run.code, Some(2), "{:?}", run.lines);
    for flag in flags {
        let prefix = format!("marlrund: --{flag} ");
        let found = run.lines.iter().any(|line| line.starts_with(&prefix));
        assert!(found, "no finding of {flag}: {:?}", run.lines);
    }
}

#[test]
fn settings_unknown_flag() {
    let run = run(&["--no-such-flag", "x"], &[]);
    assert_eq!(run.code, Some(2), "{:?}", run.lines);
    assert!(
        run.lines.iter().any(|line| line.contains("--no-such-flag")),
        "{:?}",
        run.lines
    );
}
