//! Reads back the lines that [`crate::logging`] writes.

/// One log line: pairs of key and value, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogLine {
    fields: Vec<(String, String)>,
}

impl LogLine {
    /// Reads a line; `None` when it is not one of ours.
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

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }

    /// Time of day, in milliseconds since 1970.
    pub fn at_ms(&self) -> Option<u64> {
        self.get("at_ms")?.parse().ok()
    }

    /// What happened.
    pub fn event(&self) -> &str {
        self.get("event").unwrap_or("")
    }

    /// Host of the process.
    pub fn host(&self) -> &str {
        self.get("host").unwrap_or("")
    }

    /// All pairs that tell of the event itself, in order.
    pub fn details(&self) -> impl Iterator<Item = (&str, &str)> {
        const COMMON: [&str; 7] = ["level", "msg", "role", "host", "at_ms", "event", "id"];
        let own = self.fields.iter().filter(|(key, _)| !COMMON.contains(&key.as_str()));
        own.map(|(key, value)| (key.as_str(), value.as_str()))
    }
}

/// A value, quoted or bare, and what follows it.
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
