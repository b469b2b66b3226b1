//! Newtypes for identifiers, sizes and rates.

mod macros;

mod attempt_id;
mod content_hash;
mod endpoint_id;
mod fencing_token;
mod fingerprint;
mod hex;
mod incarnation;
mod instance_id;
mod key_hash;
mod model_id;
mod organisation_id;
mod pieces;
mod region_id;
mod request_id;
mod route_id;
mod service_id;
mod shard_id;
mod tokens;
mod tokens_per_second;
mod unit_error;
mod version;
mod zone_id;

pub use attempt_id::AttemptId;
pub use content_hash::ContentHash;
pub use endpoint_id::EndpointId;
pub use fencing_token::FencingToken;
pub use fingerprint::Fingerprint;
pub use incarnation::Incarnation;
pub use instance_id::InstanceId;
pub use key_hash::KeyHash;
pub use model_id::ModelId;
pub use organisation_id::OrganisationId;
pub use pieces::Pieces;
pub use region_id::RegionId;
pub use request_id::RequestId;
pub use route_id::RouteId;
pub use service_id::ServiceId;
pub use shard_id::ShardId;
pub use tokens::Tokens;
pub use tokens_per_second::TokensPerSecond;
pub use unit_error::UnitError;
pub use version::Version;
pub use zone_id::ZoneId;
