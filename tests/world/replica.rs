//! Stand-in of a target: what it answers, how it fails, and what it ran.

use super::{
    Store,
    listener::{Answered, Body, Crash, Listener, answer, whole},
    process::free_address,
};
use bytes::Bytes;
use futures::{FutureExt, StreamExt, future::BoxFuture, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Request, Response,
    body::{Frame, Incoming},
};
use serde_json::{Value, json};
use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, Weak,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::sync::{Notify, watch};

/// Targets of this process, among which parts of prompts are copied.
static REPLICAS: Mutex<Vec<(SocketAddr, Weak<Shared>)>> = Mutex::new(Vec::new());

/// Start time of all targets at first, in Unix milliseconds.
pub(crate) const FIRST_START_MS: u64 = 1_700_000_000_000;

/// Software version of all targets at first.
pub(crate) const FIRST_BUILD: &str = "v1";

/// How a target behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Answers.
    Good,
    /// Refuses, and says that it did not run the request.
    Full,
    /// The same with this value of `Retry-After`.
    Pausing(&'static str),
    /// Runs the request and fails with 500.
    Failing,
    /// Runs the request and closes the connection without an answer.
    Lost,
    /// Runs the request and gives no answer.
    Mute,
    /// Breaks a stream off within an event, after this many whole ones.
    CutAfter(u64),
    /// Stops within a stream after this many events.
    StallAfter(u64),
    /// Sends nothing but comments within a stream after this many events, ten a second.
    CommentsAfter(u64),
    /// Sends the next event of a stream after this many events byte by byte, two a second.
    DripAfter(u64),
    /// Is silent for this long before it answers.
    PauseBefore(Duration),
    /// Is silent within a stream for this long after this many events, then goes on.
    PauseAfter(u64, Duration),
    /// Answers with the identifier of another request.
    Crossed,
    /// Answers without signature.
    Unsigned,
    /// Sends this event of a stream with another line in place of its ID.
    Misnumbered(u64, &'static str),
    /// Runs the request and answers with this status and [`REJECTION`].
    Rejecting(u16),
}

/// How far an answer has come when its target crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    BeforeHead,
    AfterHead,
    WithinEvent,
}

/// Body of the answer of a target that rejects a request.
pub(crate) const REJECTION: &str = "rejected";
/// Path of health checks.
pub(crate) const HEALTH_PATH: &str = "/healthz";
/// Time from the beginning of an answer to the crash that it causes.
const CRASH_AFTER: Duration = Duration::from_millis(100);
/// Time for which a crashed target is gone.
const DOWN: Duration = Duration::from_millis(1_500);

/// Warm-up of a target after each start: above a number of requests in a second it crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WarmUp {
    pub(crate) duration: Duration,
    pub(crate) max_per_s: usize,
}

/// State of a warm-up.
struct Cold {
    warm_up: WarmUp,
    until: Instant,
    /// Requests of the last second.
    latest: VecDeque<Instant>,
    /// Requests while it was cold, and the most of them in a second.
    requests: usize,
    most: usize,
}

/// A request that a target ran.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) at: Instant,
    pub(crate) request: String,
    pub(crate) target: String,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Parts of the prompt that the target copied from the one that the request named.
    pub(crate) copied: Vec<String>,
    /// Parts of the prompt that the target processed.
    pub(crate) processed: Vec<String>,
    /// The connection was closed before the answer was whole.
    pub(crate) dropped: bool,
}

struct State {
    mode: Mode,
    /// All responses say that the target leaves.
    leaving: bool,
    /// Values of `Server-Limit` in all responses.
    limits: Vec<String>,
    /// Times at which requests arrived, refused ones too.
    arrivals: Vec<Instant>,
    runs: Vec<Run>,
    /// Parts of prompts that crash the target, and how far an answer has come then.
    fatal: (Vec<String>, Option<Stage>),
    crashes: Vec<Instant>,
    /// Parts of prompts that it has cached.
    cached: BTreeSet<String>,
    /// Cache events so far, each with `+` or `-` and a part.
    events: Vec<(&'static str, String)>,
    /// Calls for cache events, with what they asked for; 404 if there are no events.
    event_calls: Vec<(Instant, String)>,
    has_events: bool,
    running: usize,
    most_running: usize,
    connections: usize,
    /// `None` if the target needs no warm-up.
    cold: Option<Cold>,
}

impl State {
    /// Returns the time for which the target stays cold.
    fn cold_left(&self) -> Duration {
        let cold = self.cold.as_ref();
        cold.map_or(Duration::ZERO, |cold| {
            cold.until.saturating_duration_since(Instant::now())
        })
    }

