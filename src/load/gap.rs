//! Gap in service between backlogged workspaces.

use super::{Lane, Sample, Series};

/// Largest and typical gap over windows of one length.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Gap {
    /// Length of the windows in samples; 0 stands for windows of any length.
    pub samples: usize,
    /// Windows in which at least two workspaces were backlogged throughout.
    pub windows: u64,
    /// Largest gap: most served less least served, per unit of weight.
    pub max: f64,
    /// Median gap.
    pub median: f64,
}

impl Gap {
    /// Returns the gap over all windows of `length` samples, among the lanes that are backlogged
    /// throughout the window.
    pub fn sliding(series: &Series, samples: &[Sample], lanes: &[usize], length: usize) -> Self {
        let levels = Levels::new(series, samples, lanes);
        let starts = 0..samples.len().saturating_sub(length);
        let gaps = starts.filter_map(|start| levels.gap(start, start + length));
        Self::of(length, gaps.collect())
    }

    /// Returns the largest gap between two lanes over any window in which both are backlogged
    /// throughout; the median is over the pairs.
    pub fn any(series: &Series, samples: &[Sample], lanes: &[usize]) -> Self {
        let levels = Levels::new(series, samples, lanes);
        let mut gaps = Vec::new();
        for one in 0..lanes.len() {
            let others = one + 1..lanes.len();
            gaps.extend(others.filter_map(|other| levels.pair_gap(one, other)));
        }
        Self::of(0, gaps)
    }

    fn of(samples: usize, mut gaps: Vec<f64>) -> Self {
        gaps.sort_by(f64::total_cmp);
        Self {
            samples,
            windows: gaps.len() as u64,
            max: gaps.last().copied().unwrap_or(0.0),
            median: gaps.get(gaps.len() / 2).copied().unwrap_or(0.0),
        }
    }
}

/// Service per unit of weight of some lanes.
struct Levels {
    /// By lane, then by sample.
    levels: Vec<Vec<f64>>,
    /// Number of samples before this one at which the lane was idle; by lane, then by sample.
    idle: Vec<Vec<usize>>,
}

impl Levels {
    fn new(series: &Series, samples: &[Sample], lanes: &[usize]) -> Self {
        let level = |lane: &Lane, number: usize| {
            let weight = f64::from(lane.weight.get());
            let served = samples.iter().map(|s| s.served[number].0 as f64 / weight);
            served.collect()
        };
        Self {
            levels: lanes.iter().map(|n| level(&series.lanes[*n], *n)).collect(),
            idle: lanes.iter().map(|n| idle(samples, *n)).collect(),
        }
    }

    /// Reports whether a lane is backlogged at all samples from `first` to `last`.
    fn is_backlogged(&self, lane: usize, first: usize, last: usize) -> bool {
        self.idle[lane][first] == self.idle[lane][last + 1]
    }

    /// Returns the gap of a window, or `None` with fewer than two backlogged lanes.
    fn gap(&self, first: usize, last: usize) -> Option<f64> {
        let lanes = (0..self.levels.len()).filter(|lane| self.is_backlogged(*lane, first, last));
        let gains: Vec<f64> = lanes
            .map(|lane| self.levels[lane][last] - self.levels[lane][first])
            .collect();
        if gains.len() < 2 {
            return None;
        }
        let most = gains.iter().copied().fold(f64::MIN, f64::max);
        let least = gains.iter().copied().fold(f64::MAX, f64::min);
        Some(most - least)
    }

    /// Returns the largest gap of two lanes over any window, or `None` if they are never
    /// backlogged together for longer than a sample.
    fn pair_gap(&self, one: usize, other: usize) -> Option<f64> {
        let mut largest: Option<f64> = None;
        let mut range = None;
        for sample in 0..self.levels[one].len() {
            let both = [one, other]
                .iter()
                .all(|lane| self.is_backlogged(*lane, sample, sample));
            if !both {
                range = None;
                continue;
            }
            let lead = self.levels[one][sample] - self.levels[other][sample];
            let Some((low, high)): Option<(f64, f64)> = range else {
                range = Some((lead, lead));
                continue;
            };
            let gap = (lead - low).max(high - lead);
            largest = Some(largest.map_or(gap, |so_far| so_far.max(gap)));
            range = Some((lead.min(low), lead.max(high)));
        }
        largest
    }
}

/// Returns, for each sample, the number of samples before it at which a lane was idle.
fn idle(samples: &[Sample], lane: usize) -> Vec<usize> {
    let mut count = 0;
    let mut counts = vec![0];
    for sample in samples {
        count += usize::from(!sample.backlogged[lane]);
        counts.push(count);
    }
    counts
}
