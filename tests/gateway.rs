//! End-to-end tests of the router process against simulated targets and a simulated platform store,
//! with failures of both, and process signals.

mod world;

use marlrun::clock;
use nix::sys::signal::Signal;
use std::{io::Read, thread, time::Duration};
use world::{
    Answer, Caller, Connection, Copy, FIRST_START_MS, Fault, KEY, Mode, OTHER_KEY, Repeater,
    Router, World, event, wait_for,
};

fn events(count: u64) -> String {
    (1..=count)
        .map(|n| format!("id: {n}\ndata: piece {n}\n\n"))
        .collect()
}

#[test]
fn request_served() {
    let world = World::open(1, 1);
    let router = Router::ready(&world.store, "r1");
    let plain = Caller::new(router.listen, "POST", "/book/x?y=1", "q1").body(b"hello");
    let answer = plain.call();
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(answer.body, "answer to q1");
    assert!(answer.header("x-marlrun-response-stamp").is_some());
    let run = world.runs_of("q1").remove(0);
    assert_eq!(
        (run.method.as_str(), run.path.as_str()),
        ("POST", "/book/x?y=1")
    );
    assert_eq!(&run.body[..], b"hello");
    assert_eq!(run.headers["x-marlrun-tenant"], "east-desk");
    assert!(!run.headers.contains_key("authorization"));

    let stream = Caller::stream(router.listen, "plan", "q2").call();
    assert_eq!((stream.status, stream.whole), (200, true));
    assert_eq!(stream.body, events(5));
}

#[test]
fn request_forged_headers() {
    let world = World::open(1, 1);
    let router = Router::ready(&world.store, "r1");
    let forged = [
        ("x-marlrun-tenant", "west-desk"),
        ("x-marlrun-hold", "h1"),
        ("x-marlrun-pin-ms", "4000"),
        ("x-marlrun-kv-backup", "127.0.0.1:1"),
        ("x-marlrun-expect-instance", "i-other"),
        ("x-marlrun-expect-version", "7"),
        ("kv-from", "127.0.0.1:1/x"),
        ("kv-fetch", "127.0.0.1:1"),
    ];
    let caller = Caller::stream(router.listen, "plan", "q1");
    let caller = forged.iter().fold(caller, |c, (n, v)| c.with(n, v));
    assert_eq!(caller.call().status, 200);
    let run = world.runs_of("q1").remove(0);
    assert_eq!(run.headers["x-marlrun-tenant"], "east-desk");
    assert_eq!(
        run.headers["x-marlrun-expect-instance"],
        run.target.as_str()
    );
    for (name, _) in &forged[1..] {
        let kept = run
            .headers
            .get(*name)
            .filter(|_| !name.contains("expect-instance"));
        assert_eq!(kept, None, "{name}");
    }
}

#[test]
fn request_keys_and_routes() {
    let world = World::open(0, 1);
    let router = Router::ready(&world.store, "r1");
    let call = |path: &str| Caller::new(router.listen, "GET", path, "q");
    let status = |caller: Caller| caller.call().status;
    assert_eq!(status(call("/look/a")), 200);
    assert_eq!(status(call("/lookup/a")), 404);
    assert_eq!(status(call("/look/a").with("host", "other.example")), 404);
    assert_eq!(status(call("/look/a").without("authorization")), 401);
    assert_eq!(
        status(call("/look/a").with("authorization", "Bearer wrong")),
        401
    );
    let other = call("/look/a").with("authorization", &format!("Bearer {OTHER_KEY}"));
    assert_eq!(status(other), 200);
    let tenants: Vec<_> = world.apps[0].runs();
    assert_eq!(tenants[1].headers["x-marlrun-tenant"], "west-desk");
}

#[test]
fn request_too_large() {
    let world = World::open(0, 1);
    let router = Router::ready(&world.store, "r1");
    let large = Caller::new(router.listen, "POST", "/book/x", "q1").body(&[b'x'; 70_000]);
    assert_eq!(large.call().status, 413);
    assert!(world.runs_of("q1").is_empty());
}

#[test]
fn configuration_unknown() {
    let world = World::open(0, 1);
    world.store.remove("op", "config");
    let router = Router::spawn(&world.store, "r1");
    wait_for("the router listens", || router.page("/healthz").is_some());
    let answer = Caller::new(router.listen, "GET", "/look/a", "q1").call();
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(!router.is_ready());
    world.store.put("op", "config", &world::configuration(3));
    wait_for("the router is ready", || router.is_ready());
}

#[test]
fn configuration_older_version() {
    let world = World::open(0, 1);
    let router = Router::ready(&world.store, "r1");
    let mut newer = world::configuration(5);
    newer["routes"][3]["prefix"] = "/seek/".into();
    world.store.put("op", "config", &newer);
    let status = |path| Caller::new(router.listen, "GET", path, "q").call().status;
    wait_for("the new route", || status("/seek/a") == 200);
    assert_eq!(status("/look/a"), 404);
    world.store.put("op", "config", &world::configuration(4));
    world
        .store
        .put_bytes("op", "config", b"not a configuration".to_vec());
    thread::sleep(Duration::from_millis(300));
    assert_eq!(status("/seek/a"), 200);
    wait_for("a log line", || {
        router.log().contains("configuration unusable")
    });
}

