//! The load tool: gaps, checks of answers and the accounts of whole runs.

use marlrun::{
    load::{
        self, Arrival, Flow, Gap, Kind, Lane, Length, Report, Route, Sample, Series, Settings,
        Spread, Target, Workload, Workspace,
    },
    standin::{Handle, engine, plain},
    unit::{Cost, Span, Weight},
};
use oxhttp::model::{Body, Request};
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    thread,
};

fn series(weights: &[u32], samples: &[(&[u64], &[bool])]) -> Series {
    let lane = |weight: &u32| Lane {
        workspace: format!("w{weight}").parse().unwrap(),
        weight: Weight::new(*weight).unwrap(),
        service: "s".parse().unwrap(),
    };
    let sample = |(at, (served, backlogged)): (usize, &(&[u64], &[bool]))| Sample {
        at_ms: at as u64 * 100,
        served: served.iter().map(|cost| Cost(*cost)).collect(),
        backlogged: backlogged.to_vec(),
    };
    Series {
        lanes: weights.iter().map(lane).collect(),
        samples: samples.iter().enumerate().map(sample).collect(),
    }
}

#[test]
fn gap_weighs_service() {
    let both: &[bool] = &[true, true];
    let series = series(&[2, 1], &[(&[0, 0], both), (&[40, 10], both)]);
    let gap = Gap::sliding(&series, &series.samples, &[0, 1], 1);
    assert_eq!((gap.windows, gap.max), (1, 10.0));
}

#[test]
fn gap_leaves_out_windows_in_which_a_lane_was_idle() {
    let (both, one): (&[bool], &[bool]) = (&[true, true], &[true, false]);
    let samples: &[(&[u64], &[bool])] = &[
        (&[0, 0], both),
        (&[5, 2], both),
        (&[50, 2], one),
        (&[90, 2], both),
        (&[91, 9], both),
    ];
    let series = series(&[1, 1], samples);
    let of = |length| Gap::sliding(&series, &series.samples, &[0, 1], length);
    assert_eq!((of(1).windows, of(1).max, of(1).median), (2, 6.0, 6.0));
    assert_eq!(of(2).windows, 0);
    let any = Gap::any(&series, &series.samples, &[0, 1]);
    assert_eq!((any.windows, any.max), (1, 6.0));
}

#[test]
fn gap_of_any_window_finds_the_widest() {
    let both: &[bool] = &[true, true];
    let samples: &[(&[u64], &[bool])] = &[
        (&[0, 0], both),
        (&[0, 7], both),
        (&[20, 7], both),
        (&[20, 18], both),
    ];
    let series = series(&[1, 1], samples);
    assert_eq!(
        Gap::any(&series, &series.samples, &[0, 1]).max,
        20.0,
        "one lane falls back by 7 and then takes the lead by 13"
    );
}

#[test]
fn workloads_in_examples_are_read() {
    for name in ["mixed", "flood", "quickstart"] {
        let path = format!("examples/load/{name}.toml");
        let workload = Workload::open(Path::new(&path)).unwrap();
        assert!(!workload.workspaces.is_empty(), "{path}");
    }
}

fn flow(service: &str, kind: Kind, arrival: Arrival, length: u64) -> Flow {
    Flow {
        service: service.parse().unwrap(),
        kind,
        arrival,
        length: Length::Fixed(length),
        quick: kind != Kind::Stream,
        hint_error: 4.0,
        method: "POST".into(),
        keyed: false,
        from: Span(0),
        until: None,
    }
}

fn workspace(name: &str, flow: Flow) -> Workspace {
    Workspace {
        name: name.parse().unwrap(),
        weight: Weight::ONE,
        key: None,
        spread: Spread::Even,
        flows: vec![flow],
    }
}

/// Returns the settings of a load straight on targets for a second.
fn settings(targets: &[(&str, &Handle)]) -> Settings {
    let target = |(service, handle): &(&str, &Handle)| Target {
        service: service.parse().unwrap(),
        address: handle.address(),
    };
    Settings {
        route: Route::Direct { routers: 1 },
        targets: targets.iter().map(target).collect(),
        seed: 7,
        duration: Span::from_secs(1),
        warmup: Span(0),
        drain: Span::from_secs(10),
        sample_interval: Span::from_millis(20),
        backlog_after: Span::from_millis(50),
        threads: 2,
    }
}

fn run(targets: &[(&str, &Handle)], workspaces: Vec<Workspace>) -> Report {
    load::run(settings(targets), &Workload { workspaces }).unwrap()
}

fn engine() -> Handle {
    engine::bind(engine::Settings {
        listen: "127.0.0.1:0".parse().unwrap(),
        slots: 2,
        first_token: Span::from_millis(5),
        token_interval: Span::from_millis(5),
        load_lag: Span(0),
    })
    .unwrap()
}

fn plain() -> Handle {
    plain::bind(plain::Settings {
        listen: "127.0.0.1:0".parse().unwrap(),
        slots: 4,
        duration: Span(0),
        load_lag: Span(0),
    })
    .unwrap()
}

