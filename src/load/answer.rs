//! Check of one answer while it comes.

use super::request::Expected;
use crate::{
    standin::{Text, chat},
    unit::{Cost, Span},
};

/// Longest line of an event stream that is held, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Check of one answer while it comes.
#[derive(Debug)]
pub(super) struct Answer<'a> {
    expected: &'a Expected,
    /// Bytes of a stream's line that is not yet whole, or of a whole answer.
    buffer: Vec<u8>,
    /// Tokens of a stream that came.
    tokens: u64,
    /// Time at which the target sent the last token, in microseconds since the Unix epoch.
    sent_micros: Option<u64>,
    finished: bool,
    done: bool,
    /// The stream said that it failed.
    failed: bool,
    wrong: Option<Box<str>>,
}

impl<'a> Answer<'a> {
    pub(super) fn new(expected: &'a Expected) -> Self {
        Self {
            expected,
            buffer: Vec::new(),
            tokens: 0,
            sent_micros: None,
            finished: false,
            done: false,
            failed: false,
            wrong: None,
        }
    }

    /// Takes bytes and returns the number of tokens that they complete.
    pub(super) fn feed(&mut self, bytes: &[u8]) -> u64 {
        self.buffer.extend_from_slice(bytes);
        let Expected::Stream(text, _) = self.expected else {
            return 0;
        };
        let before = self.tokens;
        let mut buffer = std::mem::take(&mut self.buffer);
        let mut rest = buffer.as_slice();
        while let Some(end) = rest.iter().position(|b| *b == b'\n') {
            self.line(&rest[..end], *text);
            rest = &rest[end + 1..];
        }
        let read = buffer.len() - rest.len();
        buffer.drain(..read);
        if buffer.len() > MAX_LINE_BYTES {
            self.reject("a line of the stream is too long");
            buffer.clear();
        }
        self.buffer = buffer;
        self.tokens - before
    }

    /// Returns the tokens of a stream that came.
    pub(super) fn tokens(&self) -> Cost {
        Cost(self.tokens)
    }

    /// Returns the time at which the target sent the last token, if it says so.
    pub(super) fn sent_micros(&self) -> Option<u64> {
        self.sent_micros
    }

    /// Reports whether the answer said itself that it is not whole.
    pub(super) fn has_failed(&self) -> bool {
        self.failed
    }

    /// Ends the answer; returns the service that it was worth, or what is wrong with it.
    pub(super) fn end(mut self) -> Result<Cost, Box<str>> {
        let cost = match self.expected {
            Expected::Stream(_, tokens) => {
                self.check(self.done, "the stream seems whole but has no end mark");
                let complete = self.finished && self.tokens == *tokens;
                self.check(complete, "the stream has too few or too many tokens");
                Cost(*tokens)
            }
            Expected::Whole(text, tokens) => {
                let own = self.is_completion(*text, *tokens);
                self.check(own, "the completion is not this request's, or not whole");
                Cost(*tokens)
            }
            Expected::Call(digest, run_time) => {
                let own = self.buffer.trim_ascii_end() == digest.as_bytes();
                self.check(own, "the answer is not this call's, or not whole");
                call_cost(*run_time)
            }
        };
        self.wrong.map_or(Ok(cost), Err)
    }

    fn line(&mut self, line: &[u8], text: Text) {
        let Some(data) = line.strip_prefix(b"data: ") else {
            return;
        };
        self.check(!self.done, "the stream goes on after its end mark");
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        let Ok(chunk) = serde_json::from_slice::<chat::Chunk>(data) else {
            self.failed |= is_error(data);
            self.check(self.failed, "an event of the stream is not a chunk");
            return;
        };
        let [choice] = chunk.choices;
        self.finished |= choice.finish_reason.is_some();
        if let Some(content) = choice.delta.content {
            self.tokens += 1;
            self.sent_micros = chunk.standin_sent_micros;
            let own = *content == *text.token(self.tokens);
            self.check(own, "a token is missing, doubled or another request's");
        }
    }

    fn is_completion(&self, text: Text, tokens: u64) -> bool {
        let Ok(completion) = serde_json::from_slice::<chat::Completion>(&self.buffer) else {
            return false;
        };
        let [choice] = &completion.choices;
        *choice.message.content == *text.range(1, tokens)
            && completion.usage.completion_tokens == tokens
    }

    fn check(&mut self, holds: bool, wrong: &str) {
        if !holds {
            self.reject(wrong);
        }
    }

    fn reject(&mut self, wrong: &str) {
        self.wrong.get_or_insert_with(|| wrong.into());
    }
}

/// Event by which a stream says that it failed.
#[derive(serde::Deserialize)]
struct Failure {
    #[serde(rename = "error")]
    _error: serde::de::IgnoredAny,
}

fn is_error(data: &[u8]) -> bool {
    serde_json::from_slice::<Failure>(data).is_ok()
}

/// Service of a plain call: the milliseconds that it holds its slot.
fn call_cost(run_time: Span) -> Cost {
    Cost(run_time.as_millis())
}
