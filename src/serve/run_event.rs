use smol_str::SmolStr;

use crate::serve::ServeError;
use crate::units::Tokens;

/// What a running request sends to the connection of its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEvent {
    Token(SmolStr),
    Done { finish_reason: SmolStr, prompt_tokens: Tokens, output_tokens: Tokens },
    Failed(ServeError),
}
