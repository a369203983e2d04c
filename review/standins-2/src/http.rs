//! As much of HTTP/1.1 as clients, the operator and marshals of these cases need.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// A message: its first line, its header fields and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 if the first line is none of an answer.
    pub fn status(&self) -> u16 {
        let line = self.first_line.strip_prefix("HTTP/1.1 ").unwrap_or("");
        line.split(' ').next().and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

fn invalid(what: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, what.to_owned())
}

fn read_line(stream: &mut impl BufRead) -> std::io::Result<String> {
    let mut bytes = Vec::new();
    stream.read_until(b'\n', &mut bytes)?;
    if bytes.pop() != Some(b'\n') {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    if bytes.last() == Some(&b'\r') {
        bytes.pop();
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Reads the first line and the header fields. `None`: the connection ended before a byte came.
pub fn read_head(stream: &mut BufReader<TcpStream>) -> std::io::Result<Option<Message>> {
    if stream.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let mut message = Message { first_line: read_line(stream)?, ..Message::default() };
    loop {
        let line = read_line(stream)?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("a header line without a colon"))?;
        message.fields.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads the body that the head announces (RFC 9112, 6.3). `without_body`: the message can have none.
pub fn read_body(
    stream: &mut BufReader<TcpStream>,
    message: &mut Message,
    without_body: bool,
) -> std::io::Result<()> {
    if without_body {
        return Ok(());
    }
    if message.field("transfer-encoding").is_some_and(|value| value.to_ascii_lowercase().ends_with("chunked"))
    {
        loop {
            let line = read_line(stream)?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| invalid("no chunk size"))?;
            if size == 0 {
                while !read_line(stream)?.is_empty() {}
                return Ok(());
            }
            let mut chunk = vec![0; size];
            stream.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk);
            if !read_line(stream)?.is_empty() {
                return Err(invalid("a chunk is longer than its size"));
            }
        }
    }
    if let Some(length) = message.field("content-length") {
        let length: usize = length.parse().map_err(|_| invalid("no length"))?;
        message.body = vec![0; length];
        stream.read_exact(&mut message.body)?;
    }
    Ok(())
}

/// A client's connection.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
    pub writer: TcpStream,
}

impl Connection {
    pub fn open(to: SocketAddrV4, timeout_s: f64) -> std::io::Result<Connection> {
        let writer = TcpStream::connect_timeout(&to.into(), Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(Duration::from_secs_f64(timeout_s)))?;
        Ok(Connection { reader: BufReader::new(writer.try_clone()?), writer })
    }

    /// Sends bytes and reads one answer.
    pub fn exchange(&mut self, bytes: &[u8]) -> std::io::Result<Message> {
        self.writer.write_all(bytes)?;
        self.answer()
    }

    /// Reads one answer.
    pub fn answer(&mut self) -> std::io::Result<Message> {
        let mut answer = read_head(&mut self.reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        if answer.status() == 0 {
            return Err(invalid(&format!("no answer of the protocol: {:?}", answer.first_line)));
        }
        read_body(&mut self.reader, &mut answer, false)?;
        Ok(answer)
    }

    /// Bytes that lie on the connection behind the last answer, or come within this time.
    pub fn surplus(&mut self, wait_s: f64) -> Vec<u8> {
        let mut out = self.reader.buffer().to_vec();
        let _ = self.writer.set_read_timeout(Some(Duration::from_secs_f64(wait_s)));
        let mut more = [0; 4096];
        while let Ok(read) = self.writer.read(&mut more) {
            if read == 0 {
                break;
            }
            out.extend_from_slice(&more[..read]);
        }
        out
    }
}

/// A body in chunks.
pub fn chunked(body: &[u8], size: usize) -> Vec<u8> {
    let mut out = Vec::new();
    for chunk in body.chunks(size) {
        out.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        out.extend_from_slice(chunk);
        out.extend_from_slice(b"\r\n");
    }
    out.extend_from_slice(b"0\r\n\r\n");
    out
}
