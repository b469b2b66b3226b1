//! HTTP client and server based on `hyper`, shared by the gateway, the operators' client and the
//! stand-ins.

mod abortable_stream;
mod handler;
mod http_client;
mod http_error;
mod local_executor;
mod open_requests;
mod response_body;
mod serve_options;
mod server;
mod tracked_body;
mod transport;

pub use handler::Handler;
pub use http_client::HttpClient;
pub use http_error::HttpError;
pub use local_executor::LocalExecutor;
pub use response_body::{BrokenStream, ResponseBody};
pub use serve_options::ServeOptions;
pub use server::{serve, serve_with};
pub use transport::{Transport, TransportError};
