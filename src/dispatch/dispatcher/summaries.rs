//! Summaries for other routers.

use super::{Dispatcher, Peer};
use crate::{
    dispatch::{
        Batch, Request, View, account::Account, announced::Announced, baseline::Baseline, hazards,
        origins::Announcement, tokens::Tokens,
    },
    gossip::{self, Scope},
    id,
    unit::{Span, Time, Version},
};
use std::{cmp::Reverse, collections::HashMap};

/// Interval at which all usages are sent again, since datagrams may be lost.
const FULL_INTERVAL: Span = Span::from_millis(500);
/// Intervals at which changed usages are sent between groups and to a follower; fractions of the
/// window over which shares are computed. A follower sends its own, which are few, in each summary.
const GROUP_USAGE_INTERVAL: Span = Span::from_millis(100);
const REST_USAGE_INTERVAL: Span = Span::from_millis(150);
/// Maximum time without a summary. A router that follows another one looks for a new one after four
/// of these.
const KEEPALIVE_INTERVAL: Span = Span::from_millis(100);
/// Time for which a prompt part at a target is not announced again. Targets cache parts for several
/// seconds after their last use.
const ANNOUNCE_INTERVAL: Span = Span::from_millis(1_000);
/// Maximum number of items of all kinds in a summary. With names of usual length, it then fits in a
/// datagram.
const MAX_SUMMARY_ITEMS: usize = 56;
/// Datagrams of loads and prefills that a router sends in one round to all recipients together. At
/// the rate limit of datagrams, rounds then follow each other within [`KEEPALIVE_INTERVAL`].
const ROUND_DATAGRAMS: usize = 100;
/// Maximum number of datagrams of loads and prefills for one recipient in a round.
const MAX_RECIPIENT_DATAGRAMS: usize = 8;
/// Maximum number of streams in a round that were not announced before, for each recipient.
const MAX_NEW_ORIGINS: usize = 448;
/// Streams that take as much room in a summary as one item of another kind.
const ORIGINS_PER_ITEM: usize = 2;
/// Maximum number of pairs of service and build in a summary; each takes the room of several streams.
const MAX_ORIGIN_GROUPS: usize = 4;
/// Maximum number of findings in a round that were not announced before, for each recipient.
const MAX_NEW_FINDINGS: usize = 112;
/// Items of other kinds that take as much room in a summary as one finding.
const ITEMS_PER_FINDING: usize = 2;
/// The same for one limit.
const ITEMS_PER_LIMIT: usize = 2;
/// Weight of one request in the moving average of the fraction of tokens that are not shared.
const UNSHARED_ALPHA: f64 = 0.02;

/// Contents of a message to one set of recipients, before it is split into summaries.
struct Content {
    scope: Scope,
    version: Version,
    router_count: u32,
    age: Span,
    crowded_permille: Option<u16>,
    demand: u32,
    limits: Vec<gossip::Limit>,
    pauses: Vec<gossip::Pause>,
    builds: Vec<gossip::Build>,
    loads: Vec<gossip::Load>,
    usages: Vec<gossip::Usage>,
    prefills: Vec<gossip::Prefill>,
    origins: Vec<gossip::Origin>,
    findings: Vec<gossip::Finding>,
}

/// Load of a target, added up over routers.
#[derive(Clone, Copy, Default)]
struct Total {
    view: View,
    /// Routers that report the target as failing.
    suspects: u32,
}

impl Total {
    fn add(&mut self, load: &gossip::Load) {
        self.view = self.view.plus(load.into());
        self.suspects += u32::from(load.suspect);
    }
}

/// What a round of summaries is made from.
struct Round {
    now: Time,
    leaving: bool,
    /// Maximum number of loads and prefills for a recipient.
    max_items: usize,
    prefills: Vec<(Option<id::Router>, gossip::Prefill)>,
    origins: Vec<Announcement>,
    findings: Vec<hazards::Announcement>,
    /// Pauses of targets with their ends, with the router that reported them, `None` for this one.
    pauses: Vec<(Option<id::Router>, (u64, Time))>,
    /// Loads of all targets, added up over this router and all others.
    totals: HashMap<u64, Total>,
}

