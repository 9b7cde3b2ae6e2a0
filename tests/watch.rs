//! Watched lists while the platform comes back from a copy, read from the platform and from the
//! cached list of another router.

use futures::{FutureExt, future::BoxFuture};
use marlrun::{
    clock,
    mirror::Cache,
    unit::{Era, Span, Time},
    watch::{Event, Fault, Page, Position, Row, Settings, Source, Watcher},
};
use proptest::prelude::*;
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::sync::{Notify, mpsc};

type Rows = BTreeMap<Box<str>, Option<Vec<u8>>>;

/// The platform's list, with all that it ever acknowledged.
#[derive(Default)]
struct Platform {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Clone, Default)]
struct State {
    position: Position,
    rows: Rows,
    /// Keys by the version of their change in this era.
    changes: Vec<(u64, Box<str>)>,
    /// Rows at each position.
    history: BTreeMap<Position, Rows>,
    /// Each position, with the time from which it held.
    reached: Vec<(Time, Position)>,
}

impl Platform {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn write(&self, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.state();
        state.position.version += 1;
        let (position, key) = (state.position, Box::from(key));
        state.changes.push((position.version, Box::clone(&key)));
        match value {
            Some(value) => state.rows.insert(key, Some(value)),
            None => state.rows.remove(&key),
        };
        let rows = state.rows.clone();
        state.history.insert(position, rows);
        state.reached.push((clock::now(), position));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Comes back from a copy.
    fn restore(&self, copy: &State) {
        let mut state = self.state();
        let era = Era(state.position.era.0 + 1);
        state.position = Position {
            era,
            ..copy.position
        };
        state.rows = copy.rows.clone();
        state.changes = copy.changes.clone();
        let (position, rows) = (state.position, state.rows.clone());
        state.history.insert(position, rows);
        state.reached.push((clock::now(), position));
        drop(state);
        self.changed.notify_waiters();
    }

    fn gone() -> Fault {
        Fault::Compacted {
            endpoint: "the platform".into(),
        }
    }
}

fn page(entries: Vec<Row>, position: Position) -> Page<Row> {
    Page {
        entries,
        position,
        age: Span(0),
    }
}

/// Returns a page as a call would, after other tasks have run.
fn deliver(page: Page<Row>) -> BoxFuture<'static, Result<Page<Row>, Fault>> {
    async move {
        tokio::task::yield_now().await;
        Ok(page)
    }
    .boxed()
}

impl Source for Platform {
    fn read(&self) -> BoxFuture<'_, Result<Page<Row>, Fault>> {
        let state = self.state();
        let rows = state.rows.iter();
        let rows = rows.map(|(key, value)| Row {
            key: key.clone(),
            value: value.clone(),
        });
        deliver(page(rows.collect(), state.position))
    }

    /// Answers a call that waits across a restore as the platform does: by the number alone.
    fn changes(&self, after: Position, wait: Span) -> BoxFuture<'_, Result<Page<Row>, Fault>> {
        async move {
            let waited = tokio::time::sleep(wait.into());
            tokio::pin!(waited);
            let mut over = false;
            loop {
                let changed = self.changed.notified();
                {
                    let state = self.state();
                    if after.version > state.position.version {
                        return Err(Self::gone());
                    }
                    let newer = state.changes.iter();
                    let newer = newer.filter(|(version, _)| *version > after.version);
                    let rows = newer.map(|(_, key)| Row {
                        key: key.clone(),
                        value: state.rows.get(key).cloned().flatten(),
                    });
                    let rows: Vec<Row> = rows.collect();
                    if over || !rows.is_empty() {
                        return Ok(page(rows, state.position));
                    }
                }
                tokio::select! {
                    () = changed => {}
                    () = &mut waited => over = true,
                }
            }
        }
        .boxed()
    }
}

/// A router's cached list first, and the platform when it fails.
struct Follower {
    cache: Arc<Cache>,
    platform: Arc<Platform>,
    failed: AtomicBool,
}

