//! HTTP/1.1 over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

/// A request or an answer.
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn cut() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "cut off")
}

/// Reads a message; `buffer` keeps what follows it on the connection.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = vec![0; 64 << 10];
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at;
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return if buffer.is_empty() { Ok(None) } else { Err(cut()) };
        }
        buffer.extend_from_slice(&chunk[..count]);
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers: Vec<_> =
        headers.map(|(key, value)| (key.to_ascii_lowercase(), value.trim().to_owned())).collect();
    let mut message = Message { line, headers, body: Vec::new() };
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        message.body = read_chunks(stream, buffer)?;
        return Ok(Some(message));
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(cut());
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let line_end = buffer.windows(2).position(|bytes| bytes == b"\r\n");
        if let Some(at) = line_end {
            let size = String::from_utf8_lossy(&buffer[..at]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| cut())?;
            if buffer.len() >= at + 2 + size + 2 {
                body.extend_from_slice(&buffer[at + 2..at + 2 + size]);
                buffer.drain(..at + 2 + size + 2);
                if size == 0 {
                    return Ok(body);
                }
                continue;
            }
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(cut());
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
}

/// Text of an answer with a complete body.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

/// Serves connections, each with a thread; `handle` gets the time at which the connection was made,
/// and returns the answer, or none to close the connection without one.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(Message, &TcpStream, Instant) -> Option<Vec<u8>> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let (mut buffer, made) = (Vec::new(), Instant::now());
                while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
                    let Some(reply) = handle(request, &stream, made) else { return };
                    if stream.write_all(&reply).is_err() {
                        return;
                    }
                }
            });
        }
    });
}
