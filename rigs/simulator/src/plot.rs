//! A sweep as a picture.

use crate::Point;
use plotters::prelude::*;

/// The worth had in a storm, second by second (each a mean of three): with limits, and as today's build would.
pub fn storm(out: &str, fails: [f64; 2], limited: &[f64], today: &[f64]) -> Result<(), String> {
    let said = |e: &dyn std::fmt::Display| format!("{out}: {e}");
    let area = SVGBackend::new(out, (720, 360)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| said(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption("worth had, of what was asked for", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..limited.len() as f64, 0.0..1.1)
        .map_err(|e| said(&e))?;
    chart
        .configure_mesh()
        .x_desc("seconds (grey: boxes fail)")
        .draw()
        .map_err(|e| said(&e))?;
    let failing = Rectangle::new([(fails[0], 0.0), (fails[1], 1.1)], BLACK.mix(0.1).filled());
    chart.draw_series([failing]).map_err(|e| said(&e))?;
    for (name, colour, series) in [
        ("with limits", BLUE, limited),
        ("today's build", RED, today),
    ] {
        let line = series
            .windows(3)
            .enumerate()
            .map(|(n, three)| (n as f64 + 1.0, three.iter().sum::<f64>() / 3.0));
        let drawn = chart
            .draw_series(LineSeries::new(line, colour.stroke_width(2)))
            .map_err(|e| said(&e))?;
        drawn
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    let labels = chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw();
    labels.map_err(|e| said(&e))?;
    area.present().map_err(|e| said(&e))
}

/// Archive fetches a part over the swept field, with shields and without.
pub fn draw(out: &str, field: &str, points: &[Point]) -> Result<(), String> {
    let most = points
        .iter()
        .flat_map(|p| [p.shielded[2], p.plain[2]])
        .fold(1.0, f64::max)
        * 1.1;
    let (first, last) = match (points.first(), points.last()) {
        (Some(first), Some(last)) if last.value > first.value && first.value > 0.0 => {
            (first.value, last.value)
        }
        _ => return Err("--values wants two or more, above 0 and rising".to_string()),
    };
    let area = SVGBackend::new(out, (720, 440)).into_drawing_area();
    let said = |e: &dyn std::fmt::Display| format!("{out}: {e}");
    area.fill(&WHITE).map_err(|e| said(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "archive fetches for each part and purge",
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d((first..last).log_scale(), 0.0..most)
        .map_err(|e| said(&e))?;
    chart
        .configure_mesh()
        .x_desc(field)
        .y_desc("fetches")
        .draw()
        .map_err(|e| said(&e))?;
    type Of = fn(&Point) -> [f64; 3];
    let shielded: Of = |p| p.shielded;
    let plain: Of = |p| p.plain;
    for (name, colour, of) in [
        ("shields", BLUE, shielded),
        ("two parents, no shield", RED, plain),
    ] {
        let line = points.iter().map(|p| (p.value, of(p)[0]));
        let drawn = chart
            .draw_series(LineSeries::new(line, colour.stroke_width(2)))
            .map_err(|e| said(&e))?;
        drawn
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
        let dots = points
            .iter()
            .map(|p| Circle::new((p.value, of(p)[0]), 3, colour.filled()));
        chart.draw_series(dots).map_err(|e| said(&e))?;
    }
    let labels = chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw();
    labels.map_err(|e| said(&e))?;
    area.present().map_err(|e| said(&e))
}
