//! The form of the key-value fields of a log line.

use std::io::{self, Write};

use log::kv::{Error, Key, Source, Value, VisitSource};

/// Writes ` key=value` for each field.
///
/// Texts of errors and headers of callers have spaces and quotes. They are quoted and escaped, so
/// that a line can be split into its fields and no value looks like another field.
pub(super) fn write(sink: &mut impl Write, fields: &dyn Source) -> io::Result<()> {
    fields.visit(&mut Fields(sink)).map_err(io::Error::other)
}

struct Fields<'a, W>(&'a mut W);

impl<'kvs, W: Write> VisitSource<'kvs> for Fields<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        if needs_quotes(&text) {
            write!(self.0, " {key}={text:?}")?;
        } else {
            write!(self.0, " {key}={text}")?;
        }
        Ok(())
    }
}

fn needs_quotes(text: &str) -> bool {
    text.is_empty() || text.contains(|c: char| c.is_whitespace() || c.is_control() || c == '"')
}