impl Source for Follower {
    fn check(&self, after: Position) -> BoxFuture<'_, Result<Page<Row>, Fault>> {
        async move {
            match self.cache.check(after, Span::from_millis(50)).await {
                Some(page) => page.ok_or_else(Platform::gone),
                None => self.platform.check(after).await,
            }
        }
        .boxed()
    }

    fn read(&self) -> BoxFuture<'_, Result<Page<Row>, Fault>> {
        let failed = self.failed.swap(false, Ordering::Relaxed);
        match self.cache.snapshot() {
            Some(page) if !failed => deliver(page),
            _ => self.platform.read(),
        }
    }

    fn report_failure(&self) {
        self.failed.store(true, Ordering::Relaxed);
    }

    fn changes(&self, after: Position, wait: Span) -> BoxFuture<'_, Result<Page<Row>, Fault>> {
        async move {
            tokio::task::yield_now().await;
            match self.cache.changes(after, wait).await {
                Some(page) => page.ok_or_else(Platform::gone),
                None => Err(Fault::Refused {
                    endpoint: "the cached list".into(),
                    status: 503,
                }),
            }
        }
        .boxed()
    }
}

/// Settings of a list on a fast network.
const SETTINGS: Settings = Settings {
    wait: Span::from_millis(20),
    margin: Span::from_millis(500),
    batch_delay: Span(0),
    min_backoff: Span::from_millis(1),
    max_backoff: Span::from_millis(2),
};

/// What a watcher's reader knows.
#[derive(Default)]
struct Reader {
    position: Position,
    rows: Rows,
    events: usize,
    /// Number of checks that the platform answered.
    checks: usize,
}

/// Maximum number of events of a day; far more than it has changes.
const MAX_EVENTS: usize = 1_000;

impl Reader {
    /// Applies an event and compares the result with what the platform acknowledged.
    fn apply(&mut self, event: Event<Row>, platform: &Platform) {
        self.events += 1;
        assert!(self.events < MAX_EVENTS, "{event:?}");
        if let Event::Checked { asked } = event {
            self.checks += 1;
            let state = platform.state();
            let reached = state.reached.iter().rfind(|(at, _)| *at < asked);
            let (_, reached) = reached.expect("the platform has rows");
            let known = self.position;
            assert!(known >= *reached, "checked at {known}, after {reached}");
        }
        let Some(position) = event.position() else {
            return;
        };
        assert!(position >= self.position, "{position}: {}", self.position);
        if position.era > self.position.era {
            assert!(matches!(event, Event::Full { .. }), "{event:?}");
        }
        self.position = position;
        if let Event::Full { .. } = event {
            self.rows.clear();
        }
        if let Event::Full { entries, .. } | Event::Changed { entries, .. } = event {
            for row in entries {
                match row.value {
                    Some(value) => self.rows.insert(row.key, Some(value)),
                    None => self.rows.remove(&row.key),
                };
            }
        }
        let expected = platform.state().history.get(&position).cloned();
        assert_eq!(expected.as_ref(), Some(&self.rows), "{position}");
    }
}

