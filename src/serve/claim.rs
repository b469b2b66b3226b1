use std::rc::Rc;
use std::time::Duration;

use crate::clock::Clock;
use crate::gateway::{Node, budget_shard};
use crate::peer::{ClaimReply, PeerError};
use crate::route::{Holder, find_holder};
use crate::serve::live_claims::LiveClaim;
use crate::serve::{CompletionCall, ServeError, claim_locally};
use crate::units::{AttemptId, FencingToken, OrganisationId, RequestId, ShardId};

/// Delay before the holder is asked again while the ownership of the shard changes.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum attempts to report the end of a claim. If all fail, the claim stays until this instance
/// ends.
const MAX_FINISH_ATTEMPTS: u32 = 100;

/// Claim on a request id that this instance is answering; repeats through any instance are refused.
/// A claim that is dropped because its caller disconnected ends as not completed.
pub struct ClaimedRequest {
    id: ClaimId,
    is_open: bool,
}

/// The claimed request id with the attempt that claims it.
#[derive(Clone)]
struct ClaimId {
    node: Rc<Node>,
    organisation: OrganisationId,
    request: RequestId,
    attempt: AttemptId,
}

impl ClaimedRequest {
    /// Claims the caller's request id, if it sent one. Waits for a missing shard holder, which does
    /// not count as queue time.
    pub async fn claim(
        node: &Rc<Node>,
        call: &CompletionCall,
    ) -> Result<Option<ClaimedRequest>, ServeError> {
        let Some(request) = call.request.clone() else { return Ok(None) };
        let organisation = call.organisation.clone();
        let attempt = node.running_attempts.next_id();
        let id = ClaimId { node: Rc::clone(node), organisation, request, attempt };
        let mut claimed = ClaimedRequest { id, is_open: true };
        loop {
            match claimed.id.request_claim().await {
                Ok((ClaimReply::Claimed, fencing)) => {
                    claimed.id.record_live(fencing);
                    return Ok(Some(claimed));
                }
                Ok((ClaimReply::Held { completed, .. }, _)) => {
                    claimed.is_open = false;
                    return Err(ServeError::DuplicateRequest { completed });
                }
                Ok((ClaimReply::NotHolder(known), _)) => {
                    known.into_iter().for_each(|holding| node.leases.record_holding(holding));
                }
                Err(error) => log::debug!(target: "serve", "claim request failed: {error}"),
            }
            if node.clock.now() >= call.holder_deadline {
                return Err(ServeError::BudgetUnreachable { retry_after_ms: 1_000 });
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Ends the claim. If the request was not completed, a repeat of it may run.
    pub async fn finish(mut self, completed: bool) {
        self.is_open = false;
        if let Err(error) = self.id.finish(completed).await {
            log::debug!(target: "serve", "cannot report the end of a claim, retrying: {error}");
            tokio::task::spawn_local(self.id.clone().finish_with_retries(completed));
        }
    }
}

impl Drop for ClaimedRequest {
    fn drop(&mut self) {
        if self.is_open {
            tokio::task::spawn_local(self.id.clone().finish_with_retries(false));
        }
    }
}

impl ClaimId {
    /// Requests the claim from the shard's holder. Returns the result with the holder's fencing
    /// token.
    async fn request_claim(&self) -> Result<(ClaimReply, FencingToken), PeerError> {
        let (organisation, request) = (&self.organisation, &self.request);
        match find_holder(&self.node, &self.shard()).await? {
            Holder::Own(held) => {
                let claim = claim_locally(&self.node, organisation, request, &self.attempt);
                Ok(claim.unwrap_or((ClaimReply::NotHolder(None), held.fencing)))
            }
            Holder::Peer(client, holding) => {
                let claim = client.claim_request(organisation, request, &self.attempt).await?;
                Ok((claim, holding.fencing))
            }
        }
    }

    fn record_live(&self, fencing: FencingToken) {
        let (organisation, request) = (self.organisation.clone(), self.request.clone());
        self.node.live_claims.insert(&self.attempt, LiveClaim { organisation, request, fencing });
    }

    async fn finish(&self, completed: bool) -> Result<(), PeerError> {
        match completed {
            true => self.node.live_claims.complete(&self.attempt, &self.node.clock),
            false => self.node.live_claims.remove(&self.attempt),
        }
        let (organisation, request) = (&self.organisation, &self.request);
        match find_holder(&self.node, &self.shard()).await? {
            Holder::Own(_) => {
                self.node.claims.finish(organisation, request, &self.attempt, completed);
                Ok(())
            }
            Holder::Peer(client, _) => {
                client.finish_request(organisation, request, &self.attempt, completed).await
            }
        }
    }

    async fn finish_with_retries(self, completed: bool) {
        for _ in 0..MAX_FINISH_ATTEMPTS {
            if self.finish(completed).await.is_ok() {
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        log::warn!(target: "serve", "cannot report the end of claim {}", self.attempt);
    }

    fn shard(&self) -> ShardId {
        budget_shard(&self.organisation)
    }
}