    /// Counts a request; returns whether the target crashes under it.
    fn count_cold(&mut self) -> bool {
        let now = Instant::now();
        let Some(cold) = self.cold.as_mut().filter(|cold| now < cold.until) else {
            return false;
        };
        cold.requests += 1;
        cold.latest.push_back(now);
        while now - cold.latest[0] >= Duration::from_secs(1) {
            cold.latest.pop_front();
        }
        cold.most = cold.most.max(cold.latest.len());
        cold.latest.len() > cold.warm_up.max_per_s
    }
}

/// A target; it ends when it is dropped, without a word.
pub(crate) struct Replica {
    pub(crate) name: String,
    shared: Arc<Shared>,
    listener: Listener,
}

struct Shared {
    name: String,
    service: String,
    store: Arc<Store>,
    /// Address in the target's entry.
    listed: Mutex<SocketAddr>,
    crash: OnceLock<Arc<Crash>>,
    state: Mutex<State>,
    /// Events of each stream, and the time between two.
    events: Mutex<(u64, Duration)>,
    hold: watch::Sender<bool>,
    /// Start time of its process, in Unix milliseconds.
    started_at_ms: AtomicU64,
    /// Writes of the entry so far.
    seq: AtomicU64,
    /// Software version; the events of a stream name it.
    build: Mutex<String>,
    /// Name of its present run, under which it is listed.
    listed_name: Mutex<String>,
}

impl Replica {
    /// Starts a target and registers it.
    pub(crate) fn bind(store: &Arc<Store>, service: &str, name: &str) -> Self {
        let address = free_address();
        let shared = Arc::new(Shared {
            name: name.into(),
            service: service.into(),
            store: store.clone(),
            listed: Mutex::new(address),
            crash: OnceLock::new(),
            state: Mutex::new(State {
                mode: Mode::Good,
                leaving: false,
                limits: Vec::new(),
                arrivals: Vec::new(),
                runs: Vec::new(),
                fatal: (Vec::new(), None),
                crashes: Vec::new(),
                cached: BTreeSet::new(),
                events: Vec::new(),
                event_calls: Vec::new(),
                has_events: true,
                running: 0,
                most_running: 0,
                connections: 0,
                cold: None,
            }),
            events: Mutex::new((5, Duration::from_millis(5))),
            hold: watch::Sender::new(false),
            started_at_ms: AtomicU64::new(FIRST_START_MS),
            seq: AtomicU64::new(0),
            build: Mutex::new(FIRST_BUILD.into()),
            listed_name: Mutex::new(name.into()),
        });
        let (served, restarted) = (shared.clone(), Arc::downgrade(&shared));
        let crash = Arc::new(Crash {
            now: Notify::new(),
            down: DOWN,
            restarted: Box::new(move || {
                if let Some(shared) = restarted.upgrade() {
                    shared.restart();
                }
            }),
        });
        shared.crash.get_or_init(|| crash.clone());
        let answerer = Arc::new(move |request| served.clone().serve(request));
        let listener = Listener::bind_crashing(address, answerer, crash);
        let replica = Self {
            name: name.into(),
            shared,
            listener,
        };
        let shared = Arc::downgrade(&replica.shared);
        REPLICAS.lock().unwrap().push((address, shared));
        replica.register("ready");
        replica
    }

    /// Sets the parts of prompts that crash the target, and how far an answer has come then.
    pub(crate) fn crash_on(&self, parts: &[&str], stage: Stage) {
        let parts = parts.iter().map(|part| (*part).to_owned());
        self.shared.state().fatal = (parts.collect(), Some(stage));
    }

    /// Sets the warm-up after each start from now on.
    pub(crate) fn warm_up(&self, warm_up: WarmUp) {
        self.shared.state().cold = Some(Cold {
            warm_up,
            until: Instant::now(),
            latest: VecDeque::new(),
            requests: 0,
            most: 0,
        });
    }

