//! A small JSON reader: the store keeps the text of a `spec` as it was sent.

/// A value with the text that it was read from.
pub struct Json<'a> {
    pub text: &'a str,
    pub fields: Vec<(String, Json<'a>)>,
    pub string: Option<String>,
}

impl<'a> Json<'a> {
    pub fn parse(text: &'a str) -> Option<Self> {
        let mut reader = Reader { text, at: 0 };
        reader.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json<'a>> {
        self.fields.iter().find(|(key, _)| key == name).map(|(_, value)| value)
    }

    pub fn number(&self) -> Option<u64> {
        self.text.parse().ok()
    }
}

struct Reader<'a> {
    text: &'a str,
    at: usize,
}

impl<'a> Reader<'a> {
    fn peek(&mut self) -> Option<u8> {
        while let Some(byte) = self.text.as_bytes().get(self.at) {
            if !byte.is_ascii_whitespace() {
                return Some(*byte);
            }
            self.at += 1;
        }
        None
    }

    fn value(&mut self) -> Option<Json<'a>> {
        let first = self.peek()?;
        let from = self.at;
        let (mut fields, mut string) = (Vec::new(), None);
        match first {
            b'{' | b'[' => {
                let end = if first == b'{' { b'}' } else { b']' };
                self.at += 1;
                while self.peek()? != end {
                    if self.peek()? == b',' {
                        self.at += 1;
                        continue;
                    }
                    let mut key = String::new();
                    if first == b'{' {
                        key = self.string()?;
                        if self.peek()? != b':' {
                            return None;
                        }
                        self.at += 1;
                    }
                    fields.push((key, self.value()?));
                }
                self.at += 1;
            }
            b'"' => string = Some(self.string()?),
            _ => {
                let rest = &self.text[self.at..];
                let end = rest.find([',', '}', ']', ' ', '\n']).unwrap_or(rest.len());
                self.at += end.max(1);
            }
        }
        Some(Json { text: &self.text[from..self.at], fields, string })
    }

    /// A string; escapes other than `\"` and `\\` are kept as they are.
    fn string(&mut self) -> Option<String> {
        if self.peek()? != b'"' {
            return None;
        }
        self.at += 1;
        let mut out = String::new();
        let mut chars = self.text[self.at..].char_indices();
        while let Some((offset, char)) = chars.next() {
            match char {
                '"' => {
                    self.at += offset + 1;
                    return Some(out);
                }
                '\\' => out.push(chars.next()?.1),
                _ => out.push(char),
            }
        }
        None
    }
}
