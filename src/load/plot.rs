//! Plot of the service over time, as SVG.

use super::Series;
use crate::{id, unit::Cost};
use std::fmt::Write;

/// Size of the plot, in pixels.
const WIDTH: f64 = 960.0;
const HEIGHT: f64 = 480.0;
/// Room for the axes' labels, in pixels.
const LEFT: f64 = 80.0;
const TOP: f64 = 40.0;
const BOTTOM: f64 = 40.0;
/// Room for the names of the workspaces, in pixels.
const RIGHT: f64 = 200.0;
/// Height of a line of text, in pixels.
const LINE: f64 = 14.0;
/// Points of one curve; more cannot be told apart.
const MAX_POINTS: usize = 480;
/// Parts that each axis is divided into.
const DIVISIONS: u32 = 5;

/// Draws the service per unit of weight that each workspace took of a service over time.
pub fn plot(series: &Series, service: &id::Service) -> String {
    let lanes = series.lanes_of(service);
    let plot = Plot::new(series, &lanes);
    let mut svg = String::new();
    // Writing to a string does not fail.
    let _ = plot.write(&mut svg, series, service, &lanes);
    svg
}

/// Scales of a plot.
struct Plot {
    /// Largest time, in seconds.
    secs: f64,
    /// Largest service per unit of weight.
    level: f64,
}

impl Plot {
    fn new(series: &Series, lanes: &[usize]) -> Self {
        let last = series.samples.last();
        let level = |lane: &usize| last.map_or(0.0, |s| level(series, *lane, s.served[*lane]));
        let secs = last.map_or(0.0, |sample| sample.at_ms as f64 / 1e3);
        Self {
            secs: secs.max(f64::MIN_POSITIVE),
            level: lanes.iter().map(level).fold(1.0, f64::max),
        }
    }

    fn write(
        &self,
        svg: &mut String,
        series: &Series,
        service: &id::Service,
        lanes: &[usize],
    ) -> std::fmt::Result {
        writeln!(
            svg,
            "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" \
             font-family=\"sans-serif\" font-size=\"11\">"
        )?;
        writeln!(
            svg,
            "<rect width=\"{WIDTH}\" height=\"{HEIGHT}\" fill=\"white\"/>"
        )?;
        writeln!(
            svg,
            "<text x=\"{LEFT}\" y=\"20\">{service}: service per unit of weight over seconds</text>"
        )?;
        self.write_axes(svg)?;
        for (rank, lane) in lanes.iter().enumerate() {
            self.write_curve(svg, series, *lane, rank, lanes.len())?;
        }
        writeln!(svg, "</svg>")
    }

    fn write_axes(&self, svg: &mut String) -> std::fmt::Result {
        for step in 0..=DIVISIONS {
            let part = f64::from(step) / f64::from(DIVISIONS);
            let (x, y) = (self.x(self.secs * part), self.y(self.level * part));
            let (right, bottom) = (self.x(self.secs), self.y(0.0));
            writeln!(
                svg,
                "<path d=\"M{LEFT} {y:.1}H{right:.1}M{x:.1} {TOP}V{bottom:.1}\" stroke=\"#ddd\"/>"
            )?;
            writeln!(
                svg,
                "<text x=\"{:.1}\" y=\"{y:.1}\" text-anchor=\"end\">{:.0}</text>",
                LEFT - 6.0,
                self.level * part
            )?;
            writeln!(
                svg,
                "<text x=\"{x:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{:.1}</text>",
                bottom + LINE,
                self.secs * part
            )?;
        }
        Ok(())
    }

    fn write_curve(
        &self,
        svg: &mut String,
        series: &Series,
        lane: usize,
        rank: usize,
        count: usize,
    ) -> std::fmt::Result {
        let hue = 360 * rank / count.max(1);
        let step = series.samples.len().div_ceil(MAX_POINTS).max(1);
        write!(
            svg,
            "<polyline fill=\"none\" stroke=\"hsl({hue},70%,40%)\" points=\""
        )?;
        for sample in series.samples.iter().step_by(step) {
            let x = self.x(sample.at_ms as f64 / 1e3);
            let y = self.y(level(series, lane, sample.served[lane]));
            write!(svg, "{x:.1},{y:.1} ")?;
        }
        writeln!(svg, "\"/>")?;
        let lane = &series.lanes[lane];
        writeln!(
            svg,
            "<text x=\"{:.1}\" y=\"{:.1}\" fill=\"hsl({hue},70%,40%)\">{} ({})</text>",
            WIDTH - RIGHT + LINE,
            TOP + LINE * rank as f64,
            lane.workspace,
            lane.weight
        )
    }

    fn x(&self, secs: f64) -> f64 {
        LEFT + (WIDTH - LEFT - RIGHT) * secs / self.secs
    }

    fn y(&self, level: f64) -> f64 {
        HEIGHT - BOTTOM - (HEIGHT - TOP - BOTTOM) * level / self.level
    }
}

fn level(series: &Series, lane: usize, served: Cost) -> f64 {
    served.0 as f64 / f64::from(series.lanes[lane].weight.get())
}
