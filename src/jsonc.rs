//! Decodes and validates JSON with comments, and reports every fault with its field path and line.

use std::fmt;

use jsonc_parser::ast::{ObjectPropName, Value as Node};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// UTF-8 byte-order mark, which some editors write at the start of a file.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// An error in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Dotted path of the field, for example `control.peers[1]`; empty for the document itself.
    pub path: String,
    /// Line of the field in the text, counted from 1; 0 when it is not known.
    pub line: usize,
    /// Description of the error and of what is expected.
    pub message: String,
}

impl Fault {
    /// Creates a fault at `path` whose line is not known.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Fault { path: path.into(), line: 0, message: message.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

/// A document type that validates its values after decoding.
pub trait Validate {
    /// A fault for every invalid value, with its path in this document.
    fn faults(&self) -> Vec<Fault>;
}

/// Decodes and validates `text`; unknown fields are faults.
///
/// # Errors
/// All faults found, ordered by line.
pub fn from_str<T: DeserializeOwned + Validate>(text: &str) -> Result<T, Vec<Fault>> {
    if text.as_bytes().starts_with(BYTE_ORDER_MARK) {
        let message = "the file begins with a byte-order mark; save it as plain UTF-8";
        return Err(vec![Fault { line: 1, ..Fault::new("", message) }]);
    }
    let value = parse(text).map_err(|fault| vec![fault])?;
    from_value(value).map_err(|faults| with_lines(text, faults))
}

/// A decoded document that may have unknown fields, for example those of a later version.
#[derive(Clone, Debug, PartialEq)]
pub struct Lenient<T> {
    /// The document.
    pub document: T,
    /// Faults for the unknown fields, which were ignored.
    pub unknown: Vec<Fault>,
}

/// Decodes and validates `text`; unknown fields are ignored and listed in the result.
///
/// # Errors
/// When there is any other fault: all faults found, unknown fields included, ordered by line.
pub fn from_str_lenient<T: DeserializeOwned + Validate>(
    text: &str,
) -> Result<Lenient<T>, Vec<Fault>> {
    if !text.as_bytes().starts_with(BYTE_ORDER_MARK)
        && let Ok(value) = parse(text)
        && let Ok((document, unknown)) = decode::<T>(&value)
        && document.faults().is_empty()
    {
        return Ok(Lenient { document, unknown: with_lines(text, unknown) });
    }
    let document = from_str(text)?;
    Ok(Lenient { document, unknown: Vec::new() })
}

fn with_lines(text: &str, mut faults: Vec<Fault>) -> Vec<Fault> {
    for fault in &mut faults {
        fault.line = line_of(text, &fault.path);
    }
    faults.sort_by_key(|fault| fault.line);
    faults
}

/// Decodes and validates the body of a call; unknown fields are faults.
///
/// # Errors
/// All faults found; only a syntax error has a line.
pub fn from_slice<T: DeserializeOwned + Validate>(bytes: &[u8]) -> Result<T, Vec<Fault>> {
    if bytes.starts_with(BYTE_ORDER_MARK) {
        return Err(vec![Fault::new("", "begins with a byte-order mark; send plain UTF-8")]);
    }
    let value: Value = serde_json::from_slice(bytes).map_err(|error| {
        vec![Fault { path: String::new(), line: error.line(), message: error.to_string() }]
    })?;
    from_value(value)
}

/// Decodes and validates the body of a call; unknown fields are ignored.
///
/// # Errors
/// The first field that can't be decoded, or else a fault for every invalid value.
pub fn from_slice_lenient<T: DeserializeOwned + Validate>(bytes: &[u8]) -> Result<T, Vec<Fault>> {
    if bytes.starts_with(BYTE_ORDER_MARK) {
        return Err(vec![Fault::new("", "begins with a byte-order mark; send plain UTF-8")]);
    }
    // Checks UTF-8 up front, since serde_json does not check it in the fields that it ignores.
    let text = std::str::from_utf8(bytes).map_err(|_| vec![Fault::new("", "is not UTF-8")])?;
    let mut reader = serde_json::Deserializer::from_str(text);
    let document: T = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let path = error.path().to_string();
        let path = if path == "." { String::new() } else { path };
        vec![Fault { path, line: error.inner().line(), message: error.inner().to_string() }]
    })?;
    reader.end().map_err(|error| {
        vec![Fault { path: String::new(), line: error.line(), message: error.to_string() }]
    })?;
    let faults = document.faults();
    if faults.is_empty() { Ok(document) } else { Err(faults) }
}

