use std::collections::HashMap;

use crate::units::OrganisationId;

/// How many of the prompt tokens that gateways name as an upper bound prompts really have, for
/// each organisation. Gateways count bytes, so the bound is about three times the number of
/// tokens; estimates of time need the number itself.
#[derive(Debug, Default)]
pub(crate) struct PromptRatios {
    ratios: HashMap<OrganisationId, f64>,
}

impl PromptRatios {
    /// Share of one observation in the moving average.
    const WEIGHT: f64 = 0.1;

    /// Expected tokens of a prompt with this bound; the bound until something was observed.
    pub fn estimate(&self, organisation: &OrganisationId, bound_tokens: u64) -> u64 {
        let ratio = self.ratios.get(organisation).copied().unwrap_or(1.0);
        ((bound_tokens as f64 * ratio).ceil() as u64).clamp(1, bound_tokens.max(1))
    }

    /// Notes that a prompt with this bound took at most `tokens`.
    pub fn observe(&mut self, organisation: &OrganisationId, bound_tokens: u64, tokens: u64) {
        let observed = (tokens as f64 / bound_tokens.max(1) as f64).min(1.0);
        let ratio = self.ratios.entry(organisation.clone()).or_insert(1.0);
        *ratio += (observed - *ratio) * PromptRatios::WEIGHT;
    }
}
