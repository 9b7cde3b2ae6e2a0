//! Stand-in of a model engine.

use super::{
    Error, Handle, Script, Text,
    cancels::Cancels,
    chat::{Choice, Chunk, ChunkChoice, Completion, Delta, Message, Request as Chat, Usage},
    generation::{Generation, Pace},
    labels,
    reply::{self, Dropped, Reply},
    server::{self, App},
    target::{self, Target},
};
use crate::{clock, unit::Span};
use bytes::Bytes;
use futures::{Stream, StreamExt, future::BoxFuture, stream};
use hyper::{
    HeaderMap, Method, Request, StatusCode,
    body::Incoming,
    header::{CACHE_CONTROL, HeaderValue},
};
use std::{net::SocketAddr, sync::Arc};
use tokio::time::sleep;

/// Path of completions.
const COMPLETIONS: &str = "/v1/chat/completions";
/// Path below which running attempts lie.
const ATTEMPTS: &str = "/v1/attempts/";
/// Header of a repeated request that names the last event that came.
const LAST_EVENT_ID: &str = "last-event-id";
/// Media type of streamed answers.
const EVENT_STREAM: HeaderValue = HeaderValue::from_static("text/event-stream");
/// Tokens of an answer whose request names no number.
const DEFAULT_TOKENS: u64 = 16;
/// Last line of a streamed answer.
const DONE: &str = "data: [DONE]\n\n";
/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Settings of an engine stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Places in the batch.
    pub slots: u32,
    /// Time from the place in the batch to the first token.
    pub first_token: Span,
    /// Time between tokens.
    pub token_interval: Span,
    /// Age of the load that is reported.
    pub load_lag: Span,
}

/// Starts an engine stand-in.
///
/// # Errors
///
/// Fails if the address cannot be listened on or threads cannot be started.
pub fn bind(settings: Settings) -> Result<Handle, Error> {
    let (target, pauses) = Target::open(settings.slots, settings.load_lag);
    let engine = Engine {
        target,
        cancels: Arc::default(),
        pace: Pace {
            first_token: settings.first_token,
            token_interval: settings.token_interval,
        },
    };
    server::bind(settings.listen, Arc::new(engine), pauses)
}

struct Engine {
    target: Target,
    cancels: Arc<Cancels>,
    pace: Pace,
}

impl App for Engine {
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Reply, Dropped>> {
        Box::pin(async move {
            let (head, body) = request.into_parts();
            let body = match reply::read(body).await {
                Ok(body) => body,
                Err(malformed) => return Ok(malformed.into()),
            };
            let path = head.uri.path();
            if let Some(reply) = self.target.control(&head.method, path, &body).await {
                return Ok(reply);
            }
            match (&head.method, path.strip_prefix(ATTEMPTS)) {
                (&Method::DELETE, Some(attempt)) => Ok(self.cancel(attempt)),
                (&Method::POST, None) if path == COMPLETIONS => {
                    self.complete(&head.headers, &body).await
                }
                _ => Ok(reply::problem(StatusCode::NOT_FOUND, "no such path")),
            }
        })
    }
}

impl Engine {
    fn cancel(&self, attempt: &str) -> Reply {
        match self.cancels.cancel(attempt) {
            0 => reply::problem(StatusCode::NOT_FOUND, "no such attempt"),
            _ => reply::done(),
        }
    }

    async fn complete(&self, headers: &HeaderMap, body: &Bytes) -> Result<Reply, Dropped> {
        let chat: Chat = match reply::parse(body) {
            Ok(chat) => chat,
            Err(malformed) => return Ok(malformed.into()),
        };
        let faults = self.target.next_faults();
        if faults.not_run {
            return Ok(target::not_run());
        }
        if self.target.count_cold().await {
            // The engine crashed: nothing of what ran is answered.
            self.cancels.cancel_all();
            return Err(Dropped);
        }
        let answer = Answer::of(&chat);
        let generation = self.generation(headers, &chat, &answer, &faults);
        let mut reply = if chat.stream {
            streamed(generation, answer, &faults).await?
        } else {
            whole(generation, &answer, &faults).await?
        };
        target::echo(&mut reply, headers, &faults);
        Ok(reply)
    }

    fn generation(
        &self,
        headers: &HeaderMap,
        chat: &Chat,
        answer: &Answer,
        faults: &Script,
    ) -> Generation {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let done = text(LAST_EVENT_ID).and_then(|id| id.parse().ok());
        Generation {
            slots: Arc::clone(&self.target.slots),
            registration: self
                .cancels
                .register(text(labels::ATTEMPT).unwrap_or_default()),
            run: self.target.admit(headers, &answer.text.to_string()),
            pace: self.pace,
            done: done.unwrap_or(0),
            last: chat
                .standin_tokens
                .or(chat.max_tokens)
                .unwrap_or(DEFAULT_TOKENS),
            cut_after: faults.cut_after,
            batch: None,
        }
    }
}