#[test]
fn configuration_after_outage() {
    for fault in [Fault::Busy, Fault::Silent, Fault::Reset] {
        let world = World::open(0, 1);
        let router = Router::ready(&world.store, "r1");
        world.store.fail(fault);
        let mut newer = world::configuration(5);
        newer["tenants"][1]["api-keys"] = serde_json::json!([]);
        world.store.put("op", "config", &newer);
        thread::sleep(Duration::from_millis(300));
        let call = Caller::new(router.listen, "GET", "/look/a", "q1");
        assert_eq!(call.call().status, 200, "response during {fault:?}");
        world.store.fail(Fault::None);
        let revoked = call.with("authorization", &format!("Bearer {OTHER_KEY}"));
        wait_for("the key is revoked", || revoked.call().status == 401);
    }
}

#[test]
fn change_history_lost() {
    let world = World::open(0, 1);
    let router = Router::ready(&world.store, "r1");
    world.store.forget();
    world.store.put("op", "config", &world::configuration(9));
    wait_for("version 9", || {
        router
            .page("/metrics")
            .is_some_and(|page| page.contains("marlrun_config_version 9"))
    });
    assert_eq!(
        Caller::new(router.listen, "GET", "/look/a", "q")
            .call()
            .status,
        200
    );
}

#[test]
fn target_entries_malformed() {
    let world = World::open(0, 1);
    world
        .store
        .put_bytes("servers", "i-noise", vec![0xff, 0x00]);
    world.store.put(
        "servers",
        "i-half",
        &serde_json::json!({ "service": "app" }),
    );
    let odd = serde_json::json!({
        "service": "app", "address": "127.0.0.1:9", "zone": "east", "slots": 6,
        "state": "resting", "born": 1, "seq": 1,
    });
    world.store.put("servers", "i-odd", &odd);
    let router = Router::ready(&world.store, "r1");
    for number in 0..10 {
        let name = format!("q{number}");
        let answer = Caller::new(router.listen, "POST", "/book/x", &name).call();
        assert_eq!(answer.status, 200);
    }
}

/// Waits for a log line about an entry of a list.
fn wait_for_entry(router: &Router, message: &str, entry: &str) {
    let named = format!("\"entry\":\"{entry}\"");
    wait_for(message, || {
        let log = router.log();
        let mut lines = log.lines();
        lines.any(|line| line.contains(message) && line.contains(&named))
    });
}

/// Returns an entry of a target of which one field is replaced.
fn target_entry(field: &str, value: &str) -> String {
    let fields = [
        ("service", "\"app\""),
        ("address", "\"127.0.0.1:9\""),
        ("zone", "\"east\""),
        ("version", "\"v1\""),
        ("slots", "6"),
        ("state", "\"ready\""),
        ("cold-left-ms", "0"),
        ("born", "1"),
        ("seq", "1"),
    ];
    let fields = fields.map(|(name, usual)| {
        let value = if name == field { value } else { usual };
        format!("\"{name}\":{value}")
    });
    format!("{{{}}}", fields.join(","))
}

#[test]
fn target_entry_out_of_range_counts_as_target() {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let flat = "[".repeat(100) + &"]".repeat(100);
    let digits = "9".repeat(5_000);
    let long = format!("\"{}\"", "v".repeat(10_000));
    let entries = [
        ("address", "\"127.0.0.1:0\""),
        ("address", "\"127.0.0.1:65536\""),
        ("address", "\"0.0.0.0:80\""),
        ("address", "\"999.0.0.1:80\""),
        ("address", "\"239.1.1.1:80\""),
        ("slots", "0"),
        ("slots", "4294967295"),
        ("slots", "-1"),
        ("slots", &digits),
        ("born", &digits),
        ("born", "NaN"),
        ("seq", "1e400"),
        ("version", &nested),
        ("version", &flat),
        ("version", &long),
        ("zone", &nested),
    ];
    let world = World::open(0, 1);
    let mut router = Router::ready(&world.store, "r1");
    for (number, (field, value)) in entries.iter().enumerate() {
        let entry = target_entry(field, value).into_bytes();
        world
            .store
            .put_bytes("servers", &format!("i-odd{number}"), entry);
    }
    for number in 0..entries.len() {
        wait_for_entry(&router, "list entry rejected", &format!("i-odd{number}"));
    }
    let log = router.log();
    let live = log.lines().filter(|line| line.contains("targets changed"));
    let expected = ["\"live\":0,", "\"live\":1,"];
    for line in live {
        assert!(expected.iter().any(|live| line.contains(live)), "{line}");
    }
    let answer = Caller::new(router.listen, "POST", "/book/x", "q1").call();
    assert_eq!(answer.status, 200);
    assert_eq!(router.ended(), None);
}

