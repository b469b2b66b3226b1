use std::io;
use std::net::SocketAddr;

use tokio::net::UdpSocket;

/// Sends and receives datagrams.
#[allow(async_fn_in_trait)]
pub trait DatagramSocket: 'static {
    async fn send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize>;

    /// Receives a datagram. Returns its length and its sender.
    async fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)>;
}

impl DatagramSocket for UdpSocket {
    async fn send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        UdpSocket::send_to(self, bytes, to).await
    }

    async fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        UdpSocket::recv_from(self, buffer).await
    }
}
