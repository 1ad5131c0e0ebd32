//! Asynchronous TCP, UDP and Unix sockets.

use crate::reactor::{Direction, REACTOR};
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::Errno;
use rustix::net::{
    bind, connect, ipproto, recvmsg, sendmsg, socket_with, AddressFamily, RecvAncillaryBuffer,
    RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage, SendFlags,
    SocketFlags, SocketType,
};
use std::future::poll_fn;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::marker::PhantomData;
use std::mem::MaybeUninit;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::net::{UnixListener, UnixStream};
use std::rc::Rc;

/// A non-blocking socket that tasks of the creating thread can wait on. One task may read while
/// another writes.
#[derive(Debug)]
pub struct Async<T: AsFd> {
    io: T,
    /// The key of the registration with the reactor.
    key: usize,
    /// Keeps the socket on its thread, which owns the reactor.
    not_send: PhantomData<Rc<()>>,
}

impl<T: AsFd> Async<T> {
    /// Registers a non-blocking socket. With `is_writable` the socket counts as writable until a
    /// write would block.
    fn register(io: T, is_writable: bool) -> io::Result<Async<T>> {
        let key = REACTOR.with(|reactor| reactor.register(&io, is_writable))?;
        Ok(Async {
            io,
            key,
            not_send: PhantomData,
        })
    }

    /// The socket itself, which is non-blocking.
    pub fn get_ref(&self) -> &T {
        &self.io
    }

    /// Whether the peer has closed its sending side, or the connection has failed, as of the last
    /// events. Bytes that arrived before may still be unread.
    pub fn is_read_closed(&self) -> bool {
        REACTOR.with(|reactor| reactor.is_read_closed(self.key))
    }

    /// Waits until the socket is ready.
    async fn ready(&self, direction: Direction) {
        poll_fn(|context| {
            REACTOR.with(|reactor| reactor.poll_ready(self.key, direction, context.waker()))
        })
        .await;
    }

    /// Repeats an operation, waiting for readiness before each attempt, until it neither would
    /// block nor is interrupted.
    async fn perform<R>(
        &self,
        direction: Direction,
        mut operation: impl FnMut(&T) -> io::Result<R>,
    ) -> io::Result<R> {
        loop {
            self.ready(direction).await;
            match operation(&self.io) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.clear_ready(direction),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }

    /// Marks the socket as not ready after an operation that would have blocked.
    fn clear_ready(&self, direction: Direction) {
        REACTOR.with(|reactor| {
            reactor.clear_ready(self.key, direction);
            if direction == Direction::Read {
                // A closed stream should never block a read; without this the task would spin if
                // one did.
                reactor.clear_read_closed(self.key);
            }
        });
    }
}

impl<T: AsFd> Async<T>
where
    for<'a> &'a T: Read + Write,
{
    /// Reads into `bytes` and returns the number of bytes read, 0 at the end of the stream. Makes a
    /// system call only once the socket is reported ready.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub async fn read(&self, bytes: &mut [u8]) -> io::Result<usize> {
        let read = self
            .perform(Direction::Read, |mut io| io.read(bytes))
            .await?;
        if read < bytes.len() {
            // A short read has drained the stream, see epoll(7): the next edge reports more. The
            // end of the stream stays readable, as it may have come in the same event.
            REACTOR.with(|reactor| reactor.clear_ready(self.key, Direction::Read));
        }
        Ok(read)
    }

    /// Writes a part of `bytes` and returns its length.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.perform(Direction::Write, |mut io| io.write(bytes))
            .await
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// The error of the socket; [`ErrorKind::WriteZero`] if it accepts no bytes.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.write(bytes).await? {
                0 => return Err(ErrorKind::WriteZero.into()),
                written => bytes = &bytes[written..],
            }
        }
        Ok(())
    }
}

impl Async<TcpStream> {
    /// Registers a connected stream, which becomes non-blocking.
    ///
    /// # Errors
    ///
    /// If the socket can't be made non-blocking or registered.
    pub fn new(stream: TcpStream) -> io::Result<Async<TcpStream>> {
        stream.set_nonblocking(true)?;
        Async::register(stream, true)
    }

    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// If no socket can be created or bound, or the connection fails.
    pub async fn connect(remote: SocketAddr) -> io::Result<Async<TcpStream>> {
        Async::<TcpStream>::connect_from(None, remote).await
    }

    /// Connects to an address from a local address, if one is given.
    ///
    /// # Errors
    ///
    /// If no socket can be created or bound, or the connection fails.
    pub async fn connect_from(
        local: Option<IpAddr>,
        remote: SocketAddr,
    ) -> io::Result<Async<TcpStream>> {
        let family = if remote.is_ipv4() {
            AddressFamily::INET
        } else {
            AddressFamily::INET6
        };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = socket_with(family, SocketType::STREAM, flags, Some(ipproto::TCP))?;
        if let Some(local) = local {
            bind(&socket, &SocketAddr::new(local, 0))?;
        }
        match connect(&socket, &remote) {
            Ok(()) | Err(Errno::INPROGRESS) => {}
            Err(error) => return Err(error.into()),
        }
        let stream = Async::register(TcpStream::from(socket), false)?;
        stream.ready(Direction::Write).await;
        match stream.io.take_error()? {
            Some(error) => Err(error),
            None => Ok(stream),
        }
    }
}

