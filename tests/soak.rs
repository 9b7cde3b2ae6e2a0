//! Randomized faults on routers as processes, on targets, on the store and on the links between
//! them, and between routers, while callers check what the pages promise.
//!
//! `SOAK_SEED`, `SOAK_SECONDS` and `SOAK_SEEDS` choose the first seed, the length of a run and the
//! number of runs; `SOAK_LOGS` a folder for the routers' logs of runs that fail. Seeds that ever
//! failed stay in [`REGRESSIONS`], each with its cause.

// A soak runs by the system's clock.
#![allow(clippy::disallowed_methods)]

mod world;

use nix::sys::signal::Signal;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use std::{
    collections::HashMap,
    env, fs,
    path::PathBuf,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use world::{
    Caller, Connection, Fault, Fleet, Harm, Mode, Proxy, REJECTION, Reply, Run, Stage,
    configuration, event_of,
};

/// Seed of the run in CI.
const SEED: u64 = 20_261_203;
/// Seeds that ever failed, with the run they belong to and the cause.
const REGRESSIONS: [(Kind, u64); 7] = [
    // A SIGHUP ended a router that had not opened its signal handlers.
    (Kind::Planned, 2_004),
    // Requests that arrived before a router closed were discarded, after it was held up.
    (Kind::Planned, 2_008),
    // A stalled stream was left though no other target could continue it.
    (Kind::Pauses, 20),
    // A stream was resumed while its service had one build, and moved to the next one.
    (Kind::Any, 6_019),
    (Kind::Any, 6_050),
    // A router that was cut off took the only build that it knew for the only one.
    (Kind::Releases, 20_261_204),
    (Kind::Releases, 20_261_208),
];
/// Routers of a run, and of every fifth one: there most of them follow leaders.
const ROUTERS: (usize, usize) = (3, 16);
/// Callers of a run.
const CALLERS: u64 = 16;
/// Time after the faults within which routers are ready and serve again; `recovery-s` of the users'
/// deployments.
const RECOVERY: Duration = Duration::from_secs(12);
/// Events of each stream.
const EVENTS: u64 = 5;
/// Part of prompts that crashes engines, and how many requests there are for each with it.
const FATAL_PART: &str = "f1";
const FATAL_EVERY: u64 = 60;
/// Lines of events in place of their IDs, with another number and without one.
const NUMBERED: [&str; 4] = ["id: 0", "id: 1", "id: 3", "id: 99"];
const UNNUMBERED: [&str; 4] = ["id: x", "id: -3", "id:", ": no id"];
/// Statuses with which targets reject requests.
const REJECTIONS: [u16; 4] = [302, 403, 404, 413];
/// Software versions of targets.
const BUILDS: [&str; 3] = ["v1", "v2", "v3"];
/// Requests with which a caller resumes one stream at most.
const MAX_RESUMPTIONS: u32 = 2;
/// Time that callers give each request, in milliseconds.
const DEADLINE_MS: u64 = 4_000;
/// Time after which callers close the connection of a request without an answer.
const PATIENCE: Duration = Duration::from_millis(4_500);
/// Time from a request to the end of its connection within which the request may have crossed the
/// router's close; `loss-slack-ms` of the users' deployments.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Row that evacuates the failure domain of all targets, and the time after which it is obeyed; `evacuate-ms` of the
/// users' deployments.
const EVACUATION: &str = "evacuate/east";
const EVACUATION_BOUND: Duration = Duration::from_secs(5);
/// Violations of a run that are shown, and log lines of each.
const MAX_SHOWN: usize = 10;
const MAX_LINES: usize = 12;

/// What is wrong in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Everything.
    Any,
    /// Routers are stopped and started, settings and configurations change.
    Planned,
    /// Targets fall silent and go on, configurations change.
    Pauses,
    /// Engines of other builds take the place of engines that break streams off, while routers are cut off.
    Releases,
    /// Targets send wrong IDs of events, reject requests and answer with statuses that no response has, while routers are
    /// stopped and started and configurations change.
    Answers,
    /// Open connections go silent for good, routers are cut off from the store, and it comes back from copies.
    Silences,
    /// The failure domain of all targets is evacuated while routers are stopped and started and configurations change.
    Evacuations,
}

/// Runs one at a time, since each has several processes.
static TURN: Mutex<()> = Mutex::new(());