impl Dispatcher {
    /// Returns the summaries to be sent to other routers now.
    pub fn summarize(&mut self, now: Time, leaving: bool) -> Vec<Batch> {
        if now.since(self.last_cleanup) >= FULL_INTERVAL {
            self.last_cleanup = now;
            self.announced_prefills
                .retain(|_, (at, _)| now.since(*at) < ANNOUNCE_INTERVAL);
            self.shared_parts.expire(now);
            self.refresh_builds(now);
            self.limits.expire(now);
            let names = &self.names;
            self.baseline.retain(|target| names.contains_key(&target));
            for peer in self.peers.values_mut() {
                peer.baseline.retain(|target| names.contains_key(&target));
            }
        }
        self.refresh_limits(now);
        let followers = self.followers();
        let recipient_count = followers.len() + self.recipients().1.len();
        let datagrams = ROUND_DATAGRAMS / recipient_count.max(1);
        let max_items = datagrams.clamp(1, MAX_RECIPIENT_DATAGRAMS) * MAX_SUMMARY_ITEMS;
        let round = Round {
            now,
            leaving,
            max_items,
            prefills: self.take_prefills(now, max_items / 4),
            origins: self
                .origins
                .take_announcements(&self.builds, MAX_NEW_ORIGINS),
            findings: self.hazards.take_announcements(now, MAX_NEW_FINDINGS),
            pauses: self.pauses.take(),
            totals: if followers.is_empty() {
                HashMap::new()
            } else {
                self.totals(now)
            },
        };
        let mut batches = self.leave_notices();
        batches.extend(self.summarize_group(&round));
        batches.extend(self.summarize_untold(&round));
        for follower in followers {
            batches.extend(self.summarize_rest(&round, &follower));
        }
        batches
    }

    /// Adds up the loads of all targets over this router and all others.
    fn totals(&self, now: Time) -> HashMap<u64, Total> {
        let unreachable = self.unreachable(now);
        let targets = self.targets.values();
        let mut totals: HashMap<u64, Total> = targets
            .map(|target| {
                let is_suspect = target.health.is_suspect() || unreachable.contains(&target.key);
                let total = Total {
                    view: target.own.plus(target.others),
                    suspects: u32::from(is_suspect),
                };
                (target.key, total)
            })
            .collect();
        for load in self.peers.values().flat_map(|peer| peer.loads.values()) {
            if let Some(total) = totals.get_mut(&load.target) {
                total.suspects += u32::from(load.suspect);
            }
        }
        totals
    }

    /// Records the parts of a prompt that was sent to a target. In a large fleet, the last part is
    /// left out: hardly any other request shares it, and there are more of these than of all others.
    pub(super) fn announce(&mut self, target: u64, request: &Request) {
        let Some(prompt) = &request.prompt else {
            return;
        };
        let Some((last, shared)) = prompt.parts.split_last() else {
            return;
        };
        let fraction = f64::from(last.tokens) / prompt.cost().max(1) as f64;
        self.unshared_fraction += UNSHARED_ALPHA * (fraction - self.unshared_fraction);
        let announced = if self.is_large_fleet() {
            shared
        } else {
            &prompt.parts
        };
        let copied_from = self.copyable_prompt(request).and(self.names.get(&target));
        let copied_from = copied_from.and_then(|name| self.targets.get(name));
        let prefills = announced.iter().map(|part| gossip::Prefill {
            target,
            part: part.id,
            tokens: part.tokens,
            prefilled: copied_from.is_some_and(|target| target.cache.is_prefilled(part.id)),
            evicted: false,
        });
        let prefills: Vec<_> = prefills.map(|prefill| (None, prefill)).collect();
        self.prefills.extend(prefills);
    }

