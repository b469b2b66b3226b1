//! Prints an array of JSON objects as a table.

use serde_json::Value;

/// Each member's name is a column, in the order of first appearance.
pub(super) fn print_table(rows: &Value) {
    print!("{}", render(rows));
}

fn render(rows: &Value) -> String {
    let rows: Vec<_> = rows.as_array().into_iter().flatten().filter_map(Value::as_object).collect();
    let mut columns: Vec<&str> = Vec::new();
    for name in rows.iter().flat_map(|row| row.keys()) {
        if !columns.contains(&name.as_str()) {
            columns.push(name);
        }
    }
    let mut lines = vec![columns.iter().map(ToString::to_string).collect::<Vec<_>>()];
    for row in rows {
        lines.push(columns.iter().map(|name| cell(row.get(*name))).collect());
    }
    let width = |column: usize| lines.iter().map(|line| line[column].chars().count()).max();
    let widths: Vec<_> = (0..columns.len()).map(|column| width(column).unwrap_or(0)).collect();
    let mut text = String::new();
    for line in &lines {
        let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        text.push('\n');
    }
    text
}

fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".into(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}