#[test]
fn faults_any_order() {
    soak(Kind::Any);
}

#[test]
fn planned_work_loses_no_request() {
    soak(Kind::Planned);
}

#[test]
fn target_pauses_lose_no_request() {
    soak(Kind::Pauses);
}

#[test]
fn releases_join_no_streams() {
    soak(Kind::Releases);
}

#[test]
fn wrong_answers_reach_no_caller() {
    soak(Kind::Answers);
}

#[test]
fn silent_connections_end_nothing_for_good() {
    soak(Kind::Silences);
}

#[test]
fn evacuated_domain_runs_nothing() {
    soak(Kind::Evacuations);
}

fn number(name: &str, default: u64) -> u64 {
    let text = env::var(name).ok();
    text.map_or(default, |text| text.parse().unwrap())
}

fn soak(kind: Kind) {
    let turn = TURN.lock();
    let first = number("SOAK_SEED", SEED);
    let length = Duration::from_secs(number("SOAK_SECONDS", 8));
    let regressions = REGRESSIONS.into_iter().filter(|(of, _)| *of == kind);
    let fresh = first..first + number("SOAK_SEEDS", 1);
    let mut failed = Vec::new();
    for seed in regressions.map(|(_, seed)| seed).chain(fresh) {
        println!("soak {kind:?} seed {seed}, {length:?}");
        let violations = run(kind, seed, length);
        if !violations.is_empty() {
            println!("soak {kind:?} seed {seed}: {} violations", violations.len());
            let shown = violations.iter().take(MAX_SHOWN);
            shown.for_each(|violation| println!("{violation}"));
            failed.push(seed);
        }
    }
    drop(turn);
    assert!(failed.is_empty(), "{kind:?} failed with seeds {failed:?}");
}

/// What a caller saw.
struct Seen {
    request: String,
    route: &'static str,
    router: usize,
    reply: Reply,
    /// Events of the stream that the caller had before, if it resumed one.
    received: Option<String>,
}

/// Requests of all callers.
#[derive(Default)]
struct Ledger {
    next: AtomicU64,
    /// Some prompts crash engines.
    fatal: bool,
    seen: Mutex<Vec<Seen>>,
}

/// Runs a seed and returns what was wrong.
fn run(kind: Kind, seed: u64, length: Duration) -> Vec<String> {
    let routers = if seed.is_multiple_of(5) {
        ROUTERS.1
    } else {
        ROUTERS.0
    };
    let fleet = Fleet::open(routers);
    let stop = AtomicBool::new(false);
    let ledger = Ledger {
        fatal: kind == Kind::Any,
        ..Ledger::default()
    };
    for engine in &fleet.world.engines {
        engine.crash_on(&[FATAL_PART], Stage::WithinEvent);
    }
    let version = AtomicU64::new(1);
    let violations = Mutex::new(Vec::new());
    let random = |stream: u64| {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(stream);
        random
    };
    thread::scope(|scope| {
        let _stop = Stop(&stop);
        let (fleet, ledger, stop) = (&fleet, &ledger, &stop);
        for index in 0..fleet.len() {
            scope.spawn(move || fleet.balance(index, stop));
        }
        for caller in 0..CALLERS {
            let random = random(1_000 + caller);
            scope.spawn(move || call_until(fleet, ledger, stop, random));
        }
        let end = Instant::now() + length;
        let trouble = |stream, router| Trouble {
            fleet,
            random: random(stream),
            version: &version,
            violations: &violations,
            router,
        };
        let (restart, series) = series(kind);
        let mut running = Vec::new();
        for router in 0..fleet.len() {
            running.push((restart, trouble(100 + router as u64, router)));
        }
        for (cause, stream) in series.into_iter().zip(0..) {
            running.push((cause, trouble(stream, 0)));
        }
        let threads = running.into_iter().map(|(cause, mut trouble)| {
            scope.spawn(move || {
                while Instant::now() < end {
                    cause(&mut trouble);
                }
            })
        });
        let threads: Vec<_> = threads.collect();
        threads
            .into_iter()
            .for_each(|thread| thread.join().unwrap());
        for router in 0..fleet.len() {
            trouble(0, router).look();
        }
        heal(fleet);
        if !within(RECOVERY, || fleet.is_ready()) {
            let cause = format!("not all routers are ready {RECOVERY:?} after the faults");
            violations.lock().unwrap().push(cause);
        }
    });
    let mut violations = violations.into_inner().unwrap();
    serve_again(&fleet, &ledger, &mut violations);
    let logs = fleet.logs();
    let seen = ledger.seen.into_inner().unwrap();
    check_all(kind, &fleet, &seen, &logs, &mut violations);
    println!("soak {kind:?} seed {seed}: {}", summary(&seen));
    for (name, log) in &logs {
        if let Some(line) = log.lines().find(|line| line.contains("panicked")) {
            violations.push(format!("{name} panicked: {line}"));
        }
    }
    if !violations.is_empty() {
        keep(kind, seed, &logs, &violations);
    }
    violations
}