/// Guards against an entry that is lost, or a router that stops, because of a warm-up time that nobody can mean. Such
/// entries were passed over as a whole before; the target is used now.
#[test]
fn target_entry_with_unreadable_warm_up_is_used() {
    let world = World::open(0, 1);
    let mut router = Router::ready(&world.store, "r1");
    let values = [
        "1e308",
        "1e999",
        "NaN",
        "-Infinity",
        "-1",
        "\"soon\"",
        "null",
        "[]",
        "86400000",
    ];
    for (number, value) in values.iter().enumerate() {
        let entry = target_entry("cold-left-ms", value).into_bytes();
        let name = format!("i-odd{number}");
        world.store.put_bytes("servers", &name, entry);
    }
    for number in 0..values.len() {
        wait_for_entry(
            &router,
            "warm-up time unreadable",
            &format!("i-odd{number}"),
        );
    }
    assert!(!router.log().contains("list entry rejected"));
    let live = format!("\"live\":{},", values.len() + 1);
    wait_for("all entries are used", || router.log().contains(&live));
    assert_eq!(router.ended(), None);
}

#[test]
fn router_entry_out_of_range_is_listed() {
    let world = World::open(0, 1);
    let entries = [
        r#"{"domain":"east","peer":"10.0.0.1:0","millicores":250}"#,
        r#"{"domain":"east","peer":"0.0.0.0:7400","millicores":250}"#,
        r#"{"domain":"east","peer":"10.0.0.1:74000","millicores":250}"#,
        r#"{"domain":"east","peer":"10.0.0.1:7400","millicores":4294967295}"#,
    ];
    for (number, entry) in entries.iter().enumerate() {
        let name = format!("odd{number}");
        world
            .store
            .put_bytes("routers", &name, entry.as_bytes().into());
    }
    let router = Router::ready(&world.store, "r1");
    for number in 0..entries.len() {
        wait_for_entry(&router, "list entry rejected", &format!("odd{number}"));
    }
    assert!(!router.log().contains("\"peer\":\"odd"), "{}", router.log());
}

#[test]
fn target_leaving() {
    let world = World::open(0, 2);
    let router = Router::ready(&world.store, "r1");
    world.apps[0].register("draining");
    world.apps[1].unregister();
    let call = || Caller::new(router.listen, "GET", "/look/a", "q").call();
    wait_for("no target is left", || call().status == 503);
    let before = world.apps[0].runs().len() + world.apps[1].runs().len();
    let answer = call();
    assert!(answer.header("retry-after").is_some());
    assert!(answer.after < Duration::from_secs(1), "refused at once");
    assert_eq!(
        world.apps[0].runs().len() + world.apps[1].runs().len(),
        before
    );
    world.apps[0].register("ready");
    wait_for("the target is used again", || call().status == 200);
}

#[test]
fn target_full() {
    let world = World::open(0, 2);
    let router = Router::ready(&world.store, "r1");
    world.apps[0].behave(Mode::Full);
    for number in 0..6 {
        let name = format!("q{number}");
        let answer = Caller::new(router.listen, "POST", "/book/x", &name).call();
        assert_eq!(answer.status, 200, "the other target runs it");
        assert_eq!(world.runs_of(&name).len(), 1);
    }
    world.apps[1].behave(Mode::Full);
    let answer = Caller::new(router.listen, "POST", "/book/x", "q9").call();
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(world.runs_of("q9").is_empty());
}

#[test]
fn target_announces_leaving() {
    // The announcement counts whatever the response is.
    for mode in [Mode::Good, Mode::Failing, Mode::Full] {
        let world = World::open(0, 2);
        let router = Router::ready(&world.store, "r1");
        let call = |name: &str| Caller::new(router.listen, "GET", "/look/a", name).call();
        let (leaver, other) = (&world.apps[0], &world.apps[1]);
        let refused = || (0..6).for_each(|_| assert_eq!(call("q").status, 503, "{mode:?}"));
        leaver.behave(mode);
        leaver.announce_leaving(true);
        wait_for("the announcement", || {
            assert_eq!(call("q1").status, 200, "{mode:?}");
            !leaver.arrivals().is_empty()
        });
        other.behave(Mode::Full);
        refused();
        leaver.register("draining");
        thread::sleep(Duration::from_millis(200));
        leaver.register("ready");
        thread::sleep(Duration::from_millis(200));
        refused();
        leaver.unregister();
        thread::sleep(Duration::from_millis(200));
        leaver.register("ready");
        thread::sleep(Duration::from_millis(200));
        refused();
        assert_eq!(leaver.arrivals().len(), 1, "{mode:?}");
        assert_eq!(router.log().matches("target leaving").count(), 1);
        leaver.behave(Mode::Good);
        leaver.announce_leaving(false);
        leaver.register_run("ready", FIRST_START_MS + 1);
        wait_for("the later run is used", || call("q2").status == 200);
    }
}

#[test]
fn target_announces_leaving_all() {
    let world = World::open(0, 1);
    let router = Router::ready(&world.store, "r1");
    world.apps[0].announce_leaving(true);
    let call = || Caller::new(router.listen, "GET", "/look/a", "q").call();
    let last = call();
    assert_eq!(last.status, 200);
    assert_eq!(last.header("server-leaving"), Some("1"), "{last:?}");
    let refusal = call();
    assert_eq!(refusal.status, 503);
    assert!(refusal.header("retry-after").is_some());
    assert_eq!(refusal.header("server-leaving"), None, "{refusal:?}");
    assert!(refusal.after < Duration::from_secs(1), "{refusal:?}");
    assert_eq!(world.apps[0].arrivals().len(), 1);
}

