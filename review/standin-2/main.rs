//! Plays one case of the review against a running instance.
//! Usage: standin-2 CASE NODE_PROGRAM RECORD_FILE; the variable TROUBLE=0 leaves the disruption out.

mod common;
mod crashing_parts;
mod crowd;
mod half_way;
mod planned_stop;
mod unread_metrics;

use std::path::Path;
use std::process::ExitCode;

/// Result of a case.
pub enum Outcome {
    Held,
    Broken,
    /// The case could not be played.
    Unplayed,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, node, file] = arguments.as_slice() else { return ExitCode::from(2) };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = common::Record::new();
    let outcome = match case.as_str() {
        "unread-metrics" => unread_metrics::play(node, has_trouble, &record),
        "crashing-parts" => crashing_parts::play(node, has_trouble, &record),
        "crowd" => crowd::play(node, has_trouble, &record),
        "planned-stop" => planned_stop::play(node, has_trouble, &record),
        "half-way" => half_way::play(node, has_trouble, &record),
        _ => Outcome::Unplayed,
    };
    let (word, code) = match outcome {
        Outcome::Held => ("held", 0),
        Outcome::Broken => ("broken", 1),
        Outcome::Unplayed => ("not played", 2),
    };
    record.add(format!("rule {word}"));
    match record.write(Path::new(file)) {
        Ok(()) => ExitCode::from(code),
        Err(_) => ExitCode::from(2),
    }
}