/// Tells all threads of a run to end when it is dropped, also by a panic.
struct Stop<'s>(&'s AtomicBool);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Waits until a condition holds; returns whether it did within the limit.
fn within(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(10));
    }
    true
}

/// What a series of faults does again and again.
type Series<'f> = fn(&mut Trouble<'f>);

/// Returns the series of each router and those of which there is one.
fn series<'f>(kind: Kind) -> (Series<'f>, Vec<Series<'f>>) {
    match kind {
        Kind::Any => (
            Trouble::restart,
            vec![
                Trouble::signal,
                Trouble::store,
                Trouble::configuration,
                Trouble::targets,
                Trouble::restore,
                Trouble::departures,
                Trouble::builds,
                Trouble::fronts,
                Trouble::store_links,
                Trouble::target_links,
                Trouble::router_links,
                Trouble::limits,
            ],
        ),
        Kind::Planned => (
            Trouble::stop,
            vec![Trouble::hang_up, Trouble::configuration],
        ),
        Kind::Pauses => (Trouble::look, vec![Trouble::pauses, Trouble::configuration]),
        Kind::Releases => (
            Trouble::look,
            vec![Trouble::builds, Trouble::breaks, Trouble::isolate],
        ),
        Kind::Answers => (
            Trouble::stop,
            vec![Trouble::answers, Trouble::configuration],
        ),
        Kind::Silences => (
            Trouble::look,
            vec![
                Trouble::silences,
                Trouble::store_cuts,
                Trouble::restore,
                Trouble::configuration,
            ],
        ),
        Kind::Evacuations => (
            Trouble::stop,
            vec![Trouble::evacuation, Trouble::configuration],
        ),
    }
}

/// Ends all faults.
fn heal(fleet: &Fleet) {
    let world = &fleet.world;
    world.store.fail(Fault::None);
    world.store.remove("op", EVACUATION);
    fleet.mesh.heal();
    let links = [&fleet.fronts, &fleet.stores, &fleet.targets];
    links
        .into_iter()
        .flatten()
        .for_each(|link| link.harm(Harm::None));
    for replica in world.engines.iter().chain(&world.apps) {
        replica.behave(Mode::Good);
        replica.name_limits(&[]);
        replica.crash_on(&[], Stage::WithinEvent);
        replica.restart();
    }
    for index in 0..fleet.len() {
        fleet.signal(index, Signal::SIGCONT);
    }
}

/// Checks that each router serves requests of each route.
fn serve_again(fleet: &Fleet, ledger: &Ledger, violations: &mut Vec<String>) {
    for index in 0..fleet.len() {
        for route in ["plan", "book", "look", "sum"] {
            let served = within(RECOVERY, || {
                ask(fleet, ledger, &mut None, index, route) == Some(200)
            });
            if !served {
                violations.push(format!(
                    "r{index} does not serve {route} {RECOVERY:?} after the faults"
                ));
            }
        }
    }
}

/// Sends requests on connections that are kept open until they end.
fn call_until(fleet: &Fleet, ledger: &Ledger, stop: &AtomicBool, mut random: ChaCha8Rng) {
    let mut connection = None;
    let mut router = 0;
    while !stop.load(Ordering::Relaxed) {
        if connection.is_none() {
            router = fleet.choose(random.next_u64());
        }
        let route = ["plan", "book", "look", "sum"][random.next_u64() as usize % 4];
        let request = send(fleet, ledger, &mut connection, router, route, None);
        if route == "plan"
            && let Some((request, body)) = request
        {
            resume(fleet, ledger, &mut random, request, body);
        }
        thread::sleep(Duration::from_millis(random.next_u64() % 30));
    }
}

