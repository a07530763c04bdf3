//! HTTP/1.1 over blocking sockets.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// A request or an answer: its first line, its headers with names in lower case, its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body has arrived as a whole.
    pub is_whole: bool,
}

impl Message {
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads a message; none at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.line)? == 0 {
        return Ok(None);
    }
    message.line = message.line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        message.is_whole = read_chunks(reader, &mut message.body)?;
    } else {
        let length: u64 = message.header("content-length").parse().unwrap_or(0);
        reader.take(length).read_to_end(&mut message.body)?;
        message.is_whole = message.body.len() as u64 == length;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Ok(length) = u64::from_str_radix(line.trim_end(), 16) else { return Ok(false) };
        let mut chunk = Vec::new();
        reader.by_ref().take(length + 2).read_to_end(&mut chunk)?;
        if (chunk.len() as u64) < length + 2 {
            return Ok(false);
        }
        if length == 0 {
            return Ok(true);
        }
        chunk.truncate(length as usize);
        body.extend(chunk);
    }
}

/// Answer with a status, headers and a body.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes += &format!("{name}: {value}\r\n");
    }
    bytes += "\r\n";
    [bytes.as_bytes(), body].concat()
}

/// Serves each connection of a listener on a thread of its own; `handle` builds the answer to a
/// request, or none to close the connection.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(Message) -> Option<Vec<u8>> + Clone + Send + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || serve_connection(stream, handle));
        }
    });
    Ok(())
}

fn serve_connection(
    stream: TcpStream,
    handle: impl Fn(Message) -> Option<Vec<u8>>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        match handle(request) {
            Some(bytes) => writer.write_all(&bytes)?,
            None => break,
        }
    }
    Ok(())
}

/// A client's connection, kept over requests.
pub struct Connection {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self { writer: stream.try_clone()?, reader: BufReader::new(stream) })
    }

    /// Sends a request and reads its answer.
    pub fn request(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Message> {
        let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += "\r\n";
        self.writer.write_all(head.as_bytes())?;
        self.writer.write_all(body)?;
        read_message(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}
