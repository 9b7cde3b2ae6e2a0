//! Tests of the platform's table, objects and list of VMs, in memory and over HTTP.

use marlrun::{
    standin::{Handle, platform},
    table::{
        Client, Directory, Expect, Fault, Memory, Objects, Row, Script, State, Table, Verdict, Vm,
        Write, client,
    },
    unit::Span,
};
use std::{sync::Arc, thread};

const LISTEN: &str = "127.0.0.1:0";
/// Number of consecutive writes of which a limit of one per second must reject some.
const MAX_TRIES: usize = 1_000;

/// A platform served over HTTP, with its contents and a client.
struct Fixture {
    memory: Arc<Memory>,
    handle: Handle,
    client: Client,
}

fn serve(timeout: Span) -> Fixture {
    let memory = Arc::new(Memory::open());
    let handle = platform::bind(platform::Settings {
        listen: LISTEN.parse().unwrap(),
        list_lag: Span(0),
        memory: Arc::clone(&memory),
    })
    .unwrap();
    let address = handle.address();
    let client = Client::open(client::Settings { address, timeout });
    Fixture {
        memory,
        handle,
        client,
    }
}

fn put(key: &str, expect: Expect, value: &str) -> Write {
    Write {
        key: key.into(),
        expect,
        value: Some(value.into()),
    }
}

fn row(key: &str, version: u64, value: &str) -> Row {
    Row {
        key: key.into(),
        version,
        value: value.into(),
    }
}

fn vm(name: &str) -> Vm {
    Vm {
        name: name.into(),
        group: "router".into(),
        domain: "north".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        state: State::Live,
    }
}

/// Runs a check against an in-memory table and against one over HTTP.
fn in_memory_and_over_http(check: impl Fn(&Memory, &dyn Table)) {
    let memory = Memory::open();
    check(&memory, &memory);
    let fixture = serve(Span::from_secs(5));
    check(&fixture.memory, &fixture.client);
}

#[test]
fn write_conflict_changes_nothing() {
    in_memory_and_over_http(|_, table| {
        let first = [put("a", Expect::Absent, "1"), put("b", Expect::Any, "1")];
        assert_eq!(table.write(&first), Ok(Verdict::Committed));
        let second = [
            put("a", Expect::Version(1), "2"),
            put("b", Expect::Absent, "2"),
            put("c", Expect::Version(4), "2"),
        ];
        let broken = vec![row("b", 1, "1"), row("c", 0, "")];
        assert_eq!(table.write(&second), Ok(Verdict::Conflict(broken)));
        let rows = table.read(&["c".into(), "b".into(), "a".into()]);
        assert_eq!(rows, Ok(vec![row("b", 1, "1"), row("a", 1, "1")]));
        let third = [put("a", Expect::Version(1), "2")];
        assert_eq!(table.write(&third), Ok(Verdict::Committed));
        assert_eq!(table.read(&["a".into()]), Ok(vec![row("a", 2, "2")]));
    });
}

#[test]
fn write_remove_leaves_no_row() {
    in_memory_and_over_http(|_, table| {
        table.write(&[put("a", Expect::Absent, "1")]).unwrap();
        let remove = Write {
            key: "a".into(),
            expect: Expect::Version(1),
            value: None,
        };
        assert_eq!(
            table.write(std::slice::from_ref(&remove)),
            Ok(Verdict::Committed)
        );
        assert_eq!(table.read(&["a".into()]), Ok(vec![]));
        let again = table.write(&[remove]);
        assert_eq!(again, Ok(Verdict::Conflict(vec![row("a", 0, "")])));
    });
}

#[test]
fn write_duplicate_key_is_rejected() {
    in_memory_and_over_http(|_, table| {
        let twice = [put("a", Expect::Any, "1"), put("a", Expect::Any, "2")];
        let refused = table.write(&twice);
        assert!(matches!(refused, Err(Fault::Refused { status: 400, .. })));
    });
}

#[test]
fn write_lost_response_takes_effect() {
    in_memory_and_over_http(|memory, table| {
        memory.set_script(Script {
            lose_answers: 1,
            ..Script::default()
        });
        let lost = table.write(&[put("a", Expect::Absent, "1")]);
        assert!(matches!(lost, Err(Fault::Lost { .. })), "{lost:?}");
        assert_eq!(table.read(&["a".into()]), Ok(vec![row("a", 1, "1")]));
        let again = table.write(&[put("a", Expect::Absent, "1")]);
        assert_eq!(again, Ok(Verdict::Conflict(vec![row("a", 1, "1")])));
        assert_eq!(memory.stats().lost, 1);
    });
}

#[test]
fn write_rate_limit_rejects_without_effect() {
    in_memory_and_over_http(|memory, table| {
        memory.set_script(Script {
            writes_per_second: Some(0),
            ..Script::default()
        });
        let limited = table.write(&[put("a", Expect::Any, "1")]);
        let Err(Fault::Limited { retry_after, .. }) = limited else {
            panic!("{limited:?}");
        };
        assert_eq!(retry_after, Span::from_secs(1));
        assert_eq!(table.read(&["a".into()]), Ok(vec![]));
        assert_eq!(memory.stats().limited, 1);
    });
}

