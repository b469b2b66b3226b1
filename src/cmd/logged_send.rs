use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::Serialize;
use smol_str::SmolStr;

/// An entry of the `sends` of a request, `STAGE:ENDPOINT:RESULT@MS`. Displayed in plain words.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct LoggedSend {
    pub stage: SmolStr,
    pub endpoint: SmolStr,
    pub result: SmolStr,
    /// Time since the request arrived.
    pub at_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("expected STAGE:ENDPOINT:RESULT@MS")]
pub(super) struct InvalidSend;

impl FromStr for LoggedSend {
    type Err = InvalidSend;

    fn from_str(text: &str) -> Result<LoggedSend, InvalidSend> {
        let (send, at_ms) = text.rsplit_once('@').ok_or(InvalidSend)?;
        let (stage, rest) = send.split_once(':').ok_or(InvalidSend)?;
        let (endpoint, result) = rest.rsplit_once(':').ok_or(InvalidSend)?;
        let at_ms = at_ms.parse().map_err(|_| InvalidSend)?;
        Ok(LoggedSend {
            stage: stage.into(),
            endpoint: endpoint.into(),
            result: result.into(),
            at_ms,
        })
    }
}

impl fmt::Display for LoggedSend {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LoggedSend { stage, endpoint, result, .. } = self;
        match (stage.as_str(), result.as_str()) {
            ("hold", "held") => write!(f, "{endpoint} set memory aside"),
            ("hold", "full") => write!(f, "{endpoint} had no memory free"),
            ("prefill", "read") => write!(f, "{endpoint} has read the prompt"),
            ("decode", "started") => {
                write!(f, "{endpoint} began to answer, with the prompt read elsewhere")
            }
            ("whole", "started") => write!(f, "{endpoint} read the prompt and began to answer"),
            ("run", status) if status.parse::<u16>().is_ok() => {
                write!(f, "{endpoint} answered with status {status}")
            }
            (stage, result) => {
                let purpose = match stage {
                    "hold" => "was asked to set memory aside",
                    "prefill" => "was sent the prompt to read",
                    "stream" => "was answering",
                    _ => "was sent the request",
                };
                write!(f, "{endpoint} {purpose}: {}", failure(result))
            }
        }
    }
}

/// Explains the code of an error of an endpoint.
fn failure(code: &str) -> &str {
    match code {
        "not_sent" => "no connection, nothing was sent",
        "not_run" => "it refused and has not run it",
        "wrong_endpoint" => "another endpoint uses its address, which has not run it",
        "broken" => "the connection broke",
        "foreign" => "what it answered does not belong to the request",
        "timeout" => "no answer in time",
        other => other,
    }
}