#[test]
fn target_announces_leaving_in_stream() {
    let world = World::open(2, 0);
    let router = Router::ready(&world.store, "r1");
    let listen = router.listen;
    for engine in &world.engines {
        engine.pace(40, Duration::from_millis(40));
        engine.announce_leaving(true);
    }
    let streams: Vec<_> = (0..2)
        .map(|number| {
            let name = format!("q{number}");
            let stream = thread::spawn(move || Caller::stream(listen, "plan", &name).call());
            wait_for("the announcement", || {
                router.log().matches("target leaving").count() == number + 1
            });
            stream
        })
        .collect();
    let refusal = Caller::stream(listen, "plan", "q2").call();
    assert_eq!(refusal.status, 503, "both engines leave: {refusal:?}");
    for stream in streams {
        let answer = stream.join().unwrap();
        assert_eq!((answer.status, answer.whole), (200, true));
        assert_eq!(answer.body, events(40), "what runs ends normally");
    }
    for engine in &world.engines {
        assert_eq!(engine.arrivals().len(), 1);
    }
}

#[test]
fn target_pauses() {
    let world = World::open(0, 2);
    let router = Router::ready(&world.store, "r1");
    let call = || Caller::new(router.listen, "POST", "/book/x", "q").call();
    let (paused, other) = (&world.apps[0], &world.apps[1]);
    paused.behave(Mode::Pausing("2.5"));
    wait_for("the refusal", || {
        assert_eq!(call().status, 200, "the other target runs it");
        !paused.arrivals().is_empty()
    });
    paused.behave(Mode::Good);
    other.behave(Mode::Full);
    let refused = paused.arrivals()[0];
    // Later requests may wait for the end of the pause.
    while refused.elapsed() < Duration::from_millis(1_500) {
        let refusal = call();
        assert_eq!(refusal.status, 503, "{refusal:?}");
        assert!(refusal.after < Duration::from_secs(1), "{refusal:?}");
        thread::sleep(Duration::from_millis(30));
    }
    assert_eq!(paused.arrivals().len(), 1, "requests in the pause");
    wait_for("it is used again", || call().status == 200);
    let back = paused.arrivals()[1].duration_since(refused);
    assert!(back >= Duration::from_millis(2_500), "{back:?}");
    assert!(back < Duration::from_millis(4_500), "{back:?}");
    assert_eq!(router.log().matches("target paused").count(), 1);
}

#[test]
fn target_pauses_all() {
    let world = World::open(0, 2);
    let router = Router::ready(&world.store, "r1");
    let call = |name: &str| Caller::new(router.listen, "POST", "/book/x", name).call();
    for app in &world.apps {
        app.behave(Mode::Pausing("2.9"));
    }
    assert_eq!(call("q1").status, 503);
    let arrivals = world.apps.iter().flat_map(|app| app.arrivals());
    let first = arrivals.min().unwrap();
    let refusal = call("q2");
    assert_eq!(refusal.status, 503);
    assert!(refusal.after < Duration::from_secs(1), "{refusal:?}");
    let after: f64 = refusal.header("retry-after").unwrap().parse().unwrap();
    // The value is rounded down to milliseconds.
    let least = 2.899 - first.elapsed().as_secs_f64();
    assert!((least..=2.9).contains(&after), "{after} s");
    let arrivals = world.apps.iter().map(|app| app.arrivals().len());
    assert_eq!(arrivals.sum::<usize>(), 2, "one refusal of each target");
    for app in &world.apps {
        app.behave(Mode::Good);
        app.register_run("ready", FIRST_START_MS + 1);
    }
    wait_for("later runs are used", || call("q3").status == 200);
    assert!(first.elapsed() < Duration::from_millis(2_900));
}

#[test]
fn target_pauses_invalid() {
    let world = World::open(0, 1);
    let router = Router::ready(&world.store, "r1");
    let call = || Caller::new(router.listen, "POST", "/book/x", "q").call();
    let values = [
        "0",
        "-3",
        "NaN",
        "inf",
        "1e999",
        "soon",
        "",
        "Fri, 04 Dec 2026",
    ];
    for value in values {
        world.apps[0].behave(Mode::Pausing(value));
        assert_eq!(call().status, 503, "{value:?}");
        world.apps[0].behave(Mode::Good);
        assert_eq!(call().status, 200, "no pause after {value:?}");
    }
    wait_for("log lines", || {
        // All but the zero, which asks for no pause.
        router.log().matches("pause unreadable").count() == values.len() - 1
    });
    world.apps[0].behave(Mode::Pausing("1e18"));
    assert_eq!(call().status, 503);
    wait_for("a log line", || {
        let log = router.log();
        log.contains("target paused") && log.contains("\"applied_ms\":300000")
    });
}

