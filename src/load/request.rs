//! One request of the load and the answer that it must get.

use super::{Flow, Kind, length};
use crate::{
    standin::{Text, chat, plain},
    unit::Span,
};
use bytes::Bytes;
use rand_chacha::ChaCha8Rng;

/// Path of chat completions.
const COMPLETIONS: &str = "/v1/chat/completions";

/// One request of the load.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) method: Box<str>,
    /// Path and query as the target sees them.
    pub(super) path: Box<str>,
    pub(super) body: Bytes,
    /// Hint at the cost of a call; a chat's is in its body.
    pub(super) hint: Option<u64>,
    /// Idempotency key.
    pub(super) key: Option<Box<str>>,
    /// Time that the call itself takes at the target, for waits of plain calls.
    pub(super) run_time: Span,
    pub(super) expected: Expected,
}

/// Answer that a request must get.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Expected {
    /// Stream of this many tokens.
    Stream(Text, u64),
    /// Completion of this many tokens.
    Whole(Text, u64),
    /// Answer of a plain service: the digest of the call and the time that it takes.
    Call(Box<str>, Span),
}

impl Request {
    /// Draws a request; `label` is unique in the run.
    pub(super) fn draw(flow: &Flow, label: &str, random: &mut ChaCha8Rng) -> Self {
        let length = flow.length.draw(random);
        match flow.kind {
            Kind::Call => Self::call(flow, label, length, random),
            Kind::Stream | Kind::Whole => Self::chat(flow, label, length, random),
        }
    }

    fn call(flow: &Flow, label: &str, millis: u64, random: &mut ChaCha8Rng) -> Self {
        let path = format!("/{label}?standin-duration={millis}ms");
        let body = Bytes::from(String::from(label));
        let digest = plain::digest(&flow.method, &path, &body);
        let run_time = Span::from_millis(millis);
        Self {
            method: flow.method.clone(),
            path: path.into(),
            body,
            hint: Some(hint(millis, flow.hint_error, random)),
            key: flow.keyed.then(|| label.into()),
            run_time,
            expected: Expected::Call(digest.into(), run_time),
        }
    }

    fn chat(flow: &Flow, label: &str, tokens: u64, random: &mut ChaCha8Rng) -> Self {
        let stream = flow.kind == Kind::Stream;
        let chat = chat::Request {
            model: flow.service.as_str().into(),
            messages: serde_json::json!([{"role": "user", "content": label}]),
            max_tokens: Some(hint(tokens, flow.hint_error, random)),
            stream,
            standin_tokens: Some(tokens),
        };
        let text = Text::of(&chat.model, &chat.messages);
        let body = serde_json::to_vec(&chat).expect("a chat request has only text keys");
        Self {
            method: "POST".into(),
            path: COMPLETIONS.into(),
            body: body.into(),
            hint: None,
            key: flow.keyed.then(|| label.into()),
            run_time: Span(0),
            expected: if stream {
                Expected::Stream(text, tokens)
            } else {
                Expected::Whole(text, tokens)
            },
        }
    }

    /// Returns the name under which the target counts the request's runs.
    pub(super) fn content(&self) -> Box<str> {
        match &self.expected {
            Expected::Stream(text, _) | Expected::Whole(text, _) => text.to_string().into(),
            Expected::Call(digest, _) => digest.clone(),
        }
    }
}

/// Draws a hint that is wrong by at most the factor, evenly in its logarithm.
fn hint(tokens: u64, error: f64, random: &mut ChaCha8Rng) -> u64 {
    let exponent = 2.0 * length::unit(random) - 1.0;
    let hint = tokens as f64 * error.powf(exponent);
    (hint.round() as u64).max(1)
}
