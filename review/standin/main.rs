//! Stand-ins and checks of the cases of this review. Started by the `run.sh` of a case.

mod common;
mod planned_stop;
mod resumed_stream;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = &arguments[..] else {
        common::cannot_run("expected a case and a file for the record");
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let has_held = match case.as_str() {
        "planned-stop" => planned_stop::run(record, has_trouble),
        "resumed-stream" => resumed_stream::run(record, has_trouble),
        other => common::cannot_run(&format!("no such case: {other}")),
    };
    std::process::exit(if has_held { 0 } else { 1 });
}