    /// Records that a target has finished processing the shared parts of a request's prompt, if others can copy them
    /// there.
    pub(super) fn announce_prefilled(&mut self, now: Time, number: u64) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        let prompt = self.copyable_prompt(&attempt.request);
        let target = self.targets.get(&attempt.estimate.target);
        let (Some(prompt), Some(target)) = (prompt, target) else {
            return;
        };
        let prefills = prompt.shared_parts().iter().map(|part| gossip::Prefill {
            target: target.key,
            part: part.id,
            tokens: part.tokens,
            prefilled: true,
            evicted: false,
        });
        let announced = &self.announced_prefills;
        let prefills = prefills.filter(|prefill| is_announcement_due(announced, now, prefill));
        let prefills: Vec<_> = prefills.map(|prefill| (None, prefill)).collect();
        self.prefills.extend(prefills);
    }

    /// Reports whether loads are exchanged through leading routers.
    pub(super) fn is_large_fleet(&self) -> bool {
        self.topology.followed().is_some() || self.peers.values().any(Peer::is_follower)
    }

    /// Counts tokens that other routers granted, as far as they belong to prompt parts that are not
    /// announced.
    pub(super) fn count_unshared(&mut self, granted: u64) {
        if self.is_large_fleet() {
            let engines = self.targets.values();
            let engines = engines.filter(|t| t.engine.is_some() && !t.is_barred);
            let engines = engines.count().max(1) as f64;
            self.unshared_tokens += granted as f64 * self.unshared_fraction / engines;
        }
    }

    /// Applies the tokens of parts that are not announced to the estimated caches: they displace
    /// other parts there.
    pub(super) fn displace_unshared(&mut self) {
        let tokens = self.unshared_tokens as u64;
        if tokens > 0 {
            self.unshared_tokens = 0.0;
            let engines = self.targets.values_mut();
            let engines = engines.filter(|target| target.engine.is_some() && !target.is_barred);
            engines.for_each(|target| target.cache.displace(tokens));
        }
    }

    /// Takes the prompt parts that are to be announced, without those that were announced recently.
    /// If there are more than `limit`, the largest ones are announced: processing them again would
    /// take longest.
    fn take_prefills(
        &mut self,
        now: Time,
        limit: usize,
    ) -> Vec<(Option<id::Router>, gossip::Prefill)> {
        let mut prefills = std::mem::take(&mut self.prefills);
        let announced = &self.announced_prefills;
        prefills.retain(|(_, prefill)| is_announcement_due(announced, now, prefill));
        if prefills.len() > limit {
            prefills.sort_by_key(|(_, prefill)| Reverse(prefill.tokens));
            prefills.truncate(limit);
        }
        for (_, prefill) in &prefills {
            let key = (prefill.target, prefill.part);
            let next = Announced::of(prefill);
            let announced = self.announced_prefills.entry(key).or_insert((now, next));
            let is_recent = now.since(announced.0) < ANNOUNCE_INTERVAL;
            if !is_recent || announced.1.is_exceeded_by(next) {
                announced.1 = next;
            }
            announced.0 = now;
        }
        prefills
    }

    fn is_follower(&self, router: &id::Router) -> bool {
        self.peers.get(router).is_some_and(Peer::is_follower)
    }

    /// Returns the routers that follow this one.
    pub(super) fn followers(&self) -> Vec<id::Router> {
        let followers = self.peers.iter().filter(|(_, peer)| peer.is_follower());
        followers.map(|(router, _)| router.clone()).collect()
    }

    /// Returns the recipients of the load of this router and its followers.
    pub(super) fn recipients(&self) -> (Scope, Vec<id::Router>) {
        match self.topology.followed().cloned() {
            Some(router) => (Scope::Follower, vec![router]),
            None => (Scope::Group, self.group_recipients()),
        }
    }

    /// Returns the notices that inform former recipients that this router sends them nothing more.
    fn leave_notices(&mut self) -> Vec<Batch> {
        let former_recipients = std::mem::take(&mut self.former_recipients);
        let former_recipients = former_recipients.into_iter();
        let batches = former_recipients.map(|(scope, recipients)| {
            let content = Content {
                scope,
                version: self.routing.version,
                router_count: 1,
                age: Span(0),
                crowded_permille: None,
                demand: 0,
                limits: Vec::new(),
                pauses: Vec::new(),
                builds: Vec::new(),
                loads: Vec::new(),
                usages: Vec::new(),
                prefills: Vec::new(),
                origins: Vec::new(),
                findings: Vec::new(),
            };
            Batch {
                recipients,
                summaries: self.split(true, true, content),
            }
        });
        batches.collect()
    }

    /// Summarizes the load of this router and its followers for the followed router, or for the
    /// leading ones.
    fn summarize_group(&mut self, round: &Round) -> Option<Batch> {
        let now = round.now;
        let (scope, recipients) = self.recipients();
        let followers = self.peers.values().filter(|peer| peer.is_follower());
        let mut totals: HashMap<u64, Total> = HashMap::new();
        for peer in followers {
            let loads = peer.loads.values();
            loads.for_each(|load| totals.entry(load.target).or_default().add(load));
        }
        let mut baseline = std::mem::take(&mut self.baseline);
        let usages = self.usages(now, &mut baseline, scope, |account| account.group);
        let prefills = select(&round.prefills, |from| {
            from.is_none_or(|router| self.is_follower(router))
        });
        let origins = select(&round.origins, |from| {
            from.is_none_or(|router| self.is_follower(router))
        });
        let unreachable = self.unreachable(now);
        let targets = self.targets.values();
        let loads = targets.map(|target| {
            let sum = totals.get(&target.key).copied().unwrap_or_default();
            let suspect =
                target.health.is_suspect() || unreachable.contains(&target.key) || sum.suspects > 0;
            new_load(target.key, target.own.plus(sum.view), suspect)
        });
        let findings = select(&round.findings, |from| {
            from.is_none_or(|router| self.is_follower(router))
        });
        let limits = baseline.select_limits(now, self.group_limits(now, scope));
        let max_loads = round.max_loads(usages.len() + prefills.len() + limits.len());
        let content = Content {
            limits,
            pauses: round.pauses(|from| from.is_none_or(|router| self.is_follower(router))),
            builds: baseline.select_builds(now, self.listed_builds()),
            loads: baseline.select(now, loads, max_loads),
            usages,
            prefills,
            origins,
            findings,
            ..self.group_content(now, scope)
        };
        let summaries = self.split_due(round, &mut baseline, content);
        self.baseline = baseline;
        (!summaries.is_empty()).then_some(Batch {
            recipients,
            summaries,
        })
    }

    /// Returns a message about this router and its followers that has no items yet.
    fn group_content(&self, now: Time, scope: Scope) -> Content {
        let followers = self.peers.values().filter(|peer| peer.is_follower());
        let versions = followers.clone().map(|peer| peer.version);
        let ages = followers.clone().map(|peer| peer.age(now));
        Content {
            scope,
            version: versions.fold(self.routing.version, Version::max),
            router_count: 1 + followers.map(|peer| peer.router_count).sum::<u32>(),
            age: ages.max().unwrap_or_default(),
            crowded_permille: (scope == Scope::Group).then(|| permille(self.pressure(now))),
            demand: self.group_demand(),
            limits: Vec::new(),
            pauses: Vec::new(),
            builds: Vec::new(),
            loads: Vec::new(),
            usages: Vec::new(),
            prefills: Vec::new(),
            origins: Vec::new(),
            findings: Vec::new(),
        }
    }

    /// Tells routers that have just started, and that don't follow this one, of earlier streams.
    fn summarize_untold(&mut self, round: &Round) -> Vec<Batch> {
        let scope = self.recipients().0;
        let mut batches = Vec::new();
        let untold = self.peers.iter_mut().filter_map(|(router, peer)| {
            let is_due = !peer.is_follower() && !peer.untold.is_empty();
            is_due.then(|| (router.clone(), peer.take_untold(MAX_NEW_ORIGINS)))
        });
        for (router, origins) in untold.collect::<Vec<_>>() {
            let content = Content {
                origins,
                ..self.group_content(round.now, scope)
            };
            batches.push(Batch {
                recipients: vec![router],
                summaries: self.split(round.leaving, false, content),
            });
        }
        batches
    }

    /// Returns the other routers that exchange the loads of groups.
    fn group_recipients(&self) -> Vec<id::Router> {
        let mut routers = self.topology.group_recipients();
        let leading = self.peers.iter();
        let leading = leading.filter(|(_, peer)| peer.scope == Scope::Group);
        for (router, _) in leading {
            if !routers.contains(router) {
                routers.push(router.clone());
            }
        }
        routers
    }

    /// Summarizes the load of all other routers for a follower.
    fn summarize_rest(&mut self, round: &Round, follower: &id::Router) -> Option<Batch> {
        let now = round.now;
        let mut peer = self.peers.remove(follower)?;
        let mut baseline = std::mem::take(&mut peer.baseline);
        let scope = Scope::Rest;
        let usages = self.usages(now, &mut baseline, scope, |account| {
            account.except(follower)
        });
        let prefills = select(&round.prefills, |from| from != Some(follower));
        let mut origins = select(&round.origins, |from| from != Some(follower));
        origins.extend(peer.take_untold(MAX_NEW_ORIGINS));
        let findings = select(&round.findings, |from| from != Some(follower));
        let limits = baseline.select_limits(now, self.limits_for(now, &peer));
        let max_loads = round.max_loads(usages.len() + prefills.len() + limits.len());
        let loads = round.totals.iter().map(|(target, total)| {
            let part = peer.loads.get(target).copied().unwrap_or_default();
            let view = View {
                running: total.view.running.saturating_sub(part.running),
                backlog: total.view.backlog.saturating_sub(part.backlog),
                memory: total.view.memory.saturating_sub(part.memory),
            };
            new_load(*target, view, total.suspects > u32::from(part.suspect))
        });
        let loads = baseline.select(now, loads, max_loads);
        let others = self.peers.values();
        let age = others.clone().map(|other| other.age(now)).max();
        let version = others.clone().map(|other| other.version).max();
        let content = Content {
            scope,
            version: self.routing.version.max(version.unwrap_or_default()),
            router_count: 1 + others.map(|other| other.router_count).sum::<u32>(),
            age: age.unwrap_or_default(),
            crowded_permille: Some(permille(self.fleet_pressure(now))),
            demand: self.fleet_demand(),
            limits,
            pauses: round.pauses(|from| from != Some(follower)),
            builds: baseline.select_builds(now, self.listed_builds()),
            loads,
            usages,
            prefills,
            origins,
            findings,
        };
        let summaries = self.split_due(round, &mut baseline, content);
        peer.baseline = baseline;
        self.peers.insert(follower.clone(), peer);
        (!summaries.is_empty()).then(|| Batch {
            recipients: vec![follower.clone()],
            summaries,
        })
    }

    /// Returns the usages to be sent to the recipients of a baseline now.
    fn usages(
        &self,
        now: Time,
        baseline: &mut Baseline,
        scope: Scope,
        tokens: impl Fn(&Account) -> Tokens,
    ) -> Vec<gossip::Usage> {
        let interval = match scope {
            Scope::Follower | Scope::Probe | Scope::Alive => Span(0),
            Scope::Group => GROUP_USAGE_INTERVAL,
            Scope::Rest => REST_USAGE_INTERVAL,
        };
        let all = now.since(baseline.usages_complete) >= FULL_INTERVAL;
        let since = baseline.usages_sent;
        if !all && now.since(since) < interval {
            return Vec::new();
        }
        baseline.usages_sent = now;
        if all {
            baseline.usages_complete = now;
        }
        let accounts = self.accounts.iter();
        let accounts = accounts.filter(|(_, account)| all || account.changed_at >= since);
        let usages = accounts.map(|(workspace, account)| {
            let tokens = tokens(account);
            gossip::Usage {
                workspace: *workspace,
                requested: tokens.requested,
                granted: tokens.granted,
            }
        });
        usages.collect()
    }

    /// Splits contents into summaries; returns none for empty contents, unless a summary is due.
    fn split_due(
        &mut self,
        round: &Round,
        baseline: &mut Baseline,
        content: Content,
    ) -> Vec<gossip::Summary> {
        let since_last = round.now.since(baseline.last_sent);
        let always = round.leaving || since_last >= KEEPALIVE_INTERVAL;
        let summaries = self.split(round.leaving, always, content);
        if !summaries.is_empty() {
            baseline.last_sent = round.now;
        }
        summaries
    }

    /// Splits contents into summaries that fit in a datagram each. Returns none for empty contents,
    /// unless `always` is set.
    fn split(&mut self, leaving: bool, always: bool, mut content: Content) -> Vec<gossip::Summary> {
        content.origins.sort_unstable();
        let mut limits = &content.limits[..];
        let mut pauses = &content.pauses[..];
        let mut builds = &content.builds[..];
        let mut loads = &content.loads[..];
        let mut usages = &content.usages[..];
        let mut prefills = &content.prefills[..];
        let mut origins = &content.origins[..];
        let mut findings = &content.findings[..];
        let mut summaries = Vec::new();
        while !limits.is_empty()
            || !pauses.is_empty()
            || !builds.is_empty()
            || !loads.is_empty()
            || !usages.is_empty()
            || !prefills.is_empty()
            || !origins.is_empty()
            || !findings.is_empty()
            || (summaries.is_empty() && always)
        {
            self.sequence += 1;
            let mut room = MAX_SUMMARY_ITEMS;
            let mut findings_room = room / ITEMS_PER_FINDING;
            let found = take_front(&mut findings, &mut findings_room);
            room -= found.len() * ITEMS_PER_FINDING;
            let mut limits_room = room / ITEMS_PER_LIMIT;
            let taken_limits = take_front(&mut limits, &mut limits_room);
            room -= taken_limits.len() * ITEMS_PER_LIMIT;
            summaries.push(gossip::Summary {
                router: self.settings.router.clone(),
                incarnation: self.settings.incarnation,
                sequence: self.sequence,
                version: content.version,
                leaving,
                scope: content.scope,
                router_count: content.router_count,
                age: content.age,
                crowded_permille: content.crowded_permille,
                demand: content.demand,
                limits: taken_limits,
                pauses: take_front(&mut pauses, &mut room),
                builds: take_front(&mut builds, &mut room),
                loads: take_front(&mut loads, &mut room),
                usages: take_front(&mut usages, &mut room),
                prefills: take_front(&mut prefills, &mut room),
                origins: take_origins(&mut origins, room),
                findings: found,
            });
        }
        summaries
    }
}

