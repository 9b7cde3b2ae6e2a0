//! Refusals in the form of problem documents (RFC 9457).

use super::{Body, Seconds, whole};
use crate::{
    ingress::{Cause, Rejection},
    unit::Span,
};
use bytes::Bytes;
use http::{Response, StatusCode, header};

/// What is known about the run of a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Result {
    /// The request was not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Result {
    fn name(self) -> &'static str {
        match self {
            Result::NotRun => "not-run",
            Result::Unknown => "unknown",
        }
    }
}

/// Media type of problem documents.
const MEDIA_TYPE: &str = "application/problem+json";

/// A refusal as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Short text that is the same for every refusal of the kind.
    pub title: &'static str,
    /// What is wrong with this request.
    pub detail: Box<str>,
    /// What is known about its run.
    pub outcome: Result,
    /// Seconds after which a repeat makes sense.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Seconds>,
}

impl Problem {
    /// Returns a refusal of a request that is wrong in itself.
    pub fn invalid(status: StatusCode, detail: impl Into<Box<str>>) -> Self {
        Self {
            status: status.as_u16(),
            title: status.canonical_reason().unwrap_or("Invalid request"),
            detail: detail.into(),
            outcome: Result::NotRun,
            retry_after: None,
        }
    }

    /// Returns a refusal of a request that was not run.
    pub fn not_run(detail: impl Into<Box<str>>, retry_after: Span) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE.as_u16(),
            title: "Not run",
            detail: detail.into(),
            outcome: Result::NotRun,
            retry_after: Some(Seconds::whole(retry_after)),
        }
    }

    /// Tells the exact time after which a repeat makes sense, with a fraction of a second.
    pub fn after(mut self, retry_after: Option<Span>) -> Self {
        self.retry_after = retry_after.map(Seconds::exact);
        self
    }

    /// Returns a refusal of a request that may have run.
    pub fn unknown(status: StatusCode, detail: impl Into<Box<str>>) -> Self {
        Self {
            status: status.as_u16(),
            title: "Outcome unknown",
            detail: detail.into(),
            outcome: Result::Unknown,
            retry_after: Some(Seconds::whole(UNKNOWN_RETRY)),
        }
    }

    /// Returns the refusal that the control thread ordered.
    pub fn rejected(rejection: &Rejection) -> Self {
        match rejection {
            Rejection::NotRun { refusal } => {
                Self::not_run(refusal.reason.to_string(), refusal.retry_after)
            }
            Rejection::Unknown { cause } => {
                let status = match cause {
                    Cause::Broken => StatusCode::BAD_GATEWAY,
                    Cause::Deadline => StatusCode::GATEWAY_TIMEOUT,
                    Cause::Running => StatusCode::CONFLICT,
                    Cause::Claim => StatusCode::SERVICE_UNAVAILABLE,
                };
                Self::unknown(status, cause.to_string())
            }
            Rejection::Finished { .. } => Self::unknown(
                StatusCode::CONFLICT,
                "an earlier try with this idempotency key ran; its answer was not kept",
            ),
        }
    }

    /// Returns the refusal as the bytes of an answer that ends its connection.
    pub(crate) fn message(&self) -> Bytes {
        let body = serde_json::to_string(self).unwrap_or_default();
        let retry_after = self.retry_after.as_ref();
        let retry_after = retry_after.map(|after| format!("retry-after: {after}\r\n"));
        let retry_after = retry_after.unwrap_or_default();
        let head = format!(
            "HTTP/1.1 {} {}\r\ncontent-type: {MEDIA_TYPE}\r\nmarlrun-outcome: {}\r\n{retry_after}\
             content-length: {}\r\nconnection: close\r\n\r\n",
            self.status,
            self.title,
            self.outcome.name(),
            body.len(),
        );
        Bytes::from(head + &body)
    }

    /// Returns the refusal as an HTTP response.
    pub(crate) fn response(&self) -> Response<Body> {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let mut response = Response::new(whole(body));
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        let json = header::HeaderValue::from_static(MEDIA_TYPE);
        headers.insert(header::CONTENT_TYPE, json);
        let after = self.retry_after.map(|after| after.to_string());
        let after = after.and_then(|after| header::HeaderValue::from_str(&after).ok());
        if let Some(after) = after {
            headers.insert(header::RETRY_AFTER, after);
        }
        let outcome = header::HeaderValue::from_static(self.outcome.name());
        headers.insert("marlrun-outcome", outcome);
        response
    }
}

/// Time after which the outcome of a request may be known.
const UNKNOWN_RETRY: Span = Span::from_secs(2);
