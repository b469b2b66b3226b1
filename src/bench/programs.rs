use std::io;
use std::path::PathBuf;

/// Command lines of the programs that a fleet consists of.
#[derive(Clone, Debug)]
pub struct Programs {
    pub gateway: Vec<PathBuf>,
    pub standin: Vec<PathBuf>,
}

impl Programs {
    /// Uses the current executable for all programs: it contains the others as subcommands, so that
    /// one binary is enough to run a fleet.
    pub fn from_current_exe() -> io::Result<Programs> {
        let program = std::env::current_exe()?;
        Ok(Programs {
            gateway: vec![program.clone(), "process".into(), "gateway".into()],
            standin: vec![program, "process".into(), "standin".into()],
        })
    }
}
