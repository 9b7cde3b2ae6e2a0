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
struct Served {
    memory: Arc<Memory>,
    handle: Handle,
    client: Client,
}

fn serve(timeout: Span) -> Served {
    let memory = Arc::new(Memory::open());
    let handle = platform::bind(platform::Settings {
        listen: LISTEN.parse().unwrap(),
        list_lag: Span(0),
        memory: Arc::clone(&memory),
    })
    .unwrap();
    let address = handle.address();
    let client = Client::open(client::Settings { address, timeout });
    Served {
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
fn both(check: impl Fn(&Memory, &dyn Table)) {
    let memory = Memory::open();
    check(&memory, &memory);
    let served = serve(Span::from_secs(5));
    check(&served.memory, &served.client);
}

#[test]
fn write_conflict_changes_nothing() {
    both(|_, table| {
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
    both(|_, table| {
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
fn write_twice_the_same_key_is_refused() {
    both(|_, table| {
        let twice = [put("a", Expect::Any, "1"), put("a", Expect::Any, "2")];
        let refused = table.write(&twice);
        assert!(matches!(refused, Err(Fault::Refused { status: 400, .. })));
    });
}

#[test]
fn write_lost_answer_takes_effect() {
    both(|memory, table| {
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
fn write_rate_limit_refuses_without_effect() {
    both(|memory, table| {
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
fn write_rate_limit_lets_a_second_through() {
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
fn scan_pages_follow_each_other() {
    both(|_, table| {
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
    both(|memory, table| {
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
fn objects_come_back_whole() {
    let served = serve(Span::from_secs(5));
    let body: Vec<u8> = (0..100_000).map(|n| (n % 251) as u8).collect();
    for objects in [&*served.memory as &dyn Objects, &served.client] {
        assert_eq!(objects.get("none"), Ok(None));
        objects.put("config/1.toml", &body).unwrap();
        assert_eq!(objects.get("config/1.toml"), Ok(Some(body.clone())));
        objects.put("empty", b"").unwrap();
        assert_eq!(objects.get("empty"), Ok(Some(Vec::new())));
    }
    let refused = served.client.put("a?b", b"");
    assert!(matches!(refused, Err(Fault::Refused { .. })));
}

#[test]
fn list_shows_a_change_after_its_lag() {
    let served = serve(Span::from_secs(5));
    let lists: [&dyn Directory; 2] = [&*served.memory, &served.client];
    served.memory.set_vms(vec![vm("r1")], Span(0));
    served
        .memory
        .set_vms(vec![vm("r1"), vm("r2")], Span::from_secs(3600));
    for list in lists {
        assert_eq!(list.list(), Ok(vec![vm("r1")]));
    }
    served.memory.set_vms(vec![vm("r3")], Span(0));
    for list in lists {
        assert_eq!(list.list(), Ok(vec![vm("r3")]));
    }
}

#[test]
fn down_is_lost_once_the_call_was_sent() {
    let served = serve(Span::from_secs(5));
    served.memory.set_script(Script {
        down: true,
        ..Script::default()
    });
    let write = [put("a", Expect::Any, "1")];
    let lost = served.client.write(&write);
    assert!(matches!(lost, Err(Fault::Lost { .. })), "{lost:?}");
    let down = served.memory.write(&write);
    assert!(matches!(down, Err(Fault::Unreachable { .. })), "{down:?}");
    served.memory.set_script(Script::default());
    assert_eq!(served.client.read(&["a".into()]), Ok(vec![]));
}

#[test]
fn stopped_is_unreachable() {
    let served = serve(Span::from_secs(5));
    served.handle.stop();
    let refused = served.client.write(&[put("a", Expect::Any, "1")]);
    assert!(
        matches!(refused, Err(Fault::Unreachable { .. })),
        "{refused:?}"
    );
}

#[test]
fn slow_is_lost_after_the_timeout() {
    let served = serve(Span::from_millis(50));
    served.memory.set_script(Script {
        delay: Span::from_millis(400),
        ..Script::default()
    });
    let lost = served.client.write(&[put("a", Expect::Any, "1")]);
    assert!(matches!(lost, Err(Fault::Lost { .. })), "{lost:?}");
}

#[test]
fn write_from_many_threads_lets_one_win() {
    let served = serve(Span::from_secs(5));
    let client = &served.client;
    let won: usize = thread::scope(|scope| {
        let tries: Vec<_> = (0..16)
            .map(|n: u32| {
                let write = [put("head", Expect::Absent, &n.to_string())];
                scope.spawn(move || client.write(&write) == Ok(Verdict::Committed))
            })
            .collect();
        tries
            .into_iter()
            .map(|t| usize::from(t.join().unwrap()))
            .sum()
    });
    assert_eq!(won, 1);
}
