use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

/// Simulated connection faults of a stand-in: delays, freezes and connections that stay silent.
#[derive(Debug)]
pub struct Network {
    state: RefCell<State>,
}

#[derive(Debug)]
struct State {
    used_connections: HashSet<SocketAddr>,
    silent_connections: HashSet<SocketAddr>,
    delay: Duration,
    frozen_until: Instant,
}

impl Network {
    pub fn new() -> Network {
        Network {
            state: RefCell::new(State {
                used_connections: HashSet::new(),
                silent_connections: HashSet::new(),
                delay: Duration::ZERO,
                frozen_until: Instant::now(),
            }),
        }
    }

    /// Records the connection of a request.
    pub fn record_connection(&self, remote: SocketAddr) {
        self.state.borrow_mut().used_connections.insert(remote);
    }

    /// Stops responding on all connections used so far; new ones work.
    pub fn silence_used_connections(&self) {
        let mut state = self.state.borrow_mut();
        let used_connections = std::mem::take(&mut state.used_connections);
        state.silent_connections.extend(used_connections);
    }

    pub fn is_silent(&self, remote: SocketAddr) -> bool {
        self.state.borrow().silent_connections.contains(&remote)
    }

    pub fn set_delay(&self, delay_ms: u64) {
        self.state.borrow_mut().delay = Duration::from_millis(delay_ms);
    }

    pub fn freeze(&self, ms: u64) {
        self.state.borrow_mut().frozen_until = Instant::now() + Duration::from_millis(ms);
    }

    /// Waits until the end of a freeze.
    pub async fn wait_while_frozen(&self) {
        loop {
            let until = self.state.borrow().frozen_until;
            if until <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(until).await;
        }
    }

    /// Waits until the end of a freeze. Never returns for a silent connection.
    pub async fn wait_until_usable(&self, remote: SocketAddr) {
        self.wait_while_frozen().await;
        if self.is_silent(remote) {
            std::future::pending::<()>().await;
        }
    }

    /// Waits for the configured delay of responses.
    pub async fn wait_response_delay(&self) {
        let delay = self.state.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}
