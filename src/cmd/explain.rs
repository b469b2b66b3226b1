use std::collections::BTreeSet;
use std::fmt::Write;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

use pico_args::Arguments;
use serde_json::{Value, json};
use smol_str::{SmolStr, ToSmolStr};

use crate::cmd::log_line::LogLine;
use crate::cmd::logged_send::LoggedSend;
use crate::cmd::table::print_text;
use crate::cmd::{CmdError, Options, next_argument, required_argument};

pub(super) const USAGE: &str = "\
usage: almondroad explain ATTEMPT FILE...

Tells from the logs of instances what became of the request with an attempt id: which instance
took it, what it sent to which endpoint, and why it ended as it did. Each FILE is the log of one
instance, which is named by the file. Lines about the endpoints in question from 5 s before the
request to its end are listed too. With --json, prints an array of objects.
";

/// Time before a request from which on lines about its endpoints are listed.
const BEFORE_MS: u64 = 5_000;

/// A line with the name of the log that it is in.
struct Found {
    instance: SmolStr,
    line: LogLine,
}

pub(super) fn run(mut arguments: Arguments, options: &Options) -> Result<(), CmdError> {
    let attempt = required_argument(&mut arguments, "ATTEMPT")?;
    let mut files = vec![required_argument(&mut arguments, "FILE")?];
    while let Some(file) = next_argument(&mut arguments)? {
        files.push(file);
    }
    let is_wanted = |line: &LogLine| line.is_request() && line.request == attempt;
    let mut requests = read_logs(&files, &BTreeSet::from([attempt.as_str()]), is_wanted)?;
    if requests.is_empty() {
        return Err(CmdError::NotLogged { attempt });
    }
    requests.sort_by_key(|found| found.line.arrived_unix_ms());
    let sends: Vec<Vec<LoggedSend>> = requests.iter().map(|found| sends(&found.line)).collect();
    let endpoints: BTreeSet<&str> = sends.iter().flatten().map(|s| s.endpoint.as_str()).collect();
    let from_ms = requests.iter().map(|found| found.line.arrived_unix_ms()).min().unwrap_or(0);
    let from_ms = from_ms.saturating_sub(BEFORE_MS);
    let until_ms = requests.iter().map(|found| found.line.time_unix_ms).max().unwrap_or(0);
    let is_related = |line: &LogLine| {
        endpoints.contains(line.endpoint.as_str())
            && (from_ms..=until_ms).contains(&line.time_unix_ms)
    };
    let mut related = read_logs(&files, &endpoints, is_related)?;
    related.sort_by_key(|found| found.line.time_unix_ms);
    if options.is_json {
        print_text(&format!("{}\n", to_json(&requests, &sends, &related)));
    } else {
        print_text(&render(&attempt, &requests, &sends, &related));
    }
    Ok(())
}

/// Reads the lines that contain one of `words` and are wanted. Other lines than log lines are left
/// out.
fn read_logs(
    files: &[SmolStr],
    words: &BTreeSet<&str>,
    is_wanted: impl Fn(&LogLine) -> bool,
) -> Result<Vec<Found>, CmdError> {
    let mut found = Vec::new();
    for path in files {
        let failed = |source| CmdError::File { path: path.clone(), source };
        let instance = Path::new(path.as_str()).file_stem().unwrap_or_default();
        let instance = instance.to_string_lossy().to_smolstr();
        for line in BufReader::new(File::open(path.as_str()).map_err(failed)?).split(b'\n') {
            let line = line.map_err(failed)?;
            let text = String::from_utf8_lossy(&line);
            if !words.iter().any(|word| text.contains(word)) {
                continue;
            }
            if let Ok(line) = serde_json::from_str::<LogLine>(&text)
                && is_wanted(&line)
            {
                found.push(Found { instance: instance.clone(), line });
            }
        }
    }
    Ok(found)
}

fn sends(line: &LogLine) -> Vec<LoggedSend> {
    line.sends.split_whitespace().filter_map(|send| send.parse().ok()).collect()
}