impl Round {
    /// Returns the maximum number of loads for a recipient that gets a number of other items.
    fn max_loads(&self, other_items: usize) -> usize {
        let rest = self.max_items.saturating_sub(other_items);
        rest.max(self.max_items / 2)
    }

    /// Returns the pauses that last, of those whose sender is selected.
    fn pauses(&self, is_selected: impl Fn(Option<&id::Router>) -> bool) -> Vec<gossip::Pause> {
        let pauses = select(&self.pauses, is_selected).into_iter();
        let pauses = pauses.map(|(target, end)| gossip::Pause {
            target,
            remaining: end.since(self.now),
        });
        pauses.filter(|pause| pause.remaining.0 > 0).collect()
    }
}

/// Reports whether other routers have not been told the same of a part lately.
fn is_announcement_due(
    announced: &HashMap<(u64, u64), (Time, Announced)>,
    now: Time,
    prefill: &gossip::Prefill,
) -> bool {
    let announced = announced.get(&(prefill.target, prefill.part));
    announced.is_none_or(|(at, last)| {
        now.since(*at) >= ANNOUNCE_INTERVAL || last.is_exceeded_by(Announced::of(prefill))
    })
}

fn new_load(target: u64, view: View, suspect: bool) -> gossip::Load {
    gossip::Load {
        target,
        running: view.running,
        backlog: view.backlog,
        memory: view.memory,
        suspect,
    }
}