impl Async<TcpListener> {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// If the address can't be bound or the socket can't be registered.
    pub fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
        Async::<TcpListener>::new(TcpListener::bind(address)?)
    }

    /// Registers a listening socket, which becomes non-blocking.
    ///
    /// # Errors
    ///
    /// If the socket can't be made non-blocking or registered.
    pub fn new(listener: TcpListener) -> io::Result<Async<TcpListener>> {
        listener.set_nonblocking(true)?;
        Async::register(listener, false)
    }

    /// Accepts the next connection. The stream blocks until it is passed to [`Async::new`].
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        self.perform(Direction::Read, |listener| listener.accept())
            .await
    }
}

impl Async<UdpSocket> {
    /// Receives datagrams on an address.
    ///
    /// # Errors
    ///
    /// If the address can't be bound or the socket can't be registered.
    pub fn bind(address: SocketAddr) -> io::Result<Async<UdpSocket>> {
        Async::<UdpSocket>::new(UdpSocket::bind(address)?)
    }

    /// Registers a socket, which becomes non-blocking.
    ///
    /// # Errors
    ///
    /// If the socket can't be made non-blocking or registered.
    pub fn new(socket: UdpSocket) -> io::Result<Async<UdpSocket>> {
        socket.set_nonblocking(true)?;
        Async::register(socket, true)
    }

    /// Receives a datagram; returns its length and its sender. A datagram longer than `bytes` is
    /// truncated.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub async fn receive(&self, bytes: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.perform(Direction::Read, |socket| socket.recv_from(bytes))
            .await
    }
}

/// The most descriptors that one message carries.
const MAX_DESCRIPTORS: usize = 8;

impl Async<UnixStream> {
    /// Registers a connected stream, which becomes non-blocking.
    ///
    /// # Errors
    ///
    /// If the socket can't be made non-blocking or registered.
    pub fn new(stream: UnixStream) -> io::Result<Async<UnixStream>> {
        stream.set_nonblocking(true)?;
        Async::register(stream, true)
    }

    /// Writes a part of `bytes`, passes the descriptors along with its first byte (`SCM_RIGHTS`),
    /// and returns the number of bytes written.
    ///
    /// # Errors
    ///
    /// The error of the socket; [`ErrorKind::InvalidInput`] for more than eight descriptors.
    pub async fn send_with_descriptors(
        &self,
        bytes: &[u8],
        descriptors: &[BorrowedFd<'_>],
    ) -> io::Result<usize> {
        if descriptors.len() > MAX_DESCRIPTORS {
            return Err(ErrorKind::InvalidInput.into());
        }
        self.perform(Direction::Write, |stream| {
            let mut space =
                [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            if !control.push(SendAncillaryMessage::ScmRights(descriptors)) {
                return Err(ErrorKind::InvalidInput.into());
            }
            Ok(sendmsg(
                stream,
                &[IoSlice::new(bytes)],
                &mut control,
                SendFlags::NOSIGNAL,
            )?)
        })
        .await
    }

    /// Reads into `bytes` and returns the number of bytes read, 0 at the end of the stream. Appends
    /// the descriptors that were passed along with them.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub async fn receive_with_descriptors(
        &self,
        bytes: &mut [u8],
        descriptors: &mut Vec<OwnedFd>,
    ) -> io::Result<usize> {
        self.perform(Direction::Read, |stream| {
            let mut space =
                [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let flags = RecvFlags::CMSG_CLOEXEC;
            let received = recvmsg(stream, &mut [IoSliceMut::new(bytes)], &mut control, flags)?;
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(received) = message {
                    descriptors.extend(received);
                }
            }
            Ok(received.bytes)
        })
        .await
    }
}

impl Async<UnixListener> {
    /// Registers a listening socket, which becomes non-blocking.
    ///
    /// # Errors
    ///
    /// If the socket can't be made non-blocking or registered.
    pub fn new(listener: UnixListener) -> io::Result<Async<UnixListener>> {
        listener.set_nonblocking(true)?;
        Async::register(listener, false)
    }

    /// Accepts the next connection. The stream blocks until it is passed to [`Async::new`].
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub async fn accept(&self) -> io::Result<UnixStream> {
        self.perform(Direction::Read, |listener| listener.accept())
            .await
            .map(|(stream, _)| stream)
    }
}

impl<T: AsFd> Drop for Async<T> {
    fn drop(&mut self) {
        // While a thread ends, its reactor may already be destroyed, and the registration with it.
        let _ = REACTOR.try_with(|reactor| reactor.deregister(self.key, &self.io));
    }
}
