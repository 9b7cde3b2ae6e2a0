//! Numbers that no JSON parser accepts, such as `1e999` or `NaN`.
//!
//! A parser rejects the whole text because of one of them. They are replaced by values that the caller chooses for
//! the fields that they are in, so that the rest of the text can be used.

use std::borrow::Cow;

/// Maximum depth of texts in which numbers are replaced, which is also that of the parser.
const MAX_DEPTH: usize = 128;
/// Maximum number of replaced numbers; a text with more of them is no slip of its writer.
const MAX_REPLACED: usize = 100;
/// Maximum length of an unreadable value in a log line.
pub(super) const MAX_LOGGED_CHARS: usize = 40;

/// A field with a number that no parser accepts.
pub(super) struct Field<'a> {
    /// Field that contains the one that this field is in; empty at the outermost level.
    pub(super) parent: &'a str,
    pub(super) name: &'a str,
    /// The number.
    pub(super) text: &'a str,
}

impl Field<'_> {
    /// Returns the number as a JSON string.
    pub(super) fn quoted(&self) -> Cow<'static, str> {
        // It has letters, digits, signs and points only.
        format!("\"{}\"", self.text).into()
    }
}

/// A number that was replaced.
pub(super) struct Replaced {
    /// Name of the field.
    pub(super) name: Box<str>,
    /// Path of the field from the outermost level, and what it has.
    pub(super) finding: Box<str>,
}

/// What leads to a value from the one that it is in.
enum Step<'a> {
    Key(&'a str),
    Index(usize),
}

/// Returns a JSON text in which all numbers that no parser accepts are replaced by what `substitute` returns for them.
/// None if there are no such numbers, one can't be replaced, or the text is no JSON for other reasons.
pub(super) fn replace(
    json: &[u8],
    substitute: impl Fn(&Field<'_>) -> Option<Cow<'static, str>>,
) -> Option<(Vec<u8>, Vec<Replaced>)> {
    let json = std::str::from_utf8(json).ok()?;
    let (mut output, mut replaced) = (String::with_capacity(json.len()), Vec::new());
    let mut path: Vec<Step<'_>> = Vec::new();
    let (mut rest, mut string) = (json, "");
    while let Some(first) = rest.chars().next() {
        let length = match first {
            '"' => string_length(rest)?,
            first if is_bare(first) => rest.find(|c| !is_bare(c)).unwrap_or(rest.len()),
            first => first.len_utf8(),
        };
        let (piece, after) = rest.split_at(length);
        rest = after;
        match (first, path.last_mut()) {
            ('{', _) => path.push(Step::Key("")),
            ('[', _) => path.push(Step::Index(0)),
            ('}' | ']', _) => drop(path.pop()),
            ('"', _) => string = &piece[1..piece.len() - 1],
            (':', Some(Step::Key(key))) => *key = string,
            (',', Some(Step::Index(index))) => *index += 1,
            _ => {}
        }
        if path.len() > MAX_DEPTH {
            return None;
        }
        if !is_unreadable(piece) {
            output.push_str(piece);
            continue;
        }
        let mut names = path.iter().rev().filter_map(|step| match step {
            Step::Key(key) => Some(*key),
            Step::Index(_) => None,
        });
        let field = Field {
            name: names.next().unwrap_or_default(),
            parent: names.next().unwrap_or_default(),
            text: piece,
        };
        output.push_str(&substitute(&field)?);
        let text: String = piece.chars().take(MAX_LOGGED_CHARS).collect();
        replaced.push(Replaced {
            name: field.name.into(),
            finding: format!("{}: {text} can't be read as a number", render(&path)).into(),
        });
        if replaced.len() > MAX_REPLACED {
            return None;
        }
    }
    (!replaced.is_empty()).then(|| (output.into_bytes(), replaced))
}

/// Returns the length of the string at the start of a text, with its quotes; `None` if it has no end.
fn string_length(text: &str) -> Option<usize> {
    let mut is_escaped = true;
    let end = text.bytes().position(|byte| {
        let is_end = byte == b'"' && !is_escaped;
        // The first quote counts as escaped.
        is_escaped = byte == b'\\' && !is_escaped;
        is_end
    });
    end.map(|end| end + 1)
}

/// Reports whether a character may be part of a number or a word.
fn is_bare(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '+' | '-' | '.')
}

/// Reports whether a piece of a JSON text is meant as a number, but no parser accepts it.
fn is_unreadable(piece: &str) -> bool {
    let unsigned = piece.trim_start_matches(['+', '-']);
    let is_word = ["nan", "inf", "infinity"]
        .iter()
        .any(|word| unsigned.eq_ignore_ascii_case(word));
    let is_number = unsigned.starts_with(|first: char| first.is_ascii_digit() || first == '.');
    is_word || (is_number && serde_json::from_str::<f64>(piece).is_err())
}

/// Returns a path as text.
fn render(path: &[Step<'_>]) -> String {
    let mut text = String::new();
    for step in path {
        match step {
            Step::Key(key) if text.is_empty() => text += key,
            Step::Key(key) => text += &format!(".{key}"),
            Step::Index(index) => text += &format!("[{index}]"),
        }
    }
    text
}
