use derive_more::{Display, Error};
use smol_str::SmolStr;

/// A text that cannot be parsed as the named type.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum UnitError {
    #[display("{_0}: expected a non-empty text")]
    Empty(#[error(not(source))] &'static str),
    #[display("{_0}: expected an unsigned integer, found `{_1}`")]
    NotANumber(&'static str, SmolStr),
    #[display("{_0}: expected 64 hexadecimal digits, found `{_1}`")]
    NotHex(&'static str, SmolStr),
    #[display("{_0}: malformed text `{_1}`")]
    Malformed(&'static str, SmolStr),
}
