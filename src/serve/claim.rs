use std::rc::Rc;
use std::time::Duration;

use crate::gateway::Node;
use crate::peer::{PeerError, RequestClaim};
use crate::route::{Holder, find_holder};
use crate::serve::{Call, CallError};
use crate::units::{AttemptId, OrganisationId, RequestId, ShardId};

/// Tries to claim while the ownership of the shard changes.
const MAX_TRIES: u32 = 20;
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A request id that this instance answers; repeats through any instance are refused.
pub struct ClaimedRequest {
    node: Rc<Node>,
    organisation: OrganisationId,
    request: RequestId,
    attempt: AttemptId,
}

impl ClaimedRequest {
    /// Claims the caller's request id, if it sent one.
    pub async fn claim(node: &Rc<Node>, call: &Call) -> Result<Option<ClaimedRequest>, CallError> {
        let Some(request) = call.request.clone() else { return Ok(None) };
        let claimed = ClaimedRequest {
            node: Rc::clone(node),
            organisation: call.organisation.clone(),
            request,
            attempt: node.live.next_id(),
        };
        for _ in 0..MAX_TRIES {
            match claimed.ask().await {
                Ok(RequestClaim::Claimed) => return Ok(Some(claimed)),
                Ok(RequestClaim::Held { attempt, .. }) if attempt == claimed.attempt => {
                    return Ok(Some(claimed));
                }
                Ok(RequestClaim::Held { completed, .. }) => {
                    return Err(CallError::DuplicateRequest { completed });
                }
                Ok(RequestClaim::NotHolder(known)) => {
                    if let Some(holding) = known {
                        node.leases.learn(holding);
                    }
                }
                Err(error) => log::debug!(target: "serve", "claim not answered: {error}"),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(CallError::BudgetUnreachable { retry_after_ms: 1_000 })
    }

    async fn ask(&self) -> Result<RequestClaim, PeerError> {
        match find_holder(&self.node, &self.shard()).await? {
            Holder::Own(_) => {
                let claim =
                    self.node.claims.claim(&self.organisation, &self.request, &self.attempt);
                Ok(claim.into())
            }
            Holder::Peer(client, _) => {
                client.claim_request(&self.organisation, &self.request, &self.attempt).await
            }
        }
    }

    /// Ends the claim. If the answer was not completed, a repeat of the request may run.
    pub async fn finish(self, completed: bool) {
        let (organisation, request) = (&self.organisation, &self.request);
        let finished = match find_holder(&self.node, &self.shard()).await {
            Ok(Holder::Own(_)) => {
                self.node.claims.finish(organisation, request, &self.attempt, completed);
                Ok(())
            }
            Ok(Holder::Peer(client, _)) => {
                client.finish_request(organisation, request, &self.attempt, completed).await
            }
            Err(error) => Err(error),
        };
        if let Err(error) = finished {
            log::debug!(target: "serve", "end of claim not delivered: {error}");
        }
    }

    fn shard(&self) -> ShardId {
        ShardId::of_organisation(&self.organisation, crate::gateway::BUDGET_SHARDS)
    }
}