#[test]
fn target_answer_lost() {
    let world = World::open(0, 2);
    let router = Router::ready(&world.store, "r1");
    for app in &world.apps {
        app.behave(Mode::Lost);
    }
    let once = Caller::new(router.listen, "POST", "/book/x", "q1").call();
    assert_eq!(once.status, 502, "it may have run");
    assert_eq!(world.runs_of("q1").len(), 1);
    let safe = Caller::new(router.listen, "GET", "/look/x", "q2").call();
    assert_eq!(safe.status, 502);
    assert_eq!(world.runs_of("q2").len(), 2);
    for app in &world.apps {
        app.behave(Mode::Good);
    }
    wait_for("targets are used again", || {
        Caller::new(router.listen, "GET", "/look/x", "q3")
            .call()
            .status
            == 200
    });
}

#[test]
fn target_failing() {
    let world = World::open(0, 2);
    let router = Router::ready(&world.store, "r1");
    world.apps[0].behave(Mode::Failing);
    for number in 0..6 {
        let name = format!("q{number}");
        let safe = Caller::new(router.listen, "GET", "/look/x", &name).call();
        assert_eq!(safe.status, 200, "the other target answers");
    }
    world.apps[1].behave(Mode::Failing);
    let once = Caller::new(router.listen, "POST", "/book/x", "q9").call();
    assert_eq!((once.status, once.body.as_str()), (500, "out of order"));
    assert!(once.header("x-marlrun-response-stamp").is_some());
    assert_eq!(world.runs_of("q9").len(), 1);
}

#[test]
fn target_invalid_responses() {
    for mode in [Mode::Crossed, Mode::Unsigned] {
        let world = World::open(0, 1);
        let router = Router::ready(&world.store, "r1");
        world.apps[0].behave(mode);
        let answer = Caller::new(router.listen, "POST", "/book/x", "q1").call();
        assert_eq!(answer.status, 502, "{mode:?}");
        assert!(!answer.body.contains("answer to"));
    }
}

#[test]
fn target_address_reused() {
    let world = World::open(0, 2);
    let router = Router::ready(&world.store, "r1");
    // The first target's entry now has the address of the second one, which refuses requests that
    // are not meant for it.
    let entry = serde_json::json!({
        "service": "app", "address": world.apps[1].address().to_string(), "zone": "east",
        "slots": 6, "state": "ready", "born": 1_800_000_000_000_u64, "seq": 1,
    });
    world.store.put("servers", &world.apps[0].name, &entry);
    thread::sleep(Duration::from_millis(200));
    for number in 0..6 {
        let name = format!("q{number}");
        let answer = Caller::new(router.listen, "POST", "/book/x", &name).call();
        assert_eq!(answer.status, 200);
        let runs = world.runs_of(&name);
        assert_eq!(runs.len(), 1);
        assert_eq!(runs[0].target, world.apps[1].name);
    }
}

#[test]
fn stream_resumed() {
    for mode in [Mode::CutAfter(3), Mode::StallAfter(2)] {
        let world = World::open(2, 0);
        let router = Router::ready(&world.store, "r1");
        for engine in &world.engines {
            engine.pace(8, Duration::from_millis(5));
        }
        world.engines[0].behave(mode);
        for number in 0..4 {
            let name = format!("q{number}");
            let answer = Caller::stream(router.listen, "plan", &name).call();
            assert_eq!(
                (answer.status, answer.whole),
                (200, true),
                "{mode:?} {answer:?}"
            );
            assert_eq!(answer.body, events(8), "{mode:?}");
        }
    }
}

/// Time for which a healthy target may be silent within a stream.
const SILENCE: Duration = Duration::from_millis(1_250);

/// Sends streams to engines that are all silent for a while after some events, while new versions
/// of the configuration come into force, and checks that each runs once and is whole.
fn stream_through_silence(engines: usize, streams: usize, after: u64) {
    let world = World::open(engines, 0);
    let router = Router::ready(&world.store, "r1");
    for engine in &world.engines {
        engine.pace(8, Duration::from_millis(5));
        engine.behave(Mode::PauseAfter(after, SILENCE));
    }
    let listen = router.listen;
    thread::scope(|scope| {
        let stream = |number| move || Caller::stream(listen, "plan", &format!("q{number}")).call();
        let running = (0..streams).map(|number| scope.spawn(stream(number)));
        let running: Vec<_> = running.collect();
        for version in 2..8 {
            thread::sleep(Duration::from_millis(200));
            let configuration = world::configuration(version);
            world.store.put("op", "config", &configuration);
        }
        for (number, stream) in running.into_iter().enumerate() {
            let answer = stream.join().unwrap();
            assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
            assert_eq!(answer.body, events(8));
            let runs = world.runs_of(&format!("q{number}")).len();
            assert_eq!(runs, 1, "q{number}: {}", router.log());
        }
    });
}

#[test]
fn stream_whole_after_silence_of_only_target() {
    stream_through_silence(1, 3, 2);
}

#[test]
fn stream_whole_after_silence_of_all_targets() {
    stream_through_silence(2, 12, 2);
}

#[test]
fn stream_runs_once_if_silent_before_first_event() {
    stream_through_silence(2, 4, 0);
}

