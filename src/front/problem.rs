//! Refusals as problem details (RFC 9457).

use super::{Body, Seconds, full_body};
use crate::{
    ingress::{Cause, Rejection},
    unit::Span,
};
use bytes::Bytes;
use http::{Response, StatusCode, header};

/// Whether a refused request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// The request was not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Execution {
    fn name(self) -> &'static str {
        match self {
            Execution::NotRun => "not-run",
            Execution::Unknown => "unknown",
        }
    }
}

/// Media type of problem details.
const MEDIA_TYPE: &str = "application/problem+json";

/// Problem details of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Summary of the problem type.
    pub title: &'static str,
    /// Explanation specific to this request.
    pub detail: Box<str>,
    /// Whether the request was run.
    pub outcome: Execution,
    /// Delay after which the caller may retry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Seconds>,
    /// Whether the connection closes: a part of the request may still arrive on it.
    #[serde(skip)]
    pub closes: bool,
}

impl Problem {
    /// Returns a refusal of an invalid request.
    pub fn invalid(status: StatusCode, detail: impl Into<Box<str>>) -> Self {
        Self {
            status: status.as_u16(),
            title: status.canonical_reason().unwrap_or("Invalid request"),
            detail: detail.into(),
            outcome: Execution::NotRun,
            retry_after: None,
            closes: false,
        }
    }

    /// Returns a refusal of a request that was not run.
    pub fn not_run(detail: impl Into<Box<str>>, retry_after: Span) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE.as_u16(),
            title: "Not run",
            detail: detail.into(),
            outcome: Execution::NotRun,
            retry_after: Some(Seconds::whole(retry_after)),
            closes: false,
        }
    }

    /// Replaces the retry delay by one with a fraction of a second; `None` removes it.
    pub fn after(mut self, retry_after: Option<Span>) -> Self {
        self.retry_after = retry_after.map(Seconds::exact);
        self
    }

    /// Closes the connection after the refusal.
    pub(crate) fn closing(mut self) -> Self {
        self.closes = true;
        self
    }

    /// Returns a refusal of a request that may have run.
    pub fn unknown(status: StatusCode, detail: impl Into<Box<str>>) -> Self {
        Self {
            status: status.as_u16(),
            title: "Outcome unknown",
            detail: detail.into(),
            outcome: Execution::Unknown,
            retry_after: Some(Seconds::whole(UNKNOWN_RETRY)),
            closes: false,
        }
    }

    /// Returns the refusal for a rejection by the control thread.
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
                "an earlier request with this idempotency key ran; its response was not stored",
            ),
        }
    }

    /// Encodes the refusal as an HTTP/1.1 response that closes the connection.
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
        let mut response = Response::new(full_body(body));
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
        if self.closes {
            let close = header::HeaderValue::from_static("close");
            headers.insert(header::CONNECTION, close);
        }
        response
    }
}

/// Retry delay for a request whose outcome is unknown; it may be known by then.
const UNKNOWN_RETRY: Span = Span::from_secs(2);
