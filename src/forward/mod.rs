//! The way of a request through an instance: route, key, quota, endpoint, answer. Requests and
//! answers are opaque; a `Codec` reads and writes their heads.

mod caller_request;
mod codec;
mod connection;
mod connections;
mod crashes;
mod event_splitter;
mod forwarder;
mod generate;
mod label_set;
mod leg;
mod leg_error;
mod plain;
mod refusal;
mod release_guard;
mod request_log;
mod request_scope;
mod stream_relay;

pub use caller_request::{CallerRequest, Generation};
pub use codec::{AnswerKind, Codec, MalformedRequest, Prefilled};
pub use connections::Connections;
pub use crashes::Crashes;
pub use event_splitter::EventSplitter;
pub use forwarder::{Forwarder, ForwarderParts};
pub use label_set::{LabelSet, RequestLabels};
pub use leg::{KvSource, Leg, Stage};
pub use leg_error::LegError;
pub use refusal::Refusal;
