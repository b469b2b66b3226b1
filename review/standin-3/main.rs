// The scripted cases of the third review: `review3-cases NUMBER FOLDER`.
// Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.

#![allow(dead_code, reason = "each case uses a part of the stand-ins")]

mod case_11;
mod case_12;
mod case_13;
mod engine;
mod plain;
mod platform_and_node;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use platform_and_node::{Record, has_trouble, is_built, temporary_folder};

/// What a case works with.
pub struct Setting {
    pub record: Arc<Record>,
    pub folder: PathBuf,
    pub has_trouble: bool,
}

/// Whether the rule was broken; an error if the case could not run.
pub type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, number, folder] = arguments.as_slice() else {
        eprintln!("review3-cases NUMBER FOLDER");
        return ExitCode::from(2);
    };
    if !is_built() {
        eprintln!("target/release/almondroad-node is missing: run the build of the deploy file");
        return ExitCode::from(2);
    }
    let record = Record::new(&Path::new(folder).join("record.txt"));
    let setting = Setting {
        record: Arc::clone(&record),
        folder: temporary_folder(number),
        has_trouble: has_trouble(),
    };
    record.line(format!("case {number}, trouble: {}", setting.has_trouble));
    let outcome = match number.as_str() {
        "11" => case_11::run(&setting),
        "12" => case_12::run(&setting),
        "13" => case_13::run(&setting),
        _ => Err("no such case".to_owned()),
    };
    let _ = std::fs::remove_dir_all(&setting.folder);
    let (text, code) = match outcome {
        Ok(true) => ("the rule was BROKEN".to_owned(), 1),
        Ok(false) => ("the rule held".to_owned(), 0),
        Err(error) => (format!("could not run: {error}"), 2),
    };
    record.line(&text);
    println!("case {number}: {text}");
    ExitCode::from(code)
}
