//! Sends the load.

use super::{
    Arrival, Error, Flow, Kind, Lane, Outcome, Report, Route, Settings, Workload, Workspace,
    account::{Account, Entry},
    balance::{Balance, Taken},
    client::{Client, Hop, Watch},
    meter::{Meter, Meters},
    probe::Probe,
    report::Findings,
    request::Request,
};
use crate::{
    clock, id,
    unit::{Span, Time},
};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::{
    runtime::Builder,
    select,
    time::{interval, sleep, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Time between two readings of the targets' accounts.
const PROBE_INTERVAL: Span = Span::from_millis(250);
/// Wait of a closed loop after a refusal that names no time.
const DEFAULT_RETRY_AFTER: Span = Span::from_secs(1);
/// Wait of a closed loop after a failure; it keeps a dead router from being asked in a tight loop.
const FAILURE_PAUSE: Span = Span::from_millis(100);
/// Bits of a random stream's number for the caller and for the flow.
const CALLER_BITS: u32 = 24;
const FLOW_BITS: u32 = 16;

/// Runs a load and reports on it.
///
/// # Errors
///
/// Fails if there is nowhere to send a flow's requests or the threads cannot be started.
pub fn run(settings: Settings, workload: &Workload) -> Result<Report, Error> {
    check(&settings, workload)?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.threads.max(1))
        .thread_name("load")
        .enable_all()
        .build()
        .map_err(Error::Start)?;
    let findings = runtime.block_on(Driver::open(settings.clone(), workload).run(workload));
    runtime.shutdown_background();
    Ok(Report::of(&settings, workload, findings))
}

fn check(settings: &Settings, workload: &Workload) -> Result<(), Error> {
    if settings.route.routers() == 0 {
        return Err(Error::NoRoute);
    }
    for workspace in &workload.workspaces {
        for flow in &workspace.flows {
            check_flow(settings, workspace, flow)?;
        }
    }
    Ok(())
}

fn check_flow(settings: &Settings, workspace: &Workspace, flow: &Flow) -> Result<(), Error> {
    let has_target = || settings.targets.iter().any(|t| t.service == flow.service);
    if matches!(settings.route, Route::Direct { .. }) && !has_target() {
        return Err(Error::NoTarget {
            workspace: workspace.name.as_str().into(),
            service: flow.service.as_str().into(),
        });
    }
    let detail = match flow.arrival {
        Arrival::Rate(rate) if !(rate.is_finite() && rate > 0.0) => {
            "the rate must be a positive number"
        }
        _ if !(flow.hint_error.is_finite() && flow.hint_error >= 1.0) => {
            "hint_error must be at least 1"
        }
        _ => return Ok(()),
    };
    Err(Error::Flow {
        workspace: workspace.name.as_str().into(),
        service: flow.service.as_str().into(),
        detail,
    })
}

/// A flow together with its workspace.
struct Source {
    /// Number of the workspace, which decides its home router.
    home: usize,
    workspace: Workspace,
    number: usize,
    flow: Flow,
    meter: Arc<Meter>,
}

/// Sends the load.
struct Driver {
    settings: Settings,
    client: Client,
    /// What each router of a direct route knows.
    balances: Vec<Arc<Balance>>,
    meters: Meters,
    account: Mutex<Account>,
    start: Time,
    /// Sets the requests of this run apart from those of earlier ones at the same targets.
    run: u64,
    /// Ends the sending of new requests.
    stop: CancellationToken,
    /// Ends requests that are under way.
    abort: CancellationToken,
    tasks: TaskTracker,
}

impl Driver {
    fn open(settings: Settings, workload: &Workload) -> Arc<Self> {
        let balance = |_| Arc::new(Balance::new(settings.targets.clone()));
        Arc::new(Self {
            client: Client::open(),
            balances: (0..settings.route.routers()).map(balance).collect(),
            meters: Meters::new(lanes(workload)),
            account: Mutex::default(),
            start: clock::now(),
            run: clock::unix_millis(),
            stop: CancellationToken::new(),
            abort: CancellationToken::new(),
            tasks: TaskTracker::new(),
            settings,
        })
    }

    async fn run(self: Arc<Self>, workload: &Workload) -> Findings {
        let probes = tokio::spawn(Arc::clone(&self).probe());
        let sampler = tokio::spawn(Arc::clone(&self).sample());
        for (home, workspace) in workload.workspaces.iter().enumerate() {
            for (number, flow) in workspace.flows.iter().enumerate() {
                self.spawn(home, workspace, number, flow);
            }
        }
        sleep(self.settings.duration.into()).await;
        self.stop.cancel();
        // A sampler that fails has panicked, and the panic hook has printed why.
        let _ = sampler.await;
        let probes = probes.await.unwrap_or_default();
        self.drain().await;
        let mut runs = Vec::new();
        for probe in &probes {
            runs.push(probe.runs(&self.client).await);
        }
        let account = self.account.lock().unwrap_or_else(PoisonError::into_inner);
        Findings {
            start: self.start,
            account: account.clone(),
            series: self.meters.series(),
            probes,
            runs,
        }
    }

    /// Gives requests that are under way some time and then ends them.
    async fn drain(&self) {
        self.tasks.close();
        let drain = self.settings.drain.into();
        if timeout(drain, self.tasks.wait()).await.is_err() {
            self.abort.cancel();
            self.tasks.wait().await;
        }
    }

    fn spawn(self: &Arc<Self>, home: usize, workspace: &Workspace, number: usize, flow: &Flow) {
        let meter = self
            .meters
            .meter(workspace.name.as_str(), flow.service.as_str())
            .expect("each flow has a lane");
        let source = Arc::new(Source {
            home,
            workspace: workspace.clone(),
            number,
            flow: flow.clone(),
            meter,
        });
        match flow.arrival {
            Arrival::Rate(rate) => {
                let task = Arc::clone(self).open_loop(source, rate);
                self.tasks.spawn(task);
            }
            Arrival::Callers(callers) => {
                for caller in 0..callers {
                    let task = Arc::clone(self).closed_loop(Arc::clone(&source), caller);
                    self.tasks.spawn(task);
                }
            }
        }
    }

    /// Sends requests at random times, whatever becomes of the earlier ones.
    async fn open_loop(self: Arc<Self>, source: Arc<Source>, rate: f64) {
        let mut random = self.random(&source, 0);
        let mut next = self.start + source.flow.from;
        let until = self.until(&source.flow);
        for number in 0_u64.. {
            next = next + Arrival::interval(rate, &mut random);
            if next >= until || !self.wait_until(next).await {
                return;
            }
            let label = self.label(&source, 0, number);
            let request = Request::draw(&source.flow, &label, &mut random);
            let router = self.router(&source, &mut random);
            let task = Arc::clone(&self).send(Arc::clone(&source), request, router, next);
            self.tasks.spawn(task);
        }
    }

    /// Sends the next request after the answer to the last one.
    async fn closed_loop(self: Arc<Self>, source: Arc<Source>, caller: u32) {
        let mut random = self.random(&source, caller);
        let until = self.until(&source.flow);
        let mut next = self.start + source.flow.from;
        for number in 0_u64.. {
            if next >= until || !self.wait_until(next).await {
                return;
            }
            let label = self.label(&source, caller, number);
            let request = Request::draw(&source.flow, &label, &mut random);
            let router = self.router(&source, &mut random);
            let sending = Arc::clone(&self).send(Arc::clone(&source), request, router, next);
            let outcome = sending.await;
            next = clock::now() + pause(&outcome);
        }
    }

    /// Sends a request and counts how it ended.
    async fn send(
        self: Arc<Self>,
        source: Arc<Source>,
        request: Request,
        router: usize,
        sent: Time,
    ) -> Outcome {
        let mut watch = Watch::new(Arc::clone(&source.meter), sent);
        let (hop, _taken) = self.hop(&source, router);
        let outcome = select! {
            biased;
            () = self.abort.cancelled() => Outcome::Unfinished,
            outcome = self.client.send(&hop, &request, &mut watch) => outcome,
        };
        watch.waiting = None;
        let mut account = self.account.lock().unwrap_or_else(PoisonError::into_inner);
        account.add(Entry {
            workspace: &source.workspace.name,
            kind: source.flow.kind,
            quick: source.flow.quick,
            request: &request,
            watch: &watch,
            outcome: outcome.clone(),
        });
        outcome
    }

    /// Returns where a request goes and, if it goes straight to a target, its place there.
    fn hop(&self, source: &Source, router: usize) -> (Hop, Option<Taken>) {
        let bearer = source.workspace.key();
        let service = &source.flow.service;
        match &self.settings.route {
            Route::Routers(routers) => {
                let prefix = match source.flow.kind {
                    Kind::Call => format!("/s/{service}").into(),
                    Kind::Stream | Kind::Whole => Box::default(),
                };
                let address = routers[router];
                let hop = Hop {
                    address,
                    prefix,
                    bearer,
                };
                (hop, None)
            }
            Route::Direct { .. } => {
                let taken = self.balances[router].take(service);
                let taken = taken.expect("each service has a target");
                let hop = Hop {
                    address: taken.address(),
                    prefix: Box::default(),
                    bearer,
                };
                (hop, Some(taken))
            }
        }
    }

    /// Draws the number of a router.
    fn router(&self, source: &Source, random: &mut ChaCha8Rng) -> usize {
        let routers = self.settings.route.routers();
        source.workspace.spread.draw(source.home, routers, random)
    }

    /// Waits until a point in time; reports whether the run still goes on then.
    async fn wait_until(&self, time: Time) -> bool {
        let left = time.since(clock::now());
        select! {
            biased;
            () = self.stop.cancelled() => false,
            () = sleep(left.into()) => true,
        }
    }

    fn until(&self, flow: &Flow) -> Time {
        let end = flow.until.unwrap_or(self.settings.duration);
        self.start + end.min(self.settings.duration)
    }

    fn label(&self, source: &Source, caller: u32, number: u64) -> String {
        let (workspace, flow) = (&source.workspace.name, source.number);
        format!("{workspace}-{flow}-{caller}-{number}-{:x}", self.run)
    }

    /// Returns the random numbers of one caller; they depend on nothing else in the run.
    fn random(&self, source: &Source, caller: u32) -> ChaCha8Rng {
        let flow = (source.home << FLOW_BITS | source.number) as u64;
        let mut random = ChaCha8Rng::seed_from_u64(self.settings.seed);
        random.set_stream(flow << CALLER_BITS | u64::from(caller));
        random
    }

    async fn sample(self: Arc<Self>) {
        let mut ticks = interval(
            self.settings
                .sample_interval
                .max(Span::from_millis(1))
                .into(),
        );
        loop {
            select! {
                biased;
                () = self.stop.cancelled() => return,
                _ = ticks.tick() => {}
            }
            let now = clock::now();
            self.meters
                .sample(self.start, now, self.settings.backlog_after);
        }
    }

    async fn probe(self: Arc<Self>) -> Vec<Probe> {
        let mut probes = Vec::new();
        for target in &self.settings.targets {
            probes.push(Probe::open(&self.client, target.clone()).await);
        }
        let mut ticks = interval(PROBE_INTERVAL.into());
        loop {
            select! {
                biased;
                () = self.stop.cancelled() => return probes,
                _ = ticks.tick() => {}
            }
            for probe in &mut probes {
                probe.read(&self.client, clock::now()).await;
            }
        }
    }
}

/// Returns the lanes of a workload, each once.
fn lanes(workload: &Workload) -> Vec<Lane> {
    let mut lanes = Vec::new();
    for workspace in &workload.workspaces {
        let mut services: Vec<&id::Service> = workspace.flows.iter().map(|f| &f.service).collect();
        services.sort();
        services.dedup();
        lanes.extend(services.into_iter().map(|service| Lane {
            workspace: workspace.name.clone(),
            weight: workspace.weight,
            service: service.clone(),
        }));
    }
    lanes
}

/// Returns the wait of a closed loop before its next request.
fn pause(outcome: &Outcome) -> Span {
    match outcome {
        Outcome::Answered => Span(0),
        Outcome::Refused(retry_after) => retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
        _ => FAILURE_PAUSE,
    }
}
