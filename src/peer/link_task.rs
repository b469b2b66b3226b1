use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use crate::clock::Clock;
use crate::peer::connection::Connection;
use crate::peer::{HeartbeatSource, PeerClient, PeerError};

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1000);
/// Period of pings on connections that carry only calls. The owner of a budget shard is called by
/// up to the whole fleet; a call that times out triggers a ping at once.
const CALL_LINK_PING_PERIOD: Duration = Duration::from_secs(5);
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Number of unanswered heartbeats or pings after which a connection is considered dead and is
/// replaced.
const MAX_MISSED_HEARTBEATS: u32 = 2;

/// Keeps the connection to one peer open and replaces it when it no longer responds.
pub(super) struct LinkTask<C, S> {
    pub clock: C,
    pub address: String,
    pub source_address: IpAddr,
    pub source: Rc<S>,
    pub client: watch::Sender<Option<PeerClient>>,
    /// Whether the peer is a neighbour. Connections to other peers carry no heartbeats.
    pub is_neighbour: watch::Receiver<bool>,
}

impl<C: Clock, S: HeartbeatSource> LinkTask<C, S> {
    /// Keeps the connection open until the link is dropped.
    pub async fn run(mut self, mut stopped: watch::Receiver<()>) {
        tokio::select! {
            _ = stopped.changed() => {}
            () = self.keep_connected() => {}
        }
    }

    async fn keep_connected(&mut self) {
        loop {
            match Connection::open(&self.address, self.source_address).await {
                Ok(connection) => {
                    self.client.send_replace(Some(connection.client.clone()));
                    self.keep_alive(&connection).await;
                    self.client.send_replace(None);
                }
                Err(error) => {
                    log::debug!(target: "peer", "cannot connect to {}: {error}", self.address);
                }
            }
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }

    /// Sends heartbeats or pings until the connection is closed or no longer responds.
    async fn keep_alive(&mut self, connection: &Connection) {
        let mut missed = 0;
        let mut is_first = true;
        while missed < MAX_MISSED_HEARTBEATS && !connection.is_closed() {
            let is_neighbour = *self.is_neighbour.borrow_and_update();
            let answered = if is_neighbour {
                self.exchange_heartbeats(connection, is_first).await
            } else {
                connection.client.ping().await
            };
            match answered {
                Ok(()) => {
                    missed = 0;
                    is_first &= !is_neighbour;
                    self.wait_for_next_round(connection, is_neighbour).await;
                }
                Err(error) => {
                    missed += 1;
                    log::debug!(target: "peer", "no response from {}: {error}", self.address);
                }
            }
        }
    }

    async fn exchange_heartbeats(
        &self,
        connection: &Connection,
        is_first: bool,
    ) -> Result<(), PeerError> {
        let sent_at = self.clock.now();
        let heartbeat = self.source.next_heartbeat(is_first);
        let answer = connection.client.heartbeat(&heartbeat).await?;
        self.source.receive_heartbeat(&answer, sent_at);
        Ok(())
    }

    /// Waits until the next heartbeat or ping is due.
    async fn wait_for_next_round(&mut self, connection: &Connection, is_neighbour: bool) {
        if is_neighbour {
            return tokio::time::sleep(HEARTBEAT_PERIOD).await;
        }
        tokio::select! {
            () = tokio::time::sleep(CALL_LINK_PING_PERIOD) => {}
            () = connection.client.timed_out() => {}
            _ = self.is_neighbour.changed() => {}
        }
    }
}
