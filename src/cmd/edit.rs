use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;
use std::process::Command;

use pico_args::Arguments;
use smol_str::{SmolStr, ToSmolStr};

use crate::cmd::{CmdError, GatewayClient, Options, print_version, read_file, required_argument};
use crate::usage_error::UsageError;

pub(super) const USAGE: &str = "\
usage: almondroad edit SECTION

Opens a section in $EDITOR, which may contain arguments, and puts the result. If the put is
refused, the edited text is kept in a file that the error names.
";

pub(super) async fn run(mut arguments: Arguments, options: &Options) -> Result<(), CmdError> {
    let section = required_argument(&mut arguments, "SECTION")?;
    UsageError::check_empty(arguments)?;
    let editor = std::env::var("EDITOR").map_err(|_| UsageError::MissingEditor)?;
    let gateway = GatewayClient::from_options(options)?;
    let read = gateway.get_text(Some(&section)).await?;
    let path = write_draft(&section, &read.text)?;
    // The variable may also contain arguments, such as `code --wait`.
    let mut words = editor.split_whitespace();
    let program = words.next().unwrap_or_default();
    let status = Command::new(program).args(words).arg(path.as_str()).status();
    if !status.is_ok_and(|status| status.success()) {
        return Err(CmdError::Editor { path });
    }
    let text = read_file(&path)?;
    if text.trim() == read.text.trim() {
        remove_draft(&path);
        println!("nothing was changed");
        return Ok(());
    }
    match gateway.put_section(&section, read.version, text).await {
        Ok(answer) => {
            remove_draft(&path);
            print_version(&answer, options);
            Ok(())
        }
        Err(CmdError::Refused(refusal)) if refusal.code == "invalid_document" => {
            Err(CmdError::InvalidEdit { findings: refusal.findings, path })
        }
        Err(error) => {
            eprintln!("almondroad: your text is in {path}");
            Err(error)
        }
    }
}

/// Writes the text to a new file in the directory for temporary files.
fn write_draft(section: &str, text: &str) -> Result<SmolStr, CmdError> {
    let name = format!("almondroad-{section}-{:016x}.jsonc", rand::random::<u64>());
    let path: PathBuf = std::env::temp_dir().join(name);
    let written = OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(&path)
        .and_then(|mut file| writeln!(file, "{text}"));
    let path = path.display().to_smolstr();
    written.map_err(|source| CmdError::File { path: path.clone(), source })?;
    Ok(path)
}

fn remove_draft(path: &str) {
    // A draft that cannot be removed does no harm.
    let _ = std::fs::remove_file(path);
}
