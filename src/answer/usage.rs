//! Tokens that a whole answer of a model engine says it took.

/// The members of a completion that tell its cost.
#[derive(serde::Deserialize)]
struct Completion {
    usage: Usage,
}

#[derive(serde::Deserialize)]
struct Usage {
    completion_tokens: u64,
}

/// Returns the tokens that a whole answer names, or `None` if it names none.
pub fn tokens_used(body: &[u8]) -> Option<u64> {
    let completion: Completion = serde_json::from_slice(body).ok()?;
    Some(completion.usage.completion_tokens)
}
