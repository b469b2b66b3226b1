//! Text tables and printing.

use std::io::Write;

use serde_json::Value;

/// Renders a table whose columns are as wide as their widest cell.
pub(super) fn render_table(columns: &[&str], rows: &[Vec<String>]) -> String {
    let header = columns.iter().map(ToString::to_string).collect();
    let lines: Vec<&Vec<String>> = std::iter::once(&header).chain(rows).collect();
    let width = |column: usize| {
        let cells = lines.iter().filter_map(|line| line.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let mut text = String::new();
    for line in &lines {
        let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// Rows with the named members of each object in an array.
pub(super) fn object_rows(objects: &Value, members: &[&str]) -> Vec<Vec<String>> {
    let objects = objects.as_array().into_iter().flatten();
    objects.map(|object| members.iter().map(|name| cell(&object[*name])).collect()).collect()
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) if text.is_empty() => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Prints text to standard output. A closed pipe, as with `head`, is no error.
pub(super) fn print_text(text: &str) {
    let _ = std::io::stdout().lock().write_all(text.as_bytes());
}
