use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};

use crate::http::{HttpClient, HttpError, ResponseBody};
use crate::once::{PlainRequest, PlainResponse};

/// Sends a request to a plain service once and reads the whole response, whatever its status.
pub async fn forward(
    client: &HttpClient,
    request: &PlainRequest,
    limit: Duration,
) -> Result<PlainResponse, HttpError> {
    let mut outgoing =
        client.request(request.method.clone(), &request.path_and_query, request.body.clone())?;
    outgoing.headers_mut().remove(CONTENT_TYPE);
    outgoing.headers_mut().extend(request.headers.clone());
    let exchange = async {
        let response = client.send(outgoing, limit).await?;
        let status = response.status().as_u16();
        let content_type = response.headers().get(CONTENT_TYPE).cloned();
        let body = client.read_any_body(response).await?;
        let content_type = content_type.and_then(|v| v.to_str().ok().map(Into::into));
        Ok(PlainResponse { status, content_type, body })
    };
    let timed_out = HttpError::Timeout { address: client.address().clone() };
    tokio::time::timeout(limit, exchange).await.unwrap_or(Err(timed_out))
}

impl PlainResponse {
    pub fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::full(self.body));
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        if let Some(value) = self.content_type.and_then(|text| HeaderValue::from_str(&text).ok()) {
            response.headers_mut().insert(CONTENT_TYPE, value);
        }
        response
    }
}
