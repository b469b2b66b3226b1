use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

/// Faults of a stand-in's connections that do not depend on what it serves.
#[derive(Debug)]
pub struct Network {
    state: RefCell<State>,
}

#[derive(Debug)]
struct State {
    seen: HashSet<SocketAddr>,
    silent: HashSet<SocketAddr>,
    delay: Duration,
    frozen_until: Instant,
}

impl Network {
    pub fn new() -> Network {
        Network {
            state: RefCell::new(State {
                seen: HashSet::new(),
                silent: HashSet::new(),
                delay: Duration::ZERO,
                frozen_until: Instant::now(),
            }),
        }
    }

    /// Records the connection of a request.
    pub fn note(&self, remote: SocketAddr) {
        self.state.borrow_mut().seen.insert(remote);
    }

    /// Makes all connections that were used so far silent; new ones work.
    pub fn silence(&self) {
        let mut state = self.state.borrow_mut();
        let seen = std::mem::take(&mut state.seen);
        state.silent.extend(seen);
    }

    pub fn is_silent(&self, remote: SocketAddr) -> bool {
        self.state.borrow().silent.contains(&remote)
    }

    pub fn set_delay(&self, delay_ms: u64) {
        self.state.borrow_mut().delay = Duration::from_millis(delay_ms);
    }

    pub fn freeze(&self, ms: u64) {
        self.state.borrow_mut().frozen_until = Instant::now() + Duration::from_millis(ms);
    }

    /// Waits until the process is not frozen.
    pub async fn thawed(&self) {
        loop {
            let until = self.state.borrow().frozen_until;
            if until <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(until).await;
        }
    }

    /// Waits while the process is frozen; never returns on a silent connection.
    pub async fn pass(&self, remote: SocketAddr) {
        self.thawed().await;
        if self.is_silent(remote) {
            std::future::pending::<()>().await;
        }
    }

    /// Waits before an answer is sent.
    pub async fn delay(&self) {
        let delay = self.state.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}
