//! Checks that the documented declaration fields, exit codes and findings match the tables in the code.

use jacinthrock::{ResultCode, declaration_fields, exit_codes};
use std::fs;
use std::path::Path;

fn table_rows(page: &str, start: &str) -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs").join(page);
    let text = fs::read_to_string(path).expect("the page exists");
    let rows = text.lines().skip_while(|line| !line.starts_with(start)).skip(2);
    rows.take_while(|line| line.starts_with('|')).map(str::to_owned).collect()
}

#[test]
fn declaration_fields_equal_their_table() {
    let expected: Vec<String> = declaration_fields()
        .iter()
        .map(|row| format!("| `{}` | {} | {} | {} |", row.path, row.values, row.default, row.help))
        .collect();
    let found = table_rows("settings/declarations.md", "| Field |");
    assert_eq!(found, expected, "\n{}", expected.join("\n"));
}

#[test]
fn exit_codes_equal_their_table() {
    let expected: Vec<String> =
        exit_codes().iter().map(|row| format!("| {} | {} |", row.code, row.meaning)).collect();
    assert_eq!(table_rows("operating/settings.md", "| Exit code |"), expected);
}

/// Guards against a finding that operators can't look up.
#[test]
fn findings_are_listed_for_operators() {
    let rows = table_rows("operating/settings.md", "| Code | Name |");
    let found: Vec<String> =
        rows.iter().map(|row| row.split(" | ").take(2).collect::<Vec<_>>().join(" | ")).collect();
    let findings = ResultCode::ALL.iter().filter(|code| (6200..6300).contains(&code.number()));
    let expected: Vec<String> =
        findings.map(|code| format!("| {} | `{}`", code.number(), code.name())).collect();
    assert_eq!(found, expected);
}
