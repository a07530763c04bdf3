//! Connections whose progress is observed.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What is done when a connection makes progress.
pub(crate) trait StreamObserver: Unpin {
    /// Called when bytes were read; an error fails the connection.
    fn on_read(&self, _bytes: usize) -> io::Result<()> {
        Ok(())
    }

    /// Called when bytes were to be written; the connection takes none at present if `is_stalled`.
    fn on_write(&self, _is_stalled: bool) {}

    /// Called when the connection was flushed. The HTTP library does so once it has written all that
    /// it buffers.
    fn on_flush(&self) {}
}

/// A connection with an observer.
pub(crate) struct ObservedStream<O> {
    stream: TcpStream,
    observer: O,
}

impl<O: StreamObserver> ObservedStream<O> {
    pub(crate) fn new(stream: TcpStream, observer: O) -> Self {
        Self { stream, observer }
    }
}

impl<O: StreamObserver> AsyncRead for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.observer.on_read(buffer.filled().len() - before))
    }
}

impl<O: StreamObserver> AsyncWrite for ObservedStream<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.observer.on_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.observer.on_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.observer.on_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