/// Sends a stream to an engine that is silent for 1.8 s after some events, beside one that does not
/// take the request, and checks that the stream is whole.
fn stream_beside_unusable(world: &World, after: u64) {
    let router = Router::ready(&world.store, "r1");
    world.engines[0].pace(8, Duration::from_millis(5));
    world.engines[0].behave(Mode::PauseAfter(after, Duration::from_millis(1_800)));
    let answer = Caller::stream(router.listen, "plan", "q1").call();
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(answer.body, events(8));
    let runs = world.runs_of("q1");
    assert_eq!(runs.len(), 1);
    assert!(!runs[0].dropped);
}

/// Registers an engine whose address refuses connections.
fn register_unreachable(world: &World) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let entry = serde_json::json!({
        "service": "llm", "address": listener.local_addr().unwrap().to_string(), "zone": "east",
        "slots": 8, "state": "ready", "born": 1_700_000_000_000_u64, "seq": 1,
    });
    world.store.put("servers", "i-llm9", &entry);
}

#[test]
fn stream_whole_if_next_target_unreachable() {
    let world = World::open(1, 0);
    register_unreachable(&world);
    stream_beside_unusable(&world, 2);
}

#[test]
fn stream_whole_if_next_target_unreachable_before_first_event() {
    let world = World::open(1, 0);
    register_unreachable(&world);
    stream_beside_unusable(&world, 0);
}

#[test]
fn stream_whole_if_next_target_full() {
    let world = World::open(2, 0);
    world.engines[1].behave(Mode::Full);
    stream_beside_unusable(&world, 2);
}

#[test]
fn stream_runs_once_if_router_was_paused() {
    let world = World::open(2, 0);
    let router = Router::ready(&world.store, "r1");
    for engine in &world.engines {
        engine.pace(100, Duration::from_millis(30));
    }
    let listen = router.listen;
    thread::scope(|scope| {
        let stream = |number| move || Caller::stream(listen, "plan", &format!("q{number}")).call();
        let running = (0..6).map(|number| scope.spawn(stream(number)));
        let running: Vec<_> = running.collect();
        thread::sleep(Duration::from_millis(500));
        router.signal(Signal::SIGSTOP);
        thread::sleep(Duration::from_millis(1_700));
        router.signal(Signal::SIGCONT);
        for (number, stream) in running.into_iter().enumerate() {
            assert_eq!(stream.join().unwrap().body, events(100));
            assert_eq!(world.runs_of(&format!("q{number}")).len(), 1);
        }
    });
}

#[test]
fn stream_resumed_stays_while_events_arrive() {
    let world = World::open(3, 0);
    let router = Router::ready(&world.store, "r1");
    for engine in &world.engines {
        engine.pace(20, Duration::from_millis(100));
    }
    world.engines[0].behave(Mode::CutAfter(2));
    let answer = Caller::stream(router.listen, "plan", "q1").call();
    assert_eq!((answer.whole, answer.body), (true, events(20)));
    let targets: Vec<String> = world
        .runs_of("q1")
        .into_iter()
        .map(|run| run.target)
        .collect();
    assert_eq!(targets.len(), 2, "the second target was left: {targets:?}");
}

#[test]
fn stream_cut_and_not_resumable() {
    let world = World::open(1, 0);
    let router = Router::ready(&world.store, "r1");
    world.engines[0].behave(Mode::CutAfter(3));
    let answer = Caller::stream(router.listen, "sum", "q1").call();
    assert_eq!(answer.body, events(3));
    assert!(!answer.whole, "a truncated stream must not look complete");
    assert_eq!(world.runs_of("q1").len(), 1);
    wait_for("a log line", || router.log().contains("answer cut"));
}

#[test]
fn stream_resumed_by_caller() {
    let world = World::open(1, 0);
    let router = Router::ready(&world.store, "r1");
    let caller = Caller::stream(router.listen, "plan", "q1").with("last-event-id", "3");
    let answer = caller.call();
    assert_eq!(
        answer.body,
        "id: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"
    );
    assert!(answer.whole);
}

#[test]
fn caller_leaves() {
    let world = World::open(1, 1);
    let router = Router::ready(&world.store, "r1");
    world.engines[0].pace(1_000, Duration::from_millis(20));
    let mut stream = Caller::stream(router.listen, "plan", "q1").open();
    stream.read_exact(&mut [0; 64]).unwrap();
    drop(stream);
    wait_for("the stream's run ends", || world.engines[0].running() == 0);
    world.apps[0].hold(true);
    let stream = Caller::new(router.listen, "GET", "/look/x", "q2").open();
    wait_for("the request runs", || world.apps[0].running() == 1);
    drop(stream);
    wait_for("the request's run ends", || world.apps[0].running() == 0);
}

