use std::io;
use std::path::PathBuf;

/// Where the programs of a fleet are.
#[derive(Clone, Debug)]
pub struct Programs {
    pub gateway: Vec<PathBuf>,
    pub standin: Vec<PathBuf>,
}

impl Programs {
    /// The running program itself, which contains the others, so that building one program is
    /// enough to run a fleet.
    pub fn from_current_exe() -> io::Result<Programs> {
        let program = std::env::current_exe()?;
        Ok(Programs {
            gateway: vec![program.clone(), "process".into(), "gateway".into()],
            standin: vec![program, "process".into(), "standin".into()],
        })
    }
}
