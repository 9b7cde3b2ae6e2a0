//! Distribution of the configuration from the platform and between peers, in separate processes.

mod common;

use common::{Fleet, wait_until};
use nix::sys::signal::Signal;
use std::process::Output;

const ROUTERS: [(&str, &str); 3] = [("east-1", "east"), ("east-2", "east"), ("west-1", "west")];

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&["alpha"]);
    fleet.from_platform = true;
    fleet.start_platform();
    fleet.start_target("note-1", "notes", "east", 4, &[]);
    fleet.start_routers(&ROUTERS);
    fleet
}

fn apply(fleet: &Fleet, extra: &[&str]) -> Output {
    let base = fleet.base_file();
    let mut arguments = vec!["config", "apply", base.to_str().unwrap()];
    arguments.extend(extra);
    fleet.operate(&arguments)
}

fn config_version(fleet: &Fleet, router: &str) -> Option<u64> {
    let health = common::Caller::new(fleet.addresses[router].health, "");
    let page = health.send("GET", "/metrics", &[], "").ok()?;
    let line = page
        .body
        .lines()
        .find_map(|line| line.strip_prefix("marlrun_config_version "));
    line?.parse().ok()
}

fn inject_platform_fault(fleet: &Fleet, fault: &str) {
    let caller = common::Caller::new(fleet.platform.as_ref().unwrap().1, "");
    let answer = caller.send(
        "POST",
        "/faults",
        &[("content-type", "application/json")],
        fault,
    );
    let status = answer.unwrap().status;
    assert!(
        (200..300).contains(&status),
        "platform rejected the fault settings: status {status}"
    );
}

#[test]
fn distribution_in_force_at_every_router() {
    let mut fleet = fleet();
    let health = common::Caller::new(fleet.addresses["east-1"].health, "");
    wait_until("router without a configuration is not ready", || {
        let page = health.send("GET", "/readyz", &[], "");
        page.is_ok_and(|page| page.status == 503 && page.body.contains("no configuration"))
    });

    let applied = apply(&fleet, &["--wait", "20s"]);
    assert!(applied.status.success(), "{applied:?}");
    for (router, _) in ROUTERS {
        assert_eq!(config_version(&fleet, router), Some(1));
        let answer = fleet
            .caller(router, "alpha")
            .send("GET", "/s/notes/today", &[], "")
            .unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    fleet.declare("[workspaces.gamma]\n");
    let applied = apply(&fleet, &["--wait", "20s"]);
    assert!(applied.status.success(), "{applied:?}");
    for (router, _) in ROUTERS {
        assert_eq!(config_version(&fleet, router), Some(2));
    }
}

#[test]
fn distribution_two_operators_one_wins() {
    let mut fleet = fleet();
    assert!(apply(&fleet, &[]).status.success());
    fleet.declare("[workspaces.gamma]\n");
    assert!(apply(&fleet, &["--from", "1"]).status.success());
    fleet.declare("[workspaces.delta]\n");
    let lost = apply(&fleet, &["--from", "1"]);
    assert_eq!(lost.status.code(), Some(4), "{lost:?}");
    let output = String::from_utf8_lossy(&lost.stdout);
    assert!(output.contains('2') && output.contains("gamma"), "{lost:?}");
}

#[test]
fn distribution_restart_without_platform() {
    let mut fleet = fleet();
    assert!(apply(&fleet, &["--wait", "20s"]).status.success());
    fleet.declare("[workspaces.gamma]\n");
    assert!(apply(&fleet, &["--wait", "20s"]).status.success());
    inject_platform_fault(&fleet, r#"{"down": true}"#);
    fleet.signal("east-1", Signal::SIGKILL);
    fleet.routers.get_mut("east-1").unwrap().wait();
    fleet.start_router("east-1");
    wait_until(
        "restarted router fetches the configuration from its peers",
        || config_version(&fleet, "east-1") == Some(2),
    );
    let answer = fleet
        .caller("east-1", "alpha")
        .send("GET", "/s/notes/today", &[], "")
        .unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[test]
fn distribution_resumed_router_takes_higher_version() {
    let mut fleet = fleet();
    assert!(apply(&fleet, &["--wait", "20s"]).status.success());
    fleet.signal("west-1", Signal::SIGSTOP);
    fleet.declare("[workspaces.gamma]\n");
    assert!(apply(&fleet, &[]).status.success());
    wait_until("running router applies version 2", || {
        config_version(&fleet, "east-1") == Some(2)
    });
    inject_platform_fault(&fleet, r#"{"down": true}"#);
    fleet.signal("west-1", Signal::SIGCONT);
    wait_until("resumed router applies version 2", || {
        config_version(&fleet, "west-1") == Some(2)
    });
}