/// Resumes a stream that ended early at any router, as often as events arrived.
fn resume(
    fleet: &Fleet,
    ledger: &Ledger,
    random: &mut ChaCha8Rng,
    origin: String,
    mut received: String,
) {
    for _ in 0..MAX_RESUMPTIONS {
        let router = fleet.choose(random.next_u64());
        let resumed = Some((origin.as_str(), received.as_str()));
        match send(fleet, ledger, &mut None, router, "plan", resumed) {
            Some((_, body)) => received += &body,
            None => return,
        }
    }
}

/// Sends one request on a connection, or on a new one; returns the status of a whole answer.
fn ask(
    fleet: &Fleet,
    ledger: &Ledger,
    connection: &mut Option<Connection>,
    router: usize,
    route: &'static str,
) -> Option<u16> {
    send(fleet, ledger, connection, router, route, None);
    let seen = ledger.seen.lock().unwrap();
    let answer = seen.last()?.reply.answer.as_ref()?;
    answer.whole.then_some(answer.status)
}

/// Sends one request on a connection, or on a new one, that may resume a stream of another request and
/// its events. Returns the request's name and the whole events of a stream that ended early.
fn send(
    fleet: &Fleet,
    ledger: &Ledger,
    connection: &mut Option<Connection>,
    router: usize,
    route: &'static str,
    resumed: Option<(&str, &str)>,
) -> Option<(String, String)> {
    let address = fleet.fronts[router].address;
    if connection.is_none() {
        // A refused connection is no request.
        *connection = Connection::open(address, PATIENCE).ok();
    }
    let open = connection.as_mut()?;
    let number = ledger.next.fetch_add(1, Ordering::Relaxed);
    let request = format!("q{number}");
    let mut caller = match route {
        "book" => Caller::new(address, "POST", "/book/x", &request).body(request.as_bytes()),
        "look" => Caller::new(address, "GET", "/look/x", &request),
        _ => Caller::stream(address, route, &request),
    };
    if let Some((origin, received)) = resumed {
        let last = received.matches("id: ").count().to_string();
        caller = caller.with("resumes", origin).with("last-event-id", &last);
    }
    if ledger.fatal && number % FATAL_EVERY == FATAL_EVERY - 1 && ["plan", "sum"].contains(&route) {
        let parts = format!("a1:600,{FATAL_PART}:200,{number:x}:200");
        caller = caller.with("x-marlrun-prompt-prefix", &parts);
    }
    let deadline = DEADLINE_MS.to_string();
    let reply = open.call(&caller.with("x-marlrun-deadline-ms", &deadline));
    if !reply.open {
        *connection = None;
    }
    let answer = reply.answer.as_ref();
    let cut = answer.filter(|answer| !answer.whole && answer.status == 200);
    let events = cut.and_then(|answer| Some(&answer.body[..answer.body.rfind("\n\n")? + 2]));
    let ended_early = events.map(|events| (request.clone(), events.to_owned()));
    ledger.seen.lock().unwrap().push(Seen {
        request,
        route,
        router,
        reply,
        received: resumed.map(|(_, received)| received.into()),
    });
    ended_early
}

/// Checks what callers saw against what targets ran.
fn check_all(
    kind: Kind,
    fleet: &Fleet,
    seen: &[Seen],
    logs: &[(Box<str>, String)],
    violations: &mut Vec<String>,
) {
    let replicas = fleet.world.engines.iter().chain(&fleet.world.apps);
    let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
    for run in replicas.flat_map(|replica| replica.runs()) {
        runs.entry(run.request.clone()).or_default().push(run);
    }
    for seen in seen {
        let ran = runs.remove(&seen.request).unwrap_or_default();
        let common = find_wrong(kind, seen, &ran);
        let is_strict = matches!(kind, Kind::Planned | Kind::Pauses | Kind::Evacuations);
        let strict = || is_strict.then(|| find_lost(seen, &ran)).flatten();
        if let Some(cause) = common.or_else(strict) {
            let Seen {
                request,
                route,
                router,
                reply,
                ..
            } = seen;
            let mut violation = format!(
                "request {request} on {route} by r{router}, {} runs: {cause}; {reply:?}",
                ran.len()
            );
            for line in lines_of(logs, request) {
                violation += "\n    ";
                violation += &line;
            }
            violations.push(violation);
        }
    }
    for request in runs.keys() {
        violations.push(format!("a target ran {request}, which no caller sent"));
    }
}

