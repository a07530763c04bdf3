//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// A request or an answer.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| &**value)
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with its read buffer.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        Self::new(stream)
    }

    /// Reads a whole message; none if the other end has closed the connection before it.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            while let Some(part) = self.read_chunk()? {
                message.body.extend(part);
            }
        } else if let Some(size) = message.header("content-length") {
            let size = size.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            message.body = vec![0; size];
            self.reader.read_exact(&mut message.body)?;
        }
        Ok(Some(message))
    }

    /// Reads a message up to its body; none if the other end has closed the connection before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let Some(first_line) = self.line()? else { return Ok(None) };
        let mut headers = Vec::new();
        loop {
            let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
        Ok(Some(Message { first_line, headers, body: Vec::new() }))
    }

    /// Reads the next chunk of a body; none at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
        let mut part = vec![0; size];
        self.reader.read_exact(&mut part)?;
        self.line()?;
        Ok((size > 0).then_some(part))
    }

    /// Whether the other end has closed the connection.
    pub fn is_closed(&self) -> bool {
        let stream = self.reader.get_ref();
        if stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = stream.peek(&mut [0]);
        let _ = stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        let mut line = Vec::new();
        if self.reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        if line.pop() != Some(b'\n') {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        Ok(Some(String::from_utf8_lossy(&line).into_owned()))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Writes an answer with a body of known length.
    pub fn answer(&mut self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let size = body.len();
        let head = format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {size}\r\n\r\n");
        self.write(&[head.as_bytes(), body].concat())
    }
}

/// Calls `serve` for each connection of a listener, in a thread of its own.
pub fn listen(listener: TcpListener, serve: impl Fn(Connection) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Some(connection) = stream.ok().and_then(|it| Connection::new(it).ok()) else {
                continue;
            };
            let serve = serve.clone();
            thread::spawn(move || serve(connection));
        }
    });
}
