//! Report on one service.

use super::{Findings, held::Held};
use crate::{
    id,
    load::{Gap, Sample, Series, Settings},
    unit::Span,
};

/// Lengths of the windows over which the gap is reported.
const WINDOWS: [Span; 4] = [
    Span::from_secs(1),
    Span::from_secs(5),
    Span::from_secs(10),
    Span::from_secs(30),
];

/// Report on one service.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// Service.
    pub service: id::Service,
    /// Slots of its targets.
    pub slots: u32,
    /// Part of the slots' time that requests held them.
    pub utilisation: f64,
    /// The same while a request had waited for long.
    pub utilisation_backlogged: f64,
    /// Time for which a request had waited for long, in seconds.
    pub backlogged_secs: f64,
    /// Slot-seconds that were idle in that time.
    pub idle_slot_secs: f64,
    /// Gap between backlogged workspaces over windows of several lengths, the whole run and any.
    pub gaps: Vec<Gap>,
}

impl Service {
    pub(super) fn of(settings: &Settings, findings: &Findings, service: id::Service) -> Self {
        let series = &findings.series;
        let lanes = series.lanes_of(&service);
        let samples = series.from(settings.warmup);
        let own = || {
            let probes = findings.probes.iter();
            probes.filter(|probe| probe.target.service == service)
        };
        let (mut all, mut backlogged) = (Held::default(), Held::default());
        for probe in own() {
            for pair in findings.readings(settings, probe).windows(2) {
                let held = Held::between(probe, &pair[0], &pair[1]);
                all.add(held);
                if findings.is_backlogged(&lanes, &pair[0], &pair[1]) {
                    backlogged.add(held);
                }
            }
        }
        let slots: u32 = own().map(|probe| probe.slots).sum();
        Self {
            slots,
            utilisation: all.part(),
            utilisation_backlogged: backlogged.part(),
            backlogged_secs: backlogged.capacity / f64::from(slots.max(1)),
            idle_slot_secs: backlogged.capacity - backlogged.busy,
            gaps: gaps(settings, series, samples, &lanes),
            service,
        }
    }
}

fn gaps(settings: &Settings, series: &Series, samples: &[Sample], lanes: &[usize]) -> Vec<Gap> {
    let interval = settings.sample_interval.as_millis().max(1);
    let lengths = WINDOWS.map(|window| (window.as_millis() / interval) as usize);
    let whole = samples.len().saturating_sub(1);
    let lengths = lengths.into_iter().filter(|length| *length < whole);
    let mut gaps: Vec<Gap> = lengths
        .chain([whole])
        .map(|length| Gap::sliding(series, samples, lanes, length))
        .collect();
    gaps.push(Gap::any(series, samples, lanes));
    gaps
}
