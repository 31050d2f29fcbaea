//! The part of HTTP/1.1 that the stand-ins need: heads, bodies with a length or chunked, answers.

use std::io::{self, BufRead, Error, ErrorKind, Read, Write};

/// Longest line of a head, and of a chunk header or trailer.
const MAX_LINE_BYTES: u64 = 64 * 1024;

#[derive(Clone)]
pub(crate) struct Head {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub keep_alive: bool,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name))?;
        Some(&found.1)
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn text(status: u16, text: &str) -> Answer {
        Answer { status, headers: Vec::new(), body: text.as_bytes().to_vec() }
    }

    pub fn json(value: &impl serde::Serialize) -> Answer {
        let headers = vec![("content-type".to_owned(), "application/json".to_owned())];
        Answer { status: 200, headers, body: serde_json::to_vec(value).unwrap_or_default() }
    }

    pub fn with_header(mut self, name: &str, value: &str) -> Answer {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// Reads the head of the next request; `None` if the peer closed the connection before it.
pub(crate) fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let first = loop {
        match read_line(reader)? {
            None => return Ok(None),
            // Empty lines before a request line are allowed by RFC 9112, section 2.2.
            Some(line) if line.is_empty() => {}
            Some(line) => break line,
        }
    };
    let mut words = first.split(' ');
    let (Some(method), Some(target), Some(version)) = (words.next(), words.next(), words.next())
    else {
        return Err(malformed("request line"));
    };
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or_else(|| malformed("end of the head"))?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| malformed("header"))?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut head = Head {
        method: method.to_owned(),
        target: target.to_owned(),
        headers,
        keep_alive: version == "HTTP/1.1",
    };
    if head.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
        head.keep_alive = false;
    }
    Ok(Some(head))
}

/// Reads a body and passes each piece to `sink`. On an error the body is incomplete or malformed.
pub(crate) fn read_body(
    reader: &mut impl BufRead,
    head: &Head,
    sink: &mut impl FnMut(&[u8]),
) -> io::Result<()> {
    if head.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        return read_chunks(reader, sink);
    }
    match head.header("content-length") {
        None => Ok(()),
        Some(text) => {
            let length = text.parse().map_err(|_| malformed("content-length"))?;
            read_exactly(reader, length, sink)
        }
    }
}

fn read_chunks(reader: &mut impl BufRead, sink: &mut impl FnMut(&[u8])) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or_else(|| malformed("chunk"))?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let length = u64::from_str_radix(size, 16).map_err(|_| malformed("chunk size"))?;
        if length == 0 {
            // Trailers, if any, end with an empty line.
            while !read_line(reader)?.ok_or_else(|| malformed("trailer"))?.is_empty() {}
            return Ok(());
        }
        read_exactly(reader, length, sink)?;
        read_line(reader)?;
    }
}

fn read_exactly(
    reader: &mut impl BufRead,
    length: u64,
    sink: &mut impl FnMut(&[u8]),
) -> io::Result<()> {
    let mut left = length;
    let mut piece = vec![0; 64 * 1024];
    while left > 0 {
        let want = piece.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        let read = reader.read(&mut piece[..want])?;
        if read == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        sink(&piece[..read]);
        left -= read as u64;
    }
    Ok(())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    let read = reader.by_ref().take(MAX_LINE_BYTES).read_until(b'\n', &mut line)?;
    if read == 0 {
        return Ok(None);
    }
    if line.pop() != Some(b'\n') {
        return Err(malformed("line"));
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line).map(Some).map_err(|_| malformed("line"))
}

fn malformed(what: &str) -> Error {
    Error::new(ErrorKind::InvalidData, format!("malformed {what}"))
}

/// Writes an answer. If `cut_after` is given, only that many bytes of the body are written,
/// although the head announces the full length.
pub(crate) fn write_answer(
    writer: &mut impl Write,
    answer: &Answer,
    head: &Head,
    cut_after: Option<usize>,
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {} Status\r\n", answer.status);
    for (name, value) in &answer.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n", answer.body.len()));
    text.push_str(if head.keep_alive { "\r\n" } else { "connection: close\r\n\r\n" });
    let mut bytes = text.into_bytes();
    if head.method != "HEAD" {
        let end = cut_after.map_or(answer.body.len(), |n| n.min(answer.body.len()));
        bytes.extend_from_slice(&answer.body[..end]);
    }
    writer.write_all(&bytes)?;
    writer.flush()
}
