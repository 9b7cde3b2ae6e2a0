//! Tracing: one span for each hop of a request, propagated in the W3C `traceparent` header.

use opentelemetry::{
    Context, KeyValue,
    propagation::{Extractor, TextMapPropagator},
    trace::{SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState},
};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use rand_chacha::rand_core::Rng;

use crate::{random, unit::Time};
use std::{cell::RefCell, collections::HashMap};

/// Header that carries the trace context.
pub const HEADER: &str = "traceparent";

thread_local! {
    static IDS: RefCell<rand_chacha::ChaCha8Rng> = RefCell::new(random::seeded());
}

struct Headers<'a>(&'a http::HeaderMap);

impl Extractor for Headers<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(http::HeaderName::as_str).collect()
    }
}

/// Span of one hop of a request: at the router that received it, in the queue, from the grant to the target, or at
/// the target.
#[derive(Clone, Debug)]
pub struct Hop {
    context: SpanContext,
    parent: SpanId,
    name: &'static str,
    start: Time,
}

impl Hop {
    /// Starts the first hop of a received request, as a child of the caller's span if the headers name one.
    pub fn arrive(headers: &http::HeaderMap, now: Time) -> Self {
        let caller =
            TraceContextPropagator::new().extract_with_context(&Context::new(), &Headers(headers));
        let span = caller.span();
        let remote = span.span_context();
        let trace = if remote.is_valid() {
            remote.trace_id()
        } else {
            TraceId::from(IDS.with_borrow_mut(|ids| {
                u128::from(ids.next_u64()) << 64 | u128::from(ids.next_u64())
            }))
        };
        let flags = if remote.is_valid() {
            remote.trace_flags()
        } else {
            TraceFlags::SAMPLED
        };
        Self::new(trace, flags, remote.span_id(), "caller", now)
    }

    /// Starts a hop as a child of this one.
    pub fn child(&self, name: &'static str, now: Time) -> Self {
        let context = &self.context;
        Self::new(
            context.trace_id(),
            context.trace_flags(),
            context.span_id(),
            name,
            now,
        )
    }

    fn new(
        trace: TraceId,
        flags: TraceFlags,
        parent: SpanId,
        name: &'static str,
        start: Time,
    ) -> Self {
        let id = SpanId::from(IDS.with_borrow_mut(|ids| ids.next_u64().max(1)));
        Self {
            context: SpanContext::new(trace, id, flags, false, TraceState::default()),
            parent,
            name,
            start,
        }
    }

    /// Returns the value of the `traceparent` header for the next hop.
    pub fn header(&self) -> Box<str> {
        let mut carrier = HashMap::new();
        let context = Context::new().with_remote_span_context(self.context.clone());
        TraceContextPropagator::new().inject_context(&context, &mut carrier);
        carrier.remove(HEADER).unwrap_or_default().into()
    }

    /// Returns the trace ID.
    pub fn trace(&self) -> TraceId {
        self.context.trace_id()
    }

    /// Ends the hop and logs its span if the trace is sampled.
    pub fn end(self, log: &slog::Logger, now: Time, attributes: &[KeyValue]) {
        if !self.context.is_sampled() {
            return;
        }
        let detail = attributes
            .iter()
            .map(|pair| format!("{}={}", pair.key, pair.value))
            .collect::<Vec<_>>()
            .join(" ");
        slog::debug!(log, "span";
            "trace" => %self.context.trace_id(),
            "span" => %self.context.span_id(),
            "parent" => %self.parent,
            "hop" => self.name,
            "start_us" => self.start.0,
            "duration_us" => now.since(self.start).0,
            "detail" => detail);
    }
}
