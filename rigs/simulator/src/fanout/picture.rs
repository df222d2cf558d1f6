//! The streams at the source over the day, as a picture.

use super::play::Report;
use plotters::prelude::*;

pub fn draw(out: &str, relayed: &Report, each: &Report) -> Result<(), String> {
    let said = |e: &dyn std::fmt::Display| format!("{out}: {e}");
    let most = relayed.streams_most.max(each.streams_most) as f64 * 1.5;
    let least = (relayed.sites as f64 * 0.5).max(1.0);
    let area = SVGBackend::new(out, (720, 360)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| said(&e))?;
    let seconds = relayed.streams.len() as f64 / 10.0;
    let caption = format!(
        "streams at the source: {} instances, {} sites, {} subscribers",
        relayed.instances, relayed.sites, relayed.subscribers
    );
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..seconds.max(1.0), (least..most).log_scale())
        .map_err(|e| said(&e))?;
    let described = "seconds (each 5 s a tenth of the relays is killed, or leaves)";
    chart
        .configure_mesh()
        .x_desc(described)
        .draw()
        .map_err(|e| said(&e))?;
    for (name, colour, report) in [
        ("one relay for each site", BLUE, relayed),
        ("one poll each", RED, each),
    ] {
        let line = report
            .streams
            .iter()
            .enumerate()
            .map(|(n, open)| (n as f64 / 10.0, *open as f64));
        let drawn = chart
            .draw_series(LineSeries::new(line, colour.stroke_width(2)))
            .map_err(|e| said(&e))?;
        drawn
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    let sites = relayed.sites as f64;
    let line = LineSeries::new(
        [(0.0, sites), (seconds, sites)],
        BLACK.mix(0.4).stroke_width(1),
    );
    let drawn = chart.draw_series(line).map_err(|e| said(&e))?;
    drawn
        .label("sites")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 20, y)], BLACK.mix(0.4)));
    let labels = chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw();
    labels.map_err(|e| said(&e))?;
    area.present().map_err(|e| said(&e))
}
