use smol_str::SmolStr;

use crate::serve::ServeError;
use crate::units::Tokens;

/// Event of a running request, sent to the task that answers its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEvent {
    Token(SmolStr),
    Done { finish_reason: SmolStr, prompt_tokens: Tokens, output_tokens: Tokens },
    Failed(ServeError),
}
