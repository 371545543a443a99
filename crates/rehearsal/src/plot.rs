//! Plots as SVG.

use plotters::prelude::*;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (720, 360);
/// Room above the highest value, as a factor.
const HEADROOM: f64 = 1.1;

/// A named series of points.
#[derive(Debug, Clone)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points, from left to right.
    pub points: Vec<(f64, f64)>,
}

impl Series {
    /// A series.
    pub fn new(name: impl ToString, points: Vec<(f64, f64)>) -> Self {
        Self { name: name.to_string(), points }
    }
}

/// A plot of lines with markers; both axes start at zero.
///
/// # Panics
/// Never: drawing into a string does not fail.
pub fn lines(title: &str, x_label: &str, y_label: &str, series: &[Series]) -> String {
    let mut text = String::new();
    draw(&mut text, title, x_label, y_label, series).expect("drawing into a string does not fail");
    text
}

fn draw(
    text: &mut String,
    title: &str,
    x_label: &str,
    y_label: &str,
    series: &[Series],
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let points = || series.iter().flat_map(|series| &series.points);
    let widest = points().map(|point| point.0).fold(f64::MIN_POSITIVE, f64::max);
    let highest = points().map(|point| point.1).fold(f64::MIN_POSITIVE, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..widest * HEADROOM, 0.0..highest * HEADROOM)?;
    chart.configure_mesh().x_desc(x_label).y_desc(y_label).draw()?;
    for (index, series) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let line = LineSeries::new(series.points.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(line)?
            .label(&series.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
        let marker = |point: &(f64, f64)| Circle::new(*point, 3, color.filled());
        chart.draw_series(series.points.iter().map(marker))?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
