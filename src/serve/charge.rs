use std::rc::Rc;

use crate::budget::BudgetError;
use crate::clock::Clock;
use crate::gateway::Node;
use crate::serve::run::GatewayCharge;
use crate::serve::{Call, CallError};

const UNREACHABLE_RETRY_MS: u64 = 1_000;

/// Charges the organisation's budget with the upper bound of what the request may use. Waits for
/// tokens until the end of the request's queue time, and longer if the budget's owner was missing.
/// Returns the charge and for how many milliseconds the request waited for a missing owner.
pub async fn charge(node: &Rc<Node>, call: &Call) -> Result<(GatewayCharge, u64), CallError> {
    let tokens = call.prompt_tokens_bound() + call.max_output_tokens;
    let started_at = node.clock.now();
    let deadlines = (call.queue_deadline, call.holder_deadline);
    let charged =
        node.allowances.charge_with_holder_deadline(&call.organisation, tokens, deadlines).await;
    let now = node.clock.now();
    let is_delayed = now > call.queue_deadline;
    let waited_ms = if is_delayed { now.ms_since(started_at) } else { 0 };
    charged.map(|charge| (charge, waited_ms)).map_err(|error| match error {
        BudgetError::Exhausted { retry_after_ms } => CallError::RateExceeded { retry_after_ms },
        BudgetError::LargerThanBurst => CallError::LargerThanBurst,
        BudgetError::Unreachable | BudgetError::UnknownOrganisation => {
            CallError::BudgetUnreachable { retry_after_ms: UNREACHABLE_RETRY_MS }
        }
    })
}
