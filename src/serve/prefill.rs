use std::time::Duration;

use tokio::time::{sleep, timeout};

use crate::engine::{Engine, EngineError, HttpEngine, PrefillRequest, PrefillResult};
use crate::http::HttpError;
use crate::serve::attempt::{Attempt, AttemptError, MAX_RECONNECTS, Produced, is_connection_error};

/// Time between checks whether the engine still has a prefill that it has not answered.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// A single check may come between the end of the prefill and its answer.
const MAX_MISSES: u32 = 2;

impl Attempt {
    pub(super) async fn prefill(
        &self,
        produced: &mut Produced,
    ) -> Result<PrefillResult, AttemptError> {
        let engine = self.node.engines.get(&self.plan.prefill_address);
        let request = PrefillRequest {
            attempt: self.id.clone(),
            model: self.call.model.clone(),
            prompt: self.call.prompt.clone(),
            generated: produced.tokens.clone(),
            cache_scope: self.call.organisation.as_str().into(),
            priority: self.call.priority(),
        };
        let was_sent = std::mem::replace(&mut produced.was_sent, true);
        let mut reconnects = 0;
        let error = loop {
            let limit = self.call.remaining(&self.node.clock);
            match timeout(limit, self.prefill_or_silence(&engine, &request)).await {
                Err(_) => return Err(AttemptError::DeadlinePassed),
                Ok(Ok(result)) => return Ok(result),
                Ok(Err(EngineError::NoProgress)) if reconnects < MAX_RECONNECTS => {
                    reconnects += 1;
                    engine.reset_connections();
                }
                Ok(Err(error)) => break error,
            }
        };
        let is_unreached = reconnects == 0 && is_refused(&error);
        if is_unreached {
            produced.was_sent = was_sent;
        }
        let died = is_dead(&engine, &error).await;
        let endpoint = self.plan.prefill.clone();
        Err(AttemptError::Endpoint { endpoint, died, is_unreached, error })
    }

    /// Waits for the prefill. A prefill may take seconds, so its progress is seen from what the
    /// engine holds: one that neither holds the attempt nor answers has lost the request or the
    /// answer.
    async fn prefill_or_silence(
        &self,
        engine: &HttpEngine,
        request: &PrefillRequest,
    ) -> Result<PrefillResult, EngineError> {
        let prefill = engine.prefill(request);
        tokio::pin!(prefill);
        let mut misses = 0;
        loop {
            let check = async {
                sleep(CHECK_PERIOD).await;
                engine.held_attempts().await
            };
            let held = tokio::select! {
                ended = &mut prefill => return ended,
                held = check => held,
            };
            if matches!(&held, Ok(held) if held.iter().any(|held| held.attempt == self.id)) {
                misses = 0;
                continue;
            }
            misses += 1;
            if misses >= MAX_MISSES {
                return Err(held.err().unwrap_or(EngineError::NoProgress));
            }
        }
    }
}

pub(super) fn is_refused(error: &EngineError) -> bool {
    matches!(error, EngineError::Http(HttpError::Connect { .. }))
}

/// Whether the engine's process is gone: a new connection is refused too.
pub(super) async fn is_dead(engine: &impl Engine, error: &EngineError) -> bool {
    if is_refused(error) {
        return true;
    }
    if !is_connection_error(error) {
        return false;
    }
    engine.reset_connections();
    matches!(engine.load().await, Err(error) if is_refused(&error))
}
