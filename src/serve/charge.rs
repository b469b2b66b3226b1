//! Charges a request to its organisation's budget.

use std::rc::Rc;

use crate::budget::BudgetError;
use crate::clock::Clock;
use crate::gateway::Node;
use crate::serve::run::GatewayCharge;
use crate::serve::{CompletionCall, ServeError};

const UNREACHABLE_RETRY_MS: u64 = 1_000;

/// Charges the organisation's budget with the request's maximum token use. Waits for tokens until
/// the queue deadline, and longer if the budget's holder was missing. Returns the charge and the
/// time in milliseconds for which a missing holder delayed the request.
pub async fn charge(
    node: &Rc<Node>,
    call: &CompletionCall,
) -> Result<(GatewayCharge, u64), ServeError> {
    let tokens = call.prompt_tokens_bound() + call.max_output_tokens;
    let started_at = node.clock.now();
    let deadlines = (call.queue_deadline, call.holder_deadline);
    let charged =
        node.allowances.charge_with_holder_deadline(&call.organisation, tokens, deadlines).await;
    let now = node.clock.now();
    let is_delayed = now > call.queue_deadline;
    let waited_ms = if is_delayed { now.ms_since(started_at) } else { 0 };
    charged.map(|charge| (charge, waited_ms)).map_err(|error| match error {
        BudgetError::Exhausted { retry_after_ms } => ServeError::RateExceeded { retry_after_ms },
        BudgetError::LargerThanBurst => ServeError::LargerThanBurst,
        BudgetError::Unreachable | BudgetError::UnknownOrganisation => {
            ServeError::BudgetUnreachable { retry_after_ms: UNREACHABLE_RETRY_MS }
        }
    })
}
