use std::cell::RefCell;
use std::collections::HashMap;

use crate::units::{InstanceId, Version};

/// Configuration version in force on each peer, from its last heartbeat.
#[derive(Debug, Default)]
pub struct PeerVersions {
    versions: RefCell<HashMap<InstanceId, Version>>,
}

impl PeerVersions {
    pub fn record(&self, instance: &InstanceId, version: Version) {
        self.versions.borrow_mut().insert(instance.clone(), version);
    }

    pub fn version_of(&self, instance: &InstanceId) -> Option<Version> {
        self.versions.borrow().get(instance).copied()
    }
}
