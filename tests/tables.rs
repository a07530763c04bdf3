//! Checks that the tables in `docs/` match the tables in the code.

use jacinthrock::{MetricKind, MetricName, ResultCode, SETTINGS};
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Returns the rows of the tables in a page, split into cells, without headings and separators.
fn table_rows(page: &str) -> Vec<Vec<String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs").join(page);
    let text = fs::read_to_string(path).expect("the page exists");
    text.lines()
        .filter(|line| line.starts_with("| `") || line.starts_with("| 1") || is_numbered(line))
        .map(|line| line.trim_matches('|').split(" | ").map(clean_cell).collect())
        .collect()
}

fn is_numbered(line: &str) -> bool {
    line.strip_prefix("| ").is_some_and(|rest| rest.starts_with(|c: char| c.is_ascii_digit()))
}

fn clean_cell(cell: &str) -> String {
    cell.trim().trim_matches('`').to_owned()
}

#[test]
fn result_codes_equal_their_table() {
    let expected: Vec<Vec<String>> = ResultCode::ALL
        .iter()
        .map(|code| {
            let row = code.row();
            let status =
                if row.http_status == 0 { "-".into() } else { row.http_status.to_string() };
            let retry = if row.retryable { "yes" } else { "no" };
            vec![row.number.to_string(), row.name.into(), status, retry.into(), row.title.into()]
        })
        .collect();
    assert_eq!(table_rows("RESULTS.md"), expected);
}

#[test]
fn result_codes_have_distinct_numbers_and_names() {
    let numbers: BTreeSet<_> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    let names: BTreeSet<_> = ResultCode::ALL.iter().map(|code| code.name()).collect();
    assert_eq!((numbers.len(), names.len()), (ResultCode::ALL.len(), ResultCode::ALL.len()));
}

#[test]
fn metrics_equal_their_table() {
    let expected: Vec<Vec<String>> = MetricName::ALL
        .iter()
        .map(|name| {
            let row = name.row();
            let kind = match row.kind {
                MetricKind::Counter => "counter",
                MetricKind::Gauge => "gauge",
            };
            let labels = if row.labels.is_empty() { "-".into() } else { row.labels.join(", ") };
            vec![row.name.into(), kind.into(), labels, row.help.into()]
        })
        .collect();
    assert_eq!(table_rows("METRICS.md"), expected);
}

#[test]
fn settings_equal_their_table() {
    let rows = table_rows("SETTINGS.md");
    let found: Vec<Vec<String>> = rows.iter().map(|row| row[..3].to_vec()).collect();
    let expected: Vec<Vec<String>> = SETTINGS
        .iter()
        .map(|row| {
            let default = if row.default.is_empty() { "-" } else { row.default };
            vec![format!("--{}", row.flag), row.variable.into(), default.into()]
        })
        .collect();
    assert_eq!(found, expected);
}
