use std::rc::Rc;

use crate::budget::BudgetError;
use crate::gateway::Node;
use crate::serve::run::GatewayCharge;
use crate::serve::{Call, CallError};

const UNREACHABLE_RETRY_MS: u64 = 1_000;

/// Charges the organisation's budget with the upper bound of what the request may use. Waits for
/// tokens until the end of the request's queue time.
pub async fn charge(node: &Rc<Node>, call: &Call) -> Result<GatewayCharge, CallError> {
    let tokens = call.prompt_tokens_bound() + call.max_output_tokens;
    let charged = node.allowances.charge(&call.organisation, tokens, call.queue_deadline).await;
    charged.map_err(|error| match error {
        BudgetError::Exhausted { retry_after_ms } => CallError::RateExceeded { retry_after_ms },
        BudgetError::LargerThanBurst => CallError::LargerThanBurst,
        BudgetError::Unreachable | BudgetError::UnknownOrganisation => {
            CallError::BudgetUnreachable { retry_after_ms: UNREACHABLE_RETRY_MS }
        }
    })
}
