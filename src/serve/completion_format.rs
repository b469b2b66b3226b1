use bytes::Bytes;
use serde_json::json;
use smol_str::SmolStr;

use crate::serve::{ErrorBody, Interface, ServeError};
use crate::units::Tokens;

/// Formats responses like the OpenAI APIs.
#[derive(Clone, Debug)]
pub struct CompletionFormat {
    pub interface: Interface,
    pub id: SmolStr,
    pub model: SmolStr,
    pub created_s: u64,
}

impl CompletionFormat {
    /// Event of a streamed response that carries a token.
    pub fn token_event(&self, text: &str) -> Bytes {
        event(&self.chunk(text, None))
    }

    /// Final events of a streamed response.
    pub fn end_events(&self, finish_reason: &str, prompt: Tokens, output: Tokens) -> Bytes {
        let mut last = self.chunk("", Some(finish_reason));
        last["usage"] = usage(prompt, output);
        let mut events = event(&last).to_vec();
        events.extend_from_slice(b"data: [DONE]\n\n");
        events.into()
    }

    /// Event that reports an error after the stream began.
    pub fn error_event(&self, error: &ServeError) -> Bytes {
        let text = serde_json::to_string(&ErrorBody::new(error)).unwrap_or_default();
        format!("data: {text}\n\n").into()
    }

    /// Body of a response that is not streamed.
    pub fn full_body(
        &self,
        text: &str,
        finish_reason: &str,
        prompt: Tokens,
        output: Tokens,
    ) -> serde_json::Value {
        let (object, choice) = match self.interface {
            Interface::Completions => (
                "text_completion",
                json!({ "index": 0, "text": text, "finish_reason": finish_reason }),
            ),
            Interface::ChatCompletions => (
                "chat.completion",
                json!({ "index": 0, "message": { "role": "assistant", "content": text }, "finish_reason": finish_reason }),
            ),
        };
        json!({
            "id": self.id, "object": object, "created": self.created_s, "model": self.model,
            "choices": [choice], "usage": usage(prompt, output),
        })
    }

    fn chunk(&self, text: &str, finish_reason: Option<&str>) -> serde_json::Value {
        let (object, choice) = match self.interface {
            Interface::Completions => (
                "text_completion",
                json!({ "index": 0, "text": text, "finish_reason": finish_reason }),
            ),
            Interface::ChatCompletions => (
                "chat.completion.chunk",
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish_reason }),
            ),
        };
        json!({
            "id": self.id, "object": object, "created": self.created_s, "model": self.model,
            "choices": [choice],
        })
    }
}

fn usage(prompt: Tokens, output: Tokens) -> serde_json::Value {
    json!({
        "prompt_tokens": prompt, "completion_tokens": output, "total_tokens": prompt + output,
    })
}

fn event(content: &serde_json::Value) -> Bytes {
    format!("data: {content}\n\n").into()
}
