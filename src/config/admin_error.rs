use derive_more::{Display, From};
use hyper::{Response, StatusCode};
use serde_json::json;

use crate::config::ConfigError;
use crate::http::ResponseBody;

/// A failed request to the operators' API.
#[derive(Debug, Display, From)]
pub(super) enum AdminError {
    Config(ConfigError),
    #[display("the request needs a team's credential as `authorization: Bearer`")]
    NoCredential,
    #[display("the request needs the version that the text was made from in `if-match`")]
    BaseVersionMissing,
    #[display("the body is too long, broken off or not UTF-8")]
    UnreadableBody,
    #[display("no such path or method")]
    UnknownPath,
}

impl AdminError {
    fn code(&self) -> &'static str {
        match self {
            AdminError::Config(error) => error.code(),
            AdminError::NoCredential => "no_credential",
            AdminError::BaseVersionMissing => "base_version_missing",
            AdminError::UnreadableBody => "unreadable_body",
            AdminError::UnknownPath => "unknown_path",
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            AdminError::NoCredential | AdminError::Config(ConfigError::UnknownCredential) => {
                StatusCode::UNAUTHORIZED
            }
            AdminError::BaseVersionMissing => StatusCode::PRECONDITION_REQUIRED,
            AdminError::UnreadableBody => StatusCode::BAD_REQUEST,
            AdminError::UnknownPath => StatusCode::NOT_FOUND,
            AdminError::Config(error) => match error {
                ConfigError::NotOwner { .. } => StatusCode::FORBIDDEN,
                ConfigError::UnknownSection { .. } | ConfigError::UnknownEntry { .. } => {
                    StatusCode::NOT_FOUND
                }
                ConfigError::KeyExists { .. } | ConfigError::Conflict { .. } => {
                    StatusCode::CONFLICT
                }
                ConfigError::Invalid { .. } | ConfigError::WrongContent { .. } => {
                    StatusCode::UNPROCESSABLE_ENTITY
                }
                ConfigError::OutcomeUnknown { .. } => StatusCode::GATEWAY_TIMEOUT,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            },
        }
    }

    pub(super) fn into_response(self) -> Response<ResponseBody> {
        let is_unknown = matches!(self, AdminError::Config(ConfigError::OutcomeUnknown { .. }));
        let mut error = json!({
            "code": self.code(),
            "message": self.to_string(),
            "outcome": if is_unknown { "unknown" } else { "not_run" },
        });
        match &self {
            AdminError::Config(ConfigError::Invalid { findings }) => {
                error["findings"] = json!(findings);
            }
            AdminError::Config(ConfigError::Conflict { current }) => {
                error["current"] = json!(current);
            }
            _ => {}
        }
        let mut response = json_response(&json!({ "error": error }));
        *response.status_mut() = self.status();
        response
    }
}

pub(super) fn json_response(value: &serde_json::Value) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(format!("{value}\n")));
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    response
}
