use serde::Deserialize;
use smol_str::SmolStr;

use crate::jsonc::JsoncError;
use crate::serve::ServeError;

/// Fields of an OpenAI-style request that the gateway uses. Others, such as sampling parameters,
/// are accepted and ignored.
#[derive(Clone, Debug, PartialEq, Deserialize)]
struct RequestBody {
    model: SmolStr,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
struct Message {
    role: SmolStr,
    content: String,
}

/// API through which a request came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interface {
    Completions,
    ChatCompletions,
}

/// A parsed completion request.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionRequest {
    pub interface: Interface,
    pub model: SmolStr,
    pub prompt: String,
    pub max_tokens: Option<u64>,
    pub stream: bool,
}

impl CompletionRequest {
    pub fn parse(interface: Interface, body: &[u8]) -> Result<CompletionRequest, ServeError> {
        let body: RequestBody = serde_json::from_slice(body).map_err(|e| {
            ServeError::BadBody(JsoncError {
                line: e.line(),
                column: e.column(),
                message: e.to_string(),
            })
        })?;
        let prompt = match (interface, body.prompt, body.messages) {
            (Interface::Completions, Some(prompt), _) => prompt,
            (Interface::ChatCompletions, _, Some(messages)) => join_messages(&messages),
            (Interface::Completions, None, _) => return Err(missing_member("prompt")),
            (Interface::ChatCompletions, _, None) => return Err(missing_member("messages")),
        };
        Ok(CompletionRequest {
            interface,
            model: body.model,
            prompt,
            max_tokens: body.max_tokens,
            stream: body.stream,
        })
    }
}

fn missing_member(member: &str) -> ServeError {
    ServeError::BadBody(JsoncError { line: 1, column: 1, message: format!("expected `{member}`") })
}

fn join_messages(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    prompt
}