    /// Reports whether it is cold.
    pub(crate) fn is_cold(&self) -> bool {
        !self.shared.state().cold_left().is_zero()
    }

    /// Returns the number of requests that it got while it was cold, and the most of them in a second.
    pub(crate) fn requests_while_cold(&self) -> (usize, usize) {
        let state = self.shared.state();
        let cold = state.cold.as_ref();
        cold.map_or((0, 0), |cold| (cold.requests, cold.most))
    }

    /// Crashes.
    pub(crate) fn crash(&self) {
        self.shared.crash();
    }

    /// Returns the times of its crashes.
    pub(crate) fn crashes(&self) -> Vec<Instant> {
        self.shared.state().crashes.clone()
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Writes the target's entry with the address of a proxy before it.
    pub(crate) fn list_at(&self, address: SocketAddr) {
        *self.shared.listed.lock().unwrap() = address;
        self.register("ready");
    }

    /// Writes the target's entry with a state.
    pub(crate) fn register(&self, state: &str) {
        let started_at_ms = self.shared.started_at_ms.load(Ordering::Relaxed);
        self.register_run(state, started_at_ms);
    }

    /// Starts again under the same name, and registers.
    pub(crate) fn restart(&self) {
        self.shared.restart();
    }

    /// Writes the entry of a ready target again, if it is listed; nothing but the number of the write changes.
    pub(crate) fn beat(&self) {
        let started_at_ms = self.shared.started_at_ms.load(Ordering::Relaxed);
        let entry = self.shared.next_entry("ready", started_at_ms);
        let name = self.shared.listed_name.lock().unwrap().clone();
        self.shared.store.beat("servers", &name, &entry);
    }

    /// Writes the target's entry with a state and the start time of its process.
    pub(crate) fn register_run(&self, state: &str, started_at_ms: u64) {
        self.shared.register_run(state, started_at_ms);
    }

    /// Starts again with another software version, and registers.
    pub(crate) fn upgrade(&self, build: &str) {
        *self.shared.build.lock().unwrap() = build.into();
        self.restart();
    }

    /// Starts again under another name with another software version, as the platform has it. Streams of
    /// the run before go on.
    pub(crate) fn replace(&self, build: &str) {
        self.unregister();
        let seq = self.shared.seq.load(Ordering::Relaxed);
        *self.shared.listed_name.lock().unwrap() = format!("{}-{seq}", self.name);
        self.upgrade(build);
    }

    /// Removes the entry; the target goes on to serve.
    pub(crate) fn unregister(&self) {
        let name = self.shared.listed_name.lock().unwrap().clone();
        self.shared.store.remove("servers", &name);
    }

    pub(crate) fn behave(&self, mode: Mode) {
        self.shared.state().mode = mode;
    }

    /// Sets whether all responses say that the target leaves.
    pub(crate) fn announce_leaving(&self, leaving: bool) {
        self.shared.state().leaving = leaving;
    }

    /// Sets the values of `Server-Limit` in all responses.
    pub(crate) fn name_limits(&self, values: &[&str]) {
        let values = values.iter().map(|value| (*value).to_owned());
        self.shared.state().limits = values.collect();
    }

    /// Returns the times at which requests arrived, refused ones too.
    pub(crate) fn arrivals(&self) -> Vec<Instant> {
        self.shared.state().arrivals.clone()
    }

    /// Sets the events of each stream and the time between two.
    pub(crate) fn pace(&self, events: u64, gap: Duration) {
        *self.shared.events.lock().unwrap() = (events, gap);
    }

    /// Holds back all answers, or lets them go.
    pub(crate) fn hold(&self, held: bool) {
        self.shared.hold.send_replace(held);
    }

    /// Evicts a part of prompts.
    pub(crate) fn evict(&self, part: &str) {
        let mut state = self.shared.state();
        assert!(state.cached.remove(part));
        state.events.push(("-", part.to_owned()));
    }

    /// Answers calls for cache events with 404 from now on.
    pub(crate) fn have_no_events(&self) {
        self.shared.state().has_events = false;
    }

    /// Returns the calls for cache events, with what they asked for.
    pub(crate) fn event_calls(&self) -> Vec<(Instant, String)> {
        self.shared.state().event_calls.clone()
    }

    pub(crate) fn runs(&self) -> Vec<Run> {
        self.shared.state().runs.clone()
    }

    pub(crate) fn running(&self) -> usize {
        self.shared.state().running
    }

    pub(crate) fn most_running(&self) -> usize {
        self.shared.state().most_running
    }
}

/// Counts a run until it is dropped.
struct Running {
    shared: Arc<Shared>,
    index: usize,
    whole: bool,
}

impl Running {
    /// Notes that the answer is whole.
    fn finish(&mut self) {
        self.whole = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.running -= 1;
        state.runs[self.index].dropped = !self.whole;
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Starts again under the same name, and registers.
    fn restart(&self) {
        let started_at_ms = self.started_at_ms.fetch_add(1, Ordering::Relaxed) + 1;
        let mut state = self.state();
        state.leaving = false;
        state.cached.clear();
        if let Some(cold) = &mut state.cold {
            cold.until = Instant::now() + cold.warm_up.duration;
            cold.latest.clear();
        }
        drop(state);
        self.register_run("ready", started_at_ms);
    }

    fn register_run(&self, state: &str, started_at_ms: u64) {
        let name = self.listed_name.lock().unwrap().clone();
        let entry = self.next_entry(state, started_at_ms);
        self.store.put("servers", &name, &entry);
    }

    /// Returns the entry of the next write.
    fn next_entry(&self, state: &str, started_at_ms: u64) -> Value {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let cold_left = u64::try_from(self.state().cold_left().as_millis()).unwrap();
        json!({
            "service": self.service, "address": self.listed.lock().unwrap().to_string(),
            "zone": "east", "version": *self.build.lock().unwrap(), "slots": 8, "state": state,
            "cold-left-ms": cold_left, "born": started_at_ms, "seq": seq,
        })
    }

    fn crash(&self) {
        let now = Instant::now();
        let mut state = self.state();
        let is_down = state.crashes.last().is_some_and(|last| now - *last < DOWN);
        if is_down {
            return;
        }
        state.crashes.push(now);
        drop(state);
        if let Some(crash) = self.crash.get() {
            crash.now.notify_one();
        }
    }

    /// Returns how far the answer to a prompt comes before it crashes the target.
    fn fatal_stage(&self, headers: &HeaderMap) -> Option<Stage> {
        let parts = headers.get("x-marlrun-prompt-prefix")?.to_str().unwrap();
        let (fatal, stage) = self.state().fatal.clone();
        let mut names = parts.split(',').map(|part| part.split(':').next().unwrap());
        names
            .any(|name| fatal.iter().any(|part| part == name))
            .then_some(stage)?
    }

    /// Copies and processes the parts of a prompt that are not cached; returns both.
    fn fill_cache(&self, headers: &HeaderMap) -> (Vec<String>, Vec<String>) {
        let text = |name: &str| headers.get(name).map(|value| value.to_str().unwrap());
        let Some(parts) = text("x-marlrun-prompt-prefix") else {
            return (Vec::new(), Vec::new());
        };
        let names = parts.split(',').map(|part| part.split(':').next().unwrap());
        let source = text("kv-fetch").map(|address| address.parse().unwrap());
        let source = source.map_or_else(BTreeSet::new, |address: SocketAddr| {
            let replicas = REPLICAS.lock().unwrap();
            let source = replicas.iter().find(|(other, _)| *other == address);
            let source = source.and_then(|(_, shared)| shared.upgrade());
            source.map_or_else(BTreeSet::new, |shared| shared.state().cached.clone())
        });
        let mut state = self.state();
        let lacked = names.filter(|name| state.cached.insert((*name).to_owned()));
        let lacked: Vec<String> = lacked.map(str::to_owned).collect();
        let events = lacked.iter().map(|part| ("+", part.clone()));
        state.events.extend(events);
        lacked.into_iter().partition(|name| source.contains(name))
    }

    fn serve(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Answered> {
        async move {
            self.state().arrivals.push(Instant::now());
            // Requests for another run of the target don't count.
            let expected = request.headers().get("x-marlrun-expect-instance");
            let listed = self.listed_name.lock().unwrap().clone();
            let is_misdirected = expected.is_some_and(|name| name.as_bytes() != listed.as_bytes());
            if !is_misdirected && self.state().count_cold() {
                self.crash();
                return std::future::pending().await;
            }
            if request.uri().path() == HEALTH_PATH {
                let mut health = answer(200, "");
                let left = self.state().cold_left().as_millis();
                let headers = health.headers_mut();
                headers.insert("x-marlrun-instance-id", listed.parse().unwrap());
                headers.insert("x-marlrun-cold-ms", left.to_string().parse().unwrap());
                return Ok(health);
            }
            let mut answered = self.clone().respond(request).await;
            if let Ok(response) = &mut answered {
                let state = self.state();
                let headers = response.headers_mut();
                if state.leaving {
                    headers.insert("server-leaving", "1".parse().unwrap());
                }
                for limit in &state.limits {
                    headers.append("server-limit", limit.parse().unwrap());
                }
            }
            answered
        }
        .boxed()
    }

    fn respond(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Answered> {
        async move {
            let (head, body) = request.into_parts();
            // Before the name: a run that accepts the request writes all its events.
            let build = self.build.lock().unwrap().clone();
            let body = body.collect().await.map_err(std::io::Error::other)?;
            let text = |name: &str| {
                let value = head.headers.get(name);
                value.map(|value| value.to_str().unwrap().to_owned())
            };
            let name = text("x-marlrun-request-id").unwrap_or_default();
            let listed_name = self.listed_name.lock().unwrap().clone();
            if let Some(since) = head.uri.to_string().strip_prefix("/api/kv-events?since=") {
                return Ok(self.cache_events(since));
            }
            if text("x-marlrun-expect-instance").as_ref() != Some(&listed_name) {
                return Ok(answer(421, ""));
            }
            let mode = self.state().mode;
            if let Mode::Full | Mode::Pausing(_) = mode {
                let mut refusal = answer(503, "");
                sign(&mut refusal, &name);
                refusal
                    .headers_mut()
                    .insert("x-marlrun-not-run", "1".parse().unwrap());
                if let Mode::Pausing(time) = mode {
                    let headers = refusal.headers_mut();
                    headers.insert("retry-after", time.parse().unwrap());
                }
                return Ok(refusal);
            }
            let after = text("last-event-id").and_then(|last| last.parse().ok());
            let fatal = self.fatal_stage(&head.headers);
            let (copied, processed) = self.fill_cache(&head.headers);
            let run = Run {
                copied,
                processed,
                at: Instant::now(),
                request: name.clone(),
                target: self.name.clone(),
                method: head.method.to_string(),
                path: head.uri.to_string(),
                headers: head.headers.clone(),
                body: body.to_bytes(),
                dropped: false,
            };
            let mut running = self.begin(run);
            let mut hold = self.hold.subscribe();
            // The sender lives as long as the target.
            let _ = hold.wait_for(|held| !held).await;
            if let Mode::PauseBefore(pause) = mode {
                tokio::time::sleep(pause).await;
            }
            if let Some(stage) = fatal {
                return self.clone().answer_fatally(stage, &name, running).await;
            }
            match mode {
                Mode::Failing => {
                    running.finish();
                    let mut failure = answer(500, "out of order");
                    sign(&mut failure, &name);
                    Ok(failure)
                }
                Mode::Rejecting(status) => {
                    running.finish();
                    let mut rejection = answer(status, REJECTION);
                    sign(&mut rejection, &name);
                    Ok(rejection)
                }
                Mode::Lost => Err(std::io::ErrorKind::ConnectionReset.into()),
                Mode::Mute => std::future::pending().await,
                _ if head.headers.contains_key("x-marlrun-token-count") => {
                    let mut response =
                        Response::new(self.stream(build, mode, after.unwrap_or(0), running));
                    sign(&mut response, &name);
                    Ok(response)
                }
                _ => {
                    running.finish();
                    let mut response = answer(200, format!("answer to {name}"));
                    let named = if mode == Mode::Crossed {
                        "another"
                    } else {
                        &name
                    };
                    if mode != Mode::Unsigned {
                        sign(&mut response, named);
                    }
                    Ok(response)
                }
            }
        }
        .boxed()
    }

    /// Begins an answer, and crashes.
    /// Answers a call for cache events at once, so that it can't delay the end of a test.
    fn cache_events(&self, since: &str) -> Response<Body> {
        let mut state = self.state();
        state.event_calls.push((Instant::now(), since.to_owned()));
        if !state.has_events {
            return answer(404, "");
        }
        let since: usize = since.parse().unwrap();
        let events = state.events.iter().enumerate().skip(since);
        let events = events
            .map(|(number, (change, part))| json!([number + 1, change, "", part, 100_000, "m"]));
        let body = json!({
            "epoch": self.started_at_ms.load(Ordering::Relaxed), "next": state.events.len(), "lost": false,
            "events": events.collect::<Vec<_>>(),
        });
        answer(200, body.to_string())
    }

    async fn answer_fatally(
        self: Arc<Self>,
        stage: Stage,
        name: &str,
        running: Running,
    ) -> Answered {
        if stage == Stage::BeforeHead {
            tokio::time::sleep(CRASH_AFTER).await;
            self.crash();
            return std::future::pending().await;
        }
        let first = if stage == Stage::WithinEvent {
            "id: 1\nda"
        } else {
            ""
        };
        let first = stream::iter([Ok(Frame::data(Bytes::from(first)))]);
        let crash = stream::once(async move {
            let _running = running;
            tokio::time::sleep(CRASH_AFTER).await;
            self.crash();
            std::future::pending().await
        });
        let mut response = Response::new(StreamBody::new(first.chain(crash)).boxed_unsync());
        sign(&mut response, name);
        Ok(response)
    }

    fn begin(self: &Arc<Self>, run: Run) -> Running {
        let mut state = self.state();
        state.running += 1;
        state.most_running = state.most_running.max(state.running);
        state.runs.push(run);
        Running {
            shared: self.clone(),
            index: state.runs.len() - 1,
            whole: false,
        }
    }

    fn stream(self: &Arc<Self>, build: String, mode: Mode, after: u64, running: Running) -> Body {
        let (count, gap) = *self.events.lock().unwrap();
        let items = stream::unfold((after + 1, running), move |(number, mut running)| {
            let build = build.clone();
            async move {
                if number > count {
                    running.finish();
                    return None;
                }
                let pause = match mode {
                    Mode::PauseAfter(last, pause) if number == last + 1 => pause,
                    _ => gap,
                };
                tokio::time::sleep(pause).await;
                let item = match mode {
                    Mode::CutAfter(last) if number == last + 1 => {
                        Ok(Bytes::from(format!("id: {number}\nda")))
                    }
                    Mode::CutAfter(last) if number > last => {
                        Err(std::io::ErrorKind::ConnectionReset.into())
                    }
                    Mode::StallAfter(last) if number > last => std::future::pending().await,
                    Mode::CommentsAfter(last) if number > last => {
                        tokio::time::sleep(Duration::from_millis(100)).await;
                        return Some((Ok(Bytes::from(": nothing yet\n\n")), (number, running)));
                    }
                    Mode::DripAfter(last) if number > last => {
                        tokio::time::sleep(Duration::from_millis(500)).await;
                        return Some((Ok(Bytes::from("i")), (number, running)));
                    }
                    Mode::Misnumbered(wrong, line) if number == wrong => {
                        let id = format!("id: {number}");
                        Ok(event_of(&build, number).replacen(&id, line, 1).into())
                    }
                    _ => Ok(Bytes::from(event_of(&build, number))),
                };
                Some((item, (number + 1, running)))
            }
        });
        StreamBody::new(items.map(|item| item.map(Frame::data))).boxed_unsync()
    }
}

/// Returns an event of a stream as all targets of the first software version generate it.
pub(crate) fn event(number: u64) -> String {
    event_of(FIRST_BUILD, number)
}

/// Returns an event of a stream as all targets of a software version generate it.
pub(crate) fn event_of(build: &str, number: u64) -> String {
    if build == FIRST_BUILD {
        format!("id: {number}\ndata: piece {number}\n\n")
    } else {
        format!("id: {number}\ndata: piece {number} of {build}\n\n")
    }
}

fn sign(response: &mut Response<Body>, name: &str) {
    let headers = response.headers_mut();
    headers.insert("x-marlrun-request-id", name.parse().unwrap());
    headers.insert("x-marlrun-response-stamp", "1.2.3".parse().unwrap());
}

/// Returns an empty body.
pub(crate) fn nothing() -> Body {
    whole(Bytes::new())
}
