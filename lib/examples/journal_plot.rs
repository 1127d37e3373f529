//! Plots the mean worth (`G`) of the standard days of each score in a journal, one line per site,
//! as SVG.
//!
//! `cargo run -p wasabistall-lib --example journal_plot -- journal docs/plots/worth.svg`

use std::{collections::BTreeMap, error::Error, path::Path};

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, SVGBackend, WHITE,
};
use serde_json::Value;

/// Mean worth of the standard days of each score by site, oldest score first.
type WorthSeries = BTreeMap<String, Vec<f64>>;

fn read_journal(folder: &Path) -> Result<WorthSeries, Box<dyn Error>> {
    let mut entries = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            let entry: Value = serde_json::from_str(&std::fs::read_to_string(path)?)?;
            entries.push(entry);
        }
    }
    entries.sort_by_key(|entry| entry["at"][0].as_str().unwrap_or_default().to_owned());
    let mut series = WorthSeries::new();
    for entry in entries.iter().filter(|entry| entry["cmd"] == "score") {
        let worths: Vec<f64> = entry["days"]
            .as_array()
            .into_iter()
            .flatten()
            .filter(|day| {
                !day["name"]
                    .as_str()
                    .unwrap_or_default()
                    .starts_with("fresh")
            })
            .filter_map(|day| day["G"].as_f64())
            .collect();
        if let Some(site) = entry["site"].as_str()
            && !worths.is_empty()
        {
            let mean = worths.iter().sum::<f64>() / worths.len() as f64;
            series.entry(site.to_owned()).or_default().push(mean);
        }
    }
    Ok(series)
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [journal, target] = arguments.as_slice() else {
        return Err("usage: journal_plot JOURNAL SVG".into());
    };
    let series = read_journal(Path::new(journal))?;
    let scores = series.values().map(Vec::len).max().unwrap_or(1).max(2);
    let area = SVGBackend::new(target, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "mean worth of the standard days, by score",
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0..scores - 1, 0.2..0.8)?;
    chart
        .configure_mesh()
        .x_desc("score")
        .y_desc("worth")
        .draw()?;
    for (index, (site, worths)) in series.iter().enumerate() {
        let color = Palette99::pick(index).mix(0.9);
        let points = worths.iter().copied().enumerate();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(site.as_str())
            .legend(move |(x, y)| {
                plotters::element::PathElement::new(vec![(x, y), (x + 16, y)], color)
            });
    }
    chart
        .configure_series_labels()
        .border_style(plotters::style::BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