/// Generates an answer and returns it whole.
async fn whole(
    mut generation: Generation,
    answer: &Answer,
    faults: &Script,
) -> Result<Reply, Dropped> {
    while generation.next().await?.is_some() {}
    let body = serde_json::to_vec(&answer.completion(generation.last)).map_err(|_| Dropped)?;
    let length = body.len();
    let body = target::whole(body.into(), faults).await?;
    let mut reply = reply::typed(StatusCode::OK, reply::JSON, body);
    target::declare_length(&mut reply, length);
    Ok(reply)
}

/// Returns an answer that is generated while it is sent.
async fn streamed(
    mut generation: Generation,
    answer: Answer,
    faults: &Script,
) -> Result<Reply, Dropped> {
    sleep(faults.first_byte_delay.into()).await;
    if faults.lose_answer {
        while generation.next().await?.is_some() {}
        return Err(Dropped);
    }
    let body = reply::parts(events(generation, answer));
    let mut reply = reply::typed(StatusCode::OK, EVENT_STREAM, body);
    let no_cache = HeaderValue::from_static("no-cache");
    reply.headers_mut().insert(CACHE_CONTROL, no_cache);
    Ok(reply)
}

/// Returns the events of an answer; they end at the first error.
fn events(generation: Generation, answer: Answer) -> impl Stream<Item = Result<Bytes, Dropped>> {
    let start = Some((generation, answer));
    stream::unfold(start, |state| async {
        let (mut generation, answer) = state?;
        match generation.next().await {
            Ok(Some(number)) => {
                let event = answer.event(number);
                Some((event, Some((generation, answer))))
            }
            Ok(None) => Some((answer.last_event(generation.last), None)),
            Err(dropped) => Some((Err(dropped), None)),
        }
    })
    .boxed()
}

/// What all parts of an answer have in common.
struct Answer {
    id: Box<str>,
    model: Box<str>,
    text: Text,
    prompt_tokens: u64,
    max_tokens: Option<u64>,
}

impl Answer {
    fn of(chat: &Chat) -> Self {
        let text = Text::of(&chat.model, &chat.messages);
        Self {
            id: format!("chatcmpl-{text}").into(),
            model: chat.model.clone(),
            text,
            prompt_tokens: (chat.messages.to_string().len() as u64).div_ceil(BYTES_PER_TOKEN),
            max_tokens: chat.max_tokens,
        }
    }

    fn completion(&self, tokens: u64) -> Completion {
        let message = Message {
            role: "assistant".into(),
            content: self.text.range(1, tokens).into(),
        };
        Completion {
            id: self.id.clone(),
            object: "chat.completion".into(),
            model: self.model.clone(),
            choices: [Choice {
                index: 0,
                message,
                finish_reason: self.finish_reason(tokens),
            }],
            usage: self.usage(tokens),
        }
    }

    /// Returns the event of a token.
    fn event(&self, number: u64) -> Result<Bytes, Dropped> {
        let content = Some(self.text.token(number).into());
        let chunk = self.chunk(Delta { content }, None, None)?;
        Ok(format!("id: {number}\ndata: {chunk}\n\n").into())
    }

    /// Returns the events after the last token.
    fn last_event(&self, tokens: u64) -> Result<Bytes, Dropped> {
        let reason = Some(self.finish_reason(tokens));
        let chunk = self.chunk(Delta::default(), reason, Some(self.usage(tokens)))?;
        let number = tokens + 1;
        Ok(format!("id: {number}\ndata: {chunk}\n\n{DONE}").into())
    }

    fn chunk(
        &self,
        delta: Delta,
        finish_reason: Option<Box<str>>,
        usage: Option<Usage>,
    ) -> Result<String, Dropped> {
        let chunk = Chunk {
            id: self.id.clone(),
            object: "chat.completion.chunk".into(),
            model: self.model.clone(),
            choices: [ChunkChoice {
                index: 0,
                delta,
                finish_reason,
            }],
            usage,
            standin_sent_micros: Some(clock::unix_micros()),
        };
        serde_json::to_string(&chunk).map_err(|_| Dropped)
    }

    fn finish_reason(&self, tokens: u64) -> Box<str> {
        let full = self.max_tokens == Some(tokens);
        if full { "length".into() } else { "stop".into() }
    }

    fn usage(&self, tokens: u64) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: tokens,
            total_tokens: self.prompt_tokens + tokens,
        }
    }
}
