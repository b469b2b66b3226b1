use sha2::{Digest, Sha256};

use crate::units::macros::quantity;
use crate::units::{ModelId, OrganisationId};

quantity! {
    /// Hash that is equal for requests with the same organisation, model and prompt.
    Fingerprint
}

impl Fingerprint {
    pub fn of_prompt(organisation: &OrganisationId, model: &ModelId, prompt: &str) -> Fingerprint {
        let mut hasher = Sha256::new();
        for part in [organisation.as_str(), model.as_str(), prompt] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        let digest: [u8; 32] = hasher.finalize().into();
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&digest[..8]);
        Fingerprint(u64::from_be_bytes(prefix))
    }
}
