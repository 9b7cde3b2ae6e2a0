//! JSON and base64, as far as the stand-ins need them.

use std::{iter::Peekable, str::Chars};

/// A JSON value; numbers and truth values are not kept.
#[derive(Clone, Debug)]
pub enum Value {
    Other,
    Text(String),
    List(Vec<Value>),
    Object(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }

    pub fn list(&self, name: &str) -> &[Value] {
        match self.get(name) {
            Some(Value::List(items)) => items,
            _ => &[],
        }
    }
}

/// Parses a JSON text that a well-known library wrote.
pub fn parse(text: &str) -> Option<Value> {
    value(&mut text.chars().peekable())
}

fn skip(chars: &mut Peekable<Chars<'_>>) {
    while chars
        .next_if(|c| c.is_whitespace() || *c == ',' || *c == ':')
        .is_some()
    {}
}

fn value(chars: &mut Peekable<Chars<'_>>) -> Option<Value> {
    skip(chars);
    match *chars.peek()? {
        '"' => text(chars).map(Value::Text),
        '[' => {
            chars.next();
            let mut items = Vec::new();
            loop {
                skip(chars);
                if chars.next_if_eq(&']').is_some() {
                    return Some(Value::List(items));
                }
                items.push(value(chars)?);
            }
        }
        '{' => {
            chars.next();
            let mut fields = Vec::new();
            loop {
                skip(chars);
                if chars.next_if_eq(&'}').is_some() {
                    return Some(Value::Object(fields));
                }
                let name = text(chars)?;
                fields.push((name, value(chars)?));
            }
        }
        _ => {
            while chars.next_if(|c| !",]} \n".contains(*c)).is_some() {}
            Some(Value::Other)
        }
    }
}

fn text(chars: &mut Peekable<Chars<'_>>) -> Option<String> {
    chars.next_if_eq(&'"')?;
    let mut text = String::new();
    loop {
        match chars.next()? {
            '"' => return Some(text),
            '\\' => text.push(chars.next()?),
            c => text.push(c),
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}

/// Decodes base64; other characters are passed over.
pub fn from_base64(text: &str) -> Vec<u8> {
    let digits = text
        .bytes()
        .filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte));
    let digits: Vec<usize> = digits.collect();
    let mut bytes = Vec::new();
    for chunk in digits.chunks(4) {
        let bits = (0..4).fold(0, |bits, index| bits << 6 | chunk.get(index).unwrap_or(&0));
        let whole = (bits as u32).to_be_bytes();
        bytes.extend_from_slice(&whole[1..chunk.len()]);
    }
    bytes
}