/// Decodes and validates a parsed value, for example from a remote call; unknown fields are faults.
///
/// # Errors
/// All faults found, without lines.
pub fn from_value<T: DeserializeOwned + Validate>(mut value: Value) -> Result<T, Vec<Fault>> {
    let mut faults = Vec::new();
    loop {
        match decode::<T>(&value) {
            Ok((document, unknown)) => {
                faults.extend(unknown);
                faults.extend(document.faults());
                return if faults.is_empty() { Ok(document) } else { Err(dedup_by_path(faults)) };
            }
            Err(fault) => {
                // Removes the faulty field and decodes again, to find further faults.
                let removed = remove(&mut value, &fault.path);
                faults.push(fault);
                if !removed {
                    return Err(faults);
                }
            }
        }
    }
}

/// Whether `text` is an object with the field `name`.
pub fn has_field(text: &str, name: &str) -> bool {
    parse(text).is_ok_and(|value| value.get(name).is_some())
}

fn parse(text: &str) -> Result<Value, Fault> {
    let options = ParseOptions::default();
    match jsonc_parser::parse_to_serde_value::<Option<Value>>(text, &options) {
        Ok(value) => Ok(value.unwrap_or(Value::Null)),
        Err(error) => Err(Fault {
            path: String::new(),
            line: error.line_display(),
            message: error.kind().to_string(),
        }),
    }
}

fn decode<T: DeserializeOwned>(value: &Value) -> Result<(T, Vec<Fault>), Fault> {
    let mut unknown = Vec::new();
    let mut note_unknown = |path: serde_ignored::Path<'_>| {
        unknown.push(Fault::new(indexed(&path.to_string()), "unknown field"));
    };
    let tracked = serde_ignored::Deserializer::new(value, &mut note_unknown);
    let document = serde_path_to_error::deserialize(tracked).map_err(|error| {
        let path = error.path().to_string();
        let path = if path == "." { String::new() } else { path };
        Fault::new(path, error.inner().to_string())
    })?;
    Ok((document, unknown))
}

/// Converts the path format of `serde_ignored` (`peers.1`) into ours (`peers[1]`).
fn indexed(path: &str) -> String {
    let mut out = String::new();
    for step in path.split('.').filter(|step| *step != "?") {
        if step.bytes().all(|byte| byte.is_ascii_digit()) {
            out.push_str(&format!("[{step}]"));
            continue;
        }
        if !out.is_empty() {
            out.push('.');
        }
        out.push_str(step);
    }
    out
}

/// Keeps the first fault of each path. A field that was removed as faulty decodes to its default value, which may be
/// invalid too; that second fault would mislead the author of the document.
fn dedup_by_path(faults: Vec<Fault>) -> Vec<Fault> {
    let mut kept: Vec<Fault> = Vec::new();
    for fault in faults {
        let duplicate = kept.iter().any(|earlier| earlier.path == fault.path);
        if !duplicate {
            kept.push(fault);
        }
    }
    kept
}

/// Splits a path into its field names and indexes.
fn steps(path: &str) -> Vec<String> {
    path.replace('[', ".")
        .replace(']', "")
        .split('.')
        .filter(|step| !step.is_empty())
        .map(str::to_owned)
        .collect()
}

/// Removes the field at `path`, or the whole list when the path ends in an index. Returns whether there was one.
fn remove(value: &mut Value, path: &str) -> bool {
    let mut steps = steps(path);
    let Some(mut last) = steps.pop() else {
        return false;
    };
    while last.parse::<usize>().is_ok() {
        match steps.pop() {
            Some(step) => last = step,
            None => return false,
        }
    }
    let mut at = value;
    for step in steps {
        let next = match step.parse::<usize>() {
            Ok(index) => at.get_mut(index),
            Err(_) => at.get_mut(&step),
        };
        match next {
            Some(next) => at = next,
            None => return false,
        }
    }
    at.as_object_mut().is_some_and(|fields| fields.remove(&last).is_some())
}

/// The line of the deepest part of `path` that exists in the text; 1 when none does.
fn line_of(text: &str, path: &str) -> usize {
    let Ok(parsed) = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default())
    else {
        return 1;
    };
    let Some(mut node) = parsed.value.as_ref() else {
        return 1;
    };
    let mut start = 0;
    for step in steps(path) {
        match child(node, &step) {
            Some((at, value)) => {
                start = at;
                node = value;
            }
            None => break,
        }
    }
    1 + text[..start].matches('\n').count()
}

fn child<'a, 'b>(node: &'b Node<'a>, step: &str) -> Option<(usize, &'b Node<'a>)> {
    match node {
        Node::Object(object) => object.properties.iter().find_map(|property| {
            let (name, start) = match &property.name {
                ObjectPropName::String(literal) => (literal.value.as_ref(), literal.range.start),
                ObjectPropName::Word(literal) => (literal.value, literal.range.start),
            };
            (name == step).then_some((start, &property.value))
        }),
        Node::Array(array) => {
            let value = array.elements.get(step.parse::<usize>().ok()?)?;
            Some((jsonc_parser::common::Ranged::start(value), value))
        }
        _ => None,
    }
}
