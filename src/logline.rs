//! Parses log lines written by [`crate::logging`].

/// A parsed log line: its keys and values in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogLine {
    fields: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line; `None` when it is not in `key=value` format, or has no `event` or no valid `at_ms`.
    pub fn parse(line: &str) -> Option<LogLine> {
        let mut fields = Vec::new();
        let mut rest = line.trim();
        while !rest.is_empty() {
            let (key, after) = rest.split_once('=')?;
            let (value, after) = split_value(after)?;
            fields.push((key.to_owned(), value));
            rest = after.trim_start();
        }
        let line = LogLine { fields };
        (line.get("event").is_some() && line.at_ms().is_some()).then_some(line)
    }

    /// The value of `key`.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }

    /// When the line was logged, in milliseconds since 1970.
    pub fn at_ms(&self) -> Option<u64> {
        self.get("at_ms")?.parse().ok()
    }

    /// Value of the key `event`; empty without one.
    pub fn event(&self) -> &str {
        self.get("event").unwrap_or("")
    }

    /// Host of the process that logged the line; empty without one.
    pub fn host(&self) -> &str {
        self.get("host").unwrap_or("")
    }

    /// The pairs that are specific to the event, in order: all but those that every line has, and the request id.
    pub fn details(&self) -> impl Iterator<Item = (&str, &str)> {
        const COMMON: [&str; 7] = ["level", "msg", "role", "host", "at_ms", "event", "id"];
        let specific = self.fields.iter().filter(|(key, _)| !COMMON.contains(&key.as_str()));
        specific.map(|(key, value)| (key.as_str(), value.as_str()))
    }
}

/// Splits off the value at the start of `text`, quoted or not. `None` when a quote is not closed.
fn split_value(text: &str) -> Option<(String, &str)> {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return Some((text[..end].to_owned(), &text[end..]));
    };
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((at, char)) = chars.next() {
        match char {
            '"' => return Some((value, &quoted[at + 1..])),
            '\\' => value.push(chars.next()?.1),
            _ => value.push(char),
        }
    }
    None
}
