//! SVG plots of a report.

use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

use super::report::RunReport;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 500);

type PlotResult = Result<(), Box<dyn Error>>;
type PlotPoint = (f64, f64);

struct PlotLabels<'a> {
    title: &'a str,
    x: &'a str,
    y: &'a str,
}

/// Writes `timeline.svg` and `latency.svg` into a directory.
pub(super) fn write_plots(report: &RunReport, dir: &Path) -> PlotResult {
    let seconds = || report.timeline.iter().enumerate();
    let due = seconds().map(|(at, second)| (at as f64, f64::from(second.due))).collect();
    let whole = seconds().map(|(at, second)| (at as f64, f64::from(second.whole))).collect();
    let failed = seconds().map(|(at, second)| (at as f64, f64::from(second.failed))).collect();
    let labels = PlotLabels { title: "Calls by second", x: "second", y: "calls" };
    let series = [("due", due), ("whole", whole), ("other ends", failed)];
    write_plot(&dir.join("timeline.svg"), &labels, &series)?;
    let series: Vec<(&str, Vec<PlotPoint>)> = report
        .latencies
        .iter()
        .filter(|(_, latency)| latency.count > 0)
        .map(|(name, latency)| (&**name, latency.curve.clone()))
        .collect();
    let labels = PlotLabels { title: "Latency by percentile", x: "percentile", y: "ms" };
    write_plot(&dir.join("latency.svg"), &labels, &series)
}

fn write_plot(
    path: &Path,
    labels: &PlotLabels<'_>,
    series: &[(&str, Vec<PlotPoint>)],
) -> PlotResult {
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let points = || series.iter().flat_map(|(_, points)| points);
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(1.0, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(&area)
        .caption(labels.title, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(labels.x).y_desc(labels.y).draw()?;
    for (index, (name, points)) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
