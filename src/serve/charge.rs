use std::rc::Rc;

use crate::budget::BudgetError;
use crate::clock::Clock;
use crate::gateway::Node;
use crate::serve::run::GatewayCharge;
use crate::serve::{Call, CallError};

/// Longest wait for tokens before a request is refused.
const CHARGE_WAIT_MS: u64 = 1_000;
const UNREACHABLE_RETRY_MS: u64 = 1_000;

/// Charges the organisation's budget with the upper bound of what the request may use.
pub async fn charge(node: &Rc<Node>, call: &Call) -> Result<GatewayCharge, CallError> {
    let tokens = call.prompt_tokens_bound() + call.max_output_tokens;
    let deadline = node.clock.now().plus_ms(CHARGE_WAIT_MS).min(call.deadline);
    let charged = node.allowances.charge(&call.organisation, tokens, deadline).await;
    charged.map_err(|error| match error {
        BudgetError::Exhausted { retry_after_ms } => CallError::RateExceeded { retry_after_ms },
        BudgetError::LargerThanBurst => CallError::LargerThanBurst,
        BudgetError::Unreachable | BudgetError::UnknownOrganisation => {
            CallError::BudgetUnreachable { retry_after_ms: UNREACHABLE_RETRY_MS }
        }
    })
}
