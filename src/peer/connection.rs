//! Cap'n Proto RPC connections between instances. Each is driven by a task of its own.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use capnp_futures::serialize_packed::{PackedRead, PackedWrite};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::AsyncReadExt;
use futures::io::{BufReader, BufWriter};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::peer::counted_stream::CountedStream;
use crate::peer::{PeerClient, PeerError, PeerServer, PeerService};
use crate::peer_capnp::peer;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An open connection to a peer. Dropping it ends the connection's task.
pub struct Connection {
    pub client: PeerClient,
    task: JoinHandle<()>,
}

impl Connection {
    pub async fn open(address: &str, source_address: IpAddr) -> Result<Connection, PeerError> {
        let connect = connect_from(source_address, address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Err(_) => return Err(PeerError::Timeout),
            Ok(Err(_)) => return Err(PeerError::NotConnected),
            Ok(Ok(stream)) => stream,
        };
        let mut system = RpcSystem::new(Box::new(vat_network(stream, Side::Client)), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let task = tokio::task::spawn_local(run(system));
        Ok(Connection { client: PeerClient::new(client), task })
    }

    pub fn is_closed(&self) -> bool {
        self.task.is_finished()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Whether the connection to the address is refused, so that no process listens there. Other
/// failures say nothing about the process.
pub(super) async fn is_refused(address: &str, source_address: IpAddr) -> bool {
    let connect = connect_from(source_address, address);
    let answer = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
    matches!(answer, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

async fn connect_from(source_address: IpAddr, address: &str) -> io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    if source_address.is_unspecified() || source_address.is_ipv4() != address.is_ipv4() {
        return TcpStream::connect(address).await;
    }
    let socket = match source_address {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source_address, 0))?;
    socket.connect(address).await
}

/// Accepts connections from peers until the future is dropped.
pub async fn accept_peers<S: PeerService>(listener: TcpListener, service: Rc<S>) {
    let client: peer::Client = capnp_rpc::new_client(PeerServer::new(service));
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let bootstrap = client.clone().client;
                    let network = Box::new(vat_network(stream, Side::Server));
                    connections.spawn_local(run(RpcSystem::new(network, Some(bootstrap))));
                }
                Err(error) => {
                    log::warn!(target: "peer", "accept failed: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

type Reader =
    PackedRead<BufReader<futures::io::ReadHalf<tokio_util::compat::Compat<CountedStream>>>>;

fn vat_network(stream: TcpStream, side: Side) -> VatNetwork<Reader> {
    // Calls are small and latency-sensitive.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = CountedStream::new(stream).compat().split();
    // Packed, since more than half of the bytes of an unpacked message are zeros.
    let reader = PackedRead::new(BufReader::new(reader));
    let writer = PackedWrite::new(BufWriter::new(writer));
    VatNetwork::new(reader, writer, side, Default::default())
}

async fn run(system: RpcSystem<Side>) {
    if let Err(error) = system.await {
        log::debug!(target: "peer", "connection ended: {error}");
    }
}
