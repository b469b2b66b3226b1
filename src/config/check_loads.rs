//! Validation of model and adapter sizes against the rate limit of the weight store.

use smol_str::{SmolStr, format_smolstr};

use crate::config::check::Checker;
use crate::config::{Model, WEIGHT_STORE, weight_tokens};
use crate::jsonc::Step;
use crate::jsonc::Step::Member;
use crate::units::{ModelId, OrganisationId};

impl Checker<'_> {
    pub(super) fn check_loads(&mut self) {
        if self.document.organisations.contains_key(&OrganisationId::new(WEIGHT_STORE)) {
            let message = format!("{WEIGHT_STORE}: expected another name, rates uses this one");
            self.error(&[Member("organisations"), Member(WEIGHT_STORE)], message);
        }
        let document = self.document;
        for (id, model) in &document.models {
            self.check_model_loads(id, model);
        }
    }

    fn check_model_loads(&mut self, id: &ModelId, model: &Model) {
        let at = [Member("models"), Member(id.as_str())];
        let path = [&at[..], &[Member("weights_bytes")]].concat();
        self.check_load(&path, format_smolstr!("model {id}"), model.weights_bytes);
        if !model.revision.is_empty() && model.weights_bytes == 0 {
            let message =
                format!("model {id}: its loads are not limited without a member weights_bytes");
            self.warning(&at, message);
        }
        for (name, adapter) in &model.adapters {
            let at = [&at[..], &[Member("adapters"), Member(name)]].concat();
            if adapter.revision.is_empty() {
                let path = [&at[..], &[Member("revision")]].concat();
                self.error(&path, format!("adapter {name}: expected a revision"));
            }
            let path = [&at[..], &[Member("weights_bytes")]].concat();
            let label = format_smolstr!("adapter {name}");
            self.check_load(&path, label, adapter.weights_bytes);
        }
    }

    /// Reports a load larger than the weight store's burst, which the budget could never grant.
    fn check_load(&mut self, path: &[Step], label: SmolStr, bytes: u64) {
        if bytes == 0 {
            return;
        }
        let tokens = weight_tokens(bytes);
        match self.document.rates.get(&OrganisationId::new(WEIGHT_STORE)) {
            None => {
                let message = format!("{label}: expected a member {WEIGHT_STORE} in rates");
                self.error(path, message);
            }
            Some(rate) if rate.burst_tokens < tokens => {
                let burst = rate.burst_tokens;
                let message = format!(
                    "{label}: expected at most the burst of {WEIGHT_STORE}, {burst} MiB; a load \
                     reads {tokens} MiB"
                );
                self.error(path, message);
            }
            Some(_) => {}
        }
    }
}
