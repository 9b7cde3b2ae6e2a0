//! Token usage in a model engine's complete response.

/// Fields of a completion response that give its cost.
#[derive(serde::Deserialize)]
struct Completion {
    usage: Usage,
}

#[derive(serde::Deserialize)]
struct Usage {
    completion_tokens: u64,
}

/// Returns the generated tokens that a response reports; `None` if it reports none.
pub fn tokens_used(body: &[u8]) -> Option<u64> {
    let completion: Completion = serde_json::from_slice(body).ok()?;
    Some(completion.usage.completion_tokens)
}