/// Returns the log lines of a request, each after its router's name.
fn lines_of(logs: &[(Box<str>, String)], request: &str) -> Vec<String> {
    let named = format!("\"{request}\"");
    let lines = logs.iter().flat_map(|(name, log)| {
        let lines = log.lines().filter(|line| line.contains(&named));
        lines.map(move |line| format!("{name} {line}"))
    });
    lines.take(MAX_LINES).collect()
}

/// Returns what is wrong with a request whatever the faults were.
fn find_wrong(kind: Kind, seen: &Seen, runs: &[Run]) -> Option<String> {
    let Seen {
        request,
        route,
        reply,
        ..
    } = seen;
    let (attempts, path) = match *route {
        "plan" => (3, "/plan/go"),
        "look" => (2, "/look/x"),
        "book" => (1, "/book/x"),
        _ => (1, "/sum/go"),
    };
    if runs.len() > attempts {
        return Some(format!("ran more than {attempts} times"));
    }
    let body = if *route == "book" { &**request } else { "" };
    let changed = |run: &&Run| {
        let tenant = run.headers.get("x-marlrun-tenant");
        run.path != path
            || run.body != body.as_bytes()
            || tenant.is_none_or(|tenant| tenant != "east-desk")
            || run.headers.contains_key("authorization")
    };
    if let Some(run) = runs.iter().find(changed) {
        return Some(format!("ran changed: {run:?}"));
    }
    if !reply.extra.is_empty() {
        return Some("bytes after the answer".into());
    }
    let answer = reply.answer.as_ref()?;
    let named = answer.header("x-marlrun-request-id");
    if named.is_some_and(|named| named != request) {
        return Some("the answer names another request".into());
    }
    let signed = answer.header("x-marlrun-response-stamp").is_some();
    match answer.status {
        200 if !signed => return Some("a success without signature".into()),
        200 => {}
        408 | 421 | 429 | 503 => {
            return (!runs.is_empty()).then(|| "was refused and ran".into());
        }
        500 | 502 | 504 => return None,
        status if kind == Kind::Answers && REJECTIONS.contains(&status) => {
            let is_unchanged = signed && answer.whole && answer.body == REJECTION;
            return (runs.is_empty() || !is_unchanged).then(|| "a changed rejection".into());
        }
        status => return Some(format!("answered {status}")),
    }
    let received = seen.received.as_deref().unwrap_or_default();
    let body = format!("{received}{}", answer.body);
    let mut expected: Vec<String> = match *route {
        "book" | "look" => vec![format!("answer to {request}")],
        _ => BUILDS
            .iter()
            .map(|build| (1..=EVENTS).map(|number| event_of(build, number)).collect())
            .collect(),
    };
    if kind == Kind::Answers && *route == "sum" {
        // No other target can go on with the stream, which is passed on as it comes and cut where a number is wrong.
        let numbered = NUMBERED.iter().filter(|_| !answer.whole);
        let lines: Vec<_> = numbered.chain(&UNNUMBERED).collect();
        let sound = expected[0].clone();
        for number in 1..=EVENTS {
            let id = format!("id: {number}");
            expected.extend(lines.iter().map(|line| sound.replacen(&id, line, 1)));
        }
    }
    let right = expected.iter().any(|expected| {
        if answer.whole {
            body == *expected
        } else {
            expected.starts_with(&body)
        }
    });
    (!right).then(|| format!("a wrong body after {received:?}"))
}

/// Returns how a request was lost in a run in which none may be.
fn find_lost(seen: &Seen, runs: &[Run]) -> Option<String> {
    let reply = &seen.reply;
    match &reply.answer {
        Some(answer) if !answer.whole => Some("the answer was cut".into()),
        Some(answer) if !matches!(answer.status, 200 | 429 | 503) => {
            Some(format!("answered {}", answer.status))
        }
        None if reply.abandoned => Some("no answer in time".into()),
        None if !runs.is_empty() => Some("ran and got no answer".into()),
        None if reply.after > LOSS_SLACK => Some("read and got no answer".into()),
        _ => None,
    }
}

