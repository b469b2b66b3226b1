//! Forwards callers' requests to endpoints: finds the route, checks the key, charges the quota,
//! selects an endpoint and returns its response. Bodies are opaque; a `Codec` reads and writes the
//! message heads.

mod admission_log;
mod admit;
mod answer_buffer;
mod caller_request;
mod codec;
mod connection;
mod connection_pool;
mod crash_check;
mod crash_counts;
mod decode;
mod end_detector;
mod endpoint_body;
mod endpoint_client;
mod endpoint_error;
mod endpoint_request;
mod event_splitter;
mod forwarder;
mod generate;
mod label_set;
mod memory_reservation;
mod open_stream;
mod placement;
mod plain;
mod plan;
mod prefill;
mod refusal;
mod refuse;
mod release_guard;
mod request_body;
mod request_context;
mod request_log;
mod response_memory;
mod responses;
mod rest_relay;
mod sends;
mod stream_relay;
mod versions;

pub use caller_request::{CallerRequest, Generation};
pub use codec::{Codec, MalformedRequest, PrefillOutput, ResponseKind};
pub use connection_pool::ConnectionPool;
pub use crash_counts::CrashCounts;
pub(crate) use endpoint_body::read_endpoint_body;
pub use endpoint_client::{EndpointClient, EndpointClientParts};
pub use endpoint_error::EndpointError;
pub use endpoint_request::{EndpointRequest, KvSource, Stage};
pub use event_splitter::EventSplitter;
pub use forwarder::{Forwarder, ForwarderParts};
pub use label_set::{LabelSet, RequestLabels};
pub use refusal::Refusal;
