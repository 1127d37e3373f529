//! Runs the seeded experiments, prints a table, and writes the results as JSON and as an SVG plot.

use std::path::PathBuf;

use plotters::prelude::*;
use serde::Serialize;
use wasabistall_testutils::world::{
    DeploymentPlan,
    experiment::{self, ExperimentResult, FAULT_PLANS},
};

const SEEDS: [u64; 2] = [1, 2];

#[derive(Serialize)]
struct TableRow {
    deployment: &'static str,
    result: ExperimentResult,
}

fn main() {
    let mut rows = Vec::new();
    println!(
        "{:<11} {:<16} {:>4} {:>9} {:>8} {:>7} {:>7} {:>12} {:>10} {:>6} {:>6} {:>6}",
        "deployment",
        "fault",
        "seed",
        "wrongful",
        "static",
        "worst",
        "batch",
        "stalls",
        "stall s",
        "over",
        "broken",
        "msg/s"
    );
    for (deployment, plan) in [
        ("sauti", DeploymentPlan::sauti()),
        ("dial-works", DeploymentPlan::dial_works()),
    ] {
        for fault in FAULT_PLANS {
            for seed in SEEDS {
                let result = experiment::run(&plan, fault, seed);
                print_row(deployment, &result);
                rows.push(TableRow { deployment, result });
            }
        }
    }
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let json = serde_json::to_string_pretty(&rows).expect("figures serialize");
    let table = directory.join("experiments.json");
    std::fs::write(&table, json).expect("the target directory can be written");
    let plot = directory.join("experiments.svg");
    draw(&rows, &plot).expect("the plot can be drawn");
    println!("written: {} and {}", table.display(), plot.display());
}

fn print_row(deployment: &str, result: &ExperimentResult) {
    let figures = &result.figures;
    let fault = serde_json::to_value(result.fault).unwrap_or_default();
    let stalls: Vec<String> = result
        .baselines
        .iter()
        .map(|(_, baseline)| baseline.stalls.to_string())
        .collect();
    println!(
        "{deployment:<11} {:<16} {:>4} {:>8.2}% {:>7.1}% {:>7.3} {:>7.3} {:>12} {:>10.0} {:>6} {:>6} {:>6.1}",
        fault.as_str().unwrap_or_default(),
        result.seed,
        100.0 * figures.wrongful_share,
        100.0 * result.static_split,
        figures.worst_team,
        figures.batch_efficiency,
        format!(
            "{}/{}",
            figures.stalls,
            stalls.last().cloned().unwrap_or_default()
        ),
        figures.stall_seconds,
        figures.overdrawn,
        figures.broken_promises,
        figures.messages,
    );
}

/// Draws bars of the wrongful refusals next to those of a static split of the rates.
fn draw(rows: &[TableRow], path: &PathBuf) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (900, 400)).into_drawing_area();
    root.fill(&WHITE)?;
    let max_share = rows
        .iter()
        .map(|row| {
            row.result
                .static_split
                .max(row.result.figures.wrongful_share)
        })
        .fold(0.01, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "Wrongful refusals, % (grey: static split)",
            ("sans-serif", 18),
        )
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0..rows.len() * 3, 0.0..max_share * 110.0)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    for (number, row) in rows.iter().enumerate() {
        let bars = [
            (row.result.static_split, RGBColor(160, 160, 160)),
            (row.result.figures.wrongful_share, RGBColor(30, 90, 160)),
        ];
        for (offset, (share, colour)) in bars.into_iter().enumerate() {
            let left = number * 3 + offset;
            let corners = [(left, 0.0), (left + 1, share * 100.0)];
            chart.draw_series([Rectangle::new(corners, colour.filled())])?;
        }
    }
    root.present()?;
    Ok(())
}