/// Returns how many requests ended in which way.
fn summary(seen: &[Seen]) -> String {
    let mut counts = [0; 5];
    for seen in seen {
        let index = match &seen.reply.answer {
            Some(answer) if !answer.whole => 3,
            Some(answer) if answer.status == 200 => 0,
            Some(answer) if matches!(answer.status, 408 | 421 | 429 | 503) => 1,
            Some(_) => 2,
            None => 4,
        };
        counts[index] += 1;
    }
    let [answered, refused, failed, cut, none] = counts;
    let resumed = seen.iter().filter(|seen| seen.received.is_some());
    let goes_on = |seen: &&Seen| {
        let answer = seen.reply.answer.as_ref();
        answer.is_some_and(|answer| answer.status == 200 && !answer.body.is_empty())
    };
    format!(
        "{} requests, {answered} answered, {refused} refused, {failed} failed, {cut} cut, \
         {none} without answer; {} of {} resumed streams went on",
        seen.len(),
        resumed.clone().filter(goes_on).count(),
        resumed.count()
    )
}

/// Writes the logs of a run that failed to the folder that `SOAK_LOGS` names.
fn keep(kind: Kind, seed: u64, logs: &[(Box<str>, String)], violations: &[String]) {
    let Ok(folder) = env::var("SOAK_LOGS") else {
        return;
    };
    let folder = PathBuf::from(folder).join(format!("{kind:?}-{seed}").to_lowercase());
    fs::create_dir_all(&folder).unwrap();
    fs::write(folder.join("violations"), violations.join("\n")).unwrap();
    for (name, log) in logs {
        fs::write(folder.join(format!("{name}.log")), log).unwrap();
    }
}

/// One series of faults, in an order that a seed gives.
struct Trouble<'f> {
    fleet: &'f Fleet,
    random: ChaCha8Rng,
    version: &'f AtomicU64,
    violations: &'f Mutex<Vec<String>>,
    /// Router of series that concern a single one.
    router: usize,
}

