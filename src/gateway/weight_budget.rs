//! Limits model loads by the weight store's budget.

use std::rc::{Rc, Weak};

use crate::clock::Clock;
use crate::config::{WEIGHT_STORE, weight_tokens};
use crate::gateway::Node;
use crate::pool::WeightLoadLimiter;
use crate::units::OrganisationId;

/// Enough for a load of the largest burst unless others are ahead of it; then it is retried.
const MAX_DRAW_WAIT_MS: u64 = 60_000;

/// Charges the bytes of a load to the weight store's budget. A charge without a load is not
/// refunded, because the order may have reached the engine nevertheless.
pub(super) fn weight_load_limiter(node: Weak<Node>) -> WeightLoadLimiter {
    Rc::new(move |bytes| {
        let node = node.upgrade();
        Box::pin(async move {
            let Some(node) = node else { return false };
            let organisation = OrganisationId::new(WEIGHT_STORE);
            let is_limited =
                node.configuration.current().document.rates.contains_key(&organisation);
            if !is_limited {
                // Document validation allows this only for loads of zero bytes.
                return false;
            }
            let tokens = weight_tokens(bytes);
            let deadline = node.clock.now().plus_ms(MAX_DRAW_WAIT_MS);
            match node.allowances.charge(&organisation, tokens, deadline).await {
                Ok(charge) => {
                    charge.settle(tokens);
                    true
                }
                Err(error) => {
                    log::debug!(target: "pool", "load delayed by the weight store's budget: {error}");
                    false
                }
            }
        })
    })
}