fn permille(fraction: f64) -> u16 {
    (fraction * 1e3) as u16
}

/// Returns the items whose sender is selected; `None` is this router.
fn select<T: Copy>(
    items: &[(Option<id::Router>, T)],
    is_selected: impl Fn(Option<&id::Router>) -> bool,
) -> Vec<T> {
    let selected = items.iter().filter(|(from, _)| is_selected(from.as_ref()));
    selected.map(|(_, item)| *item).collect()
}

/// Removes items from the front of a list up to the capacity that is left.
fn take_front<T: Clone>(items: &mut &[T], room: &mut usize) -> Vec<T> {
    let count = items.len().min(*room);
    let (taken, rest) = items.split_at(count);
    *items = rest;
    *room -= count;
    taken.to_vec()
}

/// Removes sorted streams from the front that fit in the room that is left for items.
fn take_origins(origins: &mut &[gossip::Origin], room: usize) -> Vec<gossip::Origin> {
    let mut rest = room * ORIGINS_PER_ITEM;
    let mut taken = Vec::new();
    for group in origins
        .chunk_by(gossip::is_same_group)
        .take(MAX_ORIGIN_GROUPS)
    {
        let count = group.len().min(rest);
        taken.extend_from_slice(&group[..count]);
        rest -= count;
    }
    *origins = &origins[taken.len()..];
    taken
}
