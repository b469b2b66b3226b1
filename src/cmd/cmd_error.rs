use derive_more::{Display, Error, From};
use smol_str::SmolStr;

use crate::cmd::Refusal;
use crate::config::Finding;
use crate::http::HttpError;
use crate::usage_error::UsageError;

/// Why a command failed. The message says what to do next.
#[derive(Debug, Display, Error, From)]
pub enum CmdError {
    #[display("{_0}\nRun `almondroad --help` for the commands and their arguments.")]
    Usage(UsageError),
    #[display("cannot use {path}: {source}\nCheck the name of the file.")]
    #[from(ignore)]
    File { path: SmolStr, source: std::io::Error },
    #[display("{source}\nCheck the address given with --gateway, or name another instance.")]
    Unreachable { source: HttpError },
    #[display(
        "{source}\nThe gateway may have carried out the request. Run `almondroad history` before \
         you repeat it."
    )]
    #[from(ignore)]
    Broken { source: HttpError },
    #[display("{_0}")]
    Refused(#[error(not(source))] Refusal),
    /// The findings have been printed.
    #[display("{path} does not pass its checks. Correct the errors and run the check again.")]
    #[from(ignore)]
    Invalid { path: SmolStr },
    #[display("{}\nNothing was changed. Your text is in {path}.", render(findings))]
    #[from(ignore)]
    InvalidEdit { findings: Vec<Finding>, path: SmolStr },
    #[display("the editor failed. Set EDITOR to a working editor. Your text is in {path}.")]
    #[from(ignore)]
    Editor { path: SmolStr },
    #[display(
        "no line names attempt {attempt}\nName the logs of all instances, also those of processes \
         that have ended. A request is logged when it ends."
    )]
    #[from(ignore)]
    NotLogged { attempt: SmolStr },
    #[display("the section differs from the file")]
    #[from(ignore)]
    Different,
    #[display(
        "version {wanted} is not in force everywhere: {}\nIf no instance has it, run `almondroad \
         history` to see whether it exists. An instance that keeps lagging for 3 s is cut off or \
         stuck; see its log.", lagging.join(", ")
    )]
    #[from(ignore)]
    NotInForce { wanted: u64, lagging: Vec<SmolStr> },
}

impl CmdError {
    /// 1 refused, 2 usage, 3 unreachable, 4 conflict.
    pub fn exit_code(&self) -> u8 {
        match self {
            CmdError::Usage(_) | CmdError::File { .. } => 2,
            CmdError::Unreachable { .. } | CmdError::Broken { .. } => 3,
            CmdError::Refused(refusal) if refusal.code == "conflict" => 4,
            _ => 1,
        }
    }

    /// Stable machine-readable error code.
    pub fn code(&self) -> &str {
        match self {
            CmdError::Usage(_) => "usage",
            CmdError::File { .. } => "file",
            CmdError::Unreachable { .. } => "unreachable",
            CmdError::Broken { .. } => "no_answer",
            CmdError::Refused(refusal) => &refusal.code,
            CmdError::Invalid { .. } | CmdError::InvalidEdit { .. } => "invalid_document",
            CmdError::Editor { .. } => "editor",
            CmdError::Different => "different",
            CmdError::NotLogged { .. } => "not_logged",
            CmdError::NotInForce { .. } => "not_in_force",
        }
    }
}

impl From<pico_args::Error> for CmdError {
    fn from(error: pico_args::Error) -> CmdError {
        CmdError::Usage(error.into())
    }
}

fn render(findings: &[Finding]) -> String {
    findings.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}
