use std::cell::Cell;
use std::rc::Rc;

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::bench::fleet_document::MODEL;
use crate::bench::load::Target;
use crate::bench::{CallRecord, Ending, Fleet, Prompt};
use crate::engine::{
    DecodeEvent, DecodeRequest, Engine, EngineError, HttpEngine, PrefillRequest, PrefillSource,
    TokenStream,
};
use crate::units::{AttemptId, Incarnation, InstanceId, ModelId, Tokens};

/// Baseline router: plain round robin over the engines, without reservations, queues or retries.
#[derive(Clone)]
pub struct RoundRobin {
    prefill: Rc<Vec<(SmolStr, HttpEngine)>>,
    decode: Rc<Vec<HttpEngine>>,
    incarnation: Incarnation,
    next: Rc<Cell<u64>>,
    started_at: Instant,
}

impl RoundRobin {
    pub fn new(fleet: &Fleet) -> RoundRobin {
        let addresses = |processes: &[crate::bench::Process]| -> Vec<SmolStr> {
            processes.iter().map(|process| process.address().clone()).collect()
        };
        let engine = |address: SmolStr| (address.clone(), HttpEngine::new(address));
        RoundRobin {
            prefill: Rc::new(addresses(&fleet.prefill).into_iter().map(engine).collect()),
            decode: Rc::new(addresses(&fleet.decode).into_iter().map(HttpEngine::new).collect()),
            incarnation: Incarnation(rand::random()),
            next: Rc::default(),
            started_at: Instant::now(),
        }
    }

    async fn run(&self, prompt: &Prompt, record: &mut CallRecord) -> Result<(), EngineError> {
        let number = self.next.replace(self.next.get() + 1);
        let (address, prefill) = &self.prefill[number as usize % self.prefill.len()];
        let decode = &self.decode[number as usize % self.decode.len()];
        let attempt = AttemptId {
            instance: InstanceId::new("round-robin"),
            incarnation: self.incarnation,
            sequence: number,
        };
        let sent_at = Instant::now();
        let request = PrefillRequest {
            attempt: attempt.clone(),
            model: ModelId::new(MODEL),
            prompt: prompt.text.clone(),
            generated: Vec::new(),
            cache_scope: prompt.organisation.clone(),
            priority: 1,
        };
        let result = prefill.prefill(&request).await?;
        record.prompt_tokens = result.prompt_tokens.get();
        let request = DecodeRequest {
            attempt,
            model: ModelId::new(MODEL),
            prompt: prompt.text.clone(),
            source: Some(PrefillSource { address: address.clone(), handle: result.handle }),
            first_index: 0,
            max_output_tokens: Tokens(prompt.max_tokens),
            priority: 1,
        };
        let mut stream = decode.decode(&request).await?;
        let mut last_at = sent_at;
        while let Some(event) = stream.next().await? {
            match event {
                DecodeEvent::Imported { .. } => {}
                DecodeEvent::Token { text, .. } => {
                    record.text.push_str(&text);
                    let now = Instant::now();
                    record.record_token(now.duration_since(last_at).as_millis() as u64);
                    last_at = now;
                }
                DecodeEvent::Done { .. } => return Ok(()),
            }
        }
        Err(EngineError::StreamCut)
    }
}

impl Target for RoundRobin {
    async fn complete(&self, prompt: &Prompt, _: u32) -> CallRecord {
        let elapsed_ms = || self.started_at.elapsed().as_millis() as u64;
        let mut record = CallRecord::sent(prompt, SmolStr::default(), elapsed_ms());
        record.ending = match self.run(prompt, &mut record).await {
            Ok(()) => Ending::Complete,
            Err(error) if record.output_tokens > 0 => Ending::Cut { code: error_code(&error) },
            Err(error) => {
                Ending::Refused { status: 503, code: error_code(&error), outcome: "unknown".into() }
            }
        };
        record.ended_at_ms = elapsed_ms();
        record
    }
}

fn error_code(error: &EngineError) -> SmolStr {
    smol_str::format_smolstr!("{error}")
}
