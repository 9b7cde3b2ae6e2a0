//! Typed access to one TOML table.

use super::reader::{Reader, suggestion};
use std::{cell::RefCell, fmt, str};
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

/// One table of a file; it records which keys were read, so that the others are reported as unknown.
pub(super) struct Section<'r> {
    reader: &'r Reader<'r>,
    /// Dotted name, empty for the file itself.
    name: Box<str>,
    offset: usize,
    table: &'r DeTable<'r>,
    read_keys: RefCell<Vec<&'static str>>,
}

/// A value with its byte offset.
pub(super) struct At<T> {
    pub(super) value: T,
    pub(super) offset: usize,
}

impl<'r> Section<'r> {
    /// Returns the whole file as a section.
    pub(super) fn root(reader: &'r Reader<'r>, table: &'r DeTable<'r>) -> Self {
        Self {
            reader,
            name: "".into(),
            offset: 0,
            table,
            read_keys: RefCell::default(),
        }
    }

    /// Returns the byte offset of the section's own key.
    pub(super) fn offset(&self) -> usize {
        self.offset
    }

    /// Returns a parsed string; reports it if it is invalid.
    pub(super) fn text<T>(&self, key: &'static str) -> Option<At<T>>
    where
        T: str::FromStr<Err: fmt::Display>,
    {
        let value = self.value(key)?;
        self.parse_text(key, value)
    }

    /// Returns a parsed string; reports it if it is missing or invalid.
    pub(super) fn required_text<T>(&self, key: &'static str) -> Option<At<T>>
    where
        T: str::FromStr<Err: fmt::Display>,
    {
        self.require(key);
        self.text(key)
    }

    /// Returns an integer from `min` to `max`; reports any other value.
    pub(super) fn number(&self, key: &'static str, min: u64, max: u64) -> Option<At<u64>> {
        let value = self.value(key)?;
        let offset = value.span().start;
        let DeValue::Integer(integer) = value.get_ref() else {
            let expected = format!("a whole number from {min} to {max}");
            self.report_type(key, value, &expected);
            return None;
        };
        let number = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        let Some(number) = number.filter(|number| (min..=max).contains(number)) else {
            let message = format!(
                "{} must be a whole number from {min} to {max}",
                self.path(key)
            );
            self.reader.report(offset, message);
            return None;
        };
        Some(At {
            value: number,
            offset,
        })
    }

    /// Returns an integer from `min` to `max`; reports it if it is missing or any other value.
    pub(super) fn required_number(&self, key: &'static str, min: u64, max: u64) -> Option<At<u64>> {
        self.require(key);
        self.number(key, min, max)
    }

    /// Returns a boolean; reports any other value.
    pub(super) fn flag(&self, key: &'static str) -> Option<At<bool>> {
        let value = self.value(key)?;
        let Some(flag) = value.get_ref().as_bool() else {
            self.report_type(key, value, "true or false");
            return None;
        };
        Some(At {
            value: flag,
            offset: value.span().start,
        })
    }

    /// Returns the parsed strings of an array; reports invalid ones and leaves them out.
    pub(super) fn texts<T>(&self, key: &'static str) -> Vec<At<T>>
    where
        T: str::FromStr<Err: fmt::Display>,
    {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.report_type(key, value, "an array of strings");
            return Vec::new();
        };
        let parsed = items.iter().map(|item| self.parse_text(key, item));
        parsed.flatten().collect()
    }

    /// Returns a subtable.
    pub(super) fn table(&self, key: &'static str) -> Option<Section<'r>> {
        let value = self.value(key)?;
        let Some(table) = value.get_ref().as_table() else {
            self.report_type(key, value, "a table");
            return None;
        };
        let (own_key, _) = self.table.get_key_value(key)?;
        Some(self.subtable(key, own_key.span().start, table))
    }

    /// Returns the tables inside a subtable, with their names.
    pub(super) fn tables<T>(&self, key: &'static str) -> Vec<(T, Section<'r>)>
    where
        T: str::FromStr<Err: fmt::Display>,
    {
        let outer = self.table(key);
        outer.map_or_else(Vec::new, |outer| outer.subtables())
    }

    /// Reports a name that is not among the known ones and suggests the most similar of them.
    pub(super) fn require_known<'n, T: fmt::Display>(
        &self,
        kind: &str,
        name: &At<T>,
        known: impl Iterator<Item = &'n str> + Clone,
    ) {
        let text = name.value.to_string();
        if known.clone().any(|known| known == text) {
            return;
        }
        let hint = suggestion(&text, known);
        self.report(name.offset, format!("unknown {kind} {text}{hint}"));
    }

    /// Reports an overlay's section that has no key.
    pub(super) fn require_nonempty(&self) {
        if self.table.is_empty() {
            let message = format!("{} changes nothing", self.name);
            self.reader.report(self.offset, message);
        }
    }

    /// Reports the keys that were not read; those in `base_only` are valid only in the base file.
    pub(super) fn finish(self, base_only: &[&'static str]) {
        let read_keys = self.read_keys.borrow();
        for key in self.table.keys() {
            let name: &str = key.get_ref();
            if read_keys.contains(&name) {
                continue;
            }
            let path = self.path(name);
            let message = if base_only.contains(&name) {
                format!("{path} may not differ per site; set it in the base file")
            } else {
                let hint = suggestion(name, read_keys.iter().copied());
                format!("unknown key {path}{hint}")
            };
            self.reader.report(key.span().start, message);
        }
    }

    /// Records a finding at a byte offset.
    pub(super) fn report(&self, offset: usize, message: impl fmt::Display) {
        self.reader.report(offset, message);
    }

    /// Returns the dotted name of a key of the section.
    pub(super) fn path(&self, key: &str) -> String {
        match &*self.name {
            "" => key.to_owned(),
            name => format!("{name}.{key}"),
        }
    }

    fn subtables<T>(&self) -> Vec<(T, Section<'r>)>
    where
        T: str::FromStr<Err: fmt::Display>,
    {
        let mut sections = Vec::new();
        for (key, value) in self.table {
            let offset = key.span().start;
            let name: &str = key.get_ref();
            let Some(table) = value.get_ref().as_table() else {
                self.report_type(name, value, "a table");
                continue;
            };
            match name.parse() {
                Ok(id) => sections.push((id, self.subtable(name, offset, table))),
                Err(error) => self.reader.report(offset, error),
            }
        }
        sections
    }

    fn subtable(&self, key: &str, offset: usize, table: &'r DeTable<'r>) -> Section<'r> {
        Section {
            reader: self.reader,
            name: self.path(key).into(),
            offset,
            table,
            read_keys: RefCell::default(),
        }
    }

    fn value(&self, key: &'static str) -> Option<&'r Spanned<DeValue<'r>>> {
        self.read_keys.borrow_mut().push(key);
        self.table.get(key)
    }

    fn require(&self, key: &'static str) {
        if !self.table.contains_key(key) {
            let message = format!("{} is missing", self.path(key));
            self.reader.report(self.offset, message);
        }
    }

    fn parse_text<T>(&self, key: &str, value: &Spanned<DeValue<'_>>) -> Option<At<T>>
    where
        T: str::FromStr<Err: fmt::Display>,
    {
        let offset = value.span().start;
        let Some(text) = value.get_ref().as_str() else {
            self.report_type(key, value, "a string");
            return None;
        };
        match text.parse() {
            Ok(value) => Some(At { value, offset }),
            Err(error) => {
                let message = format!("{}: {error}", self.path(key));
                self.reader.report(offset, message);
                None
            }
        }
    }

    fn report_type(&self, key: &str, value: &Spanned<DeValue<'_>>, expected: &str) {
        let found = value.get_ref().type_str();
        let message = format!("{} must be {expected}, not a TOML {found}", self.path(key));
        self.reader.report(value.span().start, message);
    }
}

/// Returns the value of an override; reports one that equals the base file's value.
pub(super) fn override_value<T: PartialEq>(
    section: &Section<'_>,
    key: &str,
    value: Option<At<T>>,
    base: Option<&T>,
) -> Option<T> {
    let value = value?;
    if base == Some(&value.value) {
        let message = format!(
            "{} changes nothing: the base file has the same value",
            section.path(key)
        );
        section.report(value.offset, message);
    }
    Some(value.value)
}

/// Narrows an integer whose range was checked when it was read.
pub(super) fn narrow(number: At<u64>) -> At<u32> {
    At {
        value: number.value.try_into().unwrap_or(u32::MAX),
        offset: number.offset,
    }
}