fn render(
    attempt: &str,
    requests: &[Found],
    sends: &[Vec<LoggedSend>],
    related: &[Found],
) -> String {
    let mut text = format!("attempt {attempt}\n");
    for (Found { instance, line }, sends) in requests.iter().zip(sends) {
        let arrived = time_of_day(line.arrived_unix_ms());
        let _ = write!(text, "\n{arrived}  arrived at {instance}");
        if !line.organisation.is_empty() {
            let _ = write!(text, " for organisation {}", line.organisation);
        }
        if !line.route.is_empty() {
            let _ = write!(text, ", route {}, configuration {}", line.route, line.configuration);
        }
        if !line.size.is_empty() {
            let _ = write!(text, ", {} tokens", line.size);
        }
        text.push('\n');
        for send in sends {
            let _ = writeln!(text, "{:>9} ms  {send}", send.at_ms);
        }
        let cause = explain_outcome(&line.outcome, sends.is_empty());
        let _ = writeln!(text, "{:>9} ms  ended as {}: {cause}", line.total_ms, line.outcome);
    }
    if !related.is_empty() {
        text.push_str("\nlines about these endpoints:\n");
        for Found { instance, line } in related {
            let time = time_of_day(line.time_unix_ms);
            let _ = writeln!(text, "{time}  {instance}: {}: {}", line.endpoint, line.message);
        }
    }
    text
}

fn to_json(requests: &[Found], sends: &[Vec<LoggedSend>], related: &[Found]) -> Value {
    let requests = requests.iter().zip(sends).map(|(Found { instance, line }, sends)| {
        json!({
            "instance": instance,
            "arrived_unix_ms": line.arrived_unix_ms(),
            "organisation": line.organisation,
            "route": line.route,
            "configuration": line.configuration,
            "sends": sends,
            "outcome": line.outcome,
            "cause": explain_outcome(&line.outcome, sends.is_empty()),
            "total_ms": line.total_ms,
        })
    });
    let related = related.iter().map(|Found { instance, line }| {
        json!({
            "instance": instance,
            "time_unix_ms": line.time_unix_ms,
            "endpoint": line.endpoint,
            "message": line.message,
        })
    });
    Value::Array(requests.chain(related).collect())
}

/// Explains the outcome of a request in plain words.
fn explain_outcome(outcome: &str, was_never_sent: bool) -> &str {
    match outcome {
        "answered" => "the caller got the whole answer",
        "error" => "the endpoint answered with an error, which the caller got",
        "caller_gone" => {
            "the caller closed its connection before the end, or the instance's grace time ended"
        }
        "no_capacity" if was_never_sent => {
            "no endpoint could be asked in time; it has not run, and the caller may come back"
        }
        "no_capacity" => {
            "no endpoint took it in time; it has not run, and the caller may come back"
        }
        "over_quota" => "the organisation's rate was used up; it has not run",
        "crashes_endpoints" => "requests like this one crashed three endpoints; it has not run",
        "expired_before_run" => "its time passed before an endpoint ran it; it has not run",
        "answer_lost" => "an endpoint may have run it, and no other one could answer it",
        "timeout" => "its time passed while an endpoint may have run it",
        "leaving" => "the instance was stopping when it had arrived completely; it has not run",
        "broken_off" => "the endpoint broke off, and the route's streams may not be resumed",
        "not_resumed" => "the endpoint broke off, and the next one did not continue the stream",
        "no_route" => "no route has its host and path",
        "unknown_key" => "no organisation has its key",
        "malformed" => "it is not in the protocol",
        "too_large" => "it is larger than allowed",
        "no_configuration" => "the instance had just started and knew no configuration yet",
        _ => "see docs/operators/errors.md",
    }
}

/// Time of day in UTC, `HH:MM:SS.mmm`.
fn time_of_day(unix_ms: u64) -> String {
    let (s, ms) = (unix_ms / 1_000, unix_ms % 1_000);
    format!("{:02}:{:02}:{:02}.{ms:03}", s / 3_600 % 24, s / 60 % 60, s % 60)
}