/// Plays a day: writes, with a restore at one moment from a copy of an earlier one.
async fn play(writes: Vec<(u8, bool)>, restore: usize, age: usize) {
    let platform = Arc::<Platform>::default();
    platform.write("first", Some(b"0".to_vec()));
    let cache = Arc::new(Cache::new(Span::from_secs(10)));
    let (leader_sender, mut leader_events) = mpsc::unbounded_channel();
    let (follower_sender, mut follower_events) = mpsc::unbounded_channel();
    let _leader = Watcher::spawn(platform.clone(), SETTINGS, cache.checks(), leader_sender);
    let source = Arc::new(Follower {
        cache: cache.clone(),
        platform: platform.clone(),
        failed: AtomicBool::new(false),
    });
    let checks = Arc::<Notify>::default();
    let _follower = Watcher::spawn(source, SETTINGS, checks.clone(), follower_sender);
    let (mut leader, mut follower) = (Reader::default(), Reader::default());
    let day = async {
        let mut copies = Vec::new();
        for (moment, (key, present)) in writes.iter().enumerate() {
            copies.push(platform.state().clone());
            if moment == restore {
                platform.restore(&copies[moment.saturating_sub(age)]);
                // Some restores are met by a waiting call, others by the next one.
                if key % 2 == 0 {
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
            }
            if key % 3 == 0 {
                checks.notify_one();
            }
            let value = present.then(|| format!("{moment} of era {restore}").into_bytes());
            platform.write(&format!("key-{}", key % 3), value);
            if key % 4 == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        checks.notify_one();
        platform.state().position
    };
    tokio::pin!(day);
    let mut last = None;
    let limit = tokio::time::sleep(Duration::from_secs(20));
    tokio::pin!(limit);
    let is_over = |leader: &Reader, follower: &Reader, last| {
        leader.position == last && follower.position == last && follower.checks > 0
    };
    while last.is_none_or(|last| !is_over(&leader, &follower, last)) {
        tokio::select! {
            end = &mut day, if last.is_none() => last = Some(end),
            Some(event) = leader_events.recv() => {
                cache.apply(&event);
                leader.apply(event, &platform);
            }
            Some(event) = follower_events.recv() => follower.apply(event, &platform),
            () = &mut limit => panic!(
                "leader at {}, follower at {}, platform at {}",
                leader.position, follower.position, platform.state().position,
            ),
        }
    }
    assert_eq!(leader.rows, follower.rows);
}

#[test]
fn restore_at_any_moment() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let day = prop::collection::vec((any::<u8>(), any::<bool>()), 1..10);
    let config = ProptestConfig::with_cases(24);
    proptest!(config, |(writes in day)| {
        runtime.block_on(async {
            let moments = (0..writes.len()).flat_map(|restore| (0..4).map(move |age| (restore, age)));
            let days = moments.map(|(restore, age)| play(writes.clone(), restore, age));
            futures::future::join_all(days).await;
        });
    });
}

/// Time that a call takes to fail.
const FAILURE_TIME: Span = Span::from_millis(60);

/// A platform whose reads fail after some time, and the beginning and end of each.
#[derive(Default)]
struct Failing(Mutex<Vec<(Time, Time)>>);

impl Source for Failing {
    fn read(&self) -> BoxFuture<'_, Result<Page<Row>, Fault>> {
        async move {
            let begun = clock::now();
            tokio::time::sleep(FAILURE_TIME.into()).await;
            self.0.lock().unwrap().push((begun, clock::now()));
            Err(Platform::gone())
        }
        .boxed()
    }

    fn changes(&self, _: Position, _: Span) -> BoxFuture<'_, Result<Page<Row>, Fault>> {
        async { Err(Platform::gone()) }.boxed()
    }
}

/// Guards against pauses between calls that have already taken long to fail: what happens meanwhile is noticed late.
#[tokio::test]
async fn slow_failures_follow_each_other() {
    let source = Arc::<Failing>::default();
    let settings = Settings {
        min_backoff: Span::from_millis(25),
        max_backoff: Span::from_millis(50),
        ..SETTINGS
    };
    let (sender, _events) = mpsc::unbounded_channel();
    let _watcher = Watcher::spawn(source.clone(), settings, Arc::default(), sender);
    tokio::time::timeout(Duration::from_secs(20), async {
        while source.0.lock().unwrap().len() < 5 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await
    .unwrap();
    let reads = source.0.lock().unwrap().clone();
    let pauses = reads.windows(2).map(|pair| pair[1].0.since(pair[0].1));
    let shortest = pauses.min().unwrap();
    assert!(shortest < Span::from_millis(10), "{shortest}");
}
