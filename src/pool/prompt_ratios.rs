use std::collections::HashMap;

use crate::units::OrganisationId;

/// Ratio of the actual prompt length to the upper bound that gateways send, for each organisation.
/// Gateways count bytes, so the bound is about three times the number of tokens. Time estimates
/// need the actual length.
#[derive(Debug, Default)]
pub(crate) struct PromptRatios {
    ratios: HashMap<OrganisationId, f64>,
}

impl PromptRatios {
    /// Weight of one observation in the moving average.
    const WEIGHT: f64 = 0.1;

    /// Returns the expected length of a prompt with this bound, or the bound itself before the
    /// first observation.
    pub fn estimate(&self, organisation: &OrganisationId, bound_tokens: u64) -> u64 {
        let ratio = self.ratios.get(organisation).copied().unwrap_or(1.0);
        ((bound_tokens as f64 * ratio).ceil() as u64).clamp(1, bound_tokens.max(1))
    }

    /// Records that a prompt with this bound had at most `tokens` tokens.
    pub fn observe(&mut self, organisation: &OrganisationId, bound_tokens: u64, tokens: u64) {
        let observed = (tokens as f64 / bound_tokens.max(1) as f64).min(1.0);
        let ratio = self.ratios.entry(organisation.clone()).or_insert(1.0);
        *ratio += (observed - *ratio) * PromptRatios::WEIGHT;
    }
}