impl Trouble<'_> {
    fn draw(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below
    }

    fn sleep(&mut self, range_ms: std::ops::Range<u64>) {
        let pause = range_ms.start + self.draw(range_ms.end - range_ms.start);
        thread::sleep(Duration::from_millis(pause));
    }

    fn pick<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.draw(choices.len() as u64) as usize]
    }

    /// Freezes a router for a time, or tells it to read its settings again.
    fn signal(&mut self) {
        let index = self.draw(self.fleet.len() as u64) as usize;
        if self.draw(3) == 0 {
            self.fleet.reload(index);
        } else {
            self.fleet.signal(index, Signal::SIGSTOP);
            self.sleep(20..1_500);
            self.fleet.signal(index, Signal::SIGCONT);
        }
        self.sleep(20..500);
    }

    /// Tells a router to read its settings again.
    fn hang_up(&mut self) {
        let index = self.draw(self.fleet.len() as u64) as usize;
        self.fleet.reload(index);
        self.sleep(50..800);
    }

    /// Kills or stops this series' router after a while.
    fn restart(&mut self) {
        self.sleep(100..4_000);
        self.look();
        if self.draw(2) == 0 {
            let pause = Duration::from_millis(self.draw(600));
            self.fleet.kill(self.router, pause);
        } else {
            self.fleet.stop(self.router);
        }
    }

    /// Stops this series' router after a while; it must end by itself in time.
    fn stop(&mut self) {
        self.sleep(100..4_000);
        self.look();
        let (took, code) = self.fleet.stop(self.router);
        if code != Some(0) {
            let (index, cause) = (self.router, "after SIGTERM, not 0");
            self.report(format!("r{index} ended with {code:?} in {took:?} {cause}"));
        }
    }

    /// Checks that this series' router has not ended by itself.
    fn look(&mut self) {
        thread::sleep(Duration::from_millis(10));
        if let Some(code) = self.fleet.ended(self.router) {
            self.report(format!("r{} ended by itself with {code}", self.router));
        }
    }

    fn report(&self, violation: String) {
        self.violations.lock().unwrap().push(violation);
    }

    /// Evacuates the failure domain of all targets, in which nothing runs from some time on, and revokes that.
    fn evacuation(&mut self) {
        let world = &self.fleet.world;
        let runs = || {
            let replicas = world.engines.iter().chain(&world.apps);
            replicas.map(|replica| replica.runs().len()).sum::<usize>()
        };
        let empty = serde_json::json!({});
        world.store.put("op", EVACUATION, &empty);
        thread::sleep(EVACUATION_BOUND);
        let before = runs();
        self.sleep(300..1_000);
        let after = runs();
        if after != before {
            let more = after - before;
            self.report(format!("{more} runs in the evacuated failure domain"));
        }
        world.store.remove("op", EVACUATION);
        self.sleep(500..1_500);
    }

    /// Changes how the store fails.
    fn store(&mut self) {
        let store = &self.fleet.world.store;
        let fault = self.pick(&[
            Fault::Busy,
            Fault::Silent,
            Fault::Reset,
            Fault::Lost,
            Fault::Slow(Duration::from_millis(300)),
        ]);
        store.fail(fault);
        self.sleep(50..1_500);
        if self.draw(4) == 0 {
            store.forget();
        }
        store.fail(Fault::None);
        self.sleep(50..1_000);
    }

    /// Writes new versions of the configuration, some in quick succession.
    fn configuration(&mut self) {
        for _ in 0..self.pick(&[1, 1, 4, 12]) {
            let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
            let mut next = configuration(version);
            let mut route = next["routes"][2].clone();
            for changed in next["routes"].as_array_mut().unwrap() {
                changed["priority"] = self.draw(3).into();
                changed["slo-ms"] = self.pick(&[200, 300, 600]).into();
            }
            for added in 0..self.draw(4) {
                route["name"] = format!("added-{added}").into();
                route["prefix"] = format!("/added-{version}-{added}/").into();
                next["routes"].as_array_mut().unwrap().push(route.clone());
            }
            self.fleet.world.store.put("op", "config", &next);
            self.sleep(5..80);
        }
        self.sleep(50..900);
    }

    /// Brings the store back from a copy; operators and targets write again after a while.
    fn restore(&mut self) {
        let world = &self.fleet.world;
        self.sleep(100..3_000);
        world.store.copy();
        self.sleep(100..2_500);
        world.store.restore();
        self.sleep(20..1_200);
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        world.store.put("op", "config", &configuration(version));
        for replica in world.engines.iter().chain(&world.apps) {
            replica.register("ready");
            self.sleep(1..200);
        }
    }

    /// Makes the open connections of some links to targets and to the store silent.
    fn silences(&mut self) {
        let links = [&self.fleet.stores, &self.fleet.targets];
        for link in links.into_iter().flatten() {
            if self.draw(2) == 0 {
                link.silence();
            }
        }
        self.sleep(300..3_000);
    }

    /// Cuts a router off from the store for a time.
    fn store_cuts(&mut self) {
        let fleet = self.fleet;
        let link = &fleet.stores[self.draw(fleet.len() as u64) as usize];
        link.cut();
        self.sleep(100..4_000);
        link.harm(Harm::None);
        self.sleep(100..2_000);
    }

    /// Lets a target announce in its responses that it leaves, and start again after a while.
    fn departures(&mut self) {
        let world = &self.fleet.world;
        let index = self.draw(3) as usize;
        let replica = self.pick(&[&world.engines[index], &world.apps[index]]);
        replica.announce_leaving(true);
        self.sleep(200..2_000);
        replica.restart();
        self.sleep(200..2_000);
    }

    /// Replaces an engine by one of any build.
    fn builds(&mut self) {
        let index = self.draw(3) as usize;
        let build = self.pick(&BUILDS);
        self.fleet.world.engines[index].replace(build);
        self.sleep(200..2_000);
    }

    /// Lets engines break streams off after some events.
    fn breaks(&mut self) {
        for engine in &self.fleet.world.engines {
            let after = 1 + self.draw(EVENTS - 2);
            let mode = self.pick(&[Mode::Good, Mode::CutAfter(after)]);
            engine.behave(mode);
        }
        self.sleep(50..400);
    }

    /// Lets targets send wrong IDs of events, reject requests, and answer with statuses that no response has.
    fn answers(&mut self) {
        let world = &self.fleet.world;
        for replica in world.engines.iter().chain(&world.apps) {
            let wrong = 1 + self.draw(EVENTS);
            let numbered = self.pick(&NUMBERED);
            let unnumbered = self.pick(&UNNUMBERED);
            let rejection = self.pick(&REJECTIONS);
            let mode = self.pick(&[
                Mode::Good,
                Mode::Misnumbered(wrong, numbered),
                Mode::Misnumbered(wrong, unnumbered),
                Mode::Rejecting(rejection),
                Mode::Rejecting(600),
                Mode::Rejecting(999),
            ]);
            replica.behave(mode);
        }
        self.sleep(50..600);
    }

    /// Lets targets name limits for a time.
    fn limits(&mut self) {
        let world = &self.fleet.world;
        let index = self.draw(3) as usize;
        let replica = self.pick(&[&world.engines[index], &world.apps[index]]);
        replica.name_limits(self.pick(&[&["0"][..], &["0.5"], &["3"], &["20.5"], &["-1"]]));
        self.sleep(200..2_500);
        replica.name_limits(&[]);
        self.sleep(20..500);
    }

    /// Harms the links between a router and some or all others, or delays all of them.
    fn router_links(&mut self) {
        let (mesh, count) = (&self.fleet.mesh, self.fleet.len());
        let router = self.draw(count as u64) as usize;
        let others = (0..count).filter(|other| *other != router);
        match self.draw(3) {
            0 => mesh.cut(router, others),
            1 => mesh.cut(router, others.step_by(2)),
            _ => mesh.delay(Duration::from_millis(10 + self.draw(300))),
        }
        self.sleep(100..3_000);
        mesh.heal();
        self.sleep(20..500);
    }

    /// Cuts a router off from all others and from the store for a time.
    fn isolate(&mut self) {
        let (fleet, count) = (self.fleet, self.fleet.len());
        let router = self.draw(count as u64) as usize;
        fleet
            .mesh
            .cut(router, (0..count).filter(|other| *other != router));
        fleet.stores[router].harm(self.pick(&[Harm::Silence, Harm::Refuse, Harm::None]));
        fleet.stores[router].reset();
        self.sleep(500..4_000);
        fleet.stores[router].harm(Harm::None);
        fleet.mesh.heal();
        self.sleep(100..1_500);
    }

    /// Changes how a target behaves, and what its entry says.
    fn targets(&mut self) {
        let world = &self.fleet.world;
        let index = self.draw(3) as usize;
        let pause = Duration::from_millis(1_000 + self.draw(400));
        let mode = self.pick(&[
            Mode::Good,
            Mode::Full,
            Mode::Pausing("0.7"),
            Mode::Failing,
            Mode::Lost,
            Mode::Mute,
            Mode::CutAfter(2),
            Mode::StallAfter(1),
            Mode::PauseBefore(pause),
            Mode::PauseAfter(0, pause),
            Mode::PauseAfter(3, pause),
            Mode::Crossed,
            Mode::Unsigned,
        ]);
        match self.draw(4) {
            0 => world.engines[index].behave(mode),
            1 => world.apps[index].behave(mode),
            2 => world.apps[index].register(self.pick(&["draining", "ready"])),
            _ => world.engines[index].register(self.pick(&["draining", "ready"])),
        }
        self.sleep(20..300);
    }

    /// Lets targets fall silent, each for a time, and go on.
    fn pauses(&mut self) {
        let world = &self.fleet.world;
        for replica in world.engines.iter().chain(&world.apps) {
            let pause = Duration::from_millis(1_000 + self.draw(400));
            let after = self.draw(EVENTS);
            let modes = [
                Mode::Good,
                Mode::PauseBefore(pause),
                Mode::PauseAfter(after, pause),
            ];
            replica.behave(self.pick(&modes));
        }
        self.sleep(100..1_500);
    }

    fn fronts(&mut self) {
        let fleet = self.fleet;
        self.link(&fleet.fronts);
    }

    fn store_links(&mut self) {
        let fleet = self.fleet;
        self.link(&fleet.stores);
    }

    fn target_links(&mut self) {
        let fleet = self.fleet;
        self.link(&fleet.targets);
    }

    /// Harms one of some links for a time.
    fn link(&mut self, links: &[Proxy]) {
        let link = &links[self.draw(links.len() as u64) as usize];
        let delay = Duration::from_millis(10 + self.draw(300));
        let harm = self.pick(&[
            Harm::None,
            Harm::Delay(delay),
            Harm::HoldRequests,
            Harm::HoldAnswers,
            Harm::Silence,
            Harm::Refuse,
        ]);
        link.harm(harm);
        if harm == Harm::None || self.draw(4) == 0 {
            link.reset();
        }
        self.sleep(100..1_400);
        link.harm(Harm::None);
        self.sleep(20..400);
    }
}
