use serde::{Deserialize, Serialize};

use crate::crashes::EndReport;
use crate::units::Fingerprint;

/// What an instance knows of a request under which connections to endpoints have broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestReport {
    pub fingerprint: Fingerprint,
    pub ends: Vec<EndReport>,
}
