//! Choice of the engine from which another one copies cached parts of a prompt.

use super::{Dispatcher, Request};
use crate::{
    dispatch::{Estimate, Prompt, Source, source::MIN_TOKENS, target::Target},
    id,
    placement::mix,
    unit::Time,
};

/// Tokens of a request's shared parts that engines of a build can copy, by the key of the build. Found when first asked
/// for; nearly always, there is one build.
#[derive(Default)]
pub(super) struct Copyable(Vec<(u64, u64)>);

impl Dispatcher {
    /// Returns the tokens of a request's shared parts that some engine certainly has, so that a target can copy them.
    pub(super) fn copyable_tokens(
        &self,
        now: Time,
        request: &Request,
        target: &Target,
        known: &mut Copyable,
    ) -> u64 {
        let build = target.entry.build.key();
        if let Some((_, tokens)) = known.0.iter().find(|(known, _)| *known == build) {
            return *tokens;
        }
        let mut most = 0;
        if let Some(prompt) = self.copyable_prompt(request) {
            let all = tokens_of(prompt);
            for source in self.sources(now, request, &target.entry.build) {
                let prefilled = source.prefilled(now, request);
                if prefilled.is_certain {
                    most = most.max(prefilled.tokens);
                }
                if most >= all {
                    break;
                }
            }
        }
        known.0.push((build, most));
        most
    }

    /// Returns the engine from which the chosen one copies what it lacks of a request's shared parts: the one that
    /// most certainly has most of them. Among equals, rendezvous hashing of the chosen engine and the first part
    /// spreads the copies of a popular part over all that have it, those in the chosen engine's failure domain first. A
    /// source is named also where the chosen engine is believed to have all shared parts: it copies only what it lacks,
    /// so this costs nothing where the belief is right.
    pub(super) fn source(
        &self,
        now: Time,
        request: &Request,
        estimate: &Estimate,
    ) -> Option<Source> {
        let chosen = self.targets.get(&estimate.target)?;
        let prompt = self.copyable_prompt(request)?;
        let pair = chosen.key ^ prompt.parts.first()?.id.rotate_left(32);
        let sources = self.sources(now, request, &chosen.entry.build);
        let sources = sources.filter(|target| target.key != chosen.key);
        let sources = sources.filter_map(|target| {
            let prefilled = target.prefilled(now, request);
            let near = target.entry.domain == chosen.entry.domain;
            let rank = (prefilled, near, mix(mix(pair) ^ target.key));
            (prefilled.tokens >= MIN_TOKENS).then_some((rank, target))
        });
        let (rank, target) = sources.max_by_key(|(rank, _)| *rank)?;
        Some(Source {
            target: target.entry.name.clone(),
            address: target.entry.address,
            tokens: rank.0.tokens,
        })
    }

    /// Returns the prompt of a request if its service copies cached prompts between its engines, and the shared parts
    /// are worth it.
    pub(super) fn copyable_prompt<'a>(&self, request: &'a Request) -> Option<&'a Prompt> {
        let prompt = request.prompt.as_ref()?;
        let service = self.routing.services.get(&request.service)?;
        let copies = service.engine.and_then(|engine| engine.transfer).is_some();
        let is_used = self.settings.policy.uses_prompt_cache();
        (copies && is_used && tokens_of(prompt) >= MIN_TOKENS).then_some(prompt)
    }

    /// Returns the engines from which those of a build may copy: they run the same build and are expected to answer.
    fn sources<'a>(
        &'a self,
        now: Time,
        request: &'a Request,
        build: &'a id::Build,
    ) -> impl Iterator<Item = &'a Target> {
        let targets = self.targets.values();
        targets.filter(move |target| {
            target.matches(request)
                && target.entry.build == *build
                && target.is_source(now)
                && self.is_trusted(target, now)
        })
    }
}

/// Returns the tokens of a prompt's shared parts.
fn tokens_of(prompt: &Prompt) -> u64 {
    let parts = prompt.shared_parts().iter();
    parts.map(|part| u64::from(part.tokens)).sum()
}
