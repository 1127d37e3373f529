//! Bounds what a server may send before the head of its response is complete.
//!
//! The HTTP client limits each head, but skips interim ones (status 1xx) without a limit. A server that
//! sends them without end would keep the only thread of the process busy.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Largest number of bytes that a server may send until the head of a response is complete,
/// including the beginning of the body. More than twice the limit on one head.
const MAX_HEAD_BYTES: usize = 160 * 1024;

/// Number of bytes that may still be read from a [`HeadLimitStream`].
#[derive(Clone, Debug)]
pub(super) struct HeadAllowance {
    left: Arc<AtomicUsize>,
}

impl HeadAllowance {
    /// Expects the head of a response.
    pub(super) fn expect_head(&self) {
        self.left.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Removes the limit, for the body of a response.
    pub(super) fn allow_body(&self) {
        self.left.store(usize::MAX, Ordering::Relaxed);
    }

    fn take(&self, bytes: usize) -> bool {
        let left = self.left.load(Ordering::Relaxed);
        if left == usize::MAX {
            return true;
        }
        self.left
            .store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes <= left
    }
}

/// A connection to a server, on which reading fails when the head of a response gets too long.
#[derive(Debug)]
pub(super) struct HeadLimitStream {
    stream: TcpStream,
    allowance: HeadAllowance,
}

impl HeadLimitStream {
    /// Limits what is read from `stream`.
    pub(super) fn new(stream: TcpStream) -> HeadLimitStream {
        let left = Arc::new(AtomicUsize::new(MAX_HEAD_BYTES));
        HeadLimitStream {
            stream,
            allowance: HeadAllowance { left },
        }
    }

    /// The allowance of this connection.
    pub(super) fn allowance(&self) -> HeadAllowance {
        self.allowance.clone()
    }
}

impl AsyncRead for HeadLimitStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if self.allowance.take(buffer.filled().len() - before) {
            Poll::Ready(Ok(()))
        } else {
            let error = io::Error::new(io::ErrorKind::InvalidData, "the head is too long");
            Poll::Ready(Err(error))
        }
    }
}

impl AsyncWrite for HeadLimitStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