#[test]
fn write_rate_limit_admits_the_first_second() {
    let memory = Memory::open();
    memory.set_script(Script {
        writes_per_second: Some(1),
        ..Script::default()
    });
    let first = memory.write(&[put("a", Expect::Any, "1")]);
    assert_eq!(first, Ok(Verdict::Committed));
    let next = || memory.write(&[put("a", Expect::Any, "2")]);
    let limited = (0..MAX_TRIES).any(|_| matches!(next(), Err(Fault::Limited { .. })));
    assert!(limited);
}

#[test]
fn scan_pages_are_contiguous() {
    in_memory_and_over_http(|_, table| {
        let keys = ["a/1", "b/1", "b/2", "b/3", "c/1"];
        let writes: Vec<Write> = keys.iter().map(|k| put(k, Expect::Any, "x")).collect();
        table.write(&writes).unwrap();
        let keys = |after: &str| {
            let rows = table.scan("b/", after, 2).unwrap();
            rows.into_iter().map(|row| row.key).collect::<Vec<_>>()
        };
        assert_eq!(keys(""), ["b/1".into(), "b/2".into()]);
        assert_eq!(keys("b/2"), ["b/3".into()]);
        assert_eq!(keys("b/3"), []);
    });
}

#[test]
fn read_stale_shows_an_older_version() {
    in_memory_and_over_http(|memory, table| {
        table.write(&[put("a", Expect::Any, "1")]).unwrap();
        memory.set_script(Script {
            stale_reads: true,
            ..Script::default()
        });
        table.write(&[put("a", Expect::Version(1), "2")]).unwrap();
        assert_eq!(table.read(&["a".into()]), Ok(vec![row("a", 1, "1")]));
        memory.set_script(Script::default());
        assert_eq!(table.read(&["a".into()]), Ok(vec![row("a", 2, "2")]));
    });
}

#[test]
fn objects_round_trip() {
    let fixture = serve(Span::from_secs(5));
    let body: Vec<u8> = (0..100_000).map(|n| (n % 251) as u8).collect();
    for objects in [&*fixture.memory as &dyn Objects, &fixture.client] {
        assert_eq!(objects.get("none"), Ok(None));
        objects.put("config/1.toml", &body).unwrap();
        assert_eq!(objects.get("config/1.toml"), Ok(Some(body.clone())));
        objects.put("empty", b"").unwrap();
        assert_eq!(objects.get("empty"), Ok(Some(Vec::new())));
    }
    let refused = fixture.client.put("a?b", b"");
    assert!(matches!(refused, Err(Fault::Refused { .. })));
}

#[test]
fn list_shows_a_change_after_the_lag() {
    let fixture = serve(Span::from_secs(5));
    let lists: [&dyn Directory; 2] = [&*fixture.memory, &fixture.client];
    fixture.memory.set_vms(vec![vm("r1")], Span(0));
    fixture
        .memory
        .set_vms(vec![vm("r1"), vm("r2")], Span::from_secs(3600));
    for list in lists {
        assert_eq!(list.list(), Ok(vec![vm("r1")]));
    }
    fixture.memory.set_vms(vec![vm("r3")], Span(0));
    for list in lists {
        assert_eq!(list.list(), Ok(vec![vm("r3")]));
    }
}

#[test]
fn write_to_down_platform_is_lost_over_http() {
    let fixture = serve(Span::from_secs(5));
    fixture.memory.set_script(Script {
        down: true,
        ..Script::default()
    });
    let write = [put("a", Expect::Any, "1")];
    let lost = fixture.client.write(&write);
    assert!(matches!(lost, Err(Fault::Lost { .. })), "{lost:?}");
    let down = fixture.memory.write(&write);
    assert!(matches!(down, Err(Fault::Unreachable { .. })), "{down:?}");
    fixture.memory.set_script(Script::default());
    assert_eq!(fixture.client.read(&["a".into()]), Ok(vec![]));
}

#[test]
fn write_to_stopped_server_is_unreachable() {
    let fixture = serve(Span::from_secs(5));
    fixture.handle.stop();
    let refused = fixture.client.write(&[put("a", Expect::Any, "1")]);
    assert!(
        matches!(refused, Err(Fault::Unreachable { .. })),
        "{refused:?}"
    );
}

#[test]
fn write_timeout_is_lost() {
    let fixture = serve(Span::from_millis(50));
    fixture.memory.set_script(Script {
        delay: Span::from_millis(400),
        ..Script::default()
    });
    let lost = fixture.client.write(&[put("a", Expect::Any, "1")]);
    assert!(matches!(lost, Err(Fault::Lost { .. })), "{lost:?}");
}

#[test]
fn write_concurrent_commits_once() {
    let fixture = serve(Span::from_secs(5));
    let client = &fixture.client;
    let committed: usize = thread::scope(|scope| {
        let threads: Vec<_> = (0..16)
            .map(|n: u32| {
                let write = [put("head", Expect::Absent, &n.to_string())];
                scope.spawn(move || client.write(&write) == Ok(Verdict::Committed))
            })
            .collect();
        threads
            .into_iter()
            .map(|thread| usize::from(thread.join().unwrap()))
            .sum()
    });
    assert_eq!(committed, 1);
}
