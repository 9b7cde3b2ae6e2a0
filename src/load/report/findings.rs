//! What a run gathered.

use crate::{
    load::{
        Series, Settings,
        account::Account,
        probe::{Probe, Reading},
    },
    standin::Runs,
    unit::Time,
};

/// What a run gathered.
pub(in crate::load) struct Findings {
    pub(in crate::load) start: Time,
    pub(in crate::load) account: Account,
    pub(in crate::load) series: Series,
    pub(in crate::load) probes: Vec<Probe>,
    /// Runs at each probed target, after the end.
    pub(in crate::load) runs: Vec<Runs>,
}

impl Findings {
    /// Returns a target's readings after the warmup.
    pub(super) fn readings<'a>(&self, settings: &Settings, probe: &'a Probe) -> &'a [Reading] {
        let from = self.start + settings.warmup;
        let first = probe.readings.partition_point(|r| r.at < from);
        &probe.readings[first..]
    }

    /// Reports whether some lane is backlogged at all samples between two readings.
    pub(super) fn is_backlogged(&self, lanes: &[usize], first: &Reading, last: &Reading) -> bool {
        let millis = |reading: &Reading| reading.at.since(self.start).as_millis();
        let samples = &self.series.samples;
        let first = samples.partition_point(|s| s.at_ms < millis(first));
        let last = samples.partition_point(|s| s.at_ms <= millis(last));
        let mut samples = samples[first..last].iter();
        samples.len() > 0 && samples.all(|s| lanes.iter().any(|lane| s.backlogged[*lane]))
    }
}
