use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use smol_str::SmolStr;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdout, Command};

use crate::bench::{BenchError, ProcessUsage};

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_PREFIX: &str = "listening on ";
const PEERS_SUFFIX: &str = " for peers";

/// A child process of a fleet. It is killed when this value is dropped.
pub struct Process {
    name: SmolStr,
    address: SmolStr,
    peer_address: Option<SocketAddr>,
    child: Child,
    _stdout: BufReader<ChildStdout>,
}

impl Process {
    /// Starts a program and waits for the line on its standard output that states its addresses.
    pub async fn start(
        name: &str,
        program: &[PathBuf],
        arguments: Vec<OsString>,
        log_file: &Path,
    ) -> Result<Process, BenchError> {
        let failed = |source| BenchError::Process { name: name.into(), source };
        let log = std::fs::File::options().create(true).append(true).open(log_file);
        let (first, rest) =
            program.split_first().ok_or(BenchError::NotReady { name: name.into() })?;
        let mut child = Command::new(first)
            .args(rest)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.map_err(failed)?)
            .kill_on_drop(true)
            .spawn()
            .map_err(failed)?;
        let not_ready = || BenchError::NotReady { name: name.into() };
        let mut stdout = BufReader::new(child.stdout.take().ok_or_else(not_ready)?);
        let mut line = String::new();
        let read = tokio::time::timeout(READY_TIMEOUT, stdout.read_line(&mut line)).await;
        read.map_err(|_| not_ready())?.map_err(failed)?;
        let address =
            line.strip_prefix(READY_PREFIX).and_then(|rest| rest.split_whitespace().next());
        let address = address.ok_or_else(not_ready)?.into();
        let peer_address = line.trim_end().strip_suffix(PEERS_SUFFIX).and_then(last_word_address);
        Ok(Process { name: name.into(), address, peer_address, child, _stdout: stdout })
    }

    pub fn name(&self) -> &SmolStr {
        &self.name
    }

    /// Address at which the process accepts requests.
    pub fn address(&self) -> &SmolStr {
        &self.address
    }

    /// Address at which a gateway listens for its peers.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peer_address
    }

    pub fn kill(&self) {
        self.signal(Signal::KILL);
    }

    /// Suspends the process with SIGSTOP until `resume`.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests a graceful stop with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process exits and returns its exit code; `None` if a signal ended it.
    pub async fn wait(&mut self) -> Option<i32> {
        self.child.wait().await.ok()?.code()
    }

    /// Returns the resource usage so far, or zeros once the process has been waited for.
    pub fn usage(&self) -> ProcessUsage {
        self.child.id().map(ProcessUsage::of).unwrap_or_default()
    }

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        if let Some(pid) = pid
            && let Err(error) = kill_process(pid, signal)
        {
            log::warn!(target: "bench", "cannot signal process {}: {error}", self.name);
        }
    }
}

fn last_word_address(text: &str) -> Option<SocketAddr> {
    text.split_whitespace().last()?.parse().ok()
}
