//! Formats the key-value fields of a log record.

use std::io::{self, Write};

use log::kv::{Error, Key, Source, Value, VisitSource};

/// Writes ` key=value` for each field.
///
/// Error texts and callers' headers can have spaces and quotes. Such values are quoted and escaped,
/// so that a line can be split into its fields and no value looks like another field.
pub(super) fn write(sink: &mut impl Write, fields: &dyn Source) -> io::Result<()> {
    fields.visit(&mut FieldWriter(sink)).map_err(io::Error::other)
}

struct FieldWriter<'a, W>(&'a mut W);

impl<'kvs, W: Write> VisitSource<'kvs> for FieldWriter<'_, W> {
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
