//! TCP relays between the processes of a fleet. They can block traffic without closing connections,
//! as a network does that drops every packet.

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::bench::{Node, Path};

const BUFFER_BYTES: usize = 16 << 10;

/// The network paths on which no data passes. Data sent on a blocked path is delivered once the
/// path is unblocked.
#[derive(Clone, Debug, Default)]
pub struct BlockedPaths {
    paths: watch::Sender<BTreeSet<Path>>,
}

impl BlockedPaths {
    /// Blocks both directions between each of `some` and each of `others`.
    pub fn block_between(&self, some: &[Node], others: &[Node]) {
        self.paths.send_modify(|paths| {
            for &a in some {
                for &b in others {
                    paths.extend([Path { from: a, to: b }, Path { from: b, to: a }]);
                }
            }
        });
    }

    pub fn unblock_all(&self) {
        self.paths.send_modify(BTreeSet::clear);
    }

    async fn wait_until_open(&self, path: Path) {
        let mut paths = self.paths.subscribe();
        // An error is impossible: the sender lives as long as `self`.
        let _ = paths.wait_for(|cut| !cut.contains(&path)).await;
    }
}

/// The processes that connect to a relay.
#[derive(Clone, Copy, Debug)]
pub enum AllowedClients {
    Only(Node),
    /// All gateways, identified by their source address; see `gateway_ip`.
    Gateways,
}

/// A TCP relay in front of one process. Dropping it closes its connections.
pub struct Relay {
    address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    _task: JoinSet<()>,
}

impl Relay {
    pub async fn start(
        callers: AllowedClients,
        to: Node,
        blocked_paths: &BlockedPaths,
    ) -> io::Result<Relay> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let target = watch::Sender::new(None);
        let mut task = JoinSet::new();
        task.spawn_local(accept(listener, callers, to, blocked_paths.clone(), target.subscribe()));
        Ok(Relay { address, target, _task: task })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address to forward to. Earlier connections wait until it is set.
    pub fn forward_to(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }
}

/// Returns the source address from which a gateway of a relayed fleet connects to its peers.
pub fn gateway_ip(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 1, index as u8 + 1)
}

fn gateway_with_ip(ip: IpAddr) -> Option<Node> {
    match ip {
        IpAddr::V4(ip) => {
            (0..=u8::MAX as usize - 1).find(|i| gateway_ip(*i) == ip).map(Node::Gateway)
        }
        IpAddr::V6(_) => None,
    }
}

async fn accept(
    listener: TcpListener,
    callers: AllowedClients,
    to: Node,
    blocked_paths: BlockedPaths,
    target: watch::Receiver<Option<SocketAddr>>,
) {
    let mut connections = JoinSet::new();
    while let Ok((stream, remote)) = listener.accept().await {
        let from = match callers {
            AllowedClients::Only(node) => Some(node),
            AllowedClients::Gateways => gateway_with_ip(remote.ip()),
        };
        let Some(from) = from else { continue };
        let (blocked_paths, target) = (blocked_paths.clone(), target.clone());
        connections.spawn_local(async move {
            // After an error both sides are closed, because the streams are dropped.
            let _ = forward(stream, Path { from, to }, blocked_paths, target).await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn forward(
    stream: TcpStream,
    path: Path,
    blocked_paths: BlockedPaths,
    mut target: watch::Receiver<Option<SocketAddr>>,
) -> io::Result<()> {
    blocked_paths.wait_until_open(path).await;
    let target = *target.wait_for(Option::is_some).await.map_err(io::Error::other)?;
    let Some(target) = target else { return Ok(()) };
    let onward = TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    onward.set_nodelay(true)?;
    let (from_caller, to_caller) = stream.into_split();
    let (from_target, to_target) = onward.into_split();
    tokio::try_join!(
        copy_one_way(from_caller, to_target, path, &blocked_paths),
        copy_one_way(from_target, to_caller, path.reversed(), &blocked_paths),
    )?;
    Ok(())
}

async fn copy_one_way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    path: Path,
    blocked_paths: &BlockedPaths,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        blocked_paths.wait_until_open(path).await;
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..length]).await?;
    }
}
