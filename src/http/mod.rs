//! HTTP client and server based on `hyper`, shared by the gateway, the operators' client and the
//! stand-ins.

mod abortable_stream;
mod account_limits;
mod bounded_stream;
mod connection_slot;
mod guarded_body;
mod handler;
mod held_response;
mod http_client;
mod http_error;
mod local_executor;
mod memory_account;
mod open_requests;
mod refused_clients;
mod request_memory;
mod response_body;
mod serve_options;
mod server;
mod transport;

pub use account_limits::AccountLimits;
pub use handler::Handler;
pub use http_client::HttpClient;
pub use http_error::HttpError;
pub use local_executor::LocalExecutor;
pub use memory_account::{MemoryAccount, MemoryCharge};
pub(crate) use refused_clients::record_refused_client;
pub use request_memory::{HeldMemory, RequestMemory};
pub use response_body::{Blocks, BrokenStream, ResponseBody};
pub use serve_options::ServeOptions;
pub use server::{serve, serve_with};
pub use transport::{Transport, TransportError};