#[test]
fn run_checks_and_counts_every_answer() {
    let (engine, plain) = (engine(), plain());
    let report = run(
        &[("m", &engine), ("p", &plain)],
        vec![
            workspace("plans", flow("m", Kind::Stream, Arrival::Callers(8), 10)),
            workspace("asks", flow("m", Kind::Whole, Arrival::Rate(5.0), 2)),
            workspace("prints", flow("p", Kind::Call, Arrival::Rate(50.0), 2)),
        ],
    );
    assert!(report.counts.sent > 0);
    assert_eq!(report.counts.answered, report.counts.sent, "{report}");
    assert_eq!(report.violations(), 0, "{report}");
    let prints = &report.workspaces[2];
    assert_eq!(prints.counts.answered, report.targets[1].started);
    assert_eq!(prints.quick_wait.count, prints.counts.answered);
    let services: Vec<&str> = report.services.iter().map(|s| s.service.as_str()).collect();
    assert_eq!(services, ["m", "p"]);
    assert!(report.services[0].utilisation > 0.0);
    let plot = load::plot(&report.series, &report.services[0].service);
    assert!(plot.contains("plans (1)") && plot.ends_with("</svg>\n"));
}

#[test]
fn run_cut_streams_are_broken() {
    let engine = engine();
    let script = serde_json::json!({"cut_after": 3});
    let request = Request::post(format!("http://{}/faults", engine.address()))
        .body(Body::from(script.to_string()))
        .unwrap();
    oxhttp::Client::new().request(request).unwrap();
    let flow = flow("m", Kind::Stream, Arrival::Callers(2), 10);
    let report = run(&[("m", &engine)], vec![workspace("plans", flow)]);
    assert!(report.counts.broken > 0, "{report}");
    assert_eq!(report.counts.broken, report.counts.sent, "{report}");
}

#[test]
fn run_answers_of_another_kind_are_wrong() {
    let plain = plain();
    for kind in [Kind::Stream, Kind::Whole] {
        let flow = flow("m", kind, Arrival::Callers(1), 10);
        let report = run(&[("m", &plain)], vec![workspace("plans", flow)]);
        assert!(report.counts.wrong > 0, "{report}");
        assert_eq!(report.counts.wrong, report.counts.sent, "{report}");
        assert!(report.violations() > 0);
    }
}

/// What a faulty router does with each call.
#[derive(Clone, Copy)]
enum Fault {
    /// Sends it to the target twice.
    Doubles,
    /// Sends it to the target and says that it was not run.
    Denies,
}

/// Starts a router that does wrong; it ends with the test's process.
fn faulty_router(target: SocketAddr, fault: Fault) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for caller in listener.incoming() {
            thread::spawn(move || serve_wrongly(caller.unwrap(), target, fault));
        }
    });
    address
}

fn serve_wrongly(mut caller: TcpStream, target: SocketAddr, fault: Fault) {
    let mut reader = BufReader::new(caller.try_clone().unwrap());
    let (mut first, mut line, mut length) = (String::new(), String::new(), 0);
    if reader.read_line(&mut first).unwrap_or(0) == 0 {
        return;
    }
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line).unwrap();
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.trim().parse().unwrap();
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    let path = first
        .split(' ')
        .nth(1)
        .unwrap()
        .strip_prefix("/s/p")
        .unwrap();
    let send = || {
        let request = Request::post(format!("http://{target}{path}"));
        let request = request.body(Body::from(body.clone())).unwrap();
        let answer = oxhttp::Client::new().request(request).unwrap();
        answer.into_body().to_string().unwrap()
    };
    let mut answer = send();
    let head = match fault {
        Fault::Doubles => "200 OK",
        Fault::Denies => "503 No\r\nmarlrun-outcome: not-run\r\nretry-after: 1",
    };
    if matches!(fault, Fault::Doubles) {
        answer = send();
    }
    let length = answer.len();
    write!(
        caller,
        "HTTP/1.1 {head}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{answer}"
    )
    .unwrap();
}

fn run_through(router: SocketAddr, plain: &Handle) -> Report {
    let flow = flow("p", Kind::Call, Arrival::Rate(20.0), 1);
    let mut settings = settings(&[("p", plain)]);
    settings.route = Route::Routers(vec![router]);
    let workspaces = vec![workspace("prints", flow)];
    load::run(settings, &Workload { workspaces }).unwrap()
}

#[test]
fn run_sees_calls_that_ran_twice() {
    let plain = plain();
    let report = run_through(faulty_router(plain.address(), Fault::Doubles), &plain);
    assert!(report.counts.answered > 0, "{report}");
    assert_eq!(report.ran_twice, report.counts.answered, "{report}");
}

#[test]
fn run_sees_refused_calls_that_ran() {
    let plain = plain();
    let report = run_through(faulty_router(plain.address(), Fault::Denies), &plain);
    assert!(report.counts.refused > 0, "{report}");
    assert_eq!(report.refused_but_ran, report.counts.refused, "{report}");
    assert_eq!(report.counts.refused_without_retry_after, 0);
}

#[test]
fn run_without_a_target_is_refused() {
    let engine = engine();
    let flow = flow("other", Kind::Whole, Arrival::Callers(1), 1);
    let workload = Workload {
        workspaces: vec![workspace("w", flow)],
    };
    let error = load::run(settings(&[("m", &engine)]), &workload).unwrap_err();
    assert_eq!(
        error.to_string(),
        "workspace w: service other has no target"
    );
}
