//! Reads scenario files; reads and writes reports and tables.

use serde::Serialize;
use std::path::Path;

use super::plot::write_plots;
use super::report::RunReport;
use super::run::RunError;
use super::scenario::{LoadScenario, built_in};
use super::text::render_text;

const REPORT_FILE: &str = "report.json";
const TEXT_FILE: &str = "report.txt";

/// Returns the built-in scenario of that name, or else reads a TOML file at that path.
pub fn load_scenario(name: &str) -> Result<LoadScenario, RunError> {
    if let Some(scenario) = built_in(name) {
        return Ok(scenario);
    }
    let text = std::fs::read_to_string(name).map_err(|_| RunError::Scenario(name.into()))?;
    toml::from_str(&text).map_err(|error| report_error(Path::new(name), &error.to_string()))
}

/// Reads the JSON report from the directory of a run.
pub fn read_report(dir: &Path) -> Result<RunReport, RunError> {
    let file = dir.join(REPORT_FILE);
    let json = std::fs::read_to_string(&file);
    let json = json.map_err(|error| report_error(&file, &error.to_string()))?;
    serde_json::from_str(&json).map_err(|error| report_error(&file, &error.to_string()))
}

/// Writes a report as text, JSON and SVG plots.
pub fn write_report(report: &RunReport, dir: &Path) -> Result<(), RunError> {
    write_table(dir, &render_text(report), report)?;
    write_plots(report, dir).map_err(|error| report_error(dir, &error.to_string()))
}

/// Writes a table as text and JSON.
pub fn write_table(dir: &Path, text: &str, table: &impl Serialize) -> Result<(), RunError> {
    std::fs::create_dir_all(dir).map_err(|error| report_error(dir, &error.to_string()))?;
    write_file(&dir.join(TEXT_FILE), text)?;
    let json = serde_json::to_string_pretty(table).expect("reports serialize");
    write_file(&dir.join(REPORT_FILE), &json)
}

fn write_file(file: &Path, text: &str) -> Result<(), RunError> {
    std::fs::write(file, text).map_err(|error| report_error(file, &error.to_string()))
}

fn report_error(path: &Path, reason: &str) -> RunError {
    RunError::Report { path: path.display().to_string().into(), reason: reason.into() }
}
