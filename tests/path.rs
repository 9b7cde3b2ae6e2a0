//! End-to-end requests across separate processes: three routers in two failure domains, targets and
//! the platform.

mod common;

use common::Fleet;

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&["alpha", "beta"]);
    fleet.start_platform();
    fleet.start_target(
        "engine-1",
        "assistant",
        "east",
        4,
        &["--token-interval", "2ms"],
    );
    fleet.start_target("panel-1", "panels", "west", 4, &[]);
    fleet.start_routers(&[("east-1", "east"), ("east-2", "east"), ("west-1", "west")]);
    fleet
}

#[test]
fn path_complete_streamed_and_refused() {
    let fleet = fleet();
    for router in ["east-1", "east-2", "west-1"] {
        let caller = fleet.caller(router, "alpha");

        let response = caller.complete("assistant", "hello", 20, false).unwrap();
        assert_eq!(
            (response.status, response.complete),
            (200, true),
            "{response:?}"
        );
        let answer: serde_json::Value = serde_json::from_str(&response.body).unwrap();
        assert_eq!(answer["usage"]["completion_tokens"], 20);

        let streamed = caller.complete("assistant", "hello", 20, true).unwrap();
        assert_eq!(
            (streamed.status, streamed.complete),
            (200, true),
            "{streamed:?}"
        );
        assert!(
            streamed.body.trim_end().ends_with("data: [DONE]"),
            "{streamed:?}"
        );
        let ids: Vec<_> = streamed
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .collect();
        let expected: Vec<_> = (1..=21).map(|id| id.to_string()).collect();
        assert_eq!(
            ids, expected,
            "each token and the last chunk must arrive once and in order: {streamed:?}"
        );

        let check_in = caller
            .send("POST", "/s/panels/rooms/7/check-in", &[], "{}")
            .unwrap();
        assert_eq!(
            (check_in.status, check_in.complete),
            (200, true),
            "{check_in:?}"
        );

        let unknown = caller.complete("nobody", "hello", 20, false).unwrap();
        assert_eq!(unknown.status, 404, "{unknown:?}");
        let problem: serde_json::Value = serde_json::from_str(&unknown.body).unwrap();
        assert_eq!(problem["outcome"], "not-run");
    }
}

#[test]
fn path_invalid_requests_refused() {
    let fleet = fleet();
    let authorized = fleet.caller("east-1", "alpha");
    let unauthorized = fleet.caller("east-1", "nobody");
    let path = "/v1/chat/completions";
    let cases = [
        (unauthorized.send("POST", path, &[], "{}"), 401),
        (authorized.send("GET", path, &[], ""), 405),
        (authorized.send("POST", path, &[], "not json"), 400),
        (authorized.send("POST", "/s/nothing/x", &[], ""), 404),
        (authorized.send("GET", "/elsewhere", &[], ""), 404),
        (
            authorized.send("POST", "/s/panels/x", &[("marlrun-timeout-ms", "soon")], ""),
            400,
        ),
        (
            authorized.send("POST", "/s/panels/x", &[("idempotency-key", "")], ""),
            400,
        ),
    ];
    for (answer, status) in cases {
        let answer = answer.unwrap();
        assert_eq!(answer.status, status, "{answer:?}");
        assert_eq!(
            answer.header("marlrun-outcome"),
            Some("not-run"),
            "{answer:?}"
        );
    }
    let answer = authorized.complete("assistant", "hello", 3, false).unwrap();
    assert_eq!(
        answer.status, 200,
        "invalid requests affect others: {answer:?}"
    );
}
