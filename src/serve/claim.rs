use std::rc::Rc;
use std::time::Duration;

use crate::clock::Clock;
use crate::gateway::{Node, budget_shard};
use crate::peer::{ClaimReply, PeerError};
use crate::route::{Holder, find_holder};
use crate::serve::live_claims::LiveClaim;
use crate::serve::{Call, CallError, claim_here};
use crate::units::{AttemptId, FencingToken, OrganisationId, RequestId, ShardId};

/// Pause before the holder is asked again, while the ownership of the shard changes.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Tries to deliver the end of a claim. A claim whose end is not delivered stays until this
/// instance ends.
const MAX_FINISH_TRIES: u32 = 100;

/// A request id that this instance answers; repeats through any instance are refused. A claim
/// that is dropped, since its caller left, ends as not completed.
pub struct ClaimedRequest {
    id: ClaimId,
    is_open: bool,
}

#[derive(Clone)]
struct ClaimId {
    node: Rc<Node>,
    organisation: OrganisationId,
    request: RequestId,
    attempt: AttemptId,
}

impl ClaimedRequest {
    /// Claims the caller's request id, if it sent one. Waits for a missing holder, which is no
    /// part of the request's queue time.
    pub async fn claim(node: &Rc<Node>, call: &Call) -> Result<Option<ClaimedRequest>, CallError> {
        let Some(request) = call.request.clone() else { return Ok(None) };
        let organisation = call.organisation.clone();
        let attempt = node.live.next_id();
        let id = ClaimId { node: Rc::clone(node), organisation, request, attempt };
        let mut claimed = ClaimedRequest { id, is_open: true };
        loop {
            match claimed.id.ask().await {
                Ok((ClaimReply::Claimed, fencing)) => {
                    claimed.id.note_live(fencing);
                    return Ok(Some(claimed));
                }
                Ok((ClaimReply::Held { completed, .. }, _)) => {
                    claimed.is_open = false;
                    return Err(CallError::DuplicateRequest { completed });
                }
                Ok((ClaimReply::NotHolder(known), _)) => {
                    known.into_iter().for_each(|holding| node.leases.record_holding(holding));
                }
                Err(error) => log::debug!(target: "serve", "claim not answered: {error}"),
            }
            if node.clock.now() >= call.holder_deadline {
                return Err(CallError::BudgetUnreachable { retry_after_ms: 1_000 });
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Ends the claim. If the answer was not completed, a repeat of the request may run.
    pub async fn finish(mut self, completed: bool) {
        self.is_open = false;
        if let Err(error) = self.id.finish(completed).await {
            log::debug!(target: "serve", "end of claim not delivered: {error}");
            tokio::task::spawn_local(self.id.clone().finish_later(completed));
        }
    }
}

impl Drop for ClaimedRequest {
    fn drop(&mut self) {
        if self.is_open {
            tokio::task::spawn_local(self.id.clone().finish_later(false));
        }
    }
}

impl ClaimId {
    /// Asks the holder and returns its answer with its fencing number.
    async fn ask(&self) -> Result<(ClaimReply, FencingToken), PeerError> {
        let (organisation, request) = (&self.organisation, &self.request);
        match find_holder(&self.node, &self.shard()).await? {
            Holder::Own(held) => {
                let claim = claim_here(&self.node, organisation, request, &self.attempt);
                Ok(claim.unwrap_or((ClaimReply::NotHolder(None), held.fencing)))
            }
            Holder::Peer(client, holding) => {
                let claim = client.claim_request(organisation, request, &self.attempt).await?;
                Ok((claim, holding.fencing))
            }
        }
    }

    fn note_live(&self, fencing: FencingToken) {
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

    async fn finish_later(self, completed: bool) {
        for _ in 0..MAX_FINISH_TRIES {
            if self.finish(completed).await.is_ok() {
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        log::warn!(target: "serve", "end of claim {} not delivered", self.attempt);
    }

    fn shard(&self) -> ShardId {
        budget_shard(&self.organisation)
    }
}
