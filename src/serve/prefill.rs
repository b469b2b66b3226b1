//! Prefill of an attempt, with detection of silent connections and dead engines.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use crate::engine::{Engine, EngineError, HttpEngine, PrefillRequest, PrefillResult};
use crate::http::HttpError;
use crate::serve::attempt::{
    Attempt, AttemptError, MAX_RECONNECTS, RequestProgress, is_connection_error,
};

/// Interval between checks that the engine still holds an unanswered prefill.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// More than one, since a check may fall between the end of the prefill and its response.
const MAX_MISSED_CHECKS: u32 = 2;

impl Attempt {
    pub(super) async fn prefill(
        &self,
        progress: &mut RequestProgress,
    ) -> Result<PrefillResult, AttemptError> {
        let engine = self.node.endpoint_clients.get(&self.plan.prefill_address);
        let request = PrefillRequest {
            attempt: self.id.clone(),
            model: self.call.model.clone(),
            prompt: self.call.prompt.clone(),
            generated: progress.tokens.clone(),
            cache_scope: self.call.organisation.as_str().into(),
            priority: self.call.priority(),
        };
        let was_sent = std::mem::replace(&mut progress.was_sent, true);
        let mut reconnects = 0;
        let error = loop {
            let limit = self.call.remaining(&self.node.clock);
            match timeout(limit, self.prefill_with_checks(&engine, &request)).await {
                Err(_) => return Err(AttemptError::DeadlinePassed),
                Ok(Ok(result)) => return Ok(result),
                Ok(Err(EngineError::NoProgress)) if reconnects < MAX_RECONNECTS => {
                    reconnects += 1;
                    engine.reset_connections();
                }
                Ok(Err(error)) => break error,
            }
        };
        let is_unreached = reconnects == 0 && is_connection_refused(&error);
        if is_unreached {
            progress.was_sent = was_sent;
        }
        let died = is_process_dead(&engine, &error).await;
        let endpoint = self.plan.prefill.clone();
        Err(AttemptError::Endpoint { endpoint, died, is_unreached, error })
    }

    /// Waits for the prefill. It may take seconds, so this polls which attempts the engine holds
    /// instead of using a short timeout: an engine that neither holds the attempt nor responds has
    /// lost the request or the response.
    async fn prefill_with_checks(
        &self,
        engine: &HttpEngine,
        request: &PrefillRequest,
    ) -> Result<PrefillResult, EngineError> {
        let prefill = engine.prefill(request);
        tokio::pin!(prefill);
        let mut missed_checks = 0;
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
                missed_checks = 0;
                continue;
            }
            missed_checks += 1;
            if missed_checks >= MAX_MISSED_CHECKS {
                return Err(held.err().unwrap_or(EngineError::NoProgress));
            }
        }
    }
}

pub(super) fn is_connection_refused(error: &EngineError) -> bool {
    matches!(error, EngineError::Http(HttpError::Connect { .. }))
}

/// Whether the engine's process has ended, so that new connections are refused too.
pub(super) async fn is_process_dead(engine: &impl Engine, error: &EngineError) -> bool {
    if is_connection_refused(error) {
        return true;
    }
    if !is_connection_error(error) {
        return false;
    }
    engine.reset_connections();
    matches!(engine.load().await, Err(error) if is_connection_refused(&error))
}