#[test]
fn deadline_passes() {
    let world = World::open(0, 1);
    let router = Router::ready(&world.store, "r1");
    world.apps[0].behave(Mode::Mute);
    let caller = Caller::new(router.listen, "POST", "/book/x", "q1");
    let answer = caller.with("x-marlrun-deadline-ms", "400").call();
    assert_eq!(answer.status, 504);
    assert!(answer.after >= Duration::from_millis(380));
    let run = world.runs_of("q1").remove(0);
    let left: u64 = run.headers["x-marlrun-deadline-ms"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(left <= 400);
}

/// A router that waits for later events before it passes on the first ones delays callers.
#[test]
fn stream_events_arrive_as_they_are_sent() {
    const EVENTS: u64 = 6;
    const GAP: Duration = Duration::from_millis(250);
    let world = World::open(1, 0);
    let router = Router::ready(&world.store, "r1");
    world.engines[0].pace(EVENTS, GAP);
    for (route, last) in [("plan", None), ("sum", None), ("plan", Some(2))] {
        let mut caller = Caller::stream(router.listen, route, &format!("q-{route}-{last:?}"));
        if let Some(last) = last {
            caller = caller.with("last-event-id", &last.to_string());
        }
        let mut stream = caller.open();
        let began = clock::now();
        let (mut text, mut bytes) = (String::new(), [0; 4_096]);
        let first = last.unwrap_or(0) + 1;
        for (number, place) in (first..=EVENTS).zip(1..) {
            while !text.contains(&event(number)) {
                let count = stream.read(&mut bytes).unwrap();
                assert!(count > 0, "{route} after {last:?}: {text}");
                text += str::from_utf8(&bytes[..count]).unwrap();
            }
            let elapsed = Duration::from(clock::now().since(began));
            let next = GAP * (place + 1);
            assert!(
                elapsed < next,
                "event {number} of {route} after {last:?}: {elapsed:?}"
            );
        }
    }
}

#[test]
fn stop_graceful() {
    let world = World::open(1, 1);
    let mut router = Router::ready(&world.store, "r1");
    world.engines[0].pace(60, Duration::from_millis(40));
    let listen = router.listen;
    let stream = thread::spawn(move || Caller::stream(listen, "plan", "q1").call());
    wait_for("the stream runs", || world.engines[0].running() == 1);
    router.signal(Signal::SIGTERM);
    wait_for("not ready", || !router.is_ready());
    let late = Caller::new(listen, "POST", "/book/x", "q2").call();
    assert_eq!(
        late.status, 200,
        "the load balancer may not have noticed yet"
    );
    let answer: Answer = stream.join().unwrap();
    assert_eq!(answer.body, events(60));
    assert!(answer.whole);
    wait_for("the router ends", || router.ended() == Some(0));
    assert!(world.store.get("routers", "r1").is_none());
}

#[test]
fn stop_incomplete_request_heads() {
    use std::io::Write;
    let world = World::open(0, 1);
    let mut router = Router::ready(&world.store, "r1");
    let mut open = Vec::new();
    for _ in 0..100 {
        let mut stream = std::net::TcpStream::connect(router.listen).unwrap();
        stream.write_all(b"GET /x HT").unwrap();
        open.push(stream);
    }
    router.signal(Signal::SIGTERM);
    wait_for("the router ends", || router.ended() == Some(0));
}

#[test]
fn reload_keeps_serving() {
    let world = World::open(0, 1);
    let mut router = Router::ready(&world.store, "r1");
    router.signal(Signal::SIGHUP);
    wait_for("a log line", || {
        router.log().contains("settings read again")
    });
    std::fs::write(router.settings_path(), "{").unwrap();
    router.signal(Signal::SIGHUP);
    wait_for("a log line", || router.log().contains("settings unusable"));
    let answer = Caller::new(router.listen, "GET", "/look/a", "q")
        .with("authorization", &format!("Bearer {KEY}"));
    assert_eq!(answer.call().status, 200);
    assert_eq!(router.ended(), None);
}

#[test]
fn reload_during_start() {
    let world = World::open(0, 1);
    // The first address is bound long before the router is ready; each start is a new race.
    for start in 0..20 {
        let mut router = Router::spawn(&world.store, "r1");
        while !router.listens() {
            assert_eq!(router.ended(), None, "start {start}");
        }
        router.signal(Signal::SIGHUP);
        wait_for("a log line", || {
            assert_eq!(router.ended(), None, "start {start}");
            router.log().contains("settings read again")
        });
    }
}

#[test]
fn stop_requests_before_close() {
    let world = World::open(0, 1);
    let mut router = Router::ready(&world.store, "r1");
    let limit = Duration::from_secs(5);
    let listen = router.listen;
    let mut kept: Vec<_> = (0..16)
        .map(|_| Connection::open(listen, limit).unwrap())
        .collect();
    for connection in &mut kept {
        let reply = connection.call(&Caller::new(listen, "GET", "/look/x", "before"));
        assert_eq!(reply.answer.unwrap().status, 200);
    }
    router.signal(Signal::SIGTERM);
    wait_for("not ready", || !router.is_ready());
    // The process gets no processor time from shortly before it closes idle connections; requests
    // arrive meanwhile, on these and on new ones.
    thread::sleep(Duration::from_millis(2_000));
    router.signal(Signal::SIGSTOP);
    let fresh = (0..16).map(|_| Connection::open(listen, limit).unwrap());
    let connections: Vec<_> = kept.into_iter().chain(fresh).collect();
    let callers: Vec<_> = connections
        .into_iter()
        .enumerate()
        .map(|(index, mut connection)| {
            thread::spawn(move || {
                let caller = Caller::new(listen, "POST", "/book/x", &format!("q{index}"));
                connection.call(&caller)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(700));
    router.signal(Signal::SIGCONT);
    let replies = callers.into_iter().map(|caller| caller.join().unwrap());
    let statuses: Vec<_> = replies
        .map(|reply| reply.answer.filter(|a| a.whole).map(|a| a.status))
        .collect();
    // A router that was held up may refuse.
    let answered = |status: &Option<u16>| matches!(status, Some(200 | 503));
    assert!(statuses.iter().all(answered), "{statuses:?}");
    wait_for("the router ends", || router.ended() == Some(0));
}

#[test]
fn stop_late_request() {
    use std::io::Write;
    let world = World::open(0, 1);
    let mut router = Router::ready(&world.store, "r1");
    router.signal(Signal::SIGTERM);
    thread::sleep(Duration::from_millis(2_000));
    // A request sent after the listener has closed must not run, even on a connection opened
    // before.
    let mut late = std::net::TcpStream::connect(router.listen).unwrap();
    thread::sleep(Duration::from_millis(1_500));
    let request = format!(
        "POST /book/x HTTP/1.1\r\nhost: {}\r\nauthorization: Bearer {KEY}\r\n\
         x-marlrun-request-id: late\r\ncontent-length: 0\r\n\r\n",
        world::HOST
    );
    // The write fails if the router has already closed the connection.
    let _ = late.write_all(request.as_bytes());
    wait_for("the router ends", || router.ended() == Some(0));
    assert!(world.runs_of("late").is_empty());
}

/// Sends requests one after the other to a target that repeats each response on a connection that is in
/// use again, and checks that no caller gets another one's response.
fn response_repeated(copy: Copy) {
    let world = World::open(0, 0);
    let router = Router::ready(&world.store, "r1");
    let repeater = Repeater::bind(copy);
    let entry = serde_json::json!({
        "service": "app", "address": repeater.address.to_string(), "zone": "east", "slots": 8,
        "state": "ready", "born": 1_700_000_000_000_u64, "seq": 1,
    });
    world.store.put("servers", "i-repeater", &entry);
    wait_for("the target is listed", || {
        router.log().contains("\"live\":1,")
    });
    let mut statuses = Vec::new();
    for number in 0..4 {
        let name = format!("q{number}");
        let answer = Caller::new(router.listen, "POST", "/book/x", &name).call();
        if answer.status == 200 {
            assert_eq!(answer.body, format!("answer to {name}"), "{copy:?}");
        }
        statuses.push(answer.status);
    }
    // The second request came on the first one's connection: it ran, but its response is lost.
    assert_eq!(statuses, [200, 502, 200, 502], "{copy:?}");
}

/// Sends requests that run at most once and may be tried at four targets, by several callers, to targets
/// that repeat each refusal on the connection that carried it.
fn refusal_repeated(targets: usize) {
    let world = World::open(0, 0);
    let mut configuration = world::configuration(2);
    configuration["routes"][2]["attempts"] = 4.into();
    world.store.put("op", "config", &configuration);
    let router = Router::ready(&world.store, "r1");
    let repeaters: Vec<Repeater> = (0..targets)
        .map(|_| Repeater::bind(Copy::Refusal))
        .collect();
    for (number, repeater) in repeaters.iter().enumerate() {
        let entry = serde_json::json!({
            "service": "app", "address": repeater.address.to_string(), "zone": "east", "slots": 8,
            "state": "ready", "born": 1_700_000_000_000_u64, "seq": 1,
        });
        let name = format!("i-repeater{number}");
        world.store.put("servers", &name, &entry);
    }
    let live = format!("\"live\":{targets},");
    wait_for("the targets are listed", || router.log().contains(&live));
    let statuses = thread::scope(|scope| {
        let callers = (0..4).map(|caller| {
            let listen = router.listen;
            scope.spawn(move || {
                let names = (0..30).map(|number| format!("q{caller}-{number}"));
                let calls = names.map(|name| {
                    let answer = Caller::new(listen, "POST", "/book/x", &name).call();
                    (name, answer.status)
                });
                calls.collect::<Vec<_>>()
            })
        });
        let callers: Vec<_> = callers.collect();
        let joined = callers.into_iter().map(|caller| caller.join().unwrap());
        joined.flatten().collect::<Vec<_>>()
    });
    let mut ran = 0;
    for (name, status) in statuses {
        let runs: u32 = repeaters.iter().map(|r| r.runs_of(&name)).sum();
        assert!(runs <= 1, "{name} ran {runs} times");
        let is_refused = [408, 421, 429, 503].contains(&status);
        assert!(!is_refused || runs == 0, "{name} ran and got {status}");
        ran += runs;
    }
    assert!(ran > 0, "no request ran");
}

#[test]
fn refusal_repeated_on_its_connection() {
    for targets in [1, 2, 4] {
        refusal_repeated(targets);
    }
}

#[test]
fn response_repeated_with_its_name() {
    response_repeated(Copy::Named);
}

#[test]
fn response_repeated_without_name() {
    response_repeated(Copy::Unnamed);
}

#[test]
fn refusal_repeated_without_name() {
    response_repeated(Copy::UnnamedRefusal);
}
