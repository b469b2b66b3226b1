//! Communication between instances: RPC protocol, connections and membership.

mod claim_reply;
mod connection;
mod counted_stream;
mod decode;
mod digest;
mod dissemination;
mod encode;
mod heartbeat;
mod known_member;
mod link_task;
mod member;
mod membership;
mod peer_client;
mod peer_error;
mod peer_server;
mod peer_service;
mod peers;

pub use claim_reply::ClaimReply;
pub use connection::{Connection, accept_peers};
pub use digest::{Digest, MemberSummary};
pub use heartbeat::Heartbeat;
pub use member::Member;
pub use membership::Membership;
pub use peer_client::PeerClient;
pub use peer_error::PeerError;
pub use peer_server::PeerServer;
pub use peer_service::PeerService;
pub use peers::{HeartbeatSource, Peers};
