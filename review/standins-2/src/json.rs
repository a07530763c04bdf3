//! A small JSON reader and writer: enough for the bodies that the store of the platform is sent.

use std::collections::BTreeMap;
use std::fmt;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a whole text.
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    /// Builds a map.
    pub fn map<const N: usize>(fields: [(&str, Json); N]) -> Json {
        Json::Map(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
    }

    /// A field of a map.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Map(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Json {
        Json::Text(text.to_owned())
    }
}

impl From<u64> for Json {
    fn from(number: u64) -> Json {
        Json::Number(number as f64)
    }
}

impl From<bool> for Json {
    fn from(value: bool) -> Json {
        Json::Bool(value)
    }
}

impl From<Vec<Json>> for Json {
    fn from(values: Vec<Json>) -> Json {
        Json::List(values)
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(f, "null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(number) => write!(f, "{number}"),
            Json::Text(text) => write_text(f, text),
            Json::List(values) => {
                write!(f, "[")?;
                for (number, value) in values.iter().enumerate() {
                    write!(f, "{}{value}", if number > 0 { "," } else { "" })?;
                }
                write!(f, "]")
            }
            Json::Map(fields) => {
                write!(f, "{{")?;
                for (number, (name, value)) in fields.iter().enumerate() {
                    write!(f, "{}", if number > 0 { "," } else { "" })?;
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                write!(f, "}}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(f, "\"")?;
    for char in text.chars() {
        match char {
            '"' | '\\' => write!(f, "\\{char}")?,
            char if (char as u32) < 0x20 => write!(f, "\\u{:04x}", char as u32)?,
            char => write!(f, "{char}")?,
        }
    }
    write!(f, "\"")
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (*self.bytes.get(self.at)? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.bytes.get(self.at..end)? == word.as_bytes()).then(|| {
            self.at = end;
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut values = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(values));
                }
                loop {
                    values.push(self.value()?);
                    if self.take(b',').is_none() {
                        return self.take(b']').map(|()| Json::List(values));
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Map(fields));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.insert(name, self.value()?);
                    if self.take(b',').is_none() {
                        return self.take(b'}').map(|()| Json::Map(fields));
                    }
                }
            }
            _ => {
                let rest = &self.bytes[self.at..];
                let is_end =
                    |byte: &u8| !matches!(byte, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E');
                let length = rest.iter().position(is_end).unwrap_or(rest.len());
                let text = std::str::from_utf8(&rest[..length]).ok()?;
                let number = text.parse().ok()?;
                self.at += length;
                Some(Json::Number(number))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            let char = char::from_u32(code.ok()?)?;
                            text.extend(char.to_string().bytes());
                        }
                        other => text.push(other),
                    }
                }
                byte => text.push(byte),
            }
        }
    }
}
